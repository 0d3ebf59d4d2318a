"""What this instance knows of servers that serve requests with a part of a prompt."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from contextlib import contextmanager

from crankhinge.decisions import MAX_WRITING_S, PartHistory
from crankhinge.gateway._request import Relay


class PartEvidence:
    """Keeps when requests with each part were served, and the requests that are in progress."""

    def __init__(self) -> None:
        self._history = PartHistory()
        # Requests in progress by object id, since they cannot be hashed.
        self._running: dict[int, Relay] = {}

    @contextmanager
    def track(self, relay: Relay) -> Iterator[None]:
        """Count a request among those in progress during a ``with`` block."""
        if not relay.part_keys:
            yield
            return
        self._running[id(relay)] = relay
        try:
            yield
        finally:
            del self._running[id(relay)]

    def record_served(self, keys: Collection[str], at: float) -> None:
        """Record that a server served a request with the parts *keys* at a time in seconds."""
        for key in keys:
            self._history.record_served(key, at)

    def served_at(self, key: str) -> float | None:
        """Return when a server was last seen to serve a request with a part.

        A server that has been writing on the part for longer than ``MAX_WRITING_S`` does not crash
        because of it, even if the request is not complete yet.
        """
        times = [
            relay.last_event_at
            for relay in self._running.values()
            if key in relay.part_keys
            and relay.writing_since is not None
            and relay.last_event_at is not None
            and relay.last_event_at - relay.writing_since > MAX_WRITING_S
        ]
        completed_at = self._history.served_at(key)
        if completed_at is not None:
            times.append(completed_at)
        return max(times, default=None)
