"""Which requests get the slots of a decode engine, and when.

A slot is leased before the prompt is processed, so that no prompt is processed for which there is
no slot. It is leased *ahead* of time: a request whose prompt is not processed yet may get the slot
of an answer that is sure to end by the time the prefill does.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankhinge.decisions._fair import SINGLE_FLOW, SINGLE_FLOW_WEIGHT, FairQueue
from crankhinge.decisions._mechanisms import FULL, Mechanisms
from crankhinge.decisions._requests import Refusal, SlotRequest

# Seconds that a lease lasts beyond the time at which its slot should be used.
DEFAULT_LEASE_MARGIN_S = 2.0
# Weight of the newest answer in the mean time for which an answer runs.
EWMA_WEIGHT = 0.1


@dataclass(frozen=True)
class SlotGrant:
    """A lease of a slot for ``req``; the slot is expected to be free in ``ready_in_s`` seconds."""

    req: int
    ready_in_s: float
    lease_s: float


SlotDecision = SlotGrant | Refusal


@dataclass
class _Lease:
    """A lease of a slot that is not used yet; *ask* is the request that holds it."""

    ask: SlotRequest
    expires: float


@dataclass
class _Running:
    """An answer that is being decoded; *ask* is its request, *produced* its tokens so far."""

    ask: SlotRequest
    started_at: float
    produced: int = 0


class SlotTable:
    """The slots of one engine: those that are leased or in use, and the requests that wait for one.

    Args:
        capacity: number of requests that the engine holds in memory.
        step_s: assumed seconds between tokens, until measured.
        lease_margin_s: seconds that a lease lasts beyond the time at which its slot should be used.
        mech: the enabled mechanisms.

    Attributes:
        capacity: number of slots of the engine.
        step_s: seconds between tokens, as last measured.
        foreign_requests: number of slots that the engine still uses for requests of a previous
            incarnation of the agent; they cannot be leased.
        is_closed: whether new requests are refused.
    """

    def __init__(
        self,
        *,
        capacity: int,
        step_s: float,
        lease_margin_s: float = DEFAULT_LEASE_MARGIN_S,
        mech: Mechanisms = FULL,
    ) -> None:
        self.capacity = capacity
        self.step_s = step_s
        self.foreign_requests = 0
        self.is_closed = False
        self._lease_margin_s = lease_margin_s
        self._mech = mech
        self._mean_run_s = 0.0
        self._leases: dict[int, _Lease] = {}
        self._running: dict[int, _Running] = {}
        self._queue: FairQueue[SlotRequest] = FairQueue()

    @property
    def free_slots(self) -> int:
        """Number of slots that are not in use, leased, or taken by foreign requests.

        It may be negative when slots are leased ahead of time.
        """
        return self.capacity - len(self._running) - len(self._leases) - self.foreign_requests

    @property
    def running(self) -> int:
        """Number of answers that are being decoded."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def is_busy(self) -> bool:
        """Whether any request holds or waits for a slot."""
        return bool(self._leases or self._running or len(self._queue))

    def backlog_s(self, now: float) -> float:
        """Return the seconds until a slot would be free for one more request."""
        if self.free_slots > 0 and not self._queue:
            return 0.0
        ends = sorted(self._slot_ends(now))
        ahead = len(self._queue) + max(0, -self.free_slots)
        if not ends:
            return self._mean_run_s
        rounds, position = divmod(ahead, max(1, len(ends)))
        return max(0.0, ends[position] - now) + rounds * self._mean_run_s

    def _latest_end(self, run: _Running, now: float) -> float:
        """Return when a running answer ends if it has its maximum length."""
        return now + max(0, run.ask.max_tokens - run.produced) * self.step_s

    def _slot_ends(self, now: float) -> list[float]:
        """Return the latest time at which each used or leased slot becomes free, in no order."""
        ends = [self._latest_end(run, now) for run in self._running.values()]
        for lease in self._leases.values():
            ends.append(now + lease.ask.lead_s + lease.ask.max_tokens * self.step_s)
        return ends

    def submit(self, request: SlotRequest, now: float) -> list[SlotDecision]:
        """Queue a request; return the grants that are possible, or the request's refusal.

        A request is refused when it is not expected to get a slot by its deadline.
        """
        if self.is_closed:
            return [Refusal(request.req, "draining", 0.0)]
        wait_s = self._expected_wait_s(request, now)
        if self._mech.refuse_early and now + wait_s > request.deadline:
            return [Refusal(request.req, "overloaded", max(0.1, wait_s))]
        fair = self._mech.fair
        self._queue.push(
            request.req,
            request,
            path=request.flow if fair else SINGLE_FLOW,
            weights=request.flow_weights if fair else SINGLE_FLOW_WEIGHT,
            deadline=request.deadline,
            cost=float(request.max_tokens),
        )
        return self.tick(now)

    def _expected_wait_s(self, request: SlotRequest, now: float) -> float:
        """Return the seconds until this request's flow would get a slot.

        The flow is served at its share of the engine, so the long queue of another member does not
        count against a member that is within its own share.
        """
        if not self._queue and self._has_room_for(request, now):
            return 0.0
        tokens_per_s = self.capacity / max(self.step_s, 1e-6)
        share = self._queue.share(request.flow, request.flow_weights)
        own_wait_s = self._queue.waiting_cost(request.flow) / (tokens_per_s * share)
        return own_wait_s + self._seconds_until_next_end(now, request.lead_s)

    def _seconds_until_next_end(self, now: float, lead_s: float) -> float:
        """Return the seconds until the next slot becomes free, counted from *lead_s* after now."""
        ends = self._slot_ends(now)
        return max(0.0, min(ends) - now - lead_s) if ends else 0.0

    def _has_room_for(self, request: SlotRequest, now: float) -> bool:
        """Whether a slot is free, or certain to be free when the request needs it."""
        if self.free_slots > 0:
            return True
        if not self._mech.ahead:
            return False
        by = now + request.lead_s
        ending = sum(1 for run in self._running.values() if self._latest_end(run, now) <= by)
        return self.free_slots + ending > 0

    def tick(self, now: float) -> list[SlotDecision]:
        """Expire leases and waiting requests, and grant as many slots as possible."""
        self._expire_leases(now)
        decisions: list[SlotDecision] = self._expire_queue(now)
        while (head := self._queue.peek()) is not None and self._has_room_for(head, now):
            self._queue.pop()
            decisions.append(self._grant(head, now))
        return decisions

    def _grant(self, request: SlotRequest, now: float) -> SlotGrant:
        """Lease a slot to a request."""
        lease_s = request.lead_s + self._lease_margin_s
        ready_in_s = 0.0 if self.free_slots > 0 else self._seconds_until_next_end(now, 0.0)
        self._leases[request.req] = _Lease(request, now + lease_s)
        return SlotGrant(request.req, ready_in_s, lease_s)

    def _expire_leases(self, now: float) -> None:
        expired = [req for req, lease in self._leases.items() if lease.expires <= now]
        for req in expired:
            del self._leases[req]

    def _expire_queue(self, now: float) -> list[SlotDecision]:
        """Refuse the waiting requests whose deadline has passed."""
        decisions: list[SlotDecision] = []
        for request in self._queue.items():
            if now > request.deadline:
                self._queue.remove(request.req)
                decisions.append(
                    Refusal(
                        request.req, "overloaded", max(0.1, self._seconds_until_next_end(now, 0.0))
                    )
                )
        return decisions

    def can_start(self, req: int) -> bool:
        """Whether *req* holds a lease and its slot is free in the engine now."""
        return req in self._leases and len(self._running) + self.foreign_requests < self.capacity

    def is_leased(self, req: int) -> bool:
        """Whether *req* holds a lease that it has not used yet."""
        return req in self._leases

    def has_request(self, req: int) -> bool:
        """Whether *req* runs, holds a lease or waits for a slot."""
        return req in self._leases or req in self._running or req in self._queue

    def start(self, req: int, now: float) -> bool:
        """Turn the lease into a running answer; return False without a lease or a free slot."""
        if not self.can_start(req):
            return False
        lease = self._leases.pop(req)
        self._running[req] = _Running(lease.ask, now)
        return True

    def record_progress(self, req: int, produced: int) -> None:
        """Record how many tokens of the answer have been decoded."""
        run = self._running.get(req)
        if run is not None:
            run.produced = produced

    def release(self, req: int, now: float) -> list[SlotDecision]:
        """Release everything that *req* holds or waits for; return the grants that this allows."""
        self._queue.remove(req)
        self._leases.pop(req, None)
        run = self._running.pop(req, None)
        if run is not None:
            ran_s = now - run.started_at
            weight = EWMA_WEIGHT if self._mean_run_s else 1.0
            self._mean_run_s += weight * (ran_s - self._mean_run_s)
        return self.tick(now)

    def next_tick_at(self) -> float | None:
        """Return the latest time at which :meth:`tick` must be called; None if never."""
        times = [lease.expires for lease in self._leases.values()]
        times += [request.deadline for request in self._queue.items()]
        return min(times, default=None)
