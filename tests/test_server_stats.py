"""Tests of the choice of a server by its statistics."""

from __future__ import annotations

import random
from collections import Counter

from crankhinge.decisions import EngineRole, Server, ServerStats, pick_server

INSTANCES = 31
PREFILL_S = 0.27


def prefill_engine(number: int) -> Server:
    """Return a prefill engine with the incarnation id of this number."""
    return Server(f"i-r{number}", "llm", "10.0.0.1", 80, "z", EngineRole.PREFILL, 64, False, 1)


class TestNewServer:
    """A server without measurements is expected to be as fast as the others.

    Guards against a fault in the first seconds of a release, when callers got their first event
    late: prefill engines that replaced others did not respond within a second. 45 of 47 such
    prefills were on two engines in their first seconds, while others took 0.25 s. Every
    instance took a prefill engine without measurements for five times faster than it was, and
    sent all its requests there.
    """

    def test_new_server_gets_no_more_than_its_share(self) -> None:
        """Each of 31 instances has measured a few responses of the other servers only."""
        rng = random.Random(4)
        old, new = [prefill_engine(number) for number in range(8)], prefill_engine(8)
        picked: Counter[str] = Counter()
        for _ in range(INSTANCES):
            stats = {server.incarnation_id: ServerStats() for server in [*old, new]}
            for server in old:
                for _ in range(4):
                    stats[server.incarnation_id].record_success(PREFILL_S * rng.uniform(0.8, 1.4))
            choice = pick_server([*old, new], stats.__getitem__, zone="z", now=1.0, rng=rng)
            assert choice is not None
            picked[choice.incarnation_id] += 1
        assert picked[new.incarnation_id] <= 3 * INSTANCES / 9

    def test_new_server_counts_as_average_until_its_first_response(self) -> None:
        """The first response then sets the average of the server, with full weight."""
        slow, fast, new = prefill_engine(0), prefill_engine(1), prefill_engine(2)
        stats = {server.incarnation_id: ServerStats() for server in (slow, fast, new)}
        stats[slow.incarnation_id].record_success(1.0)
        stats[fast.incarnation_id].record_success(0.1)
        rng = random.Random(1)
        servers = [slow, fast, new]
        assert pick_server(servers, stats.__getitem__, zone="z", now=1.0, rng=rng) is fast
        stats[new.incarnation_id].record_success(0.02)
        assert pick_server(servers, stats.__getitem__, zone="z", now=1.0, rng=rng) is new
