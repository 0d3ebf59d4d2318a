"""The streams of this instance that run at engines now."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from crankhinge.decisions import Server
from crankhinge.gateway._events import EventSplitter
from crankhinge.gateway._request import Relay
from crankhinge.gateway.migration._handover import Handover
from crankhinge.http import ClientStream


@dataclass(eq=False)
class RunningStream:
    """One attempt at a stream, from when it is sent to an engine until the attempt ends.

    Attributes:
        run_id: unique among all attempts of the fleet: ``<instance>/<counter>``.
        relay: the request.
        server: the engine that runs it now; assigned by what moves the run.
        events: the events that the caller was sent, including those of earlier attempts.
        prompt_tokens: tokens that the engine processed first, including the answer of earlier
            attempts.
        started_at: when the attempt began, on the runtime's clock.
        events_before: number of events that earlier attempts sent.
        completed: whether the whole answer was sent.
        connection: the response of the engine while its events are relayed; None before its head
            has arrived and after its end.
        is_writing: whether events are being sent to the caller, which may be slow to take them.
        handover: the move in progress; None without one.
        may_be_stopped: whether the engine may still stop the run for a move that was given up.
        on_moved: called with the engine at which the run continues after a move.
    """

    run_id: str
    relay: Relay
    server: Server
    events: EventSplitter
    prompt_tokens: int
    started_at: float
    events_before: int = 0
    completed: bool = False
    connection: ClientStream | None = None
    is_writing: bool = False
    handover: Handover | None = None
    may_be_stopped: bool = False
    on_moved: Callable[[Server], Awaitable[None]] | None = None

    @property
    def made_events(self) -> int:
        """Number of events that this attempt has sent."""
        return self.events.event_count - self.events_before

    @property
    def movable(self) -> bool:
        """Whether the run may be moved to another engine now."""
        engine = self.relay.service.engine
        return (
            engine is not None
            and engine.moves
            and self.connection is not None
            and self.handover is None
            and bool(self.relay.request.request_id)
        )

    @property
    def made_tokens(self) -> int:
        """Number of tokens in the events that this attempt has sent."""
        engine = self.relay.service.engine
        return 0 if engine is None else self.made_events * engine.tokens_per_event


class RunningStreams:
    """Registry of the streams of this instance that run at engines.

    Args:
        name: name of this instance.
        first: first counter. It differs between incarnations of the instance, so that runs of the
            previous incarnation are not taken for those of this one.
    """

    def __init__(self, name: str, first: int = 1) -> None:
        self._name = name
        self._counter = itertools.count(first)
        self._by_run_id: dict[str, RunningStream] = {}

    def __len__(self) -> int:
        return len(self._by_run_id)

    def __iter__(self) -> Iterator[RunningStream]:
        return iter(list(self._by_run_id.values()))

    def new_run_id(self) -> str:
        """Return a run id that no other attempt has."""
        return f"{self._name}/{next(self._counter)}"

    def get(self, run_id: str) -> RunningStream | None:
        """Return the running stream with this run id; None if it has ended."""
        return self._by_run_id.get(run_id)

    @contextmanager
    def track(self, stream: RunningStream) -> Iterator[RunningStream]:
        """Keep a stream in the registry during a ``with`` block."""
        self._by_run_id[stream.run_id] = stream
        try:
            yield stream
        finally:
            del self._by_run_id[stream.run_id]
