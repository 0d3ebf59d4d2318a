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
from crankhinge.gateway._limit_news import LimitNews
from crankhinge.gateway._notices import Notices
from crankhinge.gateway._peer_messages import (
    PermitAnswer,
    PermitAsk,
    PermitReturn,
    ShareLoan,
)
from crankhinge.gateway._questions import Questions
from crankhinge.gateway._request import Relay, SendPermit
from crankhinge.runtime import Metrics

# Seconds between lines that tell how much was sent to servers that name limits; the operators sum
# their requests over as long.
USE_S = 4.0
# Lending anew is spread by these factors, so that instances do not lend in step.
LEND_SPREAD = (0.8, 1.0)


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
        shared: what is known, lent and handed out.
        news: takes what other instances heard of servers.
        members: the instances.
        backends: the servers.
        notices: carries the datagrams.
        log: for events.
        metrics: for counters.
    """

    def __init__(
        self,
        *,
        name: str,
        shared: SharedLimits,
        news: LimitNews,
        members: Membership,
        backends: Backends,
        notices: Notices,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._shared = shared
        self._news = news
        self._members = members
        self._backends = backends
        self._notices = notices
        self._log = log
        self._metrics = metrics
        self._questions: Questions[_Answer] = Questions()
        self._sent: Counter[str] = Counter()
        notices.on(PermitAsk, self._take_ask)
        notices.on(PermitAnswer, self._take_answer)
        notices.on(PermitReturn, self._take_return)

    def has_come(self, name: str) -> None:
        """Note that an instance has come."""
        self._shared.record_joined(name)

    async def permit(self, relay: Relay, server: Server) -> bool:
        """Get a request leave to be sent to a server now; it keeps the permit.

        Returns:
            Whether it may be; if not, the server's standing tells when to ask again, and nobody
            asks before that.
        """
        if self._shared.advertised.get(server.incarnation_id) is None:
            return True
        now = await curio.clock()
        held = relay.permits.get(server.incarnation_id)
        if held is not None and now <= held.until:
            return True
        if self._backends.standing(server.incarnation_id).limited_until > now:
            return False
        return (await self._get(relay, server, _Wish(0.0, caller=False))).granted

    async def queue(self, relay: Relay, server: Server, within_s: float) -> PermitDecision:
        """Get a request leave to be sent to a server soon, or a time for its caller to come back.

        Args:
            relay: the request; it keeps the permit.
            server: where it is to be sent.
            within_s: seconds for which it may wait before that.
        """
        return await self._get(relay, server, _Wish(within_s, caller=True))

    async def wait(self, server: Server, word: PermitDecision) -> None:
        """Wait until a request may be sent that was granted for later."""
        await curio.sleep(word.after_s)
        self._backends.standing(server.incarnation_id).limited_until = 0.0

    async def _get(self, relay: Relay, server: Server, wish: _Wish) -> PermitDecision:
        now = await curio.clock()
        standing = self._backends.standing(server.incarnation_id)
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
            request=relay.ask.request_id,
            server=server.incarnation_id,
            by=allocator or "own",
            after_ms=round(word.after_s * 1000),
            own_part=round(self._shared.leased_fraction(server.incarnation_id), 3),
        )
        return word

    async def spend(self, relay: Relay, server: Server) -> SendPermit | None:
        """Use a request's permit, as it is sent to a server; None where none is needed.

        Raises:
            ServerAtLimit: the server names a limit and the request has no permit, nor gets one now.
        """
        if self._shared.advertised.get(server.incarnation_id) is None:
            return None
        if not await self.permit(relay, server):
            raise ServerAtLimit(f"{server.incarnation_id} takes no more now")
        self._sent[server.incarnation_id] += 1
        return relay.permits.pop(server.incarnation_id, None)

    async def settle(self, relay: Relay) -> None:
        """Give the permits of a request back that it did not use."""
        now = await curio.clock()
        while relay.permits:
            ident, permit = relay.permits.popitem()
            if now > permit.until:
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
            PermitAsk(
                number=0,
                lender=self._name,
                server=ident,
                per_s=limit.per_s,
                ago_s=now - limit.received_at,
                within_s=None if wish is None else wish.within_s,
                caller=wish is not None and wish.caller,
                loan=None if loan is None else ShareLoan.of(loan),
            ),
        )
        answer = await self._questions.ask(send)
        if answer is None:
            self._log.info("permit_unanswered", server=ident, instance=allocator)
            self._metrics.count("permits_unanswered")
            self._shared.record_unresponsive(allocator, await curio.clock())
        else:
            self._shared.record_response(allocator, answer.stamp)
        return answer

    async def _send_ask(self, peer: str, ask: PermitAsk, number: int) -> None:
        await self._notices.send(peer, ask.numbered(number))

    # Handing out.

    async def _take_ask(self, message: PermitAsk, sender: str) -> None:
        now = await curio.clock()
        self._news.told(message.server, message.per_s, now - message.ago_s, message.lender)
        if message.loan is not None:
            self._shared.accept_lease(message.server, message.lender, message.loan.decoded(), now)
        word = None
        if message.within_s is not None:
            word = self._shared.take_permit(
                message.server, message.within_s, now, for_caller=message.caller
            )
        stamp = self._shared.stamp(now)
        answer = PermitAnswer(
            number=message.number,
            granted=None if word is None else word.granted,
            after_s=0.0 if word is None else word.after_s,
            life=stamp.incarnation,
            at=stamp.at,
        )
        await self._notices.send(sender, answer)

    async def _take_answer(self, message: PermitAnswer, sender: str) -> None:
        word = None if message.granted is None else PermitDecision(message.granted, message.after_s)
        stamp = ClockStamp(message.life, message.at)
        await self._questions.answer(message.number, _Answer(word, stamp))

    async def _take_return(self, message: PermitReturn, sender: str) -> None:
        self._shared.return_permit(message.server, await curio.clock())

    # Tasks.

    async def lend(self) -> None:
        """Lend the shares of limits that others hand out for, again and again, until cancelled."""
        while True:
            await curio.sleep(
                self._shared.renewal_interval_s * self._backends.rng.uniform(*LEND_SPREAD)
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

    async def tell_use(self) -> None:
        """Tell how much is sent to servers that name limits, until cancelled."""
        while True:
            await curio.sleep(USE_S)
            sent, self._sent = self._sent, Counter()
            for ident, requests in sent.items():
                limit = self._shared.advertised.get(ident)
                self._log.info(
                    "server_limit_use",
                    server=ident,
                    per_s=None if limit is None else limit.per_s,
                    sent=requests,
                    within_s=USE_S,
                )
