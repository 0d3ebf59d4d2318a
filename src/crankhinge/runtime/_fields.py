"""Types of settings fields that several programs share."""

from __future__ import annotations

from typing import Annotated

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
HostPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z.:_-]+:[0-9]{1,5}$")]


def split_host_port(text: str) -> tuple[str, int]:
    """Return host and port of *text*, which must already match :data:`HostPort`."""
    host, _, port = text.rpartition(":")
    return host, int(port)
