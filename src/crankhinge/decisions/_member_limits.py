"""Limits per member at one entry: requests in progress, and a rate.

The shares between members are kept where the queue is, at the agents; these limits only bound
what one entry does for one member. With *n* entries behind an even balancer, an entry allows
``limit / n`` and a margin.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class _Use:
    running: int = 0
    tokens: float = 0.0
    at: float = 0.0


class MemberLimits:
    """Counts what each member has in progress here and how fast it asks."""

    def __init__(self) -> None:
        self._use: dict[str, _Use] = {}

    def admit(
        self, member: str, now: float, *, max_concurrent: int, max_per_s: float
    ) -> float | None:
        """Admit one request.

        Args:
            member: who asks.
            now: seconds.
            max_concurrent: most requests in progress; 0 is no limit.
            max_per_s: most requests a second, with one second's burst; 0 is no limit.

        Returns:
            None when admitted, else the seconds after which to come back.
        """
        use = self._use.setdefault(member, _Use(tokens=max(1.0, max_per_s), at=now))
        if max_concurrent and use.running >= max_concurrent:
            return 1.0
        if max_per_s:
            burst = max(1.0, max_per_s)
            use.tokens = min(burst, use.tokens + (now - use.at) * max_per_s)
            use.at = now
            if use.tokens < 1.0:
                return (1.0 - use.tokens) / max_per_s
            use.tokens -= 1.0
        use.running += 1
        return None

    def record_end(self, member: str) -> None:
        """Note that one of the member's requests has ended."""
        use = self._use.get(member)
        if use is not None:
            use.running -= 1
