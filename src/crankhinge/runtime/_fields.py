"""Types of settings fields that several programs share."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec

from crankhinge.errors import Undecodable

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
MAX_PORT = 65_535
Seconds = Annotated[float, msgspec.Meta(gt=0)]
HostPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z.:_-]+:[0-9]{1,5}$")]


def split_host_port(text: str) -> tuple[str, int]:
    """Return host and port of *text*, which must already match :data:`HostPort`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse_ip_port(text: str) -> tuple[str, int]:
    """Return address and port of *text*, which comes from outside the process.

    A host name is refused: the look-up of one would hold up the whole process.

    Raises:
        Undecodable: the text is not an IPv4 address and a port.
    """
    host, _, port = text.rpartition(":")
    try:
        address, number = ipaddress.IPv4Address(host), int(port)
    except ValueError as exc:
        raise Undecodable(f"not an address and a port: {exc}") from exc
    if not 0 < number <= MAX_PORT:
        raise Undecodable(f"port {number} is out of range")
    return str(address), number
