"""Tests of the value to callers, computed from handwritten logs and from a gateway's log."""

from __future__ import annotations

from pathlib import Path

import pytest

from crankhinge.burn import (
    CallerOutcome,
    CallerValueReport,
    CallerWeights,
    compute_caller_value,
    read_caller_attempts,
)
from crankhinge.ctl.main import main
from platform_fakes import GatewayHarness, route
from virtual_time import run_virtual

STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}


def log_line(event: str, request_id: str, second: int, **more: object) -> str:
    """Return a log line about the end of a streaming request."""
    fields: dict[str, object] = {
        "route": "r",
        "kind": "stream",
        "target_ms": 900,
        "within_ms": 14000,
        "pause_ms": 300,
        "prompt": 100,
        "most": 10,
        "took_ms": 2000,
        **more,
    }
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"ts=2026-01-01T00:00:{second:02d}Z event={event} request={request_id} {pairs}\n"


ANSWERED_FIELDS = {"status": 200, "first_ms": 500, "gap_ms": 50}
REFUSED_FIELDS = {"status": 503}
RETRY_FIELDS = {"within_ms": 11000}


def caller_value_of(
    path: Path, *lines: str, weights: CallerWeights | None = None
) -> CallerValueReport:
    """Return the value to callers that is computed from a log with *lines*."""
    path.write_text("".join(lines))
    return compute_caller_value(
        read_caller_attempts([path]), weights or CallerWeights(), window_s=2.0
    )


class TestCallerValue:
    """Outcomes of requests, and their value to callers."""

    @pytest.mark.parametrize(
        ("event", "more", "outcome"),
        [
            ("answered", ANSWERED_FIELDS, CallerOutcome.IN_TIME),
            ("answered", {**ANSWERED_FIELDS, "first_ms": 901}, CallerOutcome.LATE),
            ("answered", {**ANSWERED_FIELDS, "gap_ms": 301}, CallerOutcome.LATE),
            ("answered", {"status": 500}, CallerOutcome.FAILED),
            (
                "request_failed",
                {**REFUSED_FIELDS, "took_ms": 20},
                CallerOutcome.REFUSED_IMMEDIATELY,
            ),
            (
                "request_failed",
                {**REFUSED_FIELDS, "took_ms": 700},
                CallerOutcome.REFUSED_AFTER_WAIT,
            ),
            ("request_failed", {"status": 502}, CallerOutcome.FAILED),
            ("broken_off", {}, CallerOutcome.FAILED),
            ("caller_gone", {"took_ms": 4000}, CallerOutcome.FAILED),
            ("caller_gone", {"took_ms": 400}, CallerOutcome.ABANDONED),
        ],
    )
    def test_outcome_is_derived_from_the_log_line(
        self, tmp_path: Path, event: str, more: dict[str, object], outcome: CallerOutcome
    ) -> None:
        """The outcome depends on the event, the status and the times of the line."""
        path = tmp_path / "log"
        path.write_text(log_line(event, "a", 1, **more))
        assert [attempt.outcome for attempt in read_caller_attempts([path])] == [outcome]

    def test_served_retry_earns_nothing(self, tmp_path: Path) -> None:
        """The refused first attempt still counts as refused; a failed retry costs extra."""
        refused = log_line("request_failed", "a", 1, **REFUSED_FIELDS, took_ms=0)
        served = caller_value_of(
            tmp_path / "a", refused, log_line("answered", "b", 5, **ANSWERED_FIELDS, **RETRY_FIELDS)
        )
        again = caller_value_of(
            tmp_path / "b",
            refused,
            log_line("request_failed", "b", 5, **REFUSED_FIELDS, **RETRY_FIELDS, took_ms=0),
        )
        assert served.total.relative_value == pytest.approx(0.0)
        assert served.total.retries[CallerOutcome.IN_TIME] == 1
        assert again.total.relative_value == pytest.approx(-CallerWeights().failed_return)

    def test_cost_of_an_unserved_wait_is_linear(self, tmp_path: Path) -> None:
        """Twice the wait costs twice as much if the request fails; a served wait costs nothing."""
        costs = [
            caller_value_of(
                tmp_path / "a", log_line("request_failed", "a", 9, **REFUSED_FIELDS, took_ms=took)
            ).total.cost
            for took in (0, 1500, 3000)
        ]
        assert costs[0] == 0
        assert costs[2] == pytest.approx(2 * costs[1])
        late = caller_value_of(
            tmp_path / "b", log_line("answered", "a", 9, status=200, first_ms=3000, took_ms=5000)
        )
        assert late.total.relative_value == pytest.approx(CallerWeights().late)

    def test_refusal_without_a_query_costs_extra(self, tmp_path: Path) -> None:
        """A refusal costs less if servers were asked for memory or other requests were ahead."""
        end = log_line("request_failed", "a", 1, **REFUSED_FIELDS, took_ms=0)
        for asked, ahead, needless in ((0, 0, 1), (0, 2, 0), (3, 0, 0)):
            place = f"event=place_refused request=a asked={asked} ahead={ahead}\n"
            report = caller_value_of(tmp_path / "a", place, end)
            assert report.total.cost == pytest.approx(needless * CallerWeights().needless)

    def test_value_depends_on_size_and_route_kind(self, tmp_path: Path) -> None:
        """One request has three times the size of another, and one kind 30 times the value."""
        large = log_line("answered", "a", 1, **ANSWERED_FIELDS, prompt=500)
        small = log_line("request_failed", "b", 1, **REFUSED_FIELDS, took_ms=0)
        plain = log_line(
            "request_failed", "c", 1, **REFUSED_FIELDS, took_ms=0, kind="once", route="p", most=0
        )
        weights = CallerWeights(kinds={"stream": 30.0})
        report = caller_value_of(tmp_path / "a", large, small, plain, weights=weights)
        assert report.value_by_route["r"].relative_value == pytest.approx((0.3 + 0.7 * 1.5) / 2)
        assert report.total.potential_value == pytest.approx(61.0)

    def test_request_counts_in_the_window_of_its_start(self, tmp_path: Path) -> None:
        """A request that ends in a later window must not be counted there."""
        report = caller_value_of(
            tmp_path / "a",
            log_line("answered", "a", 5, **ANSWERED_FIELDS, took_ms=5000),
            log_line("request_failed", "b", 4, **REFUSED_FIELDS, took_ms=0),
        )
        assert {
            number: value.relative_value for number, value in report.value_by_window.items()
        } == {
            0: 1,
            2: 0,
        }


class TestCommand:
    """The command ``crankhinge-ctl callers``."""

    def test_report_on_the_log_of_a_gateway(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """One stream is answered in time, and another one is refused for lack of KV memory."""
        harness = GatewayHarness()
        harness.add_replica("i-reader", "llm", "prefill")
        writer = harness.add_replica("i-writer", "llm", "decode")

        async def scenario() -> None:
            assert (await harness.call("served", "/stream/a", **TOKEN_HEADERS))[0] == 200
            writer.free_reservations = 0
            assert (await harness.call("refused", "/stream/a", **TOKEN_HEADERS))[0] == 503

        run_virtual(harness.run, scenario, STREAM_ROUTE, settle_s=0.003)
        path = tmp_path / "log"
        path.write_text("".join(harness.logs.lines))
        assert main(["callers", str(path)]) == 0
        rows = [row.split("|")[1:-1] for row in capsys.readouterr().out.splitlines()]
        totals = {name.strip(): cell.strip() for name, cell in zip(rows[0], rows[2], strict=True)}
        assert totals["in time"] == "1"
        assert int(totals["refused at once"]) + int(totals["refused after a wait"]) == 1
        assert 0.3 < float(totals["worth"]) <= 0.5

    def test_bad_input_exits_with_status_2(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The bad inputs are a log without requests, a missing log and invalid weights."""
        empty = tmp_path / "log"
        empty.write_text("nothing\nevent=answered took_ms=x within_ms=1\n")
        weights = tmp_path / "weights.toml"
        weights.write_text("late = -1\n")
        for args in ([str(empty)], ["none"], [str(empty), "--weights", str(weights)]):
            assert main(["callers", *args]) == 2
            assert capsys.readouterr().err


class TestVaryingWaits:
    """Callers whose maximum waits are between 0.85 and 1.0 of the longest wait.

    With a threshold at a fixed fraction of the longest wait, three of four first attempts
    counted as retries.
    """

    def test_reused_connections_set_the_retry_threshold(self, tmp_path: Path) -> None:
        """A request on a new connection with a shorter wait than these counts as a retry."""
        reused = [
            log_line(
                "answered", f"k{n}", n, **ANSWERED_FIELDS, within_ms=12000 + 250 * n, kept="true"
            )
            for n in range(8)
        ]
        first_attempt = log_line(
            "answered", "n", 9, **ANSWERED_FIELDS, within_ms=12100, kept="false"
        )
        retry = log_line("answered", "b", 10, **ANSWERED_FIELDS, within_ms=9000, kept="false")
        report = caller_value_of(tmp_path / "log", *reused, first_attempt, retry)
        assert report.total.first_attempts[CallerOutcome.IN_TIME] == 9
        assert report.total.retries[CallerOutcome.IN_TIME] == 1
