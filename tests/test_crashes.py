"""Tests of what is made of a connection that ends in the middle of a request."""

from __future__ import annotations

import curio
import pytest

from crankhinge.errors import HttpClosed
from crankhinge.http import ConnectFailed, Exchange, HttpClient
from platform_fakes import FakeReplica, GatewayHarness, crash, route
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
# Longer than a look takes and than the last line of a request is late, in seconds.
LOOKED_S = 0.2


async def reset(_: FakeReplica, exchange: Exchange) -> None:
    """Close in the middle of a request; the server lives on."""
    raise HttpClosed("reset")


def lines_after(behave: object, event: str) -> list[str]:
    """Return the lines of an event after a server cut a request."""
    harness = GatewayHarness()
    harness.add_replica("i-1", "plain", handler=behave)

    async def story() -> None:
        assert (await harness.call("a", "/once/a"))[0] == 502
        await curio.sleep(LOOKED_S)

    run_virtual(harness.run, story, ONCE, settle_s=0.003)
    return harness.logs.matching(f"event={event}", "server=i-1", "cut=1")


class TestCrashDetector:
    """The line tells a server that crashed from a connection that ended."""

    def test_a_server_at_whose_address_nobody_listens_has_crashed(self) -> None:
        """Its process is gone, and its sockets with it."""
        assert lines_after(crash, "server_crashed")

    def test_a_server_that_only_cut_the_connection_lives(self) -> None:
        """No crash is believed."""
        assert lines_after(reset, "server_lives")
        assert not lines_after(reset, "server_crashed")


class TestEntryGone:
    """A look does not tell a crash: the machine is silent, or another life listens there already.

    The entry of a server that crashed goes within seconds.
    """

    def lines_after(
        self, monkeypatch: pytest.MonkeyPatch, *, after_s: float, leaving: bool = False
    ) -> list[str]:
        """Return the lines of crashes when the entry went *after_s* after a request was cut."""
        harness = GatewayHarness()
        server = harness.add_replica("i-1", "plain", handler=reset)

        async def silent(client: HttpClient) -> bool:
            raise ConnectFailed("no connection in 0.35 s")

        async def story() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 502
            await curio.sleep(after_s)
            if leaving:
                await server.publish_entry("draining")
                await curio.sleep(LOOKED_S)
            await harness.store.remove("servers/i-1")
            await curio.sleep(1.0)

        monkeypatch.setattr(HttpClient, "is_listening", silent)
        run_virtual(harness.run, story, ONCE, settle_s=0.003)
        return harness.logs.matching("event=server_crashed", "server=i-1", "why=entry_gone")

    def test_soon_after_its_requests_were_cut_tells_a_crash(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Three heartbeats later."""
        assert self.lines_after(monkeypatch, after_s=3.0)

    def test_before_its_requests_are_known_to_be_cut_tells_a_crash(self) -> None:
        """An instance that stood still hears of both together; another life listens there."""
        harness = GatewayHarness()

        async def end_after_its_entry(replica: FakeReplica, exchange: Exchange) -> None:
            await harness.store.remove("servers/i-1")
            await curio.sleep(1.0)
            raise HttpClosed("crash")

        harness.add_replica("i-1", "plain", handler=end_after_its_entry)

        async def story() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 502
            await curio.sleep(LOOKED_S)

        run_virtual(harness.run, story, ONCE, settle_s=0.003)
        assert harness.logs.matching("event=server_crashed", "why=entry_gone")

    def test_long_after_tells_none(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The cut had another cause."""
        assert not self.lines_after(monkeypatch, after_s=20.0)

    def test_of_a_server_that_leaves_tells_none(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """It said so."""
        assert not self.lines_after(monkeypatch, after_s=1.0, leaving=True)


class TestLeaving:
    """A server that leaves ends as planned, also where it cuts what it is running."""

    def test_is_no_crash(self) -> None:
        """Nobody looks at it."""
        harness = GatewayHarness()

        async def leave_and_end(replica: FakeReplica, exchange: Exchange) -> None:
            await replica.publish_entry("draining")
            await curio.sleep(1.0)
            await replica.crash()

        harness.add_replica("i-1", "plain", handler=leave_and_end)

        async def story() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 502
            await curio.sleep(LOOKED_S)

        run_virtual(harness.run, story, ONCE, settle_s=0.003)
        assert not harness.logs.matching("event=server_crashed")


class TestFingerprint:
    """Attempts at one request are told by their lines."""

    @pytest.mark.parametrize(
        ("path", "body", "same"),
        [("/once/a", b"b", True), ("/once/a", b"c", False), ("/once/a?x=1", b"b", False)],
    )
    def test_is_equal_for_one_request_under_other_identities(
        self, path: str, body: bytes, same: bool
    ) -> None:
        """Path, query and body count; the identity of the attempt does not."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        seen: list[str] = []

        async def story() -> None:
            await harness.call("first", "/once/a", body=b"b")
            await harness.call("second", path, body=body)
            await curio.sleep(LOOKED_S)
            for line in harness.logs.matching("event=answered"):
                seen.append(line.split("fingerprint=")[1].split()[0])

        run_virtual(harness.run, story, ONCE, settle_s=0.003)
        assert len(seen) == 2
        assert (seen[0] == seen[1]) is same
