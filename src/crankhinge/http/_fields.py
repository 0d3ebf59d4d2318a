"""Header fields as text.

A field's value may contain bytes above 127, which have no meaning of their own (``obs-text`` in RFC
9110, section 5.5). As text, each byte is the character of the same number, so that fields are
passed on unchanged.
"""

from __future__ import annotations

from collections.abc import Iterable

FIELD_ENCODING = "latin-1"


def encode_fields(fields: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return fields as the bytes that are sent."""
    return [(name.encode(FIELD_ENCODING), value.encode(FIELD_ENCODING)) for name, value in fields]


def decode_fields(fields: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return received fields as text."""
    return [(name.decode(FIELD_ENCODING), value.decode(FIELD_ENCODING)) for name, value in fields]
