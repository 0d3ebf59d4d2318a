"""Tests of servers that were replaced by others at their addresses while the list is old."""

from __future__ import annotations

from collections import Counter

import pytest

from crankhinge.gateway._program import MAX_SAVED_RETRIES, RETRY_RATIO_SHARE
from platform_fakes import GatewayHarness, respond_ok, respond_stream, route
from virtual_time import run_virtual

ROUTES = {
    "once": route("r-once", "/once/", "unsafe", "plain", max_attempts=3),
    "safe": route("r-safe", "/safe/", "safe", "plain", max_attempts=3),
    "plain": route("r-plain", "/plain/", "streaming", "plain", max_attempts=3),
    "llm": route("r-stream", "/stream/", "streaming", "llm", max_attempts=3),
}
REQUESTS, REPLACED = 12, 9
TOKENS = {"x_token_count": "100,50", "length_hint": "40", "x_deadline_ms": "4000"}
REPEAT_RATIO = 0.2


class TestRetryBudget:
    """Requests that reach the wrong server and go on to another one."""

    @pytest.mark.parametrize("tested", ROUTES)
    def test_requests_refused_by_the_wrong_server_use_the_retry_budget(self, tested: str) -> None:
        """An instance with an old list sent to one replaced server after the other."""
        harness = GatewayHarness(repeat_ratio=REPEAT_RATIO)
        is_llm = tested == "llm"
        handler = respond_ok if tested in ("once", "safe") else respond_stream
        if is_llm:
            harness.add_replica("i-p", "llm", "prefill")
        for number in range(REPLACED + 1):
            harness.add_replica(
                f"i-{number}",
                "llm" if is_llm else "plain",
                "decode" if is_llm else "",
                handler=handler,
            )
        servers = [replica for replica in harness.replicas if replica.role != "prefill"]

        async def scenario() -> None:
            for server in servers[:REPLACED]:
                server.incarnation_id += "-new"
            path = str(ROUTES[tested]["path_prefix"])
            statuses = Counter[int]()
            for number in range(REQUESTS):
                status, headers, _ = await harness.call(f"q{number}", f"{path}a", **TOKENS)
                statuses[status] += 1
                assert status == 200 or (status == 503 and "retry-after" in headers)
            arrivals = sum(len(server.executed_ids) for server in servers)
            allowed = MAX_SAVED_RETRIES + RETRY_RATIO_SHARE * REPEAT_RATIO * REQUESTS
            assert arrivals - REQUESTS <= allowed
            # Each replaced server is found out once, so that requests are served again.
            assert statuses[200] >= REQUESTS - REPLACED

        run_virtual(harness.run, scenario, ROUTES[tested], settle_s=0.003)
