"""Leases memory slots of decode engines."""

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

# Retry delay that callers are given if no agent suggests a shorter one.
MAX_RETRY_AFTER_S = 30.0
# Time that the response of an agent may take beyond the timeout of the request.
RESPONSE_MARGIN_S = 0.25


@dataclass
class LeasedSlot:
    """A leased slot.

    Attributes:
        backend: the decode engine that the slot belongs to.
        link: link to the agent of the engine.
        mailbox: mailbox in which the answer will arrive.
    """

    backend: Backend
    link: Link
    mailbox: Mailbox


@dataclass(frozen=True)
class SlotRequirements:
    """What a slot is needed for.

    Attributes:
        request: the completion request.
        route_request: length and prefix of the prompt, and its adapter, for the router.
        deadline: time by which the first token is needed, in seconds of the runtime's clock.
        max_tokens: largest number of tokens that are still to be generated.
    """

    request: CompletionRequest
    route_request: RouteRequest
    deadline: float
    max_tokens: int


class SlotClient(AgentClient):
    """Requests slots from the agents of decode engines."""

    async def lease_slot(
        self, requirements: SlotRequirements, progress: RequestProgress
    ) -> LeasedSlot:
        """Lease a slot.

        Raises:
            NoBackend: no decode engine, or no prefill engine, is known to be alive.
            Overloaded: no slot becomes free in time.
        """
        model = requirements.request.model
        candidates = self._router.choose_backends(
            model.decode, await curio.clock(), requirements.route_request.adapter
        )
        if not candidates:
            raise NoBackend(f"no decode engine for {model.name}", retry_after_s=1.0)
        # Try all engines with a free slot first. Wait for a slot only if none of them grants one.
        tries = [(b, False) for b in candidates if b.has_free_slot or len(candidates) == 1]
        tries += [(b, True) for b in candidates]
        retry_after = MAX_RETRY_AFTER_S
        for backend, may_wait in tries:
            try:
                response = await self._request_slot(requirements, backend, progress, may_wait)
            except (LinkClosed, LinkLost):
                continue
            if isinstance(response, LeasedSlot):
                return response
            retry_after = min(retry_after, response.retry_after_s or retry_after)
        raise Overloaded("no decode engine has a free slot in time", retry_after_s=retry_after)

    async def _request_slot(
        self,
        requirements: SlotRequirements,
        backend: Backend,
        progress: RequestProgress,
        may_wait: bool,
    ) -> LeasedSlot | Refused:
        now = await curio.clock()
        lead_s = self._lead_s(requirements, backend, now)
        timeout_s = requirements.deadline - now - lead_s if may_wait else 0.0
        link = self._agent_links.get_link(backend.name)
        mailbox = self._mailboxes.open(link, progress.new_step_id())
        backend.sent_since_report += 1
        response = None
        try:
            await link.send(_make_reserve_slot(requirements, mailbox.req, timeout_s, lead_s))
            response = await curio.ignore_after(
                max(timeout_s, 0.0) + RESPONSE_MARGIN_S, mailbox.get
            )
        finally:
            if not isinstance(response, SlotGranted):
                self._mailboxes.close(mailbox)
                await cancel_step(link, mailbox)
        if isinstance(response, SlotGranted):
            backend.open_requests += 1
            return LeasedSlot(backend, link, mailbox)
        return response if isinstance(response, Refused) else Refused(mailbox.req, "no-answer")

    def _lead_s(self, requirements: SlotRequirements, backend: Backend, now: float) -> float:
        """Return the estimated seconds from the grant of a slot to the first token."""
        model = requirements.request.model
        engines = self._router.choose_prefill(
            model.prefill, requirements.route_request, backend.zone, now
        )
        if not engines:
            raise NoBackend(f"no prefill engine for {model.name}", retry_after_s=1.0)
        prefill_s = self._router.prefill_cost_s(
            engines[0], requirements.route_request, backend.zone, now
        )
        return prefill_s + backend.step_s


def _make_reserve_slot(
    requirements: SlotRequirements, req: int, timeout_s: float, lead_s: float
) -> ReserveSlot:
    request = requirements.request
    return ReserveSlot(
        req,
        request.member.name,
        request.model.name,
        request.options.rank,
        timeout_s,
        lead_s,
        requirements.max_tokens,
        request.member.partner,
    )
