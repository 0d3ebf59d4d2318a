"""Decodes data from outside the process: messages, stored items, files.

Whatever the data is, a decoder returns a value of its type or raises :class:`Undecodable`. The
libraries alone do not promise that: both msgspec and tomllib raise RecursionError for data that is
nested too deeply, and tomllib raises a plain ValueError for an integer of thousands of digits.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Generic, TypeVar

import msgspec

from crankhinge.errors import Undecodable

T = TypeVar("T")


class _Decoder(Generic[T]):
    """Decodes values of one type."""

    def __init__(self, decode: Callable[[bytes], T]) -> None:
        self._decode = decode

    def decode(self, data: bytes) -> T:
        """Return the value in *data*. Raises Undecodable if there is none of the type."""
        with _undecodable():
            return self._decode(data)


class JsonDecoder(_Decoder[T]):
    """Decodes JSON.

    Args:
        model: type of the decoded values, for example a struct or a union of structs.
    """

    def __init__(self, model: Any) -> None:
        super().__init__(msgspec.json.Decoder(model).decode)


class MsgpackDecoder(_Decoder[T]):
    """Decodes msgpack.

    Args:
        model: type of the decoded values, for example a struct or a union of structs.
    """

    def __init__(self, model: Any) -> None:
        super().__init__(msgspec.msgpack.Decoder(model).decode)


def decode_json(data: bytes, model: type[T]) -> T:
    """Return the value of type *model* in JSON *data*. Raises Undecodable if there is none."""
    with _undecodable():
        return msgspec.json.decode(data, type=model)


def decode_toml(text: str, model: type[T]) -> T:
    """Return the value of type *model* in TOML *text*. Raises Undecodable if there is none."""
    with _undecodable("not TOML: "):
        raw = tomllib.loads(text)
    return convert(raw, model)


def convert(raw: Any, model: type[T]) -> T:
    """Return *raw*, made of plain types, as a *model*. Raises Undecodable if it is none."""
    with _undecodable():
        return msgspec.convert(raw, model)


def is_nested_deeper(value: Any, max_depth: int) -> bool:
    """Return whether *value* has containers in more than *max_depth* levels.

    A value that could be decoded may be nested too deeply to be encoded again, since the code that
    encodes it may itself be called from more levels.
    """
    level = [value]
    for _ in range(max_depth):
        level = [inner for outer in level for inner in _inner_containers(outer)]
        if not level:
            return False
    return True


def _inner_containers(value: Any) -> list[Any]:
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return []
    return [inner for inner in value if isinstance(inner, dict | list)]


@contextmanager
def _undecodable(prefix: str = "") -> Iterator[None]:
    try:
        yield
    # The errors of msgspec and tomllib about invalid data, and UnicodeDecodeError, are ValueErrors.
    except (ValueError, RecursionError) as exc:
        raise Undecodable(f"{prefix}{exc}") from exc
