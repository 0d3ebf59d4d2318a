"""Each way in which a request reaches a server, with each word that bars the server.

What was seen: each word that servers say of themselves was kept on the ways that its own tests went
and broken on another: a limit where streams are taken up elsewhere, a rest where all servers rest.
Cause: no list of the ways stood anywhere, so each word was tried on those that came to mind.
"""

from __future__ import annotations

import ast
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import curio
import pytest

import crankhinge.gateway
from behaviours import BACKOFF_S, BackoffHandler, break_stream, respond_error, respond_slowly
from crankhinge.decisions import ExclusionReason
from limit_worlds import (
    ONCE,
    RESUMED,
    SAFE,
    STREAM,
    TOKENS,
    LimitedFleet,
    allowed,
    most_arrivals,
)
from platform_fakes import Arrival, FakeReplica, RequestHandler, respond_stream

ASKED_PER_S = 15.0
ASKED_S = 6.0
SAID_AT_S = 1.5
# Seconds for which callers still ask when a server is barred no more: whichever instance it refused
# last leaves it alone for one rest from then.
ASKED_AGAIN_S = BACKOFF_S + 4.0
# Seconds after which a server that leaves, or whose entry is gone, may get none, and those that a
# request which was sent before may still take to arrive: its prompt is read elsewhere meanwhile.
DRAIN_S = 2.0
UNDER_WAY_S = 0.9
MOST_IN_REST = 2
# Seconds after which a server that is barred no more is known to be so.
BACK_S = 1.0
LIMIT_PER_S = 1.0


@dataclass
class Way:
    """Some instances and servers, and what callers ask for.

    Attributes:
        fleet: the instances.
        server: the one that is barred.
        path: that callers ask for.
        goes: whether a request that reached the server came by this way.
        tokens: fields that requests carry.
    """

    fleet: LimitedFleet
    server: FakeReplica
    path: str
    goes: Callable[[Arrival], bool] = lambda _: True
    tokens: dict[str, str] = field(default_factory=dict)


def first_tries(instances: int, *, others: int = 1) -> Way:
    """Return the way of plain calls that are sent for the first time."""
    fleet = LimitedFleet(instances)
    server = fleet.add("i-barred", handler=respond_slowly)
    for number in range(others):
        fleet.add(f"i-{number}", handler=respond_slowly)
    return Way(fleet, server, "/once/a")


def repeats() -> Way:
    """Return the way of calls that failed at another server."""
    fleet = LimitedFleet(1)
    server = fleet.add("i-barred", handler=respond_slowly)
    failing = fleet.add("i-failing", handler=respond_error)

    def failed_before(arrival: Arrival) -> bool:
        return any(each.request_id == arrival.request_id for each in failing.arrivals)

    return Way(fleet, server, "/safe/a", failed_before)


def engines(fleet: LimitedFleet, phase: str, **more: Any) -> Callable[[str], FakeReplica]:
    """Return what adds engines of one part.

    They are busy with an order of somebody else, so that none is ordered to change its part.
    """
    return partial(
        fleet.add, service="llm", role=phase, order_status=409, free_reservations=10_000, **more
    )


def readings(*, second: bool) -> Way:
    """Return the way of prompts that are read apart, or once more after a refusal."""
    fleet = LimitedFleet(1)
    server = engines(fleet, "prefill", prefill_s=0.1)("i-barred")
    engines(fleet, "prefill", prefill_s=0.1, refuses_prefill=second)("i-other")
    engines(fleet, "decode", handler=respond_stream)("i-writer")
    return Way(fleet, server, "/stream/a", lambda each: "x-stage" in each.headers, TOKENS)


def writings(*, readers: int = 1, read_s: float = 0.0, others: int = 1) -> Way:
    """Return the way of streams; their prompts are read elsewhere while their place is held."""
    fleet = LimitedFleet(1)
    writer = engines(fleet, "decode", handler=respond_stream)
    for number in range(readers):
        engines(fleet, "prefill", prefill_s=read_s)(f"i-reader{number}")
    server = writer("i-barred")
    for number in range(others):
        writer(f"i-writer{number}")
    fetches = readers > 0
    return Way(
        fleet, server, "/stream/a", lambda each: ("kv-from" in each.headers) == fetches, TOKENS
    )


def taken_up() -> Way:
    """Return the way of streams that broke off at another engine."""
    fleet = LimitedFleet(1)
    engines(fleet, "prefill")("i-reader")
    server = engines(fleet, "decode", handler=respond_stream)("i-barred")
    engines(fleet, "decode", handler=break_stream)("i-breaking")
    return Way(fleet, server, "/resumed/a", lambda each: "last-event-id" in each.headers, TOKENS)


async def leaves(server: FakeReplica) -> None:
    """Have a server say that it leaves."""
    server.leaving = True


async def rests(server: FakeReplica) -> None:
    """Have a server refuse all and ask for rest."""
    server.handler = server.prefill_handler = BackoffHandler(BACKOFF_S)


async def names_limit(server: FakeReplica) -> None:
    """Have a server name a limit."""
    server.advertised_limit = f"{LIMIT_PER_S:g}"


async def loses_entry(server: FakeReplica) -> None:
    """Take a server's entry out of the list."""
    await server.store.remove(f"servers/{server.incarnation_id}")


async def is_replaced(server: FakeReplica) -> None:
    """Let another server have the address, while the entry stands."""
    server.incarnation_id = "i-next"


async def rests_no_more(server: FakeReplica, usual: RequestHandler) -> None:
    """Have a server serve again."""
    server.handler, server.prefill_handler = usual, None


async def names_no_limit(server: FakeReplica, usual: RequestHandler) -> None:
    """Have a server take what it did before."""
    server.advertised_limit = None


def none_late(server: FakeReplica, said_at: float) -> None:
    """Check that nothing reached a server that leaves."""
    late = [
        each.arrived_at
        for each in server.arrivals
        if each.arrived_at > said_at + DRAIN_S + UNDER_WAY_S
    ]
    assert late == []


def none_in_rest(server: FakeReplica, said_at: float) -> None:
    """Check that a server had its rest."""
    resting = server.handler
    assert isinstance(resting, BackoffHandler)
    assert resting.refusals
    assert resting.max_arrivals_in_backoff(server) <= MOST_IN_REST


def none_over_limit(server: FakeReplica, said_at: float) -> None:
    """Check that a server got no more than it said."""
    assert most_arrivals(server, since=said_at + 0.5) <= allowed(LIMIT_PER_S)


def none_misdirected(server: FakeReplica, said_at: float) -> None:
    """Check that a server's successor was asked no more than by what was under way."""
    asked = [each.arrived_at for each in server.arrivals if each.arrived_at >= said_at]
    assert asked
    assert [at for at in asked if at > asked[0] + UNDER_WAY_S] == []


Say = Callable[[FakeReplica], Awaitable[None]]
Lift = Callable[[FakeReplica, RequestHandler], Awaitable[None]]
Check = Callable[[FakeReplica, float], None]
WAYS: dict[str, Callable[[], Way]] = {
    "first-try": partial(first_tries, 1),
    "first-try-of-three-instances": partial(first_tries, 3),
    "first-try-where-no-other-is": partial(first_tries, 1, others=0),
    "repeat": repeats,
    "prompt-read-apart": partial(readings, second=False),
    "second-reading": partial(readings, second=True),
    "stream-with-memory": writings,
    "stream-where-no-other-is": partial(writings, others=0),
    "place-taken-before": partial(writings, read_s=0.8),
    "stream-without-reader": partial(writings, readers=0),
    "stream-taken-up-elsewhere": taken_up,
}
WORDS: dict[str, tuple[Say, Check]] = {
    ExclusionReason.LEAVING.value: (leaves, none_late),
    ExclusionReason.BACKOFF.value: (rests, none_in_rest),
    ExclusionReason.GONE.value: (loses_entry, none_late),
    ExclusionReason.REPLACED.value: (is_replaced, none_misdirected),
    "limit": (names_limit, none_over_limit),
}
# How each ends, and the least requests that show it: more than a limit that stands would allow.
LIFTED: dict[str, tuple[Lift, int]] = {
    ExclusionReason.BACKOFF.value: (rests_no_more, 1),
    "limit": (names_no_limit, 8),
}
# Modules that send requests to servers, each with its ways above.
SENDERS = {"_plain", "_prompt_processor", "_stream"}


class TestWays:
    """What is said bars the server on each of them."""

    @pytest.mark.parametrize("word", WORDS)
    @pytest.mark.parametrize("name", WAYS)
    def test_a_barred_server_gets_none(self, name: str, word: str) -> None:
        """By none of the ways by which it got some before."""
        way = WAYS[name]()
        say, check = WORDS[word]
        said_at = 0.0

        async def story() -> None:
            nonlocal said_at
            ask = partial(way.fleet.ask_often, way.path, per_s=ASKED_PER_S, for_s=ASKED_S)
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(partial(ask, **way.tokens))
                await curio.sleep(SAID_AT_S)
                said_at = await curio.clock()
                await say(way.server)

        way.fleet.play(story, ONCE, SAFE, STREAM, RESUMED)
        before = [each for each in way.server.arrivals if each.arrived_at <= said_at]
        assert any(way.goes(each) for each in before)
        check(way.server, said_at)

    @pytest.mark.parametrize("word", LIFTED)
    @pytest.mark.parametrize("name", WAYS)
    def test_a_server_that_is_barred_no_more_gets_some(self, name: str, word: str) -> None:
        """As soon as what it said is over."""
        way = WAYS[name]()
        (say, _), (lift, least) = WORDS[word], LIFTED[word]
        lifted_at = 0.0

        async def story() -> None:
            nonlocal lifted_at
            usual = way.server.handler
            for_s = SAID_AT_S + BACKOFF_S + ASKED_AGAIN_S
            ask = partial(way.fleet.ask_often, way.path, per_s=ASKED_PER_S, for_s=for_s)
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(partial(ask, **way.tokens))
                await curio.sleep(SAID_AT_S)
                await say(way.server)
                await curio.sleep(BACKOFF_S)
                lifted_at = await curio.clock()
                await lift(way.server, usual)

        way.fleet.play(story, ONCE, SAFE, STREAM, RESUMED)
        again = [
            each.arrived_at for each in way.server.arrivals if each.arrived_at > lifted_at + BACK_S
        ]
        assert len(again) >= least


class TestLists:
    """What the lists above hold."""

    def test_each_bar_has_its_word(self) -> None:
        """A new kind of bar is to be tried on each way."""
        assert {bar.value for bar in ExclusionReason} <= set(WORDS)

    def test_each_sender_is_known(self) -> None:
        """A module that sends requests by a way of its own needs an entry."""
        folder = Path(crankhinge.gateway.__file__).parent
        assert {path.stem for path in folder.glob("*.py") if sends(path)} == SENDERS


def sends(path: Path) -> bool:
    """Whether a module opens requests at servers."""
    calls = (
        node.func for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)
    )
    return any(
        isinstance(call, ast.Attribute)
        and call.attr == "open"
        and isinstance(call.value, ast.Attribute)
        and call.value.attr == "_legs"
        for call in calls
    )
