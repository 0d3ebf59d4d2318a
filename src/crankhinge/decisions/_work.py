"""In which order a backend server is given work, and what is refused unstarted.

The work of a prefill engine is measured in prompt tokens, that of a plain service in calls.
"""

from __future__ import annotations

from crankhinge.decisions._asks import Refuse, WorkAsk
from crankhinge.decisions._fair import ONE_FLOW, ONE_WEIGHT, FairQueue
from crankhinge.decisions._mechanisms import FULL, Mechanisms

RATE_GAIN = 0.2


class WorkQueue:
    """The order of work of one backend server.

    Args:
        width: requests given to it at once.
        rate: units per second, before any was measured.
        mech: which mechanisms are at work.
    """

    def __init__(self, *, width: int, rate: float, mech: Mechanisms = FULL) -> None:
        self.width = width
        self.rate = rate
        self.closed = False
        self._mech = mech
        self._queue: FairQueue[WorkAsk] = FairQueue()
        self._running: dict[int, tuple[WorkAsk, float]] = {}
        self._waiting_units = 0

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def free(self) -> int:
        """Requests that could be started at once."""
        return max(0, self.width - len(self._running))

    @property
    def busy(self) -> bool:
        """Whether any request runs or waits."""
        return bool(self._running or len(self._queue))

    def backlog_s(self, now: float) -> float:
        """Return the seconds of work already taken on."""
        units = float(self._waiting_units)
        for ask, since in self._running.values():
            units += max(0.0, ask.units - (now - since) * self.rate)
        return units / self.rate

    def ask(self, ask: WorkAsk, now: float) -> Refuse | None:
        """Queue a request, or refuse it when it can't be done by its deadline."""
        if self.closed:
            return Refuse(ask.req, "draining", 0.0)
        wait = self.backlog_s(now) + ask.units / self.rate
        if self._mech.refuse_early and now + wait > ask.deadline:
            return Refuse(ask.req, "overloaded", max(0.1, wait))
        fair = self._mech.fair
        self._queue.push(
            ask.req,
            ask,
            path=ask.path if fair else ONE_FLOW,
            weights=ask.weights if fair else ONE_WEIGHT,
            deadline=ask.deadline,
            cost=float(max(1, ask.units)),
        )
        self._waiting_units += ask.units
        return None

    def next(self, now: float) -> tuple[list[WorkAsk], list[Refuse]]:
        """Return the requests to start now and those whose time has run out unstarted."""
        starts: list[WorkAsk] = []
        late: list[Refuse] = []
        while self.free and (ask := self._queue.pop()) is not None:
            self._waiting_units -= ask.units
            late_by = now + ask.units / self.rate - ask.deadline
            if self._mech.refuse_early and late_by > 0:
                late.append(Refuse(ask.req, "overloaded", self.backlog_s(now)))
                continue
            self._running[ask.req] = (ask, now)
            starts.append(ask)
        return starts, late

    def end(self, req: int, now: float, *, done: int = 0) -> None:
        """Note that a request is done, has failed or isn't wanted any more.

        Args:
            req: the request.
            now: seconds.
            done: units of work done, when it was completed.
        """
        waiting = self._queue.remove(req)
        if waiting is not None:
            self._waiting_units -= waiting.units
        running = self._running.pop(req, None)
        if running is not None and done > 0:
            took = max(1e-4, now - running[1])
            alone = done / took * max(1, len(self._running) + 1)
            self.rate += RATE_GAIN * (alone - self.rate)
