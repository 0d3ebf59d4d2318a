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
        name: name of this instance.
        zone: availability zone of this instance.
        listen: ``host:port`` for callers.
        ready: ``host:port`` where the balancer checks whether to send new connections.
        ready_path: path that the balancer requests.
        metrics: ``host:port`` where counters and histograms are read; empty for none.
        source: ``host:port`` of the service with the configuration and the list of servers.
        drain_s: maximum duration of a planned stop, in seconds.
        apply_s: seconds within which a changed configuration has to be active in this process.
        leave_s: seconds after the announcement of its shutdown from which a backend server may get
            no request.
        contact_s: seconds after the end of a fault of this instance, such as a lost connection to
            the store, from which ``apply_s`` and ``leave_s`` hold again.
        revoke_s: seconds after which no caller may be served by a revoked key, whatever faults
            there are; infinite for no such bound.
        quota_window_s: seconds over which the use of an account is summed.
        quota_overrun: share of an account's rate and burst by which all instances together may
            exceed them in such a window.
        quota_slack: tokens by which they may exceed them in addition.
        repeat_ratio: share of a service's requests that all instances together may retry.
        order_lease_s: seconds that the order lease lasts without renewal.
        first_start: whether the whole system starts for the first time, so that no stream can have
            begun before.
        peer: ``host:port`` (UDP) for messages of other instances; empty for none.
        statsd: ``host:port`` of the statsd server; empty for none.
        memory_mb: memory limit of this process in MB, from which the bounds on buffers for slow
            callers and servers derive; None for no bounds.
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
    first_start: bool = False
    peer: str = ""
    statsd: str = ""
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None

    @property
    def quota_bounds(self) -> QuotaBounds:
        """How far all instances together may exceed the limits of accounts."""
        return QuotaBounds(self.quota_window_s, self.quota_overrun, self.quota_slack)

    @property
    def freshness_bounds(self) -> FreshnessBounds:
        """How old this instance's information may become."""
        return FreshnessBounds(self.apply_s, self.leave_s, self.contact_s, self.revoke_s)
