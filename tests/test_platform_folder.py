"""Tests of the folder that speaks the users' platform's language."""

from __future__ import annotations

import importlib
import platform
from pathlib import Path

import pytest

from crankhinge.errors import BadHttp
from crankhinge.http import HttpRequest
from crankhinge_platform import dialect
from crankhinge_platform.dialect import PlatformDialect

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "platform"
PRODUCT = ROOT / "src" / "crankhinge"
NAMES = (
    "x-request-id",
    "x-deadline-ms",
    "x-server-seal",
    "x-expect-instance",
    "x-not-executed",
    "server-limit",
    "x-stage",
    "kv-from",
    "kv_handle",
    "fencing_token",
    "private_key=",
    "op/config",
    "servers/",
    "path_prefix",
    "prefill",
)


def lines_of(folder: Path) -> int:
    """Return how many lines the modules of a folder have."""
    return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))


def request(*fields: tuple[str, str]) -> HttpRequest:
    """Return a request with these fields."""
    return HttpRequest("POST", "/a", dict(fields), b"", fields)


class TestFolder:
    """Where the platform's names are."""

    def test_the_standard_module_of_that_name_is_still_found(self) -> None:
        """The folder holds a package of another name, so nothing is hidden."""
        assert Path(str(importlib.import_module("platform").__file__)).name == "platform.py"
        assert platform.system()

    def test_the_gateway_knows_no_name_of_the_platform(self) -> None:
        """Headers, keys and paths stand in the folder alone."""
        for path in (PRODUCT / "gateway").glob("*.py"):
            text = path.read_text()
            assert [name for name in NAMES if name in text] == [], path.name

    def test_it_is_small(self) -> None:
        """Under an eighth of the product."""
        assert lines_of(FOLDER) * 8 < lines_of(PRODUCT)

    def test_it_keeps_no_state_of_requests(self) -> None:
        """The dialect translates; two of them can't differ."""
        assert vars(PlatformDialect()) == {}


class TestReadAsk:
    """What a request says of itself."""

    def test_figures_are_decoded(self) -> None:
        """Milliseconds become seconds."""
        ask = PlatformDialect().parse_request(
            request(
                ("x-request-id", "q"),
                ("x-deadline-ms", "1500"),
                ("x-token-count", "1460,80"),
                ("length-hint", "33"),
            )
        )
        assert (ask.request_id, ask.timeout_s) == ("q", 1.5)
        assert (ask.prompt_tokens, ask.max_answer_tokens, ask.expected_answer_tokens) == (
            1460,
            80,
            33,
        )

    def test_what_is_no_number_is_a_bad_request(self) -> None:
        """A typed failure, not a crash."""
        for name, value in (("x-deadline-ms", "soon"), ("x-token-count", "many")):
            try:
                PlatformDialect().parse_request(request((name, value)))
            except BadHttp as exc:
                assert name in exc.detail
            else:
                raise AssertionError(name)


class TestWord:
    """What the head of an answer says."""

    @pytest.mark.parametrize(
        ("named", "per_s"),
        [("4.2", 4.2), ("0", 0.0), ("0.25", 0.25), (" 12 ", 12.0), ("1e3", 1000.0)],
    )
    def test_a_servers_limit_is_decoded(self, named: str, per_s: float) -> None:
        """Requests a second, fractions included."""
        word = PlatformDialect().parse_signals(200, {"server-limit": named})
        assert (word.advertises_limit, word.limit_per_s) == (True, per_s)

    @pytest.mark.parametrize("named", ["many", "", "-1", "nan", "inf", "-inf", "4,2", "4 5"])
    def test_what_is_no_rate_is_told_from_no_limit(self, named: str) -> None:
        """It says that there is a limit, but not which."""
        word = PlatformDialect().parse_signals(200, {"server-limit": named})
        assert (word.advertises_limit, word.limit_per_s) == (True, None)

    def test_no_limit_is_none(self) -> None:
        """As most answers."""
        word = PlatformDialect().parse_signals(200, {})
        assert (word.advertises_limit, word.limit_per_s) == (False, None)

    @pytest.mark.parametrize(("named", "leaving"), [("1", True), (" 1 ", True), ("0", False)])
    def test_a_server_that_leaves_is_decoded(self, named: str, leaving: bool) -> None:
        """Whatever else its answer says."""
        assert PlatformDialect().parse_signals(500, {"server-leaving": named}).leaving is leaving

    @pytest.mark.parametrize(("named", "rest_s"), [("3", 3.0), ("0.4", 0.4), (" 90 ", 90.0)])
    def test_a_server_that_asks_for_rest_is_decoded(self, named: str, rest_s: float) -> None:
        """Where it turns a request away, also where it does not say that it ran nothing."""
        for more in ({}, {"x-not-executed": "1"}):
            word = PlatformDialect().parse_signals(503, {"retry-after": named, **more})
            assert word.backoff_s == rest_s

    @pytest.mark.parametrize(
        "named", ["", "soon", "-1", "0", "nan", "inf", "1e309", "Wed, 21 Oct 2026 07:28:00 GMT"]
    )
    def test_what_is_no_time_is_no_rest(self, named: str) -> None:
        """A server is not shut out past what it asked."""
        word = PlatformDialect().parse_signals(503, {"retry-after": named, "x-not-executed": "1"})
        assert (word.backoff_s, word.retry_after_s) == (None, None)

    @pytest.mark.parametrize("status", [200, 421, 500])
    def test_other_answers_ask_for_no_rest(self, status: int) -> None:
        """Nothing was turned away, or by another server."""
        assert PlatformDialect().parse_signals(status, {"retry-after": "3"}).backoff_s is None


class TestFields:
    """Which header fields travel."""

    def test_fields_of_one_connection_stay_there(self) -> None:
        """Also those that the connection field names."""
        fields = PlatformDialect().attempt_fields(
            request(("connection", "close, x-hop"), ("x-hop", "1"), ("x-kept", "1")),
            dialect.AttemptParams("i-1", 1.0),
            None,
        )
        names = {name for name, _ in fields}
        assert {"connection", "x-hop"}.isdisjoint(names)
        assert "x-kept" in names

    def test_an_answers_framing_is_not_copied(self) -> None:
        """The gateway frames anew; the signature goes through."""
        fields = PlatformDialect().response_fields(
            [("transfer-encoding", "chunked"), ("keep-alive", "timeout=5"), ("x-server-seal", "s")]
        )
        assert fields == [("x-server-seal", "s")]
