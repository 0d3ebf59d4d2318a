"""Settings shared by entries and agents."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from crankhinge.errors import SettingsError
from crankhinge.runtime import HostPort, Port, Seconds

HexKey = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Endpoint(NamedTuple):
    """Host and TCP port of a server."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address of the form ``host:port``.

    Raises:
        SettingsError: the port is not between 1 and 65535.
    """
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise SettingsError(f"{text}: port must be between 1 and 65535")
    return Endpoint(host, int(port))


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of every entry and agent.

    Attributes:
        name: name of this process, unique within the fleet.
        zone: availability zone of this process.
        host: address to listen on.
        port: TCP port to listen on.
        key_value: ``host:port`` of the platform's key-value service.
        instances: ``host:port`` of the platform's service catalogue, which lists the instances that
            run agents.
        seeds: ``host:port`` of agents from which an entry gets the list of instances at startup
            while the platform cannot provide it.
        list_s: seconds between two refreshes of the list of instances.
        keys: public key of each partner, in hex; a bundle must be signed by all of them.
        statsd: ``host:port`` of the statsd server; empty to send no metrics.
        beat_s: seconds between two heartbeats on a link.
        watch_s: seconds that one watch request for a new bundle stays open without a change.
        drain_s: maximum duration of a planned stop, in seconds.
        policy: name of the set of enabled routing mechanisms; values other than ``full`` are for
            experiments. It is unrelated to the ``policy`` of the bundle.
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
