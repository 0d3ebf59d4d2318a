"""Figures that callers, servers and entries name, whatever stands in them.

What was seen: a request whose `Length-Hint` or `X-Deadline-Ms` was `nan` got no answer, its
connection was closed; one whose `X-Token-Count` was negative ran and added to its client account's
limit in place of using it. Found by calling the decoder with figures at the edge of what its types
hold; no caller was seen to send such.
Events: the text is a number by the language's rules, so it was decoded; it has no whole number, or
one that no comparison orders, where the figure is used.
Cause: each figure was asked whether it is a number, not whether it is one that can be meant.
"""

from __future__ import annotations

import base64
import math
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from crankhinge.decisions import RouteTable, Server
from crankhinge.errors import BadHttp, KeyValueUnavailable
from crankhinge.http import HttpRequest
from crankhinge_platform.dialect import PlatformDialect
from crankhinge_platform.source import decode_config, decode_server
from crankhinge_platform.store import Item
from platform_fakes import GatewayHarness, route
from virtual_time import run_virtual

FIGURES = ("x-deadline-ms", "x-token-count", "length-hint")
WORDS = ("server-limit", "server-leaving", "retry-after", "x-not-executed")
NO_FIGURES = [
    *(("length_hint", text) for text in ("nan", "inf", "1e309", "-1")),
    *(("x_deadline_ms", text) for text in ("nan", "inf", "-inf", "1e309")),
    *(("x_token_count", text) for text in ("-5,7", "5,-7", "9" * 400 + ",1", "1," + "9" * 400)),
]
ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "slots": 1,
    "state": "ready",
    "sequence": 1,
}
ONCE = route("once", "/once/", "unsafe", "plain")

# What is drawn first is slow on a busy machine, and no matter of these tests.
at_any_pace = settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
edges = st.sampled_from(
    ["", "0", "-0", "-1", "nan", "-nan", "inf", "-inf", "1e309", "1e-309", "9" * 400, "9" * 5000]
)
texts = st.one_of(
    edges,
    st.floats().map(str),
    st.integers().map(str),
    st.text(max_size=20),
    st.lists(edges, max_size=3).map(",".join),
)
values: Any = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)


class TestCallers:
    """What a caller says of its request."""

    @pytest.mark.parametrize(("field", "text"), NO_FIGURES)
    def test_no_figure_is_a_bad_request(self, field: str, text: str) -> None:
        """Answered as such, sent to no server; the next request is served."""
        harness = GatewayHarness()
        replica = harness.add_replica("i-1", "plain")

        async def story() -> None:
            status, _, _ = await harness.call("q1", "/once/a", **{field: text})
            assert (status, len(replica.arrivals)) == (400, 0)
            status, _, _ = await harness.call("q2", "/once/a")
            assert (status, len(replica.arrivals)) == (200, 1)

        run_virtual(harness.run, story, ONCE, settle_s=0.003)

    @at_any_pace
    @given(st.dictionaries(st.sampled_from(FIGURES), texts))
    def test_any_text_is_a_figure_that_can_be_meant_or_a_bad_request(
        self, fields: dict[str, str]
    ) -> None:
        """Whatever is decoded can be counted with."""
        try:
            ask = PlatformDialect().parse_request(HttpRequest("POST", "/a", fields, b""))
        except BadHttp:
            return
        assert ask.timeout_s is None or math.isfinite(ask.timeout_s)
        for tokens in (ask.prompt_tokens, ask.max_answer_tokens, ask.expected_answer_tokens):
            assert tokens >= 0
            assert math.isfinite(float(tokens))


class TestServers:
    """What heads of answers and entries say of servers."""

    @at_any_pace
    @given(st.integers(100, 599), st.dictionaries(st.sampled_from(WORDS), texts))
    def test_any_head_says_what_can_be_kept(self, status: int, fields: dict[str, str]) -> None:
        """No rest without a time, no limit that is none, no leave but the word for it."""
        word = PlatformDialect().parse_signals(status, fields)
        for figure in (word.backoff_s, word.retry_after_s, word.limit_per_s):
            assert figure is None or (math.isfinite(figure) and figure >= 0)
        assert word.backoff_s is None or "retry-after" in fields
        assert word.limit_per_s is None or word.advertises_limit
        assert word.leaving == (fields.get("server-leaving", "").strip() == "1")

    @pytest.mark.parametrize("port", ["0", "-1", "65536", "nan", "1e3", "", "9" * 5000])
    def test_an_address_without_a_port_names_no_server(self, port: str) -> None:
        """It is told as an entry that can't be read, not found out by each request."""
        data = msgspec.json.encode({**ENTRY, "address": f"127.0.0.1:{port}"})
        with pytest.raises((KeyValueUnavailable, ValueError)):
            decode_server(item_of(data))

    @at_any_pace
    @given(st.dictionaries(st.sampled_from([*ENTRY, "born", "models"]), values))
    def test_any_entry_names_a_server_or_is_unreadable(self, fields: dict[str, Any]) -> None:
        """Fields of a usual entry, some replaced by anything."""
        data = msgspec.json.encode({**ENTRY, **fields})
        try:
            server = decode_server(item_of(data))
        except (KeyValueUnavailable, ValueError):
            return
        assert isinstance(server, Server)
        assert 0 < server.port < 65_536
        assert server.slots >= 1


class TestOperators:
    """What a configuration says."""

    @at_any_pace
    @given(st.dictionaries(st.sampled_from(["version", "routes", "services", "limits"]), values))
    def test_any_configuration_is_one_or_is_refused(self, fields: dict[str, Any]) -> None:
        """A typed failure, for which the last one that could be read stays."""
        usual: dict[str, Any] = {"version": 1, "routes": [], "services": []}
        try:
            table = decode_config(msgspec.json.encode({**usual, **fields}))
        except KeyValueUnavailable:
            return
        assert isinstance(table, RouteTable)


def item_of(data: bytes) -> Item:
    """Return the item of a server's entry."""
    return Item("servers/i-1", value=base64.b64encode(data).decode())
