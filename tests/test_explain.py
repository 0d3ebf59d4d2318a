"""Tests of the story of one request, and of the page that shows how to get it."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import curio
import pytest

from crankhinge.ctl.main import main
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import Exchange
from platform_fakes import FakeReplica, World, crash, events, route
from virtual_time import run_virtual

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
ONCE = route("r-once", "/once/", "unsafe", "plain")
STREAM = route("r-stream", "/stream/", "streaming", "llm")
CRASH = route("r-crash", "/crash/", "unsafe", "fragile")
NEEDY = route("r-needy", "/needy/", "unsafe", "needy")
TOKENS = {"x_token_count": "100,50", "length_hint": "40"}


async def reset(_: FakeReplica, exchange: Exchange) -> None:
    """Take the request and close without an answer."""
    raise HttpClosed("reset")


async def broken(replica: FakeReplica, exchange: Exchange) -> None:
    """Begin a stream and close."""
    await exchange.start_with_fields(200, replica.head(exchange))
    await exchange.write(events(1, 2))
    raise HttpClosed("crash")


def make_log(path: Path) -> None:
    """Play requests that fail in five ways and write the gateway's log."""
    world = World()
    world.add("i-plain", "plain", behave=reset)
    world.add("i-reader", "llm", "prefill")
    for number in range(3):
        world.add(f"i-c{number}", "fragile", behave=crash)
    world.add("i-needy", "needy", limit="0")
    writer = world.add("i-writer", "llm", "decode", behave=broken)

    async def story() -> None:
        assert (await world.call("unknown", "/once/a"))[0] == 502
        answer = await world.open("cut", "/stream/a", **TOKENS)
        with pytest.raises((BadHttp, HttpClosed)):
            await answer.read_all()
        await curio.sleep(5.0)
        writer.room = 0
        assert (await world.call("refused", "/stream/a", **TOKENS))[0] == 503
        for number in range(3):
            assert (await world.call(f"crashed{number}", "/crash/a"))[0] == 502
            await curio.sleep(1.0)
        assert (await world.call("kept", "/crash/a"))[0] == 503
        assert (await world.call("first", "/needy/a"))[0] == 200
        assert (await world.call("over", "/needy/a"))[0] == 503

    run_virtual(world.play, story, ONCE, STREAM, CRASH, NEEDY, settle_s=0.003)
    path.write_text("".join(world.lines.text))


class TestExplain:
    """From an identity to the cause."""

    def test_shows_what_was_believed_and_what_happened(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The configuration's version, the server's entry, each step, the outcome."""
        log = tmp_path / "gateway.log"
        make_log(log)
        assert main(["explain", "unknown", str(log)]) == 0
        out = capsys.readouterr().out
        assert re.search(r"believed .* config_in_force  version=1", out)
        assert re.search(r"believed .* server_seen  server=i-plain", out)
        assert re.search(r"happened .* leg_failed  server=i-plain outcome=broken", out)
        assert re.search(r"happened .* request_failed .* outcome=unknown status=502", out)

    def test_an_identity_that_no_log_knows_is_bad_input(self, tmp_path: Path) -> None:
        """Status 2, and so for a file that is not there."""
        log = tmp_path / "gateway.log"
        log.write_text("")
        assert main(["explain", "nobody", str(log)]) == 2
        assert main(["explain", "nobody", str(tmp_path / "none")]) == 2


class TestOperationsPage:
    """docs/OPERATIONS.md, five failed requests from top to bottom."""

    def test_commands_show_the_lines_of_the_page(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Each command ends well, and each pattern below it is in what it prints."""
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
