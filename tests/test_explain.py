"""Tests of ``crankhinge-ctl explain`` and of the page that documents it."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import curio
import pytest

from crankhinge.ctl.main import main
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import Exchange
from platform_fakes import FakeReplica, GatewayHarness, crash, make_events, route
from virtual_time import run_virtual

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
UNSAFE_ROUTE = route("r-once", "/once/", "unsafe", "plain")
STREAM_ROUTE = route("r-stream", "/stream/", "streaming", "llm")
CRASH_ROUTE = route("r-crash", "/crash/", "unsafe", "fragile")
LIMITED_ROUTE = route("r-needy", "/needy/", "unsafe", "needy")
TOKEN_HEADERS = {"x_token_count": "100,50", "length_hint": "40"}


async def reset_connection(_: FakeReplica, exchange: Exchange) -> None:
    """Receive the request and close the connection without a response."""
    raise HttpClosed("reset")


async def break_stream(replica: FakeReplica, exchange: Exchange) -> None:
    """Start a streamed response and close the connection in the middle."""
    await exchange.start_with_fields(200, replica.response_fields(exchange))
    await exchange.write(make_events(1, 2))
    raise HttpClosed("crash")


def make_log(path: Path) -> None:
    """Run five requests that fail in different ways; write the gateway's log to *path*."""
    harness = GatewayHarness()
    harness.add_replica("i-plain", "plain", handler=reset_connection)
    harness.add_replica("i-reader", "llm", "prefill")
    for number in range(3):
        harness.add_replica(f"i-c{number}", "fragile", handler=crash)
    harness.add_replica("i-needy", "needy", advertised_limit="0")
    writer = harness.add_replica("i-writer", "llm", "decode", handler=break_stream)

    async def scenario() -> None:
        assert (await harness.call("unknown", "/once/a"))[0] == 502
        answer = await harness.open("cut", "/stream/a", **TOKEN_HEADERS)
        with pytest.raises((BadHttp, HttpClosed)):
            await answer.read_all()
        await curio.sleep(5.0)
        writer.free_reservations = 0
        assert (await harness.call("refused", "/stream/a", **TOKEN_HEADERS))[0] == 503
        for number in range(3):
            assert (await harness.call(f"crashed{number}", "/crash/a"))[0] == 502
            await curio.sleep(1.0)
        assert (await harness.call("kept", "/crash/a"))[0] == 503
        assert (await harness.call("first", "/needy/a"))[0] == 200
        assert (await harness.call("over", "/needy/a"))[0] == 503

    run_virtual(
        harness.run,
        scenario,
        UNSAFE_ROUTE,
        STREAM_ROUTE,
        CRASH_ROUTE,
        LIMITED_ROUTE,
        settle_s=0.003,
    )
    path.write_text("".join(harness.logs.lines))


class TestExplain:
    """Output of the command for one request id."""

    def test_output_has_state_and_events_of_a_request(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The output has the configuration version, server entry, attempts and outcome."""
        log = tmp_path / "gateway.log"
        make_log(log)
        assert main(["explain", "unknown", str(log)]) == 0
        out = capsys.readouterr().out
        assert re.search(r"believed .* config_in_force  version=1", out)
        assert re.search(r"believed .* server_seen  server=i-plain", out)
        assert re.search(r"happened .* leg_failed  server=i-plain outcome=broken", out)
        assert re.search(r"happened .* request_failed .* outcome=unknown status=502", out)

    def test_decisions_of_the_coordinator_are_shown(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """They are in another log and have no request id; those about other runs are left out."""
        owner, coordinator = tmp_path / "owner.log", tmp_path / "coordinator.log"
        ts = "ts=2026-12-03T20:00:0"
        owner.write_text(
            f"{ts}1Z event=place_taken request=a server=e-1 run=g/5\n"
            f"{ts}2Z event=place_taken request=b server=e-1 run=g/6\n"
        )
        coordinator.write_text(
            f"{ts}1Z event=placement_waiting run=g/5 rank=1\n"
            f"{ts}2Z event=placement_granted run=g/6 server=e-1\n"
            f"{ts}3Z event=placement_granted run=g/5 server=e-1\n"
            f"{ts}4Z event=placement_granted run=h/5 server=e-1\n"
        )
        assert main(["explain", "a", str(owner), str(coordinator)]) == 0
        shown = capsys.readouterr().out
        assert re.findall(r" s  (\w+)  .*run=(\S+)", shown) == [
            ("place_taken", "g/5"),
            ("placement_waiting", "g/5"),
            ("placement_granted", "g/5"),
        ]

    def test_quarantine_of_a_part_of_the_prompt_is_shown(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The request itself was never sent before, so its fingerprint leads to nothing."""
        log = tmp_path / "gateway.log"
        ts = "ts=2026-12-04T20:00:0"
        log.write_text(
            f"{ts}1Z event=request_quarantined fingerprint=p:bad crashes=3\n"
            f"{ts}1Z event=request_quarantined fingerprint=p:other crashes=3\n"
            f"{ts}2Z event=request_failed request=a fingerprint=f00d parts=5a,bad,own\n"
        )
        assert main(["explain", "a", str(log)]) == 0
        believed = [line for line in capsys.readouterr().out.splitlines() if "believed" in line]
        assert [line.split()[-2] for line in believed] == ["fingerprint=p:bad"]

    def test_unknown_request_exits_with_status_2(self, tmp_path: Path) -> None:
        """A log that does not exist has the same exit status as an unknown request id."""
        log = tmp_path / "gateway.log"
        log.write_text("")
        assert main(["explain", "nobody", str(log)]) == 2
        assert main(["explain", "nobody", str(tmp_path / "none")]) == 2


class TestOperationsPage:
    """The commands of docs/OPERATIONS.md for five failed requests."""

    def test_commands_print_the_lines_of_the_page(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Each command succeeds and prints the words of the lines below it on the page."""
        monkeypatch.chdir(tmp_path)
        make_log(tmp_path / "gateway.log")
        page = PAGE.read_text()
        blocks = re.findall(r"^    crankhinge-ctl (.*)\n((?:    .*\n)*)", page, re.MULTILINE)
        assert len(blocks) == 5
        for command, lines in blocks:
            assert main(shlex.split(command)) == 0
            out = capsys.readouterr().out
            for line in lines.splitlines():
                for word in line.split():
                    assert word == "..." or word in out, (command, word)
