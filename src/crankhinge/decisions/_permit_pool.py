"""Permits for requests to one server, granted by an instance from the shares leased to it."""

from __future__ import annotations

import math
from dataclasses import dataclass

# What the operators allow beyond the advertised limit: within a window of this many seconds, this
# fraction more plus a fixed number of requests.
WINDOW_S = 4.0
ALLOWED_OVERRUN = 0.5
ALLOWED_SLACK = 5.0
# Upper bounds of the seconds for which a request may arrive at the server later than its permit
# allows: its prompt is processed by another server first (PERMIT_TRANSIT_S), and a connection is
# made (CONNECT_S).
PERMIT_TRANSIT_S = 1.2
CONNECT_S = 0.4
# Requests a second that may be sent to a server that advertises a lower rate. One request in four
# seconds is enough to find out when the limit has ended; the operators allow five (ALLOWED_SLACK).
MIN_RATE_PER_S = 0.25
# Burst after a pause: this many seconds of the server's rate, or a minimum number of requests. With
# a burst of one request, all capacity that accumulates before the next request would be lost.
BURST_S = 1.0
MIN_BURST = 2.0
# Seconds until the next attempt to get a permit while the shares leased to this instance are too
# few to grant any.
NO_SHARE_RETRY_S = 0.5
# Bounds of the retry delay in seconds. A caller that gets the maximum may find other callers ahead
# of it when it retries.
MAX_RETRY_AFTER_S = 5.0
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """The decision about a request for a permit.

    Attributes:
        granted: whether the request may be sent.
        after_s: seconds until the request may be sent; without a grant, until the next attempt to
            get one.
    """

    granted: bool
    after_s: float = 0.0


def allowed_in_window(per_s: float) -> float:
    """Return how many requests may reach a server with the limit *per_s* within a window."""
    return per_s * WINDOW_S * (1.0 + ALLOWED_OVERRUN) + ALLOWED_SLACK


def burst_limit(per_s: float, fraction: float) -> float:
    """Return the maximum burst for an allocator to which a fraction of a server's limit is leased.

    Requests that arrive within a window got their permits during the window or shortly before it,
    since a request may arrive late by PERMIT_TRANSIT_S and CONNECT_S. In that whole time the
    allocator grants at most its rate times the duration, plus this burst. Summed over all
    fractions, that is what the operators allow.
    """
    rate = max(per_s, MIN_RATE_PER_S)
    spare = allowed_in_window(per_s) - rate * (WINDOW_S + PERMIT_TRANSIT_S + CONNECT_S)
    return min(fraction * spare, max(MIN_BURST, per_s * BURST_S))


class PermitPool:
    """Permits for one server.

    A pool starts without permits, since grants before its creation are unknown.

    Args:
        per_s: requests a second that the server accepts from all instances together.
        now: time of the runtime's clock in seconds.

    Attributes:
        per_s: requests a second that the server accepts, as it last advertised.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self._refilled_at = now
        # Permits available now; negative when permits were granted for requests that are sent
        # later.
        self._available = 0.0
        # Number of refused requests that are expected to be repeated; requests that are refused
        # after them get a later time to ask again. Callers and instances are counted separately: an
        # instance asks again for all requests that it has by then.
        self._waiting_callers = self._waiting_instances = 0.0
        # End of the lease of each share, by the name of its lender, and a lower bound of these
        # ends.
        self._share_ends: dict[str, float] = {}
        self._earliest_end = math.inf
        # Largest fleet size that the lenders counted.
        self._max_lender_fleet_size = 1

    def leased_fraction(self, fleet_size: int) -> float:
        """Return the fraction of the limit that is leased to this instance, from 0 to 1."""
        return len(self._share_ends) / max(
            fleet_size, self._max_lender_fleet_size, len(self._share_ends)
        )

    def add_share(
        self, lender: str, until: float, fleet_size: int, now: float, *, lender_fleet_size: int
    ) -> None:
        """Add the share of an instance.

        Args:
            lender: its name.
            until: end of the lease by the runtime's clock, in seconds.
            fleet_size: number of instances that this instance counts.
            now: time of the runtime's clock in seconds.
            lender_fleet_size: number of instances that the lender counts; its share is the limit
                divided by this number.
        """
        self._refill(fleet_size, now)
        if until > now:
            self._share_ends[lender] = until
            self._earliest_end = min(self._earliest_end, until)
            self._max_lender_fleet_size = max(self._max_lender_fleet_size, lender_fleet_size)

    def set_rate(self, per_s: float, fleet_size: int, now: float) -> None:
        """Set the rate that the server accepts from now on."""
        self._refill(fleet_size, now)
        self.per_s = per_s
        self._clamp(fleet_size)

    def take_permit(
        self, within_s: float, fleet_size: int, now: float, *, for_caller: bool = False
    ) -> PermitDecision:
        """Grant one permit, or return when to ask again.

        Args:
            within_s: seconds within which the request is to be sent.
            fleet_size: number of instances that this instance counts.
            now: time of the runtime's clock in seconds.
            for_caller: whether the time to ask again is passed on to a caller as its retry delay;
                each caller gets a time of its own. Otherwise an instance asks again for all
                requests that it has by then.
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
        """Take back the permit of a request that was not sent."""
        self._refill(fleet_size, now)
        self._available += 1.0
        self._clamp(fleet_size)

    def _refill(self, fleet_size: int, now: float) -> None:
        """Add the permits that the shares yielded since the last refill."""
        since, self._refilled_at = self._refilled_at, max(self._refilled_at, now)
        share_per_s = max(self.per_s, MIN_RATE_PER_S) / max(
            fleet_size, self._max_lender_fleet_size, len(self._share_ends)
        )
        if now < self._earliest_end:
            refilled = share_per_s * len(self._share_ends) * max(0.0, now - since)
        else:
            ends = self._share_ends.values()
            refilled = share_per_s * sum(max(0.0, min(now, until) - since) for until in ends)
            self._remove_ended_shares(now)
        self._available += refilled
        self._clamp(fleet_size)
        self._waiting_callers = max(0.0, self._waiting_callers - refilled)
        self._waiting_instances = max(0.0, self._waiting_instances - refilled)

    def _remove_ended_shares(self, now: float) -> None:
        """Remove the shares whose lease has ended."""
        self._share_ends = {
            lender: until for lender, until in self._share_ends.items() if until > now
        }
        self._earliest_end = min(self._share_ends.values(), default=math.inf)
        if not self._share_ends:
            self._max_lender_fleet_size = 1

    def _clamp(self, fleet_size: int) -> None:
        """Limit the available permits to the burst."""
        self._available = min(
            self._available, burst_limit(self.per_s, self.leased_fraction(fleet_size))
        )
