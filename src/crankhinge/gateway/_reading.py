"""Has prompts read by the engines that only read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio

from crankhinge.adapters import AttemptParams
from crankhinge.decisions import EngineRole, RetryBudget, Server
from crankhinge.errors import BackendFailed, BadHttp, HttpClosed, Quarantined, ServerBarred
from crankhinge.gateway._backends import Backends
from crankhinge.gateway._choice import ServerChoice
from crankhinge.gateway._legs import Legs
from crankhinge.gateway._quarantine import QuarantineDesk
from crankhinge.gateway._request import Relay
from crankhinge.http import ConnectFailed

# Readings tried for one request: the first, and one more where a server failed.
MAX_READINGS = 2
# Seconds that all readings of a request may take: then its first event is late anyway, its place
# is about to lapse, and the engine that writes may as well read the prompt itself.
READING_S = 1.0
# With less than this left, in seconds, no reading is begun: one of 3,000 tokens takes 0.1 s alone.
LEAST_READING_S = 0.1
# A reader is doubted above this share of failures, or this usual time in seconds: three quarters
# of what a reading may take. A reading at a doubted one is made only while the budget allows a
# repeat; the engine that writes reads the prompt otherwise, which is none.
DOUBT = 0.25
SLOW_S = 0.75


@dataclass(frozen=True)
class Memory:
    """A prompt's memory at the server that read it, and how long that took, in seconds."""

    server: Server
    handle: str
    took_s: float


class Reading:
    """Has prompts read.

    Args:
        backends: the servers.
        choice: chooses among them.
        legs: sends requests to them.
        quarantine: of prompts under which engines crashed; they are not read apart.
        log: for events.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        choice: ServerChoice,
        legs: Legs,
        quarantine: QuarantineDesk,
        log: Any,
    ) -> None:
        self._backends = backends
        self._choice = choice
        self._legs = legs
        self._quarantine = quarantine
        self._log = log

    async def read(self, relay: Relay, zone: str, budget: RetryBudget) -> Memory | None:
        """Return the memory of the request's prompt; None when nobody could read it.

        The engine that writes then reads the prompt itself, which takes it longer.

        Args:
            relay: the request.
            zone: availability zone of the engine that will fetch the memory.
            budget: of the service.
        """
        tried: frozenset[str] = frozenset()
        until = min(await curio.clock() + READING_S, relay.until)
        why = "tried_enough"
        while len(tried) < MAX_READINGS:
            now = await curio.clock()
            if until - now < LEAST_READING_S:
                why = "no_time"
                break
            server = await self._choice.now(relay, avoid=tried, phase=EngineRole.PREFILL, zone=zone)
            if server is None:
                why = "no_reader"
                break
            if not self._affordable(server, budget, again=bool(tried)):
                why = "budget_spent"
                break
            tried |= {server.incarnation_id}
            memory = await self._try(relay, server, until, budget)
            if memory is not None:
                return memory
        self._log.info("not_read_apart", request=relay.ask.request_id, tried=len(tried), why=why)
        return None

    def _affordable(self, server: Server, budget: RetryBudget, *, again: bool) -> bool:
        """Whether a reading there may be tried, since one that is refused is a repeat.

        In debt not even a trusted reader is asked: with many instances each would find out by
        itself that it is overloaded, and all of these refusals count.
        """
        if again or self._doubtful(server):
            return budget.allows_retry()
        return not budget.in_debt

    def _doubtful(self, server: Server) -> bool:
        """Whether a reading there may well fail, and so become a repeat."""
        standing = self._backends.standing(server.incarnation_id)
        return standing.failure_share > DOUBT or standing.mean_response_s > SLOW_S

    async def _try(
        self, relay: Relay, server: Server, until: float, budget: RetryBudget
    ) -> Memory | None:
        began = await curio.clock()
        within = until - began
        leg = AttemptParams(server.name, within, prompt_only=True)
        standing = self._backends.standing(server.incarnation_id)
        try:
            handle: str = await curio.timeout_after(within, self._leg, relay, server, leg)
        except (ConnectFailed, Quarantined, ServerBarred) as exc:
            self._failed(relay, server, exc.code, exc.detail)
            return None
        except (HttpClosed, BadHttp, BackendFailed) as exc:
            budget.charge_retry()
            self._failed(relay, server, exc.code, exc.detail)
            return None
        except curio.TaskTimeout:
            budget.charge_retry()
            standing.record_failure(await curio.clock())
            standing.record_duration(within)
            self._failed(relay, server, "silent", f"nothing in {within:.2f} s")
            return None
        if relay.was_read:
            # Only the first reading is no repeat.
            budget.charge_retry()
        relay.was_read = True
        await self._quarantine.done(relay, relay.work(read_only=True))
        took = await curio.clock() - began
        standing.record_success(took)
        relay.facts.update(reader=server.incarnation_id, read_ms=round(took * 1000))
        return Memory(server, handle, took)

    async def _leg(self, relay: Relay, server: Server, leg: AttemptParams) -> str:
        async with self._legs.open(relay, server, leg) as stream:
            body = await stream.read_all()
            if stream.status != 200:
                self._backends.standing(server.incarnation_id).record_refusal(await curio.clock())
                raise BackendFailed(f"status {stream.status}")
            return self._backends.dialect.parse_kv_cache_handle(body)

    def _failed(self, relay: Relay, server: Server, outcome: str, why: str) -> None:
        self._log.info(
            "reading_failed",
            request=relay.ask.request_id,
            server=server.incarnation_id,
            outcome=outcome,
            why=why,
        )

    async def free(self, memory: Memory) -> None:
        """Free a memory that nobody will fetch."""
        call = self._backends.dialect.free_kv_cache_call(memory.handle)
        await self._backends.later(memory.server, call)
