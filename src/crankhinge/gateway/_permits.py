"""Keeps all instances together within the limits that servers advertise.

Every request to a server that advertises a limit needs a permit: from the first instance in the
server's order of allocators that responds, or from this instance if none does. Each instance
leases its share of the limit to the allocator from time to time, so that the whole limit can be
used even if few instances have requests.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio

from crankhinge.decisions import (
    PERMIT_TRANSIT_S,
    ClockStamp,
    Membership,
    PermitDecision,
    Server,
    SharedLimits,
)
from crankhinge.errors import ServerAtLimit
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._limit_updates import LimitUpdates
from crankhinge.gateway._peer_messages import (
    PermitRequest,
    PermitResponse,
    PermitReturn,
    ShareLeaseMessage,
)
from crankhinge.gateway._peer_messenger import PeerMessenger
from crankhinge.gateway._peer_requests import PendingRequests
from crankhinge.gateway._request import Relay, SendPermit
from crankhinge.runtime import Metrics

# Seconds between log lines about the requests sent to servers with limits. To check the limits, the
# operators sum the requests over intervals of the same length.
USE_LOG_INTERVAL_S = 4.0
# Jitter factors of the renewal interval, so that instances do not renew leases in step.
RENEWAL_JITTER = (0.8, 1.0)


@dataclass(frozen=True, slots=True)
class _PermitParams:
    """The permit that a request needs.

    Attributes:
        within_s: seconds within which the request is to be sent.
        for_caller: whether, if the permit is refused, the caller of the request will be told to
            retry after the delay in the decision.
    """

    within_s: float
    for_caller: bool


@dataclass(frozen=True, slots=True)
class _PermitReply:
    """Response of another instance to a permit request or a share lease.

    Attributes:
        decision: decision on the permit; None if no permit was requested.
        stamp: time on the clock of the other instance.
    """

    decision: PermitDecision | None
    stamp: ClockStamp


class Permits:
    """Gets the permits that requests need, and leases this instance's shares to allocators.

    Args:
        name: name of this instance.
        shared_limits: the advertised limits, leases and permits.
        limit_updates: receives limits that other instances learned from servers.
        membership: the instances of the fleet.
        backends: the backend servers.
        messenger: sends and receives peer messages.
        log: log for events.
        metrics: registry for counters.
    """

    def __init__(
        self,
        *,
        name: str,
        shared_limits: SharedLimits,
        limit_updates: LimitUpdates,
        membership: Membership,
        backends: Backends,
        messenger: PeerMessenger,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._shared_limits = shared_limits
        self._limit_updates = limit_updates
        self._membership = membership
        self._backends = backends
        self._messenger = messenger
        self._log = log
        self._metrics = metrics
        self._pending: PendingRequests[_PermitReply] = PendingRequests()
        self._sent_counts: Counter[str] = Counter()
        messenger.add_handler(PermitRequest, self._on_request)
        messenger.add_handler(PermitResponse, self._on_response)
        messenger.add_handler(PermitReturn, self._on_return)

    def record_joined(self, name: str) -> None:
        """Record that an instance joined the fleet."""
        self._shared_limits.record_joined(name)

    async def try_get_permit(self, relay: Relay, server: Server) -> bool:
        """Get a permit to send a request to a server now; *relay* keeps the permit.

        Returns:
            Whether the request may be sent. If not, ``limited_until`` in the server's statistics
            says when to try again; until then this method asks no allocator. :meth:`request_permit`
            may ask before that.
        """
        if self._shared_limits.advertised.get(server.incarnation_id) is None:
            return True
        now = await curio.clock()
        permit = relay.permits.get(server.incarnation_id)
        if permit is not None and now <= permit.expires_at:
            return True
        if self._backends.stats(server.incarnation_id).limited_until > now:
            return False
        return (await self._obtain(relay, server, _PermitParams(0.0, for_caller=False))).granted

    async def request_permit(self, relay: Relay, server: Server, within_s: float) -> PermitDecision:
        """Get a permit to send a request to a server soon, or a retry delay for its caller.

        Args:
            relay: the request; it keeps the permit.
            server: the server.
            within_s: seconds that the request may wait before it is sent.
        """
        return await self._obtain(relay, server, _PermitParams(within_s, for_caller=True))

    async def wait_for_permit(self, server: Server, decision: PermitDecision) -> None:
        """Wait until a request may be sent with a permit that was granted for a later time."""
        await curio.sleep(decision.after_s)
        self._backends.stats(server.incarnation_id).limited_until = 0.0

    async def _obtain(self, relay: Relay, server: Server, params: _PermitParams) -> PermitDecision:
        now = await curio.clock()
        stats = self._backends.stats(server.incarnation_id)
        allocator, decision = await self._request_from_allocators(server.incarnation_id, params)
        if decision.granted:
            # The lifetime of the permit counts from when the permit was requested, since it is
            # unknown how long the response took to arrive.
            relay.permits[server.incarnation_id] = SendPermit(
                allocator, now + decision.after_s + PERMIT_TRANSIT_S
            )
            if not decision.after_s:
                stats.limited_until = 0.0
            return decision
        stats.record_at_limit(await curio.clock(), decision.after_s)
        self._metrics.count("permits_refused")
        self._log.info(
            "permit_refused",
            request=relay.request.request_id,
            server=server.incarnation_id,
            by=allocator or "own",
            after_ms=round(decision.after_s * 1000),
            own_part=round(self._shared_limits.leased_fraction(server.incarnation_id), 3),
        )
        return decision

    async def use_permit(self, relay: Relay, server: Server) -> SendPermit | None:
        """Use up the permit of a request that is about to be sent.

        Returns:
            The permit; None if the server advertises no limit.

        Raises:
            ServerAtLimit: the server advertises a limit and the request gets no permit now.
        """
        if self._shared_limits.advertised.get(server.incarnation_id) is None:
            return None
        if not await self.try_get_permit(relay, server):
            raise ServerAtLimit(f"{server.incarnation_id} is at its limit")
        self._sent_counts[server.incarnation_id] += 1
        return relay.permits.pop(server.incarnation_id, None)

    async def return_unused(self, relay: Relay) -> None:
        """Return the unused permits of a request to their allocators."""
        now = await curio.clock()
        while relay.permits:
            incarnation_id, permit = relay.permits.popitem()
            if now > permit.expires_at:
                continue
            if permit.allocator in ("", self._name):
                self._shared_limits.return_permit(incarnation_id, now)
            elif address := self._membership.peer_address(permit.allocator):
                await self._messenger.send(address, PermitReturn(incarnation_id))

    async def _request_from_allocators(
        self, incarnation_id: str, params: _PermitParams
    ) -> tuple[str, PermitDecision]:
        """Request a permit; return the name of the allocator that decided and its decision.

        The name is empty if this instance decided, either because it is the next allocator or
        because no allocator responded.
        """
        now = await curio.clock()
        for allocator in self._shared_limits.allocators(incarnation_id, now):
            if allocator == self._name:
                break
            response = await self._lease_and_request(allocator, incarnation_id, params)
            if response is not None and response.decision is not None:
                return allocator, response.decision
        now = await curio.clock()
        return "", self._shared_limits.take_permit(
            incarnation_id, params.within_s, now, for_caller=params.for_caller
        )

    async def _lease_and_request(
        self, allocator: str, incarnation_id: str, params: _PermitParams | None
    ) -> _PermitReply | None:
        """Lease this instance's share to an allocator and, if *params* is given, request a permit.

        The share is not leased if that is impossible now; the message is sent in any case.

        Returns:
            The response; None if the allocator has no known address or did not respond.
        """
        address, limit = (
            self._membership.peer_address(allocator),
            self._shared_limits.advertised.get(incarnation_id),
        )
        if not address or limit is None:
            return None
        now = await curio.clock()
        lease = self._shared_limits.lease_out(incarnation_id, allocator, now)
        send = partial(
            self._send_request,
            address,
            PermitRequest(
                number=0,
                lender=self._name,
                server=incarnation_id,
                per_s=limit.per_s,
                ago_s=now - limit.received_at,
                within_s=None if params is None else params.within_s,
                caller=params is not None and params.for_caller,
                loan=None if lease is None else ShareLeaseMessage.from_lease(lease),
            ),
        )
        response = await self._pending.send_and_wait(send)
        if response is None:
            self._log.info("permit_unanswered", server=incarnation_id, instance=allocator)
            self._metrics.count("permits_unanswered")
            self._shared_limits.record_unresponsive(allocator, await curio.clock())
        else:
            self._shared_limits.record_response(allocator, response.stamp)
        return response

    async def _send_request(self, address: str, request: PermitRequest, number: int) -> None:
        await self._messenger.send(address, request.with_number(number))

    # Allocation: requests from other instances.

    async def _on_request(self, message: PermitRequest, sender: str) -> None:
        now = await curio.clock()
        self._limit_updates.record_peer_update(
            message.server, message.per_s, now - message.ago_s, message.lender
        )
        if message.loan is not None:
            self._shared_limits.accept_lease(
                message.server, message.lender, message.loan.to_lease(), now
            )
        decision = None
        if message.within_s is not None:
            decision = self._shared_limits.take_permit(
                message.server, message.within_s, now, for_caller=message.caller
            )
        stamp = self._shared_limits.stamp(now)
        response = PermitResponse(
            number=message.number,
            granted=None if decision is None else decision.granted,
            after_s=0.0 if decision is None else decision.after_s,
            life=stamp.incarnation,
            at=stamp.at,
        )
        await self._messenger.send(sender, response)

    async def _on_response(self, message: PermitResponse, sender: str) -> None:
        decision = (
            None if message.granted is None else PermitDecision(message.granted, message.after_s)
        )
        stamp = ClockStamp(message.life, message.at)
        await self._pending.resolve(message.number, _PermitReply(decision, stamp))

    async def _on_return(self, message: PermitReturn, sender: str) -> None:
        self._shared_limits.return_permit(message.server, await curio.clock())

    # Background tasks.

    async def renew_leases(self) -> None:
        """Renew the leases of this instance's shares to the allocators, until cancelled."""
        while True:
            await curio.sleep(
                self._shared_limits.renewal_interval_s * self._backends.rng.uniform(*RENEWAL_JITTER)
            )
            for incarnation_id in self._shared_limits.advertised.servers:
                await self._renew_lease(incarnation_id)

    async def _renew_lease(self, incarnation_id: str) -> None:
        now = await curio.clock()
        for allocator in self._shared_limits.allocators(incarnation_id, now):
            if allocator == self._name:
                self._shared_limits.use_local_share(incarnation_id, now)
                return
            if await self._lease_and_request(allocator, incarnation_id, None) is not None:
                return

    async def log_use(self) -> None:
        """Log how many requests are sent to servers that advertise limits, until cancelled."""
        while True:
            await curio.sleep(USE_LOG_INTERVAL_S)
            sent, self._sent_counts = self._sent_counts, Counter()
            for incarnation_id, requests in sent.items():
                limit = self._shared_limits.advertised.get(incarnation_id)
                self._log.info(
                    "server_limit_use",
                    server=incarnation_id,
                    per_s=None if limit is None else limit.per_s,
                    sent=requests,
                    within_s=USE_LOG_INTERVAL_S,
                )
