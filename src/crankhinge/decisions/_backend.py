"""A backend server as one entry knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from crankhinge.decisions._breaker import Breaker

QUEUED_S = 0.02


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
        free: from the last report.
        queued: from the last report.
        backlog_s: from the last report, seconds.
        step_s: seconds between tokens; 0 when unknown.
        rate: prompt tokens per second; 0 when unknown.
        reported: time of the last report.
        sent: requests sent since then.
        sent_s: seconds of work sent since then.
        open: requests that this entry has in progress there.
        serves: adapters that its engine has loaded.
    """

    name: str
    role: str
    pool: str
    zone: str
    incarnation: int = 0
    linked: bool = False
    leaving: bool = False
    draining: bool = False
    free: int = 0
    queued: int = 0
    backlog_s: float = 0.0
    step_s: float = 0.0
    rate: float = 0.0
    reported: float = 0.0
    sent: int = 0
    sent_s: float = 0.0
    open: int = 0
    serves: frozenset[str] = frozenset()
    breaker: Breaker = field(default_factory=Breaker)

    @property
    def present(self) -> bool:
        """Whether it is there and stays."""
        return self.linked and not self.leaving and not self.draining

    @property
    def seems_free(self) -> bool:
        """Whether it likely has room, by the report and what was sent since."""
        return self.free - self.sent > 0

    def pending_s(self, now: float) -> float:
        """Return the work it has left, by the last report and what was sent and done since."""
        return max(0.0, self.backlog_s + self.sent_s - (now - self.reported))

    def wait_s(self, now: float) -> float:
        """Return the seconds a new request would wait for room."""
        if self.seems_free:
            return 0.0
        beyond = self.sent - self.free + 1
        return self.pending_s(now) + beyond * QUEUED_S
