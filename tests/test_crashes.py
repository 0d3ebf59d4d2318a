"""Tests of how a gateway tells a crashed server from a closed connection."""

from __future__ import annotations

import curio
import pytest

from crankhinge.errors import HttpClosed
from crankhinge.http import ConnectFailed, Exchange, HttpClient
from platform_fakes import FakeReplica, GatewayHarness, crash, route
from virtual_time import run_virtual

ONCE = route("r-once", "/once/", "unsafe", "plain")
# Seconds in which a probe of the server ends and the last log line of a request is written.
PROBE_WAIT_S = 0.2


async def close_without_response(_: FakeReplica, exchange: Exchange) -> None:
    """Close the connection in the middle of a request; the server keeps running."""
    raise HttpClosed("reset")


def log_lines_after(handler: object, event: str) -> list[str]:
    """Return the log lines of *event* after a server cut a request."""
    harness = GatewayHarness()
    harness.add_replica("i-1", "plain", handler=handler)

    async def scenario() -> None:
        assert (await harness.call("a", "/once/a"))[0] == 502
        await curio.sleep(PROBE_WAIT_S)

    run_virtual(harness.run, scenario, ONCE, settle_s=0.003)
    return harness.logs.matching(f"event={event}", "server=i-1", "cut=1")


class TestCrashDetector:
    """Detection of a crashed server by a probe of its address."""

    def test_server_that_refuses_connections_has_crashed(self) -> None:
        """Its process is gone, and its sockets with it."""
        assert log_lines_after(crash, "server_crashed")

    def test_server_that_only_closed_the_connection_is_running(self) -> None:
        """No crash of the server is logged."""
        assert log_lines_after(close_without_response, "server_lives")
        assert not log_lines_after(close_without_response, "server_crashed")


class TestRemovedEntry:
    """Crashes that a probe cannot detect.

    The server's instance is unresponsive, or another incarnation already listens at the address.
    The entry of a server that crashed is removed within seconds.
    """

    def log_lines_after(
        self, monkeypatch: pytest.MonkeyPatch, *, after_s: float, leaving: bool = False
    ) -> list[str]:
        """Return the crash lines when the entry is removed *after_s* after a request was cut."""
        harness = GatewayHarness()
        server = harness.add_replica("i-1", "plain", handler=close_without_response)

        async def time_out(client: HttpClient) -> bool:
            raise ConnectFailed("no connection in 0.35 s")

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 502
            await curio.sleep(after_s)
            if leaving:
                await server.publish_entry("draining")
                await curio.sleep(PROBE_WAIT_S)
            await harness.store.remove("servers/i-1")
            await curio.sleep(1.0)

        monkeypatch.setattr(HttpClient, "is_listening", time_out)
        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)
        return harness.logs.matching("event=server_crashed", "server=i-1", "why=entry_gone")

    def test_removal_soon_after_cut_requests_means_a_crash(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The entry is removed three heartbeats later."""
        assert self.log_lines_after(monkeypatch, after_s=3.0)

    def test_removal_before_requests_are_cut_means_a_crash(self) -> None:
        """A suspended gateway reads both together; another incarnation listens at the address."""
        harness = GatewayHarness()

        async def remove_entry_then_close(replica: FakeReplica, exchange: Exchange) -> None:
            await harness.store.remove("servers/i-1")
            await curio.sleep(1.0)
            raise HttpClosed("crash")

        harness.add_replica("i-1", "plain", handler=remove_entry_then_close)

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 502
            await curio.sleep(PROBE_WAIT_S)

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)
        assert harness.logs.matching("event=server_crashed", "why=entry_gone")

    def test_removal_long_after_cut_requests_means_no_crash(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The requests were cut for another reason."""
        assert not self.log_lines_after(monkeypatch, after_s=20.0)

    def test_removal_of_a_leaving_server_means_no_crash(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The server announced that it was leaving."""
        assert not self.log_lines_after(monkeypatch, after_s=1.0, leaving=True)


class TestLeavingServer:
    """A leaving server ends as planned, even if it cuts a request that it is running."""

    def test_cut_request_is_no_crash(self) -> None:
        """The server is not probed, and no crash is logged."""
        harness = GatewayHarness()

        async def leave_and_crash(replica: FakeReplica, exchange: Exchange) -> None:
            await replica.publish_entry("draining")
            await curio.sleep(1.0)
            await replica.crash()

        harness.add_replica("i-1", "plain", handler=leave_and_crash)

        async def scenario() -> None:
            assert (await harness.call("a", "/once/a"))[0] == 502
            await curio.sleep(PROBE_WAIT_S)

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)
        assert not harness.logs.matching("event=server_crashed")


class TestFingerprint:
    """Fingerprints in log lines, by which the attempts at one request are recognized."""

    @pytest.mark.parametrize(
        ("path", "body", "same"),
        [("/once/a", b"b", True), ("/once/a", b"c", False), ("/once/a?x=1", b"b", False)],
    )
    def test_depends_on_path_query_and_body_only(self, path: str, body: bytes, same: bool) -> None:
        """The request id of the attempt does not count."""
        harness = GatewayHarness()
        harness.add_replica("i-1", "plain")
        fingerprints: list[str] = []

        async def scenario() -> None:
            await harness.call("first", "/once/a", body=b"b")
            await harness.call("second", path, body=body)
            await curio.sleep(PROBE_WAIT_S)
            for line in harness.logs.matching("event=answered"):
                fingerprints.append(line.split("fingerprint=")[1].split()[0])

        run_virtual(harness.run, scenario, ONCE, settle_s=0.003)
        assert len(fingerprints) == 2
        assert (fingerprints[0] == fingerprints[1]) is same
