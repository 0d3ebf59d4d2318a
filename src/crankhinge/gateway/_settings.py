"""Settings of a gateway."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

from crankhinge.decisions import FreshnessBounds, QuotaBounds
from crankhinge.runtime import HostPort, Seconds


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a gateway.

    Attributes:
        name: of this instance.
        zone: its availability zone.
        listen: ``host:port`` for callers.
        ready: ``host:port`` where the balancer asks whether to send new connections.
        ready_path: the path it asks.
        metrics: ``host:port`` where counters and histograms are read; empty for none.
        source: ``host:port`` of the service with configuration and list of servers.
        drain_s: seconds a planned stop may take at most.
        apply_s: seconds within which a changed configuration has to be in force.
        leave_s: seconds after which a backend server that leaves may get no request.
        contact_s: seconds after an instance's trouble from which both bounds hold again.
        revoke_s: seconds after which nobody may be served by a key that was taken away, whatever
            the trouble; infinite without such a bound.
        quota_window_s: seconds in which the use of an account is summed.
        quota_overrun: part of an account's rate and burst by which all instances together may
            exceed them in such a window.
        quota_slack: tokens by which they may exceed them besides.
        repeat_ratio: part of a service's requests that all instances together may repeat.
        order_lease_s: seconds that the right to order lasts without renewal.
        peer: ``host:port`` (UDP) for notices of other instances; empty for none.
        statsd: ``host:port`` of the statsd server; empty for none.
    """

    name: str
    zone: str
    listen: HostPort
    ready: HostPort
    source: HostPort
    ready_path: str = "/readyz"
    metrics: str = ""
    drain_s: Annotated[Seconds, msgspec.Meta(le=3600)] = 30.0
    apply_s: Seconds = 2.0
    leave_s: Seconds = 2.0
    contact_s: Seconds = 3.0
    revoke_s: Seconds = math.inf
    quota_window_s: Seconds = 8.0
    quota_overrun: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    repeat_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    order_lease_s: Seconds = 3.0
    peer: str = ""
    statsd: str = ""

    @property
    def quota_bounds(self) -> QuotaBounds:
        """What the operators allow beyond accounts' limits."""
        return QuotaBounds(self.quota_window_s, self.quota_overrun, self.quota_slack)

    @property
    def freshness_bounds(self) -> FreshnessBounds:
        """How old beliefs may become."""
        return FreshnessBounds(self.apply_s, self.leave_s, self.contact_s, self.revoke_s)
