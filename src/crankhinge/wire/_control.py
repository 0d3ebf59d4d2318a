"""Messages about the processes themselves.

They carry the identity and load of a process, the bundle, and the list of agents.
"""

from __future__ import annotations

import msgspec

from crankhinge.wire._base import Load, MessageBase


class Hello(MessageBase, tag=1, frozen=True):
    """The first message on a connection, sent by both ends.

    Attributes:
        version: ``WIRE_VERSION`` of the sender.
        name: name of the process, unique within the fleet.
        role: ``entry``, or for an agent ``prefill``, ``decode`` or ``plain``. The command line
            ``crankhinge-ctl``, which sends new bundles to agents, has the role ``ctl``.
        zone: availability zone of the process.
        incarnation: incarnation id of the process. It increases each time the process starts.
        pool: pool of the agent's backend server; empty for an entry.
        bundle_version: version of the bundle that is active in the process; 0 if it has none.
    """

    version: int
    name: str
    role: str
    zone: str
    incarnation: int
    pool: str = ""
    bundle_version: int = 0


class Heartbeat(MessageBase, tag=2, frozen=True):
    """A heartbeat, sent by both ends.

    Attributes:
        bundle_version: version of the bundle that is active in the process; 0 if it has none.
        load: load of the agent's backend server; None from an entry.
    """

    bundle_version: int
    load: Load | None = None


class GetBundle(MessageBase, tag=3, frozen=True):
    """Requests the bundle of the peer."""


class BundleUpdate(MessageBase, tag=4, frozen=True):
    """Carries a signed bundle.

    Sent as the reply to ``GetBundle``, and without a request to a peer that has an older bundle.
    """

    envelope: bytes


class InstanceRow(msgspec.Struct, array_like=True, frozen=True):
    """One agent in the platform's list of instances.

    Attributes:
        name: name of the agent, unique within the fleet.
        host: address that the agent listens on.
        port: TCP port that the agent listens on.
        zone: availability zone of the agent.
        pool: pool of the agent's backend server.
        leaving: whether the agent has announced its shutdown.
    """

    name: str
    host: str
    port: int
    zone: str
    pool: str
    leaving: bool = False


class GetInstances(MessageBase, tag=27, frozen=True):
    """Requests the list of agents from a peer.

    Sent by a process that has just started and cannot read the list from the platform.
    """


class InstanceListReply(MessageBase, tag=28, frozen=True):
    """The list of agents, as the sender last read it from the platform."""

    rows: tuple[InstanceRow, ...]


class LoadedAdapters(MessageBase, tag=29, frozen=True):
    """Names all adapters that the agent's engine has loaded, replacing any earlier report."""

    adapters: tuple[str, ...]
