"""The common form of all messages."""

from __future__ import annotations

import msgspec

WIRE_VERSION = 1


class MessageBase(msgspec.Struct, array_like=True, frozen=True):
    """Common options of all messages."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """What an agent says of its backend server.

    Attributes:
        free_slots: memory slots (or call places) not taken now.
        queued: requests that wait here.
        backlog_s: seconds of work queued before a new request would start.
        step_s: seconds between tokens at the present batch; 0 when unknown.
        draining: takes no new work.
        tokens_per_s: prompt tokens read per second; 0 when unknown.
    """

    free_slots: int
    queued: int
    backlog_s: float = 0.0
    step_s: float = 0.0
    draining: bool = False
    tokens_per_s: float = 0.0
