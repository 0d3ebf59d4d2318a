"""The requests to one server that one instance hands out, from the shares that it was lent."""

from __future__ import annotations

import math
from dataclasses import dataclass

# What the operators allow beyond a server's own word: in so many seconds this part more, and so
# many requests.
WINDOW_S = 4.0
ALLOWED_OVERRUN = 0.5
ALLOWED_SLACK = 5.0
# Seconds after a request may be sent until it has reached its server, at most: until its prompt was
# read elsewhere, and a connection made.
PERMIT_TRANSIT_S = 1.2
CONNECT_S = 0.4
# What a server that names less is sent all the same, in requests a second: one in four seconds
# tells when its need has ended, and the operators allow five.
MIN_RATE_PER_S = 0.25
# What may be sent at once after a pause: so many seconds of what the server takes, or so many
# requests. With one request, whatever gathers before the next is asked for would be lost.
BURST_S = 1.0
MIN_BURST = 2.0
# When to ask again whoever was lent too little to hand out anything, in seconds.
NO_SHARE_RETRY_S = 0.5
# Nobody is told to come back later or sooner than this, in seconds. Whoever is told the latest may
# find others before it.
MAX_RETRY_AFTER_S = 5.0
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """What is said to who wants to send a request to a server.

    Attributes:
        granted: whether it may be sent.
        after_s: seconds after which it may; where it is not granted, when to ask again.
    """

    granted: bool
    after_s: float = 0.0


def allowed_in_window(per_s: float) -> float:
    """Return how many requests may reach a server in a window that takes *per_s*."""
    return per_s * WINDOW_S * (1.0 + ALLOWED_OVERRUN) + ALLOWED_SLACK


def burst_limit(per_s: float, fraction: float) -> float:
    """Return how many requests may be sent at once by who hands out a part of what a server takes.

    What is handed out in a window's time, and as long before it as a request may be late, is the
    rate times that and this. For all parts together that is what the operators allow.
    """
    rate = max(per_s, MIN_RATE_PER_S)
    spare = allowed_in_window(per_s) - rate * (WINDOW_S + PERMIT_TRANSIT_S + CONNECT_S)
    return min(fraction * spare, max(MIN_BURST, per_s * BURST_S))


class PermitPool:
    """Requests that may be sent to one server; none at first, since nobody knows who sent what.

    Args:
        per_s: requests a second that the server takes from all instances together.
        now: on the runtime's clock, in seconds.

    Attributes:
        per_s: the same, as the server named it last.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self._refilled_at = now
        # Requests that may be sent at once; negative where some were granted that are sent later.
        self._available = 0.0
        # Requests that were refused and are to come back, which those that are refused next come
        # back after: callers, and instances that ask again for whatever they have by then.
        self._waiting_callers = self._waiting_instances = 0.0
        # When each share is its lender's again, by the lender's name, and no later than the first.
        self._share_ends: dict[str, float] = {}
        self._earliest_end = math.inf
        # Instances that lenders counted, at most.
        self._max_lender_fleet_size = 1

    def leased_fraction(self, fleet_size: int) -> float:
        """Return the part of all that was lent, where this instance counts *fleet_size* of them."""
        return len(self._share_ends) / max(
            fleet_size, self._max_lender_fleet_size, len(self._share_ends)
        )

    def add_share(
        self, lender: str, until: float, fleet_size: int, now: float, *, lender_fleet_size: int
    ) -> None:
        """Take the share of an instance.

        Args:
            lender: its name.
            until: when its share is its own again, on the runtime's clock, in seconds.
            fleet_size: instances that this one counts.
            now: on the runtime's clock, in seconds.
            lender_fleet_size: instances that the lender counts; its share is one part of as many.
        """
        self._refill(fleet_size, now)
        if until > now:
            self._share_ends[lender] = until
            self._earliest_end = min(self._earliest_end, until)
            self._max_lender_fleet_size = max(self._max_lender_fleet_size, lender_fleet_size)

    def set_rate(self, per_s: float, fleet_size: int, now: float) -> None:
        """Note what the server takes from now on."""
        self._refill(fleet_size, now)
        self.per_s = per_s
        self._clamp(fleet_size)

    def take_permit(
        self, within_s: float, fleet_size: int, now: float, *, for_caller: bool = False
    ) -> PermitDecision:
        """Hand out one request, or tell when to ask again.

        Args:
            within_s: seconds within which it is to be sent.
            fleet_size: instances that this one counts.
            now: on the runtime's clock, in seconds.
            for_caller: whether a caller is told when to come back; each gets a time of its own.
                Else an instance asks again for whatever it has by then.
        """
        self._refill(fleet_size, now)
        fraction = self.leased_fraction(fleet_size)
        if burst_limit(self.per_s, fraction) < 1.0:
            return PermitDecision(False, NO_SHARE_RETRY_S)
        rate = fraction * max(self.per_s, MIN_RATE_PER_S)
        available_in_s = max(0.0, (1.0 - self._available) / rate)
        if available_in_s <= within_s:
            self._available -= 1.0
            return PermitDecision(True, available_in_s)
        ahead = self._waiting_callers if for_caller else self._waiting_instances
        retry_after_s = max(MIN_RETRY_AFTER_S, available_in_s + ahead / rate)
        if retry_after_s >= MAX_RETRY_AFTER_S:
            return PermitDecision(False, MAX_RETRY_AFTER_S)
        if for_caller:
            self._waiting_callers += 1.0
        else:
            self._waiting_instances += 1.0
        return PermitDecision(False, retry_after_s)

    def return_permit(self, fleet_size: int, now: float) -> None:
        """Take back a request that was not sent."""
        self._refill(fleet_size, now)
        self._available += 1.0
        self._clamp(fleet_size)

    def _refill(self, fleet: int, now: float) -> None:
        """Add what the shares gave since the last look."""
        since, self._refilled_at = self._refilled_at, max(self._refilled_at, now)
        share_per_s = max(self.per_s, MIN_RATE_PER_S) / max(
            fleet, self._max_lender_fleet_size, len(self._share_ends)
        )
        if now < self._earliest_end:
            refilled = share_per_s * len(self._share_ends) * max(0.0, now - since)
        else:
            ends = self._share_ends.values()
            refilled = share_per_s * sum(max(0.0, min(now, until) - since) for until in ends)
            self._remove_ended_shares(now)
        self._available += refilled
        self._clamp(fleet)
        self._waiting_callers = max(0.0, self._waiting_callers - refilled)
        self._waiting_instances = max(0.0, self._waiting_instances - refilled)

    def _remove_ended_shares(self, now: float) -> None:
        """Forget shares whose time is up; they give no more."""
        self._share_ends = {
            lender: until for lender, until in self._share_ends.items() if until > now
        }
        self._earliest_end = min(self._share_ends.values(), default=math.inf)
        if not self._share_ends:
            self._max_lender_fleet_size = 1

    def _clamp(self, fleet: int) -> None:
        self._available = min(self._available, burst_limit(self.per_s, self.leased_fraction(fleet)))
