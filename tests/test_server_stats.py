"""Tests of the choice of a server by what was seen of it."""

from __future__ import annotations

import random
from collections import Counter

from crankhinge.decisions import EngineRole, Server, ServerStats, pick_server

INSTANCES = 31
READ_S = 0.27


def reader(number: int) -> Server:
    """Return an engine that reads."""
    return Server(f"i-r{number}", "llm", "10.0.0.1", 80, "z", EngineRole.PREFILL, 64, False, 1)


class TestJustSeen:
    """A server that was seen a moment ago.

    Callers of a release's seconds got their first event late: readers that had come in the place of
    others did not answer within a second. 45 of 47 such readings were at two readers in their
    first seconds, while others took 0.25 s. Every instance held a reader of which it had seen
    nothing for five times faster than it is, and sent what it had there.
    """

    def test_gets_no_more_than_its_part_of_the_requests(self) -> None:
        """Each of many instances has seen a few answers of the others."""
        rng = random.Random(4)
        old, new = [reader(number) for number in range(8)], reader(8)
        picked: Counter[str] = Counter()
        for _ in range(INSTANCES):
            seen = {server.incarnation_id: ServerStats() for server in [*old, new]}
            for server in old:
                for _ in range(4):
                    seen[server.incarnation_id].record_success(READ_S * rng.uniform(0.8, 1.4))
            choice = pick_server([*old, new], seen.__getitem__, zone="z", now=1.0, rng=rng)
            assert choice is not None
            picked[choice.incarnation_id] += 1
        assert picked[new.incarnation_id] <= 3 * INSTANCES / 9

    def test_counts_as_the_others_do_until_it_has_answered(self) -> None:
        """Its first answer then tells, not a part of it."""
        slow, fast, new = reader(0), reader(1), reader(2)
        seen = {server.incarnation_id: ServerStats() for server in (slow, fast, new)}
        seen[slow.incarnation_id].record_success(1.0)
        seen[fast.incarnation_id].record_success(0.1)
        rng = random.Random(1)
        servers = [slow, fast, new]
        assert pick_server(servers, seen.__getitem__, zone="z", now=1.0, rng=rng) is fast
        seen[new.incarnation_id].record_success(0.02)
        assert pick_server(servers, seen.__getitem__, zone="z", now=1.0, rng=rng) is new
