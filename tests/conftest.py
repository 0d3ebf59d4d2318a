"""Fixtures: one small cluster of real processes, shared by the tests that only read from it."""

from collections.abc import Iterator

import pytest

from crankhinge_bench._cluster import Cluster
from crankhinge_bench._spec import ClusterSpec, EngineSpec
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]


@pytest.fixture(scope="session")
def cluster() -> Iterator[Cluster]:
    """A running cluster with short intervals."""
    with Cluster(long_target_spec()) as running:
        yield running


def long_target_spec() -> ClusterSpec:
    """Return a cluster whose targets a slow machine meets too: speed is no matter of tests."""
    engines = (
        EngineSpec("read", "prefill", 2, kv_life_s=30.0),
        EngineSpec("write", "decode", 3, kv_life_s=30.0),
    )
    return ClusterSpec(engines=engines, beat_s=0.2, first_token_s=30.0)
