"""Settings that an entry and an agent share."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from crankhinge.errors import SettingsError
from crankhinge.runtime import HostPort, Port, Seconds

HexKey = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Endpoint(NamedTuple):
    """An address."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Return the address in ``host:port``.

    Raises:
        SettingsError: when the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise SettingsError(f"{text}: port out of range")
    return Endpoint(host, int(port))


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of every process in the fleet.

    Attributes:
        name: unique within the fleet.
        zone: availability zone.
        host: address to listen on.
        port: TCP port.
        key_value: ``host:port`` of the platform's key-value service.
        instances: ``host:port`` of the platform's list of instances.
        seeds: ``host:port`` of some agents, asked while the list can't be read at a start.
        list_s: seconds between readings of the list.
        keys: public key of each partner, hex; a bundle must be signed by all of them.
        statsd: ``host:port`` of the statsd server; empty for none.
        beat_s: seconds between heartbeats.
        watch_s: seconds a watch on the bundle waits.
        drain_s: seconds a planned stop may take at most.
        policy: which mechanisms are at work; anything but ``full`` is for experiments.
    """

    name: str
    zone: str
    host: str
    port: Port
    key_value: HostPort
    instances: HostPort
    keys: dict[str, HexKey]
    seeds: tuple[HostPort, ...] = ()
    list_s: Seconds = 60.0
    statsd: str = ""
    beat_s: Seconds = 1.5
    watch_s: Seconds = 60.0
    drain_s: Seconds = 120.0
    policy: str = "full"
