"""Tests of the package that translates for the users' platform."""

from __future__ import annotations

import importlib
import json
import platform
from pathlib import Path

import pytest

from crankhinge.adapters import CopyOutcome, RunCopy
from crankhinge.decisions import EngineLimits
from crankhinge.errors import BadHttp
from crankhinge.http import HttpRequest
from crankhinge_platform import dialect
from crankhinge_platform.dialect import PlatformDialect
from crankhinge_platform.source import decode_config

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "platform"
PRODUCT = ROOT / "src" / "crankhinge"
NAMES = (
    "x-request-id",
    "x-deadline-ms",
    "x-prompt-prefix",
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


class TestPromptParts:
    """The parts of a prompt that a caller names."""

    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            ("5c1e07a2:800,91BD3F06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06", "e4402b7d")),
            ("5c1e07a2", ("5c1e07a2",)),
            (",:7,;,5c1e07a2:x:y,", (";", "5c1e07a2")),
            ("", ()),
        ],
    )
    def test_malformed_parts_do_not_fail_the_request(
        self, text: str, parts: tuple[str, ...]
    ) -> None:
        """Servers read the list; what it means to them is theirs to check."""
        parsed = PlatformDialect().parse_request(request(("x-prompt-prefix", text)))
        assert parsed.prompt_parts == parts


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


class TestRunCopy:
    """The call that copies a run to another engine, and its response."""

    def test_call_names_run_target_and_whether_the_run_stops(self) -> None:
        """An engine that misses one of these fields would copy the wrong run or not stop it."""
        call = PlatformDialect().copy_run_call("q", "10.0.0.2", 80, last=True)
        assert (call.method, call.target) == ("POST", "/v1/kv-move")
        assert json.loads(call.body) == {"id": "q", "target_version": "10.0.0.2:80", "last": True}

    @pytest.mark.parametrize(
        ("status", "body", "expected"),
        [
            (200, b'{"kv_handle": "h", "made": 7}', RunCopy(CopyOutcome.COPIED, "h", 7)),
            (404, b"", RunCopy(CopyOutcome.NO_SUCH_RUN)),
            (409, b"{}", RunCopy(CopyOutcome.IN_PROGRESS)),
            (421, b"", RunCopy(CopyOutcome.WRONG_SERVER)),
            (503, b"", RunCopy(CopyOutcome.NO_ROOM)),
            (503, b"{}", RunCopy(CopyOutcome.NO_ROOM)),
            (503, b'{"kv_handle": "h"}', RunCopy(CopyOutcome.NO_ROOM, "h")),
            (500, b'{"kv_handle": "h"}', RunCopy(CopyOutcome.FAILED)),
            (200, b"{}", RunCopy(CopyOutcome.FAILED)),
            (200, b"cut", RunCopy(CopyOutcome.FAILED)),
            (200, b'{"kv_handle": "h", "made": -1}', RunCopy(CopyOutcome.FAILED)),
        ],
    )
    def test_response_is_decoded(self, status: int, body: bytes, expected: RunCopy) -> None:
        """A response without the handle must not count as a copy, since nothing can use it."""
        assert PlatformDialect().parse_run_copy(status, body) == expected

    @pytest.mark.parametrize(("value", "expected"), [("1500", 1.5), ("null", None)])
    def test_report_tells_when_a_leaving_engine_ends(
        self, value: str, expected: float | None
    ) -> None:
        """An engine that does not leave may report no time or null."""
        body = b'{"phase": "decode", "sequence": 1, "leaves_ms": %s}' % value.encode()
        assert PlatformDialect().parse_engine_state(body).leaves_in_s == expected


class TestEngineLimits:
    """The engine fields of a service's configuration."""

    @staticmethod
    def decode(**fields: object) -> EngineLimits:
        """Return the limits of the engines whose configuration has these fields."""
        engine = {"slots": 12, "kv_tokens": 75276, **fields}
        config = {"version": 1, "routes": [], "services": [{"name": "s", "engine": engine}]}
        limits = decode_config(json.dumps(config).encode()).services["s"].engine
        assert limits is not None
        return limits

    def test_fields_of_moves_are_decoded(self) -> None:
        """A copy of 5,200 tokens of 18.432 KB takes 0.35 ms at 2,200 Gbit/s."""
        limits = self.decode(moves=True, kv_token_bytes=18432, link_mbps=2.2e6)
        assert limits.moves
        assert round(limits.copy_s(5200) * 1000, 2) == 0.35

    @pytest.mark.parametrize("fields", [{}, {"moves": False}, {"moves": 0}])
    def test_engines_without_moves_move_nothing(self, fields: dict[str, object]) -> None:
        """A deployment whose configuration lacks the field is served as before."""
        limits = self.decode(**fields)
        assert not limits.moves
        assert limits.copy_s(1000) == 0.0


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
