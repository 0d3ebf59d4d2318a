"""Defines the faults of a stand-in backend server and the KV memory in use on it."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from crankhinge_standins._web import FaultSettings


class ReplicaFaults(FaultSettings):
    """Faults of a backend server.

    Attributes:
        errors: share of runs that end with status 500.
        unstated: share of runs that are answered with 503, without a word on whether they ran.
        resets: share of runs whose connection closes before the response.
        garbles: share of responses that break off in the middle.
        loses: share of runs that never get a response, while their connections stay open.
        endless: share of runs that get bytes without end in place of a response or an event.
        endless_in: one of ENDLESS_PLACES where these bytes come; empty for any.
        copies: share of refusals and of responses to side calls and prompts of which a second copy
            comes on the same connection, before the next response there.
        unframed: share of streams with neither a length nor chunks.
        cut_between_events: whether a stream with neither may break off between two events.
        refuses: share of requests that the server refuses before they run.
        slow: factor by which every duration is multiplied.
        move_mutes: share of calls to move a run that take effect but get no response.
        rest_s: backoff in seconds that the server asks for when it refuses a request; 0 for none.
        limit: limit in requests per second that the server advertises, as text; empty for none.
    """

    errors: float = 0.0
    unstated: float = 0.0
    resets: float = 0.0
    garbles: float = 0.0
    loses: float = 0.0
    endless: float = 0.0
    endless_in: str = ""
    copies: float = 0.0
    unframed: float = 0.0
    cut_between_events: bool = False
    refuses: float = 0.0
    slow: float = 1.0
    limit: str = ""
    rest_s: float = 0.0
    move_mutes: float = 0.0


@dataclass
class KvMemory:
    """KV memory in use on an engine, in tokens.

    Attributes:
        runs: memory of requests in progress, by run.
        holds: reserved memory, by reservation id.
        handles: KV caches of prompts and of stopped runs that wait to be fetched, by KV handle.
        copies: copies of other engines' runs, by location.
    """

    runs: dict[str, int] = field(default_factory=dict)
    holds: dict[str, int] = field(default_factory=dict)
    handles: dict[str, int] = field(default_factory=dict)
    copies: dict[str, int] = field(default_factory=dict)

    @property
    def used(self) -> int:
        """Sum of all tokens in use."""
        return sum(
            itertools.chain(
                self.runs.values(),
                self.holds.values(),
                self.handles.values(),
                self.copies.values(),
            )
        )
