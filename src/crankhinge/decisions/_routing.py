"""The choice of backend servers for a request, and the order in which they are tried.

An entry sees load reports that are up to a heartbeat old, and shares its backend servers with other
entries that it does not communicate with. So it corrects each report by the requests it has sent
since, compares a few random candidates instead of all servers (Mitzenmacher, 2001), and leaves the
final decision to the agent, which owns the queue and can refuse a request at no cost.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass

from crankhinge.decisions._backend import Backend
from crankhinge.decisions._mechanisms import FULL, Mechanisms
from crankhinge.decisions._prefix import PrefixIndex
from crankhinge.decisions._rendezvous import rank_by_key

# Number of servers that are compared for a request: chosen at random, and, for a prompt, by its
# prefix.
RANDOM_CANDIDATES = 3
AFFINITY_CANDIDATES = 2
# Number of report intervals after which a server's last report is too old.
STALE_REPORT_INTERVALS = 3.0
# A server whose time between tokens exceeds the median of all servers by this factor is slow, and
# its cost is increased by this many seconds.
SLOW_STEP_FACTOR = 2.0
SLOW_PENALTY_S = 1.0
# Assumed prompt tokens processed per second, until a server reports its rate.
DEFAULT_TOKENS_PER_S = 10_000.0


@dataclass(frozen=True)
class RouteRequest:
    """The properties of a request that matter for routing.

    Attributes:
        tokens: estimated prompt tokens.
        prefix: hashes of the leading blocks of the prompt, the first block first.
        block_tokens: number of tokens in a block.
        adapter: name of the adapter that must be loaded; empty for none.
    """

    tokens: int
    prefix: tuple[int, ...] = ()
    block_tokens: int = 64
    adapter: str = ""


@dataclass(frozen=True)
class RoutingCosts:
    """Parameters of the cost of a choice, which is measured in seconds.

    Attributes:
        zone: availability zone of this entry.
        kv_bytes_per_token: size of the KV cache of one token.
        same_zone_bytes_per_s: bandwidth of the links within a zone; 0 when not limited.
        cross_zone_bytes_per_s: bandwidth of the links between zones; 0 when not limited.
        cross_zone_s: one-way latency between zones, in seconds.
        report_interval_s: seconds between load reports.
    """

    zone: str = ""
    kv_bytes_per_token: int = 0
    same_zone_bytes_per_s: float = 0.0
    cross_zone_bytes_per_s: float = 0.0
    cross_zone_s: float = 0.001
    report_interval_s: float = 1.0


class Router:
    """The backend servers that this entry knows, and the choice among them.

    Args:
        costs: parameters of the cost of a choice.
        rng: source of the random candidates; seeded in tests.
        mech: the enabled mechanisms.
    """

    def __init__(self, *, costs: RoutingCosts, rng: random.Random, mech: Mechanisms = FULL) -> None:
        self.costs = costs
        self.backends: dict[str, Backend] = {}
        self._pools: dict[str, dict[str, Backend]] = {}
        self.prefixes = PrefixIndex()
        self._rng = rng
        self._mech = mech
        self._turns = itertools.count()

    def add_backend(self, backend: Backend) -> None:
        """Add a backend server, or replace it after its pool has changed."""
        self.remove_backend(backend.name)
        self.backends[backend.name] = backend
        self._pools.setdefault(backend.pool, {})[backend.name] = backend

    def remove_backend(self, name: str) -> None:
        """Remove a backend server."""
        self.backends.pop(name, None)
        for pool_backends in self._pools.values():
            pool_backends.pop(name, None)

    def usable_backends(self, pools: Iterable[str], now: float, adapter: str = "") -> list[Backend]:
        """Return the servers of *pools* that may get new requests and have *adapter* loaded.

        A server whose reports have stopped is used only when no other is left, and a server whose
        breaker is open only when all breakers are open: then a request cannot make things worse.
        """
        pool_backends = [b for pool in pools for b in self._pools.get(pool, {}).values()]
        available = [
            b for b in pool_backends if b.is_available and (not adapter or adapter in b.adapters)
        ]
        alive = [b for b in available if b.breaker.allows_request(now)] or available
        oldest_fresh = now - STALE_REPORT_INTERVALS * self.costs.report_interval_s
        fresh = [b for b in alive if b.reported_at >= oldest_fresh]
        return fresh or alive

    def _sample(self, items: list[Backend], count: int) -> list[Backend]:
        """Return *count* random servers, or all in random order if there are fewer."""
        return self._rng.sample(items, min(count, len(items)))

    def choose_backends(self, pools: Iterable[str], now: float, adapter: str = "") -> list[Backend]:
        """Return the decode or plain servers to try, the one with the lowest cost first."""
        backends = self.usable_backends(pools, now, adapter)
        if not self._mech.load_aware:
            return self._round_robin(backends)
        median_step_s = _median([b.step_s for b in backends if b.step_s > 0])
        candidates = self._sample(backends, RANDOM_CANDIDATES)
        return sorted(candidates, key=lambda b: self._expected_cost_s(b, median_step_s, now))

    def _round_robin(self, backends: list[Backend]) -> list[Backend]:
        """Return all servers, starting with the next one in turn."""
        if not backends:
            return []
        ordered = sorted(backends, key=lambda b: b.name)
        start = next(self._turns) % len(ordered)
        return ordered[start:] + ordered[:start]

    def _expected_cost_s(self, backend: Backend, median_step_s: float, now: float) -> float:
        """Return the cost of sending a request to a server: its wait, its distance, its speed."""
        cost = backend.expected_wait_s(now)
        if backend.zone != self.costs.zone:
            cost += 2 * self.costs.cross_zone_s
        if median_step_s and backend.step_s > SLOW_STEP_FACTOR * median_step_s:
            cost += SLOW_PENALTY_S
        sent_per_slot = backend.sent_since_report / max(1, backend.free_slots)
        return cost + self.costs.cross_zone_s * sent_per_slot

    def choose_prefill(
        self, pools: Iterable[str], request: RouteRequest, decode_zone: str, now: float
    ) -> list[Backend]:
        """Return the prefill servers to try, the one with the lowest cost first.

        Args:
            pools: names of the pools of prefill servers.
            request: the request.
            decode_zone: availability zone in which the answer is decoded.
            now: time in seconds.
        """
        backends = self.usable_backends(pools, now, request.adapter)
        if not self._mech.load_aware:
            return self._round_robin(backends)
        candidates = {b.name: b for b in self._sample(backends, RANDOM_CANDIDATES)}
        if request.prefix and self._mech.affinity:
            by_name = {b.name: b for b in backends}
            key = request.prefix[0].to_bytes(8, "big", signed=False)
            for name in rank_by_key(key, by_name)[:AFFINITY_CANDIDATES]:
                candidates[name] = by_name[name]
        return sorted(
            candidates.values(), key=lambda b: self.prefill_cost_s(b, request, decode_zone, now)
        )

    def prefill_cost_s(
        self, backend: Backend, request: RouteRequest, decode_zone: str, now: float
    ) -> float:
        """Return the seconds until a server has computed and transferred the prompt's KV cache."""
        return (
            backend.pending_work_s(now)
            + self.uncached_tokens(backend, request)
            / (backend.tokens_per_s or DEFAULT_TOKENS_PER_S)
            + self.transfer_s(request.tokens, backend.zone, decode_zone)
        )

    def uncached_tokens(self, backend: Backend, request: RouteRequest) -> int:
        """Return the number of prompt tokens that are not in the server's prefix cache."""
        if not self._mech.affinity:
            return max(1, request.tokens)
        found = self.prefixes.count_cached(backend.name, request.prefix) * request.block_tokens
        return max(1, request.tokens - found)

    def idle_prefill_s(self, pools: Iterable[str], request: RouteRequest, now: float) -> float:
        """Return the seconds that prefill would take on the fastest engine if it were idle."""
        rates = [b.tokens_per_s for b in self.usable_backends(pools, now) if b.tokens_per_s > 0]
        return request.tokens / max(rates, default=DEFAULT_TOKENS_PER_S)

    def transfer_s(self, tokens: int, from_zone: str, to_zone: str) -> float:
        """Return the seconds that a transfer of the KV cache takes on an idle link."""
        costs = self.costs
        same = from_zone == to_zone
        rate = costs.same_zone_bytes_per_s if same else costs.cross_zone_bytes_per_s
        delay = 0.0 if same else costs.cross_zone_s
        return delay + (tokens * costs.kv_bytes_per_token / rate if rate else 0.0)

    def record_report(
        self,
        name: str,
        now: float,
        *,
        free: int,
        queued: int,
        backlog_s: float,
        step_s: float,
        rate: float,
        draining: bool,
    ) -> None:
        """Apply a load report of a backend server.

        Args:
            name: name of the server.
            now: time of the report in seconds.
            free: number of free slots.
            queued: number of waiting requests.
            backlog_s: seconds of queued work.
            step_s: seconds between tokens; 0 when unknown.
            rate: prompt tokens processed per second; 0 when unknown.
            draining: whether its agent accepts no new requests.
        """
        backend = self.backends.get(name)
        if backend is None:
            return
        backend.free_slots = free
        backend.queued = queued
        backend.backlog_s = backlog_s
        backend.step_s = step_s
        backend.tokens_per_s = rate
        backend.draining = draining
        backend.reported_at = now
        backend.sent_since_report = 0
        backend.sent_work_s = 0.0


def _median(values: list[float]) -> float:
    """Return the (upper) median; 0 without values."""
    return sorted(values)[len(values) // 2] if values else 0.0
