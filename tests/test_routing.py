"""Tests of the choice of backend servers, the prefix index and the agents an entry links to."""

import random
from collections import Counter

from crankhinge.adapters import Instance
from crankhinge.decisions import (
    Backend,
    PrefixIndex,
    Router,
    RouteRequest,
    RoutingCosts,
    rank_by_key,
)
from crankhinge.entry._agent_subset import choose_agents


def make_router(seed: int = 1, **changes: object) -> Router:
    """Return a router with six idle decode backend servers."""
    router = Router(costs=RoutingCosts(zone="z0"), rng=random.Random(seed))
    for number in range(6):
        backend = Backend(f"b{number}", "decode", "write", "z0", linked=True, free_slots=20)
        for name, value in changes.items():
            setattr(backend, name, value)
        router.add_backend(backend)
    return router


class TestChooseBackends:
    """Which backend servers an entry tries, and in which order."""

    def test_entries_with_the_same_stale_reports_spread_requests(self) -> None:
        """Twenty entries see the same server as the least loaded; together they would fill it."""
        first_choices: Counter[str] = Counter()
        for entry in range(20):
            router = make_router(entry)
            for name, backend in router.backends.items():
                backend.free_slots, backend.backlog_s = (1, 0.0) if name == "b0" else (0, 0.2)
            for _ in range(10):
                best = router.choose_backends(["write"], 0.0)[0]
                best.sent_since_report += 1
                best.sent_work_s += 0.1
                first_choices[best.name] += 1
        assert first_choices["b0"] <= 0.35 * sum(first_choices.values())

    def test_unusable_servers_are_skipped(self) -> None:
        """The four servers are unlinked, leaving, draining and with an open breaker."""
        router = make_router()
        router.backends["b0"].linked = False
        router.backends["b1"].leaving = True
        router.backends["b2"].draining = True
        for _ in range(3):
            router.backends["b3"].breaker.record_failure(0.0)
        names = {b.name for _ in range(50) for b in router.choose_backends(["write"], 0.5)}
        assert names == {"b4", "b5"}

    def test_all_servers_are_tried_when_all_breakers_are_open(self) -> None:
        """If every server has failed, a request that may fail is better than a refusal."""
        router = make_router()
        for backend in router.backends.values():
            for _ in range(3):
                backend.breaker.record_failure(0.0)
        assert len(router.usable_backends(["write"], 0.5)) == 6

    def test_slow_server_is_avoided(self) -> None:
        """The steps of the server take far longer than those of the others."""
        router = make_router(step_s=0.03)
        router.backends["b0"].step_s = 0.2
        first_choices = {router.choose_backends(["write"], 0.0)[0].name for _ in range(100)}
        assert "b0" not in first_choices

    def test_server_with_stale_report_is_used_only_without_another(self) -> None:
        """A server that no longer reports its load may have failed or be cut off."""
        router = make_router(reported_at=100.0)
        router.backends["b0"].reported_at = 10.0
        names = {b.name for _ in range(50) for b in router.choose_backends(["write"], 100.0)}
        assert "b0" not in names
        assert len(router.usable_backends(["write"], 500.0)) == 6


class TestChoosePrefill:
    """Which server an entry chooses to process a prompt."""

    def test_cached_prefix_is_preferred_until_its_server_is_busy(self) -> None:
        """The cached prefix saves less time than the work queued at its server takes."""
        router = make_router(tokens_per_s=10_000.0)
        request = RouteRequest(5000, tuple(range(64)), 64)
        router.prefixes.record_cached("b3", request.prefix)
        names = {router.choose_prefill(["write"], request, "z0", 0.0)[0].name for _ in range(50)}
        assert "b3" in names
        router.backends["b3"].backlog_s = 5.0
        names = {router.choose_prefill(["write"], request, "z0", 0.0)[0].name for _ in range(50)}
        assert "b3" not in names

    def test_slow_link_between_zones_is_avoided(self) -> None:
        """The KV cache would be sent over the link, so the decode engine's zone is preferred."""
        router = make_router(tokens_per_s=10_000.0)
        router.costs = RoutingCosts(
            kv_bytes_per_token=100_000, same_zone_bytes_per_s=1e10, cross_zone_bytes_per_s=1e8
        )
        for name in ("b0", "b1", "b2"):
            router.backends[name].zone = "z1"
        first_choices = [
            router.choose_prefill(["write"], RouteRequest(2000), "z1", 0.0)[0] for _ in range(50)
        ]
        assert sum(b.zone == "z1" for b in first_choices) > 40

    def test_reported_backlog_shrinks_over_time(self) -> None:
        """The server works on its backlog after the report, so the reported work gets less."""
        backend = Backend("b", "prefill", "read", "z", backlog_s=0.3, reported_at=10.0)
        assert backend.pending_work_s(10.1) < 0.3
        assert backend.pending_work_s(11.0) == 0.0


class TestPrefixIndex:
    """Which blocks of prompts an entry expects to be cached on a server."""

    def test_prefix_index_is_bounded(self) -> None:
        """Beyond the limit, the blocks that were recorded first are forgotten first."""
        index = PrefixIndex(limit=10)
        index.record_cached("a", range(20))
        assert len(index) == 10
        assert index.count_cached("a", (10, 11, 12)) == 3
        assert index.count_cached("a", (0,)) == 0


class TestSubset:
    """Which agents an entry links to, if there are too many to link to all."""

    def test_links_are_distributed_evenly(self) -> None:
        """With 360 entries of 8 links each, every agent has between 41 and 129 links."""
        agents = [Instance(f"w{n}", "h", 1, "z", "write") for n in range(36)]
        links: Counter[str] = Counter()
        for entry in range(360):
            links.update(list(choose_agents(agents, entry_name=f"e{entry}", max_per_pool=8)))
        assert min(links.values()) > 40
        assert max(links.values()) < 130

    def test_change_of_agents_moves_few_links(self) -> None:
        """When one of 36 agents is removed, an entry changes at most one of its links."""
        agents = [Instance(f"w{n}", "h", 1, "z", "write") for n in range(36)]
        before = set(choose_agents(agents, entry_name="e1", max_per_pool=8))
        after = set(choose_agents(agents[1:], entry_name="e1", max_per_pool=8))
        assert len(before - after) <= 1

    def test_rendezvous_order_depends_on_the_key(self) -> None:
        """For one key the order is always the same; another key has another order."""
        names = [f"n{n}" for n in range(20)]
        assert rank_by_key(b"a", names) == rank_by_key(b"a", reversed(names))
        assert rank_by_key(b"a", names) != rank_by_key(b"b", names)
