"""Limits of one entry for each member (client account): concurrent requests, requests a second.

The fair shares of members are enforced by the agents, where the queues are; these limits only bound
what one entry does for one member. With *n* entries behind an even load balancer, an entry allows
``limit / n`` plus a margin.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class _Use:
    """A member's number of requests in progress, and the state of its token bucket."""

    running: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0


class MemberLimits:
    """Counts the requests in progress and the request rate of each member."""

    def __init__(self) -> None:
        self._use: dict[str, _Use] = {}

    def admit(
        self, member: str, now: float, *, max_concurrent: int, max_per_s: float
    ) -> float | None:
        """Admit one request.

        Args:
            member: the member that sent the request.
            now: time in seconds.
            max_concurrent: maximum number of requests in progress; 0 for no limit.
            max_per_s: maximum number of requests a second, with a burst of one second; 0 for no
                limit.

        Returns:
            None when admitted, else the seconds after which to retry.
        """
        use = self._use.setdefault(member, _Use(tokens=max(1.0, max_per_s), refilled_at=now))
        if max_concurrent and use.running >= max_concurrent:
            return 1.0
        if max_per_s:
            burst = max(1.0, max_per_s)
            use.tokens = min(burst, use.tokens + (now - use.refilled_at) * max_per_s)
            use.refilled_at = now
            if use.tokens < 1.0:
                return (1.0 - use.tokens) / max_per_s
            use.tokens -= 1.0
        use.running += 1
        return None

    def record_end(self, member: str) -> None:
        """Record that a request of the member has ended."""
        use = self._use.get(member)
        if use is not None:
            use.running -= 1
