"""Messages about the processes themselves: who they are, their load, bundles, the list."""

from __future__ import annotations

import msgspec

from crankhinge.wire._base import Load, MessageBase


class Hello(MessageBase, tag=1, frozen=True):
    """First message of both ends.

    Attributes:
        version: wire version.
        name: the process's name, unique within the fleet.
        role: ``entry``, ``prefill``, ``decode`` or ``plain``.
        zone: availability zone.
        incarnation: differs each time the process starts; larger is newer.
        pool: pool of the backend server; empty for an entry.
        bundle_version: version of the bundle in force; 0 without one.
    """

    version: int
    name: str
    role: str
    zone: str
    incarnation: int
    pool: str = ""
    bundle_version: int = 0


class Heartbeat(MessageBase, tag=2, frozen=True):
    """Heartbeat of both ends; an agent's carries its load.

    Attributes:
        bundle_version: version of the bundle in force.
        load: None from an entry.
    """

    bundle_version: int
    load: Load | None = None


class GetBundle(MessageBase, tag=3, frozen=True):
    """Asks the peer for its bundle."""


class BundleUpdate(MessageBase, tag=4, frozen=True):
    """Carries a signed bundle. Sent when asked, and unasked to a peer that has an older one."""

    envelope: bytes


class InstanceRow(msgspec.Struct, array_like=True, frozen=True):
    """An agent's instance, as the platform's list showed it."""

    name: str
    host: str
    port: int
    zone: str
    pool: str
    leaving: bool = False


class GetInstances(MessageBase, tag=27, frozen=True):
    """A newcomer that can't read the platform's list asks a peer for it."""


class InstanceListReply(MessageBase, tag=28, frozen=True):
    """The list, as the peer last read it."""

    rows: tuple[InstanceRow, ...]


class LoadedAdapters(MessageBase, tag=29, frozen=True):
    """An agent's engine has these adapters loaded; replaces what was said before."""

    adapters: tuple[str, ...]
