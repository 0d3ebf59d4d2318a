"""Leases a slot in a decode engine's memory."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from crankhinge.decisions import Backend, RouteRequest
from crankhinge.entry._agent_client import AgentClient
from crankhinge.entry._mailboxes import LinkLost, Mailbox, cancel_step
from crankhinge.entry._progress import RequestProgress
from crankhinge.entry._requests import CompletionRequest
from crankhinge.errors import LinkClosed, NoBackend, Overloaded
from crankhinge.wire import Link, Refused, ReserveSlot, SlotGranted

MAX_RETRY_AFTER_S = 30.0
RESPONSE_MARGIN_S = 0.25


@dataclass
class LeasedSlot:
    """A leased slot.

    Attributes:
        backend: whose memory.
        link: to its agent.
        mailbox: where the answer will arrive.
    """

    backend: Backend
    link: Link
    mailbox: Mailbox


@dataclass(frozen=True)
class SlotRequirements:
    """What a slot is needed for.

    Attributes:
        request: the request.
        route: its length and prefix.
        deadline: when the first token is of no more use, seconds of the runtime's clock.
        max_tokens: most tokens that are still to be written.
    """

    request: CompletionRequest
    route: RouteRequest
    deadline: float
    max_tokens: int


class SlotClient(AgentClient):
    """Asks decode agents for a slot."""

    async def lease_slot(
        self, requirements: SlotRequirements, progress: RequestProgress
    ) -> LeasedSlot:
        """Lease a slot.

        Raises:
            NoBackend: no engine is known to be alive.
            Overloaded: no slot comes free in time.
        """
        model = requirements.request.model
        candidates = self._router.choose_backends(
            model.decode, await curio.clock(), requirements.route.adapter
        )
        if not candidates:
            raise NoBackend(f"no decode engine for {model.name}", retry_after_s=1.0)
        # First whoever has room now; only when nobody has is it worth waiting somewhere.
        rounds = [(b, False) for b in candidates if b.has_free_slot or len(candidates) == 1]
        rounds += [(b, True) for b in candidates]
        retry_after = MAX_RETRY_AFTER_S
        for backend, may_wait in rounds:
            try:
                answer = await self._ask(requirements, backend, progress, may_wait)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(answer, LeasedSlot):
                return answer
            retry_after = min(retry_after, answer.retry_after_s or retry_after)
        raise Overloaded("no slot in time", retry_after_s=retry_after)

    async def _ask(
        self, need: SlotRequirements, backend: Backend, progress: RequestProgress, may_wait: bool
    ) -> LeasedSlot | Refused:
        now = await curio.clock()
        lead = self._lead_s(need, backend, now)
        within = need.deadline - now - lead if may_wait else 0.0
        link = self._fleet.get_link(backend.name)
        box = self._calls.open(link, progress.new_step_id())
        backend.sent_since_report += 1
        answer = None
        try:
            await link.send(_reserve(need, box.req, within, lead))
            answer = await curio.ignore_after(max(within, 0.0) + RESPONSE_MARGIN_S, box.get)
        finally:
            if not isinstance(answer, SlotGranted):
                self._calls.close(box)
                await cancel_step(link, box)
        if isinstance(answer, SlotGranted):
            backend.open_requests += 1
            return LeasedSlot(backend, link, box)
        return answer if isinstance(answer, Refused) else Refused(box.req, "no-answer")

    def _lead_s(self, need: SlotRequirements, backend: Backend, now: float) -> float:
        """Return the seconds from the grant of a slot until its first token."""
        model = need.request.model
        best = self._router.choose_prefill(model.prefill, need.route, backend.zone, now)
        if not best:
            raise NoBackend(f"no prefill engine for {model.name}", retry_after_s=1.0)
        read = self._router.prefill_cost_s(best[0], need.route, backend.zone, now)
        return read + backend.step_s


def _reserve(need: SlotRequirements, req: int, within: float, lead: float) -> ReserveSlot:
    ask = need.request
    return ReserveSlot(
        req,
        ask.member.name,
        ask.model.name,
        ask.options.rank,
        within,
        lead,
        need.max_tokens,
        ask.member.partner,
    )
