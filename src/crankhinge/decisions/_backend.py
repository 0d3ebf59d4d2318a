"""A backend server as one entry knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from crankhinge.decisions._breaker import Breaker

WAIT_PER_QUEUED_S = 0.02


@dataclass
class Backend:
    """A backend server as one entry knows it, by way of its agent.

    Attributes:
        name: unique within the fleet.
        role: ``prefill``, ``decode`` or ``plain``.
        pool: its pool.
        zone: its availability zone.
        incarnation: of its agent.
        linked: whether there is a connection to its agent.
        leaving: whether the platform's list says that it leaves.
        draining: whether its agent says so.
        free_slots: from the last report.
        queued: from the last report.
        backlog_s: from the last report, seconds.
        step_s: seconds between tokens; 0 when unknown.
        tokens_per_s: prompt tokens per second; 0 when unknown.
        reported_at: time of the last report.
        sent_since_report: requests sent since then.
        sent_work_s: seconds of work sent since then.
        open_requests: requests that this entry has in progress there.
        adapters: adapters that its engine has loaded.
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
        """Whether it is there and stays."""
        return self.linked and not self.leaving and not self.draining

    @property
    def has_free_slot(self) -> bool:
        """Whether it likely has room, by the report and what was sent since."""
        return self.free_slots - self.sent_since_report > 0

    def pending_work_s(self, now: float) -> float:
        """Return the work it has left, by the last report and what was sent and done since."""
        return max(0.0, self.backlog_s + self.sent_work_s - (now - self.reported_at))

    def expected_wait_s(self, now: float) -> float:
        """Return the seconds a new request would wait for room."""
        if self.has_free_slot:
            return 0.0
        beyond = self.sent_since_report - self.free_slots + 1
        return self.pending_work_s(now) + beyond * WAIT_PER_QUEUED_S
