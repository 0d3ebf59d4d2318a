"""Tests of which backend servers an instance uses."""

from __future__ import annotations

import random
import time
from typing import Any
from unittest import mock

import pytest

from crankhinge.decisions import (
    EngineRole,
    ExclusionReason,
    Server,
    ServerList,
    ServerStats,
    idle_connection_limit,
)
from crankhinge.gateway._backends import Backends
from crankhinge.runtime import Metrics, get_log
from platform_fakes import LogCapture


def make_engine(incarnation_id: str, role: EngineRole) -> Server:
    """Return an engine with this role."""
    return Server(incarnation_id, "llm", "10.0.0.1", 80, "z", role, 64, False, 1)


def make_backends(*servers: Server, **options: Any) -> Backends:
    """Return the backends of an instance whose list has these servers."""
    server_list = ServerList()
    server_list.apply_list(servers, 0.0, was_unreachable=False)
    dialect: Any = None
    return Backends(
        servers=server_list,
        dialect=dialect,
        zone="z",
        log=get_log(program="t", stream=LogCapture()),
        metrics=Metrics(prefix="t"),
        rng=random.Random(1),
        **options,
    )


def sorted_ids(servers: list[Server]) -> list[str]:
    """Return the servers' incarnation ids in order."""
    return sorted(server.incarnation_id for server in servers)


class TestEnginesUnderOrder:
    """Engines that carry out an order to change their role."""

    def test_are_left_out_and_counted_in_their_new_role(self) -> None:
        """Until the order expires at the latest."""
        backends = make_backends(
            make_engine("r0", EngineRole.PREFILL),
            make_engine("r1", EngineRole.PREFILL),
            make_engine("w0", EngineRole.DECODE),
        )
        backends.record_order("r0", EngineRole.DECODE, 13.0, by_peer=True)
        assert sorted_ids(backends.available_servers("llm", 5.0, EngineRole.PREFILL)) == ["r1"]
        assert sorted_ids(backends.available_servers("llm", 5.0, EngineRole.DECODE)) == ["w0"]
        assert backends.count_changing_to("llm", EngineRole.DECODE, 5.0) == 1
        assert backends.count_changing_to("llm", EngineRole.PREFILL, 5.0) == 0
        assert backends.count_changing_to("other", EngineRole.DECODE, 5.0) == 0
        assert not backends.accepts_work("r0", 5.0)
        assert sorted_ids(backends.available_servers("llm", 13.0, EngineRole.PREFILL)) == [
            "r0",
            "r1",
        ]
        assert backends.count_changing_to("llm", EngineRole.DECODE, 13.0) == 0
        assert backends.accepts_work("r0", 13.0)

    def test_have_their_new_role_when_their_entry_shows_it(self) -> None:
        """From then on they do not count as changing."""
        backends = make_backends(
            make_engine("r0", EngineRole.DECODE), make_engine("r1", EngineRole.PREFILL)
        )
        backends.record_order("r0", EngineRole.DECODE, 13.0, by_peer=True)
        assert sorted_ids(backends.available_servers("llm", 5.0, EngineRole.DECODE)) == ["r0"]
        assert backends.count_changing_to("llm", EngineRole.DECODE, 5.0) == 0

    def test_are_used_when_no_other_engine_is_available(self) -> None:
        """A message about an order never empties a pool."""
        backends = make_backends(
            make_engine("r0", EngineRole.PREFILL), make_engine("w0", EngineRole.DECODE)
        )
        backends.record_order("r0", EngineRole.DECODE, 13.0, by_peer=True)
        assert sorted_ids(backends.available_servers("llm", 5.0, EngineRole.PREFILL)) == ["r0"]

    def test_order_to_an_unknown_server_is_ignored(self) -> None:
        """No state is kept for a server that is not in the list."""
        backends = make_backends(make_engine("r0", EngineRole.PREFILL))
        backends.record_order("gone", EngineRole.DECODE, 13.0, by_peer=True)
        assert backends.count_changing_to("llm", EngineRole.DECODE, 5.0) == 0


class TestBackoff:
    """Servers that asked for no requests for some time."""

    @pytest.mark.parametrize("backoff_s", [0.3, 3.0, 60.0])
    def test_server_gets_no_request_during_its_backoff(self, backoff_s: float) -> None:
        """Even if no other server is left; after the backoff it gets requests again."""
        backends = make_backends(
            make_engine("r0", EngineRole.PREFILL), make_engine("r1", EngineRole.PREFILL)
        )
        backends.exclusions.record_backoff("r0", 10.0 + backoff_s)
        assert sorted_ids(backends.eligible_servers("llm", 10.0, EngineRole.PREFILL)) == ["r1"]
        backends.exclusions.record_backoff("r1", 10.0 + 2 * backoff_s)
        last = 10.0 + 0.99 * backoff_s
        assert backends.eligible_servers("llm", last, EngineRole.PREFILL) == []
        assert backends.choose_server("llm", last, avoid=frozenset()) is None
        assert sorted_ids(
            backends.eligible_servers("llm", 10.0 + backoff_s, EngineRole.PREFILL)
        ) == ["r0"]
        assert len(backends.eligible_servers("llm", 10.0 + 2 * backoff_s, EngineRole.PREFILL)) == 2

    def test_first_end_is_returned_when_all_servers_back_off(self) -> None:
        """Only the servers that the request may go to count."""
        backends = make_backends(
            make_engine("r0", EngineRole.PREFILL), make_engine("r1", EngineRole.PREFILL)
        )
        r0, r1 = make_engine("r0", EngineRole.PREFILL), make_engine("r1", EngineRole.PREFILL)
        backends.exclusions.record_backoff("r0", 13.0)
        assert backends.backoff_end([r0, r1], 10.0) is None
        backends.exclusions.record_backoff("r1", 16.0)
        assert backends.backoff_end([r0, r1], 10.0) == 13.0
        assert (
            backends.backoff_end(
                backends.available_servers("llm", 10.0, avoid=frozenset({"r0"})), 10.0
            )
            == 16.0
        )
        assert backends.backoff_end([r0, r1], 13.0) is None
        assert backends.backoff_end([], 10.0) is None

    def test_servers_in_backoff_still_count_for_the_split(self) -> None:
        """A pool that lacks servers for seconds is no reason for orders."""
        backends = make_backends(make_engine("r0", EngineRole.PREFILL))
        backends.exclusions.record_backoff("r0", 13.0)
        assert sorted_ids(backends.available_servers("llm", 10.0, EngineRole.PREFILL)) == ["r0"]
        assert backends.count_excluded(ExclusionReason.BACKOFF, 10.0) == 1


class TestServerChoice:
    """The cost of a choice among many servers."""

    def test_creates_no_statistics_for_known_servers(self) -> None:
        """A choice examines each server seven times and must not create an object each time.

        It takes 4.6 us a server; with the objects it took 13.8 us, counting them included.
        """
        servers = [make_engine(f"r{number}", EngineRole.PREFILL) for number in range(600)]
        created = 0

        class CountedStats(ServerStats):
            def __init__(self) -> None:
                nonlocal created
                created += 1
                super().__init__()

        with mock.patch("crankhinge.gateway._backends.ServerStats", CountedStats):
            backends = make_backends(*servers)
            times_s = []
            for _ in range(10):
                started_at = time.process_time()
                assert backends.choose_server("llm", 5.0, avoid=frozenset()) is not None
                times_s.append(time.process_time() - started_at)
        print(f"a choice among {len(servers)}: {min(times_s) / len(servers) * 1e6:.1f} us a server")
        assert created == len(servers)


class TestIdleConnections:
    """Limit of idle connections to one server, out of those that it accepts from all instances."""

    @pytest.mark.parametrize("instances", [1, 3, 31, 68, 300])
    @pytest.mark.parametrize("accepted", [110, 470, 520])
    def test_instances_together_keep_at_most_what_the_server_accepts(
        self, accepted: int, instances: int
    ) -> None:
        """68 instances kept eight each, 544 of 470 or 520; connections in use come on top."""
        assert idle_connection_limit(accepted, instances) * instances <= max(accepted, instances)

    def test_small_fleets_keep_eight_connections_each(self) -> None:
        """A new connection costs its server time."""
        assert [idle_connection_limit(370, instances) for instances in (1, 5, 31)] == [8, 8, 8]

    def test_limit_follows_the_number_of_instances(self) -> None:
        """Also for a server that was used before the number of instances grew."""
        limit = 8
        backends = make_backends(
            make_engine("r0", EngineRole.PREFILL), idle_limit=lambda service: limit
        )
        client = backends.client(make_engine("r0", EngineRole.PREFILL))
        assert client.pool_size == 8
        limit = 2
        assert backends.client(make_engine("r0", EngineRole.PREFILL)).pool_size == 2
