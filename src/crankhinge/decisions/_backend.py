"""The state of a backend server as one entry knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from crankhinge.decisions._breaker import Breaker

# Seconds added to the expected wait for each request that was sent since the last report and
# exceeds the free slots of that report.
WAIT_PER_QUEUED_S = 0.02


@dataclass
class Backend:
    """A backend server as one entry knows it from its agent.

    Attributes:
        name: unique within the fleet.
        role: ``prefill``, ``decode`` or ``plain``.
        pool: name of its pool.
        zone: its availability zone.
        incarnation: incarnation of its agent.
        linked: whether there is a connection to its agent.
        leaving: whether the platform's list shows it as leaving.
        draining: whether its agent reports that it accepts no new requests.
        free_slots: free slots in the last report.
        queued: waiting requests in the last report.
        backlog_s: seconds of queued work in the last report.
        step_s: seconds between tokens in the last report; 0 when unknown.
        tokens_per_s: prompt tokens processed per second, in the last report; 0 when unknown.
        reported_at: time of the last report, in seconds.
        sent_since_report: number of requests sent since the last report.
        sent_work_s: seconds of work sent since the last report.
        open_requests: number of this entry's requests in progress on the server.
        adapters: names of the adapters that its engine has loaded.
        breaker: its circuit breaker.
    """

    name: str
    role: str
    pool: str
    zone: str
    incarnation: int = 0
    linked: bool = False
    leaving: bool = False
    draining: bool = False
    free_slots: int = 0
    queued: int = 0
    backlog_s: float = 0.0
    step_s: float = 0.0
    tokens_per_s: float = 0.0
    reported_at: float = 0.0
    sent_since_report: int = 0
    sent_work_s: float = 0.0
    open_requests: int = 0
    adapters: frozenset[str] = frozenset()
    breaker: Breaker = field(default_factory=Breaker)

    @property
    def is_available(self) -> bool:
        """Whether its agent is connected and the server is neither leaving nor draining."""
        return self.linked and not self.leaving and not self.draining

    @property
    def has_free_slot(self) -> bool:
        """Whether it probably has a free slot, by the report and the requests sent since."""
        return self.free_slots - self.sent_since_report > 0

    def pending_work_s(self, now: float) -> float:
        """Return the estimated seconds of work left.

        The estimate follows from the last report, the work sent since, and the time since.
        """
        return max(0.0, self.backlog_s + self.sent_work_s - (now - self.reported_at))

    def expected_wait_s(self, now: float) -> float:
        """Return the seconds that a new request would wait for a slot."""
        if self.has_free_slot:
            return 0.0
        beyond = self.sent_since_report - self.free_slots + 1
        return self.pending_work_s(now) + beyond * WAIT_PER_QUEUED_S
