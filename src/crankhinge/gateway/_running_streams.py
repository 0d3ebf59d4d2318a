"""The streams of this instance that run at engines now."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from crankhinge.decisions import Server
from crankhinge.gateway._events import EventSplitter
from crankhinge.gateway._request import Relay


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
        movable: whether another engine may continue the run.
        completed: whether the whole answer was sent.
    """

    run_id: str
    relay: Relay
    server: Server
    events: EventSplitter
    prompt_tokens: int
    started_at: float
    events_before: int = 0
    movable: bool = False
    completed: bool = False

    @property
    def made_events(self) -> int:
        """Number of events that this attempt has sent."""
        return self.events.event_count - self.events_before

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
