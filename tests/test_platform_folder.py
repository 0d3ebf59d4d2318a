"""Tests of the package that translates for the users' platform."""

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


def count_lines(folder: Path) -> int:
    """Return the number of lines of all Python modules in a folder."""
    return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))


def request(*fields: tuple[str, str]) -> HttpRequest:
    """Return the head of a caller's request with these header fields."""
    return HttpRequest("POST", "/a", dict(fields), b"", fields)


class TestFolder:
    """The names of the users' platform appear only in the folder ``platform``."""

    def test_standard_module_platform_is_not_shadowed(self) -> None:
        """The folder has the name of a standard module, but its package has another one."""
        assert Path(str(importlib.import_module("platform").__file__)).name == "platform.py"
        assert platform.system()

    def test_gateway_contains_no_platform_names(self) -> None:
        """The platform's header fields, keys and paths must not appear in the product itself."""
        for path in (PRODUCT / "gateway").glob("*.py"):
            text = path.read_text()
            assert [name for name in NAMES if name in text] == [], path.name

    def test_folder_is_less_than_an_eighth_of_the_product(self) -> None:
        """The folder only translates; the bound keeps the product's logic out of it."""
        assert count_lines(FOLDER) * 8 < count_lines(PRODUCT)

    def test_dialect_has_no_state(self) -> None:
        """A dialect without attributes translates the same message the same way each time."""
        assert vars(PlatformDialect()) == {}


class TestParseRequest:
    """Decoding the header of a caller's request."""

    def test_numbers_are_decoded(self) -> None:
        """Times arrive in milliseconds and are converted to seconds."""
        parsed = PlatformDialect().parse_request(
            request(
                ("x-request-id", "q"),
                ("x-deadline-ms", "1500"),
                ("x-token-count", "1460,80"),
                ("length-hint", "33"),
            )
        )
        assert (parsed.request_id, parsed.timeout_s) == ("q", 1.5)
        assert (parsed.prompt_tokens, parsed.max_answer_tokens, parsed.expected_answer_tokens) == (
            1460,
            80,
            33,
        )

    def test_invalid_number_raises_bad_http(self) -> None:
        """The error names the header field that has the invalid number."""
        for name, value in (("x-deadline-ms", "soon"), ("x-token-count", "many")):
            try:
                PlatformDialect().parse_request(request((name, value)))
            except BadHttp as exc:
                assert name in exc.detail
            else:
                raise AssertionError(name)


class TestParseSignals:
    """Decoding the head of a server's response."""

    @pytest.mark.parametrize(
        ("value", "per_s"),
        [("4.2", 4.2), ("0", 0.0), ("0.25", 0.25), (" 12 ", 12.0), ("1e3", 1000.0)],
    )
    def test_server_limit_is_decoded(self, value: str, per_s: float) -> None:
        """A limit is a number of requests per second and may have a fraction."""
        signals = PlatformDialect().parse_signals(200, {"server-limit": value})
        assert (signals.advertises_limit, signals.limit_per_s) == (True, per_s)

    @pytest.mark.parametrize("value", ["many", "", "-1", "nan", "inf", "-inf", "4,2", "4 5"])
    def test_invalid_limit_differs_from_no_limit(self, value: str) -> None:
        """A server with an unreadable limit has a limit; one without the field has none."""
        signals = PlatformDialect().parse_signals(200, {"server-limit": value})
        assert (signals.advertises_limit, signals.limit_per_s) == (True, None)

    def test_absent_limit_is_none(self) -> None:
        """Most servers have no limit and send no such header field."""
        signals = PlatformDialect().parse_signals(200, {})
        assert (signals.advertises_limit, signals.limit_per_s) == (False, None)

    @pytest.mark.parametrize(("value", "leaving"), [("1", True), (" 1 ", True), ("0", False)])
    def test_leaving_server_is_decoded(self, value: str, leaving: bool) -> None:
        """A response with any status may announce that its server is leaving."""
        assert PlatformDialect().parse_signals(500, {"server-leaving": value}).leaving is leaving

    @pytest.mark.parametrize(("value", "backoff_s"), [("3", 3.0), ("0.4", 0.4), (" 90 ", 90.0)])
    def test_backoff_of_a_refusal_is_decoded(self, value: str, backoff_s: float) -> None:
        """A 503 with Retry-After starts a backoff, with or without X-Not-Executed."""
        for more in ({}, {"x-not-executed": "1"}):
            signals = PlatformDialect().parse_signals(503, {"retry-after": value, **more})
            assert signals.backoff_s == backoff_s

    @pytest.mark.parametrize(
        "value", ["", "soon", "-1", "0", "nan", "inf", "1e309", "Wed, 21 Oct 2026 07:28:00 GMT"]
    )
    def test_invalid_retry_after_is_no_backoff(self, value: str) -> None:
        """A server must not be excluded for a time that it did not ask for."""
        signals = PlatformDialect().parse_signals(
            503, {"retry-after": value, "x-not-executed": "1"}
        )
        assert (signals.backoff_s, signals.retry_after_s) == (None, None)

    @pytest.mark.parametrize("status", [200, 421, 500])
    def test_retry_after_of_other_responses_is_no_backoff(self, status: int) -> None:
        """These responses refuse no request, or the server did not expect the request."""
        assert PlatformDialect().parse_signals(status, {"retry-after": "3"}).backoff_s is None


class TestFields:
    """Which header fields the gateway forwards."""

    def test_hop_by_hop_fields_are_not_forwarded(self) -> None:
        """Fields that the Connection field names are valid for one connection only."""
        fields = PlatformDialect().attempt_fields(
            request(("connection", "close, x-hop"), ("x-hop", "1"), ("x-kept", "1")),
            dialect.AttemptParams("i-1", 1.0),
            None,
        )
        names = {name for name, _ in fields}
        assert {"connection", "x-hop"}.isdisjoint(names)
        assert "x-kept" in names

    def test_framing_of_a_response_is_not_copied(self) -> None:
        """The gateway frames the response itself; it passes the server's seal on."""
        fields = PlatformDialect().response_fields(
            [("transfer-encoding", "chunked"), ("keep-alive", "timeout=5"), ("x-server-seal", "s")]
        )
        assert fields == [("x-server-seal", "s")]
