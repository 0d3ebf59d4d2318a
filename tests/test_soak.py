"""Tests of the soak: its paths, its checker, and a short run of real processes."""

from __future__ import annotations

import dataclasses
from functools import partial
from pathlib import Path
from typing import Any, cast

import curio
import pytest

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import Exchange, HttpClient, serve_http
from crankhinge.runtime import get_log, until_first
from crankhinge_bench._procs import HOST, free_ports
from crankhinge_soak._check import check
from crankhinge_soak._faults import FaultInjector, InjectedFault
from crankhinge_soak._fleet import LIMITED_ACCOUNT, UNLIMITED_ACCOUNT, Fleet
from crankhinge_soak._history import History
from crankhinge_soak._load import ObservedRequest, Probe
from crankhinge_soak._proxy import PathFault, Proxy
from crankhinge_soak.main import main, make_parser, run_seed, select_seeds

# What a server records that said it leaves, or that it wants rest.
LEAVES: dict[str, Any] = {"leaving": True, "rest_s": 0.0}
RESTS: dict[str, Any] = {"leaving": False, "rest_s": 3.0}
# Wall clock at which the histories of these tests begin.
T0 = 1000.0
CASES = Path(__file__).resolve().parent.parent / "docs" / "soak-cases.toml"


def seen(ident: str, path: str = "/once/", **more: Any) -> ObservedRequest:
    """Return a request that was answered well by one instance."""
    good = {"sent": T0, "ended": T0 + 0.1, "status": 200, "complete": True}
    return ObservedRequest(ident, path, "gateway-0", **{**good, **more})


def row(kind: str, ident: str, at: float = T0 + 0.05, **more: Any) -> dict[str, Any]:
    """Return what a server of the service in force recorded."""
    base = {"kind": kind, "request": ident, "server": "i-1", "service": "plain-a", "at": at}
    if kind == "arrival":
        base |= {"account": UNLIMITED_ACCOUNT, "key": ""}
    return {**base, **more}


def history(**more: Any) -> History:
    """Return a history in which one request was run and answered, and nothing was broken."""
    whole: dict[str, Any] = {
        "seen": [seen("q1")],
        "probes": [],
        "rows": [row("arrival", "q1"), row("run", "q1")],
        "troubles": [],
        "acknowledged": [(T0 - 10, 1, "plain-a")],
        "places": {"i-1": "plain-a-one-0"},
        "held": {"llm-decode-0": 0},
        "calm_from": T0,
        "exits": [],
    }
    return History(**{**whole, **more})


def broken(found: History) -> list[str]:
    """Return the promises that the checker calls broken."""
    return [verdict.promise for verdict in check(found) if verdict.broken]


def test_a_good_history_breaks_nothing() -> None:
    """Otherwise the tests below would show nothing."""
    assert broken(history()) == []


STOP = InjectedFault("stop", "gateway-0", T0 - 1, T0 + 5, planned=True)
CUT = {"status": 0, "complete": False, "failure": "closed: in mid-body", "ended": T0 + 1}
SECOND = (T0 + 10, 2, "plain-b")
# What breaks each promise: the promise, and how the history differs from a good one.
FAULTS: dict[str, tuple[str, dict[str, Any]]] = {
    "bytes of another request": (
        "whole answer to its own request",
        {"seen": [seen("q1", body_correct=False)]},
    ),
    "a success that no server gave": (
        "whole answer to its own request",
        {"seen": [seen("q1", from_instance=True)]},
    ),
    "two runs of what may run once": (
        "no request runs more often than allowed",
        {"rows": [row("run", "q1"), row("run", "q1", server="i-2")]},
    ),
    "told not run, and ran": (
        "not run is true",
        {"seen": [seen("q1", status=503, from_instance=True)], "calm_from": T0 + 9},
    ),
    "a run that nobody asked for": (
        "servers run only what callers sent",
        {"rows": [row("run", "q1"), row("run", "q2")]},
    ),
    "work for a server that left": (
        "a leaving server gets no new work",
        {
            "rows": [row("leaves", "", T0 - 6), row("arrival", "q1"), row("run", "q1")],
        },
    ),
    "a request cut by a planned stop": (
        "a planned stop cuts nothing",
        {"seen": [seen("q1", **CUT)], "troubles": [STOP], "calm_from": T0 + 9},
    ),
    "a version that went back": (
        "a configuration is in force and never reverts",
        {
            "acknowledged": [(T0 - 10, 1, "plain-a"), (T0 - 0.2, 2, "plain-a")],
            "probes": [
                Probe("gateway-0", 1, 2, T0, True),
                Probe("gateway-0", 1, 2, T0 + 0.5, False),
            ],
        },
    ),
    "a version that came late": (
        "a configuration is in force and never reverts",
        {"probes": [Probe("gateway-0", 1, 1, T0, False)]},
    ),
    "a call at the old service": (
        "calls go where the configuration sends them",
        {
            "acknowledged": [(T0 - 60, 1, "plain-b"), (T0 - 30, 2, "plain-a")],
            "rows": [row("run", "q1", service="plain-b")],
        },
    ),
    "no final answer": (
        "a final answer in time",
        {
            "seen": [seen("q1", status=0, complete=False, failure="no end in time", ended=T0 + 6)],
            "calm_from": T0 + 9,
        },
    ),
    "a key shown to a server": (
        "servers are told the account and never the key",
        {"rows": [row("arrival", "q1", key="Bearer key-1"), row("run", "q1")]},
    ),
    "another account": (
        "servers are told the account and never the key",
        {"rows": [row("arrival", "q1", account=LIMITED_ACCOUNT), row("run", "q1")]},
    ),
    "more than a server takes": (
        "a server gets no more than it says it takes",
        {
            "seen": [seen(f"q{number}") for number in range(20)],
            "rows": [
                row("arrival", f"q{number}", T0 + number / 2, limit="0.5") for number in range(20)
            ],
            "calm_from": T0 + 99,
        },
    ),
    "a server that said it leaves": (
        "a server that says it leaves gets no new work",
        {
            "seen": [seen("q1"), seen("q2", sent=T0 + 4)],
            "rows": [
                *(row("arrival", "q1"), row("run", "q1"), row("told", "q1", **LEAVES)),
                *(row("arrival", "q2", T0 + 4.1), row("run", "q2", T0 + 4.1)),
            ],
        },
    ),
    "a server that wants rest": (
        "a server that wants rest gets it",
        {
            "seen": [
                seen("q1", status=503, from_instance=True),
                *(seen(f"q{n}") for n in range(2, 5)),
            ],
            "rows": [
                *(row("arrival", "q1"), row("told", "q1", **RESTS)),
                *(row("arrival", f"q{n}", T0 + n / 2) for n in range(2, 5)),
            ],
        },
    ),
    "a key that was taken away long ago": (
        "a key that was taken away runs nothing after its bound",
        {"seen": [seen("q1", key="key-1"), seen("q2")], "revoked": {"key-1": T0 - 6}},
    ),
    "more than an account may use": (
        "an account's use stays within its limit",
        {
            "seen": [
                *(seen(f"q{n}", account=LIMITED_ACCOUNT, tokens=4000) for n in range(1, 6)),
                seen("q6"),
            ],
            "rows": [row("run", f"q{n}", T0 + n) for n in range(1, 6)],
        },
    ),
    "memory that stays tied": ("no engine memory stays tied", {"held": {"llm-decode-0": 300}}),
    "one fence for two holders": (
        "orders come from one holder of a right",
        {
            "rows": [
                {"kind": "order", "fencing_token": 7, "holder": name, "at": T0}
                for name in ("gateway-0", "gateway-1")
            ]
        },
    ),
    "nothing served once all is whole": (
        "served again once all is whole",
        {"seen": [seen("q1", status=503, from_instance=True)], "rows": []},
    ),
    "an exit": ("no process ends by itself", {"exits": ["gateway-1"]}),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_finds(fault: str) -> None:
    """Exactly the promise that the fault breaks."""
    promise, differs = FAULTS[fault]
    assert promise in broken(history(**differs))


def test_an_episode_draws_for_itself() -> None:
    """However many draws others made before: the seed fixes the schedule, not the machine."""
    faults = FaultInjector(cast(Fleet, None), 5)
    first = faults._with_own_rng(2)._rng.random()
    faults._with_own_rng(1)._rng.random()
    assert faults._with_own_rng(2)._rng.random() == first
    assert faults._with_own_rng(3)._rng.random() != first
    assert faults._with_own_rng(2).played is faults.played


class TestExcuses:
    """What does not count against an instance."""

    def test_an_instance_out_of_touch_may_be_late(self) -> None:
        """The path to the store was cut until a moment ago."""
        cut = InjectedFault("store-path-silent", "gateway-0/store", T0 - 20, T0 - 1)
        late = Probe("gateway-0", 1, 1, T0, False)
        assert broken(history(probes=[late], troubles=[cut])) == []

    def test_but_it_never_goes_back(self) -> None:
        """Whatever befalls its path to the store."""
        cut = InjectedFault("store-path-silent", "gateway-0/store", T0 - 20, T0 + 20)
        probes = [Probe("gateway-0", 1, 1, T0 + n, known) for n, known in ((0, True), (1, False))]
        assert broken(history(probes=probes, troubles=[cut])) == [
            "a configuration is in force and never reverts"
        ]

    def test_a_new_life_may_know_less(self) -> None:
        """It was started again."""
        probes = [Probe("gateway-0", 1, 1, T0 - 9, True), Probe("gateway-0", 2, 1, T0 - 8.9, False)]
        again = InjectedFault("kill", "gateway-0", T0 - 9, T0 - 8.9)
        assert broken(history(probes=probes, troubles=[again])) == []

    def test_a_stop_is_not_blamed_for_a_server_that_was_killed(self) -> None:
        """The stream was on it."""
        killed = InjectedFault("kill", "plain-a-one-0", T0 + 0.5, T0 + 0.9)
        cut = dataclasses.replace(seen("q1"), **CUT)
        found = history(seen=[cut], troubles=[STOP, killed], calm_from=T0 + 9)
        assert "a planned stop cuts nothing" not in broken(found)

    @pytest.mark.parametrize("fault", ["a server that said it leaves", "a server that wants rest"])
    @pytest.mark.parametrize(("target", "excuses"), [("gateway-0", True), ("gateway-1", False)])
    def test_a_server_is_told_to_one_instance(self, fault: str, target: str, excuses: bool) -> None:
        """What befell another one excuses nothing."""
        promise, differs = FAULTS[fault]
        trouble = InjectedFault("pause", target, T0 + 0.3, T0 + 0.6)
        assert (promise not in broken(history(**differs, troubles=[trouble]))) is excuses

    def test_nor_for_one_that_was_killed_before_it_recorded_the_request(self) -> None:
        """The prompt of a stream was read elsewhere; its connection to the writer was reset."""
        stream = dataclasses.replace(seen("q1", "/stream/"), **CUT)
        read = row("arrival", "q1", server="i-r")
        places = {"i-r": "llm-prefill-0", "i-w": "llm-decode-1"}
        killed = InjectedFault("kill", "llm-decode-1", T0 + 0.5, T0 + 0.9)
        story = {"seen": [stream], "calm_from": T0 + 9, "places": places}
        promise = "a planned stop cuts nothing"
        found = history(**story, troubles=[STOP, killed], rows=[read])
        assert promise not in broken(found)
        # Another server's record tells which one it was; a kill before or after it is no excuse.
        elsewhere = row("arrival", "q1", server="i-w2")
        for rows, trouble in (
            ([read, elsewhere], killed),
            ([read], dataclasses.replace(killed, began=T0 - 3, ended=T0 - 2)),
            ([read], dataclasses.replace(killed, target="plain-a-one-0")),
        ):
            places["i-w2"] = "llm-decode-2"
            found = history(**story, troubles=[STOP, trouble], rows=rows)
            assert promise in broken(found)


async def _echo(exchange: Exchange) -> None:
    await exchange.respond(200, exchange.req.path.encode())


async def _on_bad(exchange: Exchange, exc: BadHttp) -> None:
    await exchange.respond(400, exc.detail.encode())


class TestProxy:
    """A path and its harm."""

    def play(self, story: Any) -> None:
        """Run *story* with a path to a server that echoes."""
        port, target = free_ports(2)
        proxy, log = Proxy(port, target), get_log(program="t")

        async def server() -> None:
            await serve_http(HOST, target, _echo, on_bad=_on_bad, log=log)

        async def told() -> None:
            await curio.sleep(0.1)
            await story(proxy, HttpClient(HOST, port, pool_size=1))

        curio.run(until_first, server, proxy.run, told)

    @pytest.mark.parametrize(
        "harm", [PathFault.SILENT, PathFault.CUT_TO_TARGET, PathFault.CUT_TO_CALLER]
    )
    def test_a_cut_holds_bytes_up_until_it_is_over(self, harm: PathFault) -> None:
        """They are delivered then, in order."""

        async def story(proxy: Proxy, client: HttpClient) -> None:
            assert (await client.call("GET", "/a")).body == b"/a"
            proxy.fault = harm
            call = await curio.spawn(client.call, "GET", "/b")
            await curio.sleep(0.3)
            assert not call.terminated
            proxy.fault = PathFault.NONE
            assert (await call.join()).body == b"/b"

        self.play(story)

    def test_a_reset_ends_open_connections(self) -> None:
        """And new ones come up."""

        async def story(proxy: Proxy, client: HttpClient) -> None:
            proxy.fault = PathFault.CUT_TO_CALLER
            call = await curio.spawn(client.call, "GET", "/a")
            await curio.sleep(0.2)
            await proxy.reset()
            with pytest.raises(curio.TaskError) as caught:
                await call.join()
            assert isinstance(caught.value.__cause__, HttpClosed)
            proxy.fault = PathFault.NONE
            assert (await client.call("GET", "/b")).body == b"/b"

        self.play(story)

    def test_muted_connections_stay_open_and_new_ones_work(self) -> None:
        """Nothing at the connection shows it: only a time-out does."""

        async def story(proxy: Proxy, client: HttpClient) -> None:
            assert (await client.call("GET", "/a")).body == b"/a"
            proxy.mute()
            call = await curio.spawn(client.call, "GET", "/b")
            await curio.sleep(0.5)
            assert not call.terminated
            assert (await client.call("GET", "/c", fresh=True)).body == b"/c"
            await call.cancel()
            assert (await client.call("GET", "/d")).body == b"/d"

        self.play(story)

    def test_a_thin_path_takes_its_time_back_only(self) -> None:
        """In bytes a second."""
        port, target = free_ports(2)

        async def serve_long(exchange: Exchange) -> None:
            await exchange.respond(200, b"x" * 50_000)

        async def story() -> None:
            await curio.sleep(0.1)
            began = await curio.clock()
            assert len((await HttpClient(HOST, port).call("GET", "/a")).body) == 50_000
            assert 0.4 < await curio.clock() - began < 3.0

        log = get_log(program="t")
        server = partial(serve_http, HOST, target, serve_long, on_bad=_on_bad, log=log)
        curio.run(until_first, server, Proxy(port, target, 100_000).run, story)

    def test_a_port_that_nobody_listens_on_resets(self) -> None:
        """As it does without a path between."""
        port, target = free_ports(2)

        async def story() -> None:
            await curio.sleep(0.1)
            with pytest.raises(HttpClosed):
                await HttpClient(HOST, port).call("GET", "/a")

        curio.run(until_first, Proxy(port, target).run, story)


class TestRun:
    """Real processes under faults."""

    def test_kept_cases_can_be_read(self, tmp_path: Path) -> None:
        """Seeds and lengths, in order; the file of the repository too, which is played by hand."""
        kept = tmp_path / "cases.toml"
        kept.write_text("[[case]]\nseed = 7\nseconds = 3\n[[case]]\nseed = 9\nseconds = 4\n")
        parser = make_parser()
        assert select_seeds(parser.parse_args(["--cases", str(kept)])) == [(7, 3.0), (9, 4.0)]
        assert select_seeds(parser.parse_args(["--seed", "5", "--repeat", "2"])) == [
            (5, 20),
            (6, 20),
        ]
        assert select_seeds(parser.parse_args(["--cases", str(CASES)]))

    def test_a_short_run_breaks_nothing(self) -> None:
        """One seed of a few seconds; long runs are made by hand (docs/FAULTS.md)."""
        report = run_seed(1, 6.0)
        assert [verdict for verdict in report.verdicts if verdict.broken] == []
        assert report.requests > 100
        assert report.faults

    def test_unknown_kinds_are_told(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Exit status 2 and what there is."""
        with pytest.raises(SystemExit) as caught:
            main(["--kinds", "meteor"])
        assert caught.value.code == 2
        assert "kill-gateway" in capsys.readouterr().err
