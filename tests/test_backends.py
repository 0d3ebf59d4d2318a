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


def engine(ident: str, phase: EngineRole) -> Server:
    """Return an engine as its entry tells it."""
    return Server(ident, "llm", "10.0.0.1", 80, "z", phase, 64, False, 1)


def backends_of(*servers: Server, **more: Any) -> Backends:
    """Return the backend servers of an instance that knows these."""
    known = ServerList()
    known.apply_list(servers, 0.0, was_unreachable=False)
    dialect: Any = None
    return Backends(
        servers=known,
        dialect=dialect,
        zone="z",
        log=get_log(program="t", stream=LogCapture()),
        metrics=Metrics(prefix="t"),
        rng=random.Random(1),
        **more,
    )


def idents(servers: list[Server]) -> list[str]:
    """Return identities in order."""
    return sorted(server.incarnation_id for server in servers)


class TestOrdered:
    """Engines that follow an order to play another part."""

    def test_are_left_out_and_counted_as_coming(self) -> None:
        """Until the order is over at the latest."""
        backends = backends_of(
            engine("r0", EngineRole.PREFILL),
            engine("r1", EngineRole.PREFILL),
            engine("w0", EngineRole.DECODE),
        )
        backends.ordered("r0", EngineRole.DECODE, 13.0, told=True)
        assert idents(backends.able("llm", 5.0, EngineRole.PREFILL)) == ["r1"]
        assert idents(backends.able("llm", 5.0, EngineRole.DECODE)) == ["w0"]
        assert backends.coming("llm", EngineRole.DECODE, 5.0) == 1
        assert backends.coming("llm", EngineRole.PREFILL, 5.0) == 0
        assert backends.coming("other", EngineRole.DECODE, 5.0) == 0
        assert not backends.takes_work("r0", 5.0)
        assert idents(backends.able("llm", 13.0, EngineRole.PREFILL)) == ["r0", "r1"]
        assert backends.coming("llm", EngineRole.DECODE, 13.0) == 0
        assert backends.takes_work("r0", 13.0)

    def test_play_their_new_part_as_soon_as_their_entry_tells(self) -> None:
        """Then nothing is coming any more."""
        backends = backends_of(engine("r0", EngineRole.DECODE), engine("r1", EngineRole.PREFILL))
        backends.ordered("r0", EngineRole.DECODE, 13.0, told=True)
        assert idents(backends.able("llm", 5.0, EngineRole.DECODE)) == ["r0"]
        assert backends.coming("llm", EngineRole.DECODE, 5.0) == 0

    def test_are_used_where_no_other_is(self) -> None:
        """A pool is never empty for a notice."""
        backends = backends_of(engine("r0", EngineRole.PREFILL), engine("w0", EngineRole.DECODE))
        backends.ordered("r0", EngineRole.DECODE, 13.0, told=True)
        assert idents(backends.able("llm", 5.0, EngineRole.PREFILL)) == ["r0"]

    def test_unknown_ones_are_nothing(self) -> None:
        """No state is kept for a server that is not on the list."""
        backends = backends_of(engine("r0", EngineRole.PREFILL))
        backends.ordered("gone", EngineRole.DECODE, 13.0, told=True)
        assert backends.coming("llm", EngineRole.DECODE, 5.0) == 0


class TestResting:
    """Servers that want no request for a while."""

    @pytest.mark.parametrize("rest_s", [0.3, 3.0, 60.0])
    def test_get_none_until_their_time_is_over(self, rest_s: float) -> None:
        """Also where no other is there; then they get some again."""
        backends = backends_of(engine("r0", EngineRole.PREFILL), engine("r1", EngineRole.PREFILL))
        backends.bars.record_backoff("r0", 10.0 + rest_s)
        assert idents(backends.eligible("llm", 10.0, EngineRole.PREFILL)) == ["r1"]
        backends.bars.record_backoff("r1", 10.0 + 2 * rest_s)
        last = 10.0 + 0.99 * rest_s
        assert backends.eligible("llm", last, EngineRole.PREFILL) == []
        assert backends.pick("llm", last, avoid=frozenset()) is None
        assert idents(backends.eligible("llm", 10.0 + rest_s, EngineRole.PREFILL)) == ["r0"]
        assert len(backends.eligible("llm", 10.0 + 2 * rest_s, EngineRole.PREFILL)) == 2

    def test_the_first_end_is_told_where_all_rest(self) -> None:
        """Of those that a request may go to."""
        backends = backends_of(engine("r0", EngineRole.PREFILL), engine("r1", EngineRole.PREFILL))
        r0, r1 = engine("r0", EngineRole.PREFILL), engine("r1", EngineRole.PREFILL)
        backends.bars.record_backoff("r0", 13.0)
        assert backends.rest_ends([r0, r1], 10.0) is None
        backends.bars.record_backoff("r1", 16.0)
        assert backends.rest_ends([r0, r1], 10.0) == 13.0
        assert backends.rest_ends(backends.able("llm", 10.0, avoid=frozenset({"r0"})), 10.0) == 16.0
        assert backends.rest_ends([r0, r1], 13.0) is None
        assert backends.rest_ends([], 10.0) is None

    def test_stay_among_those_that_the_split_counts(self) -> None:
        """A pool that is short for seconds is no reason for orders."""
        backends = backends_of(engine("r0", EngineRole.PREFILL))
        backends.bars.record_backoff("r0", 13.0)
        assert idents(backends.able("llm", 10.0, EngineRole.PREFILL)) == ["r0"]
        assert backends.barred(ExclusionReason.BACKOFF, 10.0) == 1


class TestChoice:
    """What a choice among many servers costs."""

    def test_makes_nothing_for_servers_that_were_seen(self) -> None:
        """Each is looked at seven times: 4.6 us a server, 13.8 when it did, counting included."""
        servers = [engine(f"r{number}", EngineRole.PREFILL) for number in range(600)]
        made = 0

        class Counted(ServerStats):
            def __init__(self) -> None:
                nonlocal made
                made += 1
                super().__init__()

        with mock.patch("crankhinge.gateway._backends.ServerStats", Counted):
            backends = backends_of(*servers)
            took_s = []
            for _ in range(10):
                began = time.process_time()
                assert backends.pick("llm", 5.0, avoid=frozenset()) is not None
                took_s.append(time.process_time() - began)
        print(f"a choice among {len(servers)}: {min(took_s) / len(servers) * 1e6:.1f} us a server")
        assert made == len(servers)


class TestConnections:
    """Connections that are kept to one server, of what it takes from all instances together."""

    @pytest.mark.parametrize("fleet", [1, 3, 31, 68, 300])
    @pytest.mark.parametrize("taken", [110, 470, 520])
    def test_are_not_more_than_it_takes(self, taken: int, fleet: int) -> None:
        """Eight for each of 68 instances were 544 of 470 or 520; others are in use besides."""
        assert idle_connection_limit(taken, fleet) * fleet <= max(taken, fleet)

    def test_are_as_many_as_ever_in_small_fleets(self) -> None:
        """A new connection costs its server time."""
        assert [idle_connection_limit(370, fleet) for fleet in (1, 5, 31)] == [8, 8, 8]

    def test_follow_the_fleet(self) -> None:
        """Also those of a server that was used before the fleet grew."""
        most = 8
        backends = backends_of(engine("r0", EngineRole.PREFILL), most_kept=lambda service: most)
        client = backends.client(engine("r0", EngineRole.PREFILL))
        assert client.pool_size == 8
        most = 2
        assert backends.client(engine("r0", EngineRole.PREFILL)).pool_size == 2
