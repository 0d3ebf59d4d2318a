"""The order in which a backend server gets its work, and the early refusal of late requests.

Work of a prefill engine is measured in prompt tokens, work of a plain service in calls.
"""

from __future__ import annotations

from crankhinge.decisions._fair import SINGLE_FLOW, SINGLE_FLOW_WEIGHT, FairQueue
from crankhinge.decisions._mechanisms import FULL, Mechanisms
from crankhinge.decisions._requests import Refusal, WorkRequest

# Weight of the newest request in the moving average of units_per_s.
RATE_EWMA_WEIGHT = 0.2


class WorkQueue:
    """The queue of work for one backend server.

    Args:
        width: maximum number of requests that the server runs at once.
        units_per_s: assumed units of work per second, until measured.
        mech: the enabled mechanisms.

    Attributes:
        width: maximum number of requests that the server runs at once.
        units_per_s: measured units of work per second.
        is_closed: whether new requests are refused.
    """

    def __init__(self, *, width: int, units_per_s: float, mech: Mechanisms = FULL) -> None:
        self.width = width
        self.units_per_s = units_per_s
        self.is_closed = False
        self._mech = mech
        self._queue: FairQueue[WorkRequest] = FairQueue()
        self._running: dict[int, tuple[WorkRequest, float]] = {}
        self._waiting_units = 0

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def free_slots(self) -> int:
        """Number of requests that could be started at once."""
        return max(0, self.width - len(self._running))

    @property
    def is_busy(self) -> bool:
        """Whether any request runs or waits."""
        return bool(self._running or len(self._queue))

    def backlog_s(self, now: float) -> float:
        """Return the seconds of work accepted and not yet done."""
        units = float(self._waiting_units)
        for request, since in self._running.values():
            units += max(0.0, request.units - (now - since) * self.units_per_s)
        return units / self.units_per_s

    def submit(self, request: WorkRequest, now: float) -> Refusal | None:
        """Queue a request, or refuse it when it cannot be done by its deadline."""
        if self.is_closed:
            return Refusal(request.req, "draining", 0.0)
        wait_s = self.backlog_s(now) + request.units / self.units_per_s
        if self._mech.refuse_early and now + wait_s > request.deadline:
            return Refusal(request.req, "overloaded", max(0.1, wait_s))
        fair = self._mech.fair
        self._queue.push(
            request.req,
            request,
            path=request.flow if fair else SINGLE_FLOW,
            weights=request.flow_weights if fair else SINGLE_FLOW_WEIGHT,
            deadline=request.deadline,
            cost=float(max(1, request.units)),
        )
        self._waiting_units += request.units
        return None

    def take_next(self, now: float) -> tuple[list[WorkRequest], list[Refusal]]:
        """Take requests from the queue; return those to start now, and refusals of the others.

        A request is refused when its deadline cannot be met any more.
        """
        starts: list[WorkRequest] = []
        refusals: list[Refusal] = []
        while self.free_slots and (request := self._queue.pop()) is not None:
            self._waiting_units -= request.units
            late_s = now + request.units / self.units_per_s - request.deadline
            if self._mech.refuse_early and late_s > 0:
                refusals.append(Refusal(request.req, "overloaded", self.backlog_s(now)))
                continue
            self._running[request.req] = (request, now)
            starts.append(request)
        return starts, refusals

    def record_end(self, req: int, now: float, *, done: int = 0) -> None:
        """Record that a request is done, has failed, or is not needed any more.

        Args:
            req: id of the request.
            now: time in seconds.
            done: units of work done, if it was completed.
        """
        waiting = self._queue.remove(req)
        if waiting is not None:
            self._waiting_units -= waiting.units
        running = self._running.pop(req, None)
        if running is not None and done > 0:
            took_s = max(1e-4, now - running[1])
            measured_per_s = done / took_s * max(1, len(self._running) + 1)
            self.units_per_s += RATE_EWMA_WEIGHT * (measured_per_s - self.units_per_s)
