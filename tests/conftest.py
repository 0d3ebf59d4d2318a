"""Fixtures: one small cluster of real processes, shared by tests that leave it unchanged."""

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._spec import ClusterSpec, EngineSpec
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

# This check compares the time to draw inputs with a constant, so it fails when other programs take
# the processor.
settings.register_profile("any-machine", suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("any-machine")

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]


@pytest.fixture(scope="session")
def cluster() -> Iterator[Cluster]:
    """Yield a running cluster with short heartbeat intervals."""
    with Cluster(long_target_spec()) as running:
        yield running


def long_target_spec() -> ClusterSpec:
    """Return a cluster with latency targets long enough for a slow machine.

    The tests check behaviour, not speed.
    """
    engines = (
        EngineSpec("read", "prefill", 2, kv_life_s=30.0),
        EngineSpec("write", "decode", 3, kv_life_s=30.0),
    )
    return ClusterSpec(engines=engines, beat_s=0.2, first_token_s=30.0)
