"""The base class of all messages, and the load report that several messages carry."""

from __future__ import annotations

import msgspec

# Version of the protocol. Two processes with different versions refuse each other's connection.
WIRE_VERSION = 1


class MessageBase(msgspec.Struct, array_like=True, frozen=True):
    """Base class of all messages, encoded as arrays that begin with the integer tag."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """The load of a backend server, as its agent reports it.

    Attributes:
        free_slots: number of requests that the server could start now. For a decode engine, these
            are free memory slots.
        queued: number of requests that wait at the agent.
        backlog_s: seconds of queued work before a new request would start.
        step_s: duration of one decode step, that is the seconds between two tokens of an answer, at
            the current batch size; 0 if unknown.
        draining: whether the agent accepts no new requests.
        tokens_per_s: prompt tokens that the engine processes per second; 0 if unknown.
    """

    free_slots: int
    queued: int
    backlog_s: float = 0.0
    step_s: float = 0.0
    draining: bool = False
    tokens_per_s: float = 0.0
