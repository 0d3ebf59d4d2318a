"""Keeps all instances together to what servers say they take.

Every request that goes to a server that names a limit has a permit, from the instance that comes
first for that server, or from this one where nobody answers. Each instance lends its share by a
word now and then, so that the whole of what the server takes is handed out though few ask.
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

# Seconds between lines that tell how much was sent to servers that name limits; the operators sum
# their requests over as long.
USE_LOG_INTERVAL_S = 4.0
# Lending anew is spread by these factors, so that instances do not lend in step.
RENEWAL_JITTER = (0.8, 1.0)


@dataclass(frozen=True, slots=True)
class _Wish:
    """A permit that is asked for.

    Attributes:
        within_s: seconds within which the request is to be sent.
        caller: whether its caller is told when to come back.
    """

    within_s: float
    caller: bool


@dataclass(frozen=True, slots=True)
class _Answer:
    """What an instance says that was asked for a permit, or was lent a share.

    Attributes:
        word: on the request; None where none was asked for.
        stamp: the moment of its clock.
    """

    word: PermitDecision | None
    stamp: ClockStamp


class Permits:
    """Gets requests the permits that they need, and lends this instance's shares.

    Args:
        name: of this instance.
        shared_limits: what is known, lent and handed out.
        limit_updates: takes what other instances heard of servers.
        membership: the instances.
        backends: the servers.
        messenger: carries the datagrams.
        log: for events.
        metrics: for counters.
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
        self._shared = shared_limits
        self._news = limit_updates
        self._members = membership
        self._backends = backends
        self._notices = messenger
        self._log = log
        self._metrics = metrics
        self._questions: PendingRequests[_Answer] = PendingRequests()
        self._sent: Counter[str] = Counter()
        messenger.add_handler(PermitRequest, self._take_ask)
        messenger.add_handler(PermitResponse, self._take_answer)
        messenger.add_handler(PermitReturn, self._take_return)

    def record_joined(self, name: str) -> None:
        """Note that an instance has come."""
        self._shared.record_joined(name)

    async def try_get_permit(self, relay: Relay, server: Server) -> bool:
        """Get a request leave to be sent to a server now; it keeps the permit.

        Returns:
            Whether it may be; if not, the server's standing tells when to ask again, and nobody
            asks before that.
        """
        if self._shared.advertised.get(server.incarnation_id) is None:
            return True
        now = await curio.clock()
        held = relay.permits.get(server.incarnation_id)
        if held is not None and now <= held.expires_at:
            return True
        if self._backends.stats(server.incarnation_id).limited_until > now:
            return False
        return (await self._get(relay, server, _Wish(0.0, caller=False))).granted

    async def request_permit(self, relay: Relay, server: Server, within_s: float) -> PermitDecision:
        """Get a request leave to be sent to a server soon, or a time for its caller to come back.

        Args:
            relay: the request; it keeps the permit.
            server: where it is to be sent.
            within_s: seconds for which it may wait before that.
        """
        return await self._get(relay, server, _Wish(within_s, caller=True))

    async def wait_for_permit(self, server: Server, decision: PermitDecision) -> None:
        """Wait until a request may be sent that was granted for later."""
        await curio.sleep(decision.after_s)
        self._backends.stats(server.incarnation_id).limited_until = 0.0

    async def _get(self, relay: Relay, server: Server, wish: _Wish) -> PermitDecision:
        now = await curio.clock()
        standing = self._backends.stats(server.incarnation_id)
        allocator, word = await self._ask(server.incarnation_id, wish)
        if word.granted:
            # From when it was asked: the answer may have been under way for any time.
            relay.permits[server.incarnation_id] = SendPermit(
                allocator, now + word.after_s + PERMIT_TRANSIT_S
            )
            if not word.after_s:
                standing.limited_until = 0.0
            return word
        standing.record_at_limit(await curio.clock(), word.after_s)
        self._metrics.count("permits_refused")
        self._log.info(
            "permit_refused",
            request=relay.request.request_id,
            server=server.incarnation_id,
            by=allocator or "own",
            after_ms=round(word.after_s * 1000),
            own_part=round(self._shared.leased_fraction(server.incarnation_id), 3),
        )
        return word

    async def use_permit(self, relay: Relay, server: Server) -> SendPermit | None:
        """Use a request's permit, as it is sent to a server; None where none is needed.

        Raises:
            ServerAtLimit: the server names a limit and the request has no permit, nor gets one now.
        """
        if self._shared.advertised.get(server.incarnation_id) is None:
            return None
        if not await self.try_get_permit(relay, server):
            raise ServerAtLimit(f"{server.incarnation_id} takes no more now")
        self._sent[server.incarnation_id] += 1
        return relay.permits.pop(server.incarnation_id, None)

    async def return_unused(self, relay: Relay) -> None:
        """Give the permits of a request back that it did not use."""
        now = await curio.clock()
        while relay.permits:
            ident, permit = relay.permits.popitem()
            if now > permit.expires_at:
                continue
            if permit.allocator in ("", self._name):
                self._shared.return_permit(ident, now)
            elif peer := self._members.peer_address(permit.allocator):
                await self._notices.send(peer, PermitReturn(ident))

    async def _ask(self, ident: str, wish: _Wish) -> tuple[str, PermitDecision]:
        """Ask for a permit; returns who answered, and what."""
        now = await curio.clock()
        for allocator in self._shared.allocators(ident, now):
            if allocator == self._name:
                break
            answer = await self._question(allocator, ident, wish)
            if answer is not None and answer.word is not None:
                return allocator, answer.word
        now = await curio.clock()
        return "", self._shared.take_permit(ident, wish.within_s, now, for_caller=wish.caller)

    async def _question(self, allocator: str, ident: str, wish: _Wish | None) -> _Answer | None:
        """Lend the own share to an instance and, where there is a wish, ask for a permit."""
        peer, limit = self._members.peer_address(allocator), self._shared.advertised.get(ident)
        if not peer or limit is None:
            return None
        now = await curio.clock()
        loan = self._shared.lease_out(ident, allocator, now)
        send = partial(
            self._send_ask,
            peer,
            PermitRequest(
                number=0,
                lender=self._name,
                server=ident,
                per_s=limit.per_s,
                ago_s=now - limit.received_at,
                within_s=None if wish is None else wish.within_s,
                caller=wish is not None and wish.caller,
                loan=None if loan is None else ShareLeaseMessage.from_lease(loan),
            ),
        )
        answer = await self._questions.send_and_wait(send)
        if answer is None:
            self._log.info("permit_unanswered", server=ident, instance=allocator)
            self._metrics.count("permits_unanswered")
            self._shared.record_unresponsive(allocator, await curio.clock())
        else:
            self._shared.record_response(allocator, answer.stamp)
        return answer

    async def _send_ask(self, peer: str, ask: PermitRequest, number: int) -> None:
        await self._notices.send(peer, ask.with_number(number))

    # Handing out.

    async def _take_ask(self, message: PermitRequest, sender: str) -> None:
        now = await curio.clock()
        self._news.record_peer_update(
            message.server, message.per_s, now - message.ago_s, message.lender
        )
        if message.loan is not None:
            self._shared.accept_lease(message.server, message.lender, message.loan.to_lease(), now)
        word = None
        if message.within_s is not None:
            word = self._shared.take_permit(
                message.server, message.within_s, now, for_caller=message.caller
            )
        stamp = self._shared.stamp(now)
        answer = PermitResponse(
            number=message.number,
            granted=None if word is None else word.granted,
            after_s=0.0 if word is None else word.after_s,
            life=stamp.incarnation,
            at=stamp.at,
        )
        await self._notices.send(sender, answer)

    async def _take_answer(self, message: PermitResponse, sender: str) -> None:
        word = None if message.granted is None else PermitDecision(message.granted, message.after_s)
        stamp = ClockStamp(message.life, message.at)
        await self._questions.resolve(message.number, _Answer(word, stamp))

    async def _take_return(self, message: PermitReturn, sender: str) -> None:
        self._shared.return_permit(message.server, await curio.clock())

    # Tasks.

    async def renew_leases(self) -> None:
        """Lend the shares of limits that others hand out for, again and again, until cancelled."""
        while True:
            await curio.sleep(
                self._shared.renewal_interval_s * self._backends.rng.uniform(*RENEWAL_JITTER)
            )
            for ident in self._shared.advertised.servers:
                await self._lend(ident)

    async def _lend(self, ident: str) -> None:
        now = await curio.clock()
        for allocator in self._shared.allocators(ident, now):
            if allocator == self._name:
                self._shared.use_local_share(ident, now)
                return
            if await self._question(allocator, ident, None) is not None:
                return

    async def log_use(self) -> None:
        """Tell how much is sent to servers that name limits, until cancelled."""
        while True:
            await curio.sleep(USE_LOG_INTERVAL_S)
            sent, self._sent = self._sent, Counter()
            for ident, requests in sent.items():
                limit = self._shared.advertised.get(ident)
                self._log.info(
                    "server_limit_use",
                    server=ident,
                    per_s=None if limit is None else limit.per_s,
                    sent=requests,
                    within_s=USE_LOG_INTERVAL_S,
                )
