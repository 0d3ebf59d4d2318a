"""Tests of rollouts, which load adapters into the engines a few at a time."""

import time

from conftest import long_target_spec
from crankhinge.decisions import (
    RolloutLease,
    RolloutRecord,
    adapters_to_load,
    release_rollout,
    try_acquire_rollout,
)
from crankhinge.decisions._rollout import ROLLOUT_LEASE_S
from crankhinge_bench._cluster import Cluster
from test_end_to_end import make_client


class TestLease:
    """Leases that limit how many engines load adapters at the same time."""

    def test_leases_are_limited_to_the_width(self) -> None:
        """With a width of two, the third agent waits until one of the others is ready."""
        record = RolloutRecord()
        for name in ("a", "b"):
            lease = try_acquire_rollout(record, name, 2, 1000)
            assert lease is not None
            record = lease.record
        assert try_acquire_rollout(record, "c", 2, 1000) is None
        assert try_acquire_rollout(release_rollout(record, "a"), "c", 2, 1000) is not None

    def test_lease_of_a_dead_agent_expires(self) -> None:
        """The next lease has a larger token, which fences off an agent that was only paused."""
        lease = try_acquire_rollout(RolloutRecord(), "a", 1, 0)
        assert lease is not None
        late = int(ROLLOUT_LEASE_S * 1000)
        assert try_acquire_rollout(lease.record, "b", 1, late - 1) is None
        after = try_acquire_rollout(lease.record, "b", 1, late)
        assert after is not None and after.token > lease.token

    def test_restarted_agent_takes_over_its_own_lease(self) -> None:
        """An agent that died while loading need not wait until its old lease ends."""
        record = RolloutRecord(4, (RolloutLease("a", 10**15),))
        lease = try_acquire_rollout(record, "a", 1, 0)
        assert lease is not None
        assert [rollout_lease.name for rollout_lease in lease.record.leases] == ["a"]

    def test_only_new_adapters_and_versions_are_loaded(self) -> None:
        """The bundle has a new adapter and a new version of one that is loaded."""
        assert adapters_to_load({"a": 1, "b": 2, "c": 1}, {"a": 1, "b": 1}) == ["b", "c"]


class TestRollout:
    """A rollout through running engines."""

    def test_new_adapter_is_loaded_and_served(self) -> None:
        """A new bundle brings the adapter to every engine, one engine of a pool at a time."""
        with Cluster(long_target_spec()) as cluster:
            cluster.publish(cluster.bundle_text(2, {"m1-fr": 1}))
            client = make_client(cluster)
            until = time.monotonic() + 30.0
            while time.monotonic() < until:
                rows = cluster.read_records("prefill", "decode")
                if sum(row["kind"] == "loaded" for row in rows) == 5:
                    break
                time.sleep(0.1)
            answer = client.completions.create(model="m1-fr", prompt="bonjour", max_tokens=2)
            assert answer.choices[0].text
            loads = [row for row in rows if row["kind"] in ("load", "loaded")]
        assert max_concurrent_loads(loads, "write-") == 1
        tokens = [row["token"] for row in loads if row["place"].startswith("write-")]
        assert len(set(tokens)) == 3


def max_concurrent_loads(rows: list[dict[str, object]], prefix: str) -> int:
    """Return the largest number of engines of a pool that were loading at the same time."""
    loading = highest = 0
    pool_rows = [row for row in rows if str(row["place"]).startswith(prefix)]
    for row in sorted(pool_rows, key=lambda row: float(str(row["at"]))):
        loading += 1 if row["kind"] == "load" else -1
        highest = max(highest, loading)
    return highest
