"""Tests of the components of an entry, and of some decisions that it relies on."""

from collections.abc import Mapping
from contextlib import nullcontext
from typing import Any

import curio
import msgspec
import pytest

from crankhinge.config import BundleView, hash_credential, parse_bundle
from crankhinge.decisions import Breaker, MemberLimits, RetryBudget, WorkQueue, WorkRequest
from crankhinge.entry._entry import Entry
from crankhinge.entry._mailboxes import LinkLost, Mailboxes
from crankhinge.entry._progress import RequestIds, RequestProgress
from crankhinge.entry._requests import (
    MAX_BODY_DEPTH,
    authenticate,
    hash_prefix_blocks,
    parse_completion,
)
from crankhinge.entry._responses import call_response_headers
from crankhinge.errors import (
    BadCredentials,
    CrankhingeError,
    LimitReached,
    LinkClosed,
    NoBackend,
    Overloaded,
    RequestError,
    SlowCaller,
)
from crankhinge.http import HttpRequest
from crankhinge.runtime import Metrics, get_log
from crankhinge.wire import Tokens
from platform_fakes import LogCapture
from test_config import BUNDLE_TEMPLATE
from virtual_time import run_virtual


def make_view() -> BundleView:
    """Return a view of a bundle with one member and its credential."""
    digest = hash_credential("secret")
    member = f'[[members]]\nname = "m"\npartner = "timbook"\ncredential_sha256 = "{digest}"\n'
    return BundleView(parse_bundle(BUNDLE_TEMPLATE.format(version=1) + member + "max_rank = 1\n"))


def make_req(body: object, path: str = "/v1/completions", **headers: str) -> HttpRequest:
    """Return an HTTP request with the credential of the member."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return HttpRequest("POST", path, {"authorization": "Bearer secret", **fields}, data)


class TestRequests:
    """How an entry parses and validates the requests of callers."""

    @pytest.mark.parametrize(
        ("body", "headers", "reason"),
        [
            (b"{", {}, "body"),
            (b"[]", {}, "body"),
            # Too deep to be decoded, and too deep to be encoded again.
            (b'{"model":"m1","prompt":"x","a":' + b"[" * 2000 + b"]" * 2000 + b"}", {}, "body"),
            (b'{"model":"m1","prompt":"x","a":' + b"[" * 500 + b"]" * 500 + b"}", {}, "nested"),
            ({"prompt": "x"}, {}, "model"),
            ({"model": "m1", "prompt": ""}, {}, "prompt"),
            ({"model": "m1", "prompt": "x", "n": 2}, {}, "n: only 1"),
            ({"model": "m1", "prompt": "x", "max_tokens": -1}, {}, "max_tokens"),
            ({"model": "m1", "prompt": "x"}, {"x_priority": "high"}, "x-priority"),
            ({"model": "m1", "prompt": "x"}, {"x_deadline_ms": "0"}, "x-deadline-ms"),
        ],
    )
    def test_invalid_request_error_names_the_field(
        self, body: object, headers: dict[str, str], reason: str
    ) -> None:
        """The caller sees the message of the RequestError and can find the mistake by it."""
        view = make_view()
        req = make_req(body, **headers)
        with pytest.raises(RequestError, match=reason):
            parse_completion(view, req, authenticate(view, req.headers))

    def test_nested_body_is_accepted_up_to_its_limit(self) -> None:
        """A tool's schema has more levels than a prompt; the body itself is the first level."""
        view = make_view()
        for depth, is_accepted in ((MAX_BODY_DEPTH - 1, True), (MAX_BODY_DEPTH, False)):
            nested = b"[" * depth + b"]" * depth
            req = make_req(b'{"model":"m1","prompt":"x","a":' + nested + b"}")
            with nullcontext() if is_accepted else pytest.raises(RequestError):
                parse_completion(view, req, authenticate(view, req.headers))

    def test_priority_is_limited_to_that_of_the_member(self) -> None:
        """A caller that asks for a more urgent priority class gets the one of its member."""
        view = make_view()
        req = make_req({"model": "m1", "prompt": "x"}, x_priority="0")
        assert parse_completion(view, req, authenticate(view, req.headers)).options.rank == 1

    def test_invalid_credentials_are_rejected(self) -> None:
        """A missing or unknown credential is rejected, and so is one of another scheme."""
        for value in ("", "Bearer wrong", "Basic secret"):
            with pytest.raises(BadCredentials):
                authenticate(make_view(), {"authorization": value})

    def test_chat_continuation_contains_the_written_text(self) -> None:
        """An engine that resumes a chat answer needs the text that another engine has written."""
        view = make_view()
        messages = [{"role": "user", "content": "hi"}]
        req = make_req({"model": "m1", "messages": messages}, "/v1/chat/completions")
        request = parse_completion(view, req, authenticate(view, req.headers))
        body = msgspec.json.decode(request.continuation_body(" a b", 2))
        assert body["messages"][-1] == {"role": "assistant", "content": " a b"}
        assert body["continue_final_message"] is True
        assert body["max_tokens"] == request.max_tokens - 2

    def test_prefix_hashes_depend_on_all_earlier_blocks(self) -> None:
        """Two prompts have the same hashes up to the first block in which they differ."""
        head = "x" * 1024
        first, second = hash_prefix_blocks(head + "a" * 512), hash_prefix_blocks(head + "b" * 512)
        assert first[:2] == second[:2]
        assert first[2] != second[2]


class FakeLink:
    """A link that is never used to send a message."""

    closed = False


class TestMailboxes:
    """How messages from agents reach the requests that wait for them."""

    def test_messages_without_a_mailbox_are_dropped_and_counted(self) -> None:
        """The request of the message is unknown or closed, or waits on another link."""

        async def scenario() -> int:
            mailboxes = Mailboxes(100)
            mine, other = FakeLink(), FakeLink()
            mailbox = mailboxes.open(mine, 7)  # type: ignore[arg-type]
            await mailboxes.deliver(other, Tokens(mailbox.req, 0, ("x",)))  # type: ignore[arg-type]
            await mailboxes.deliver(mine, Tokens(mailbox.req + 1, 0, ("x",)))  # type: ignore[arg-type]
            mailboxes.close(mailbox)
            await mailboxes.deliver(mine, Tokens(mailbox.req, 0, ("x",)))  # type: ignore[arg-type]
            return mailboxes.dropped_count

        assert run_virtual(scenario) == 3

    def test_lost_link_fails_its_requests(self) -> None:
        """A request that waits for a message of the link gets LinkLost instead of waiting on."""

        async def scenario() -> None:
            mailboxes = Mailboxes(100)
            link = FakeLink()
            mailbox = mailboxes.open(link, 7)  # type: ignore[arg-type]
            await mailboxes.fail_link(link)  # type: ignore[arg-type]
            await curio.timeout_after(1, mailbox.get)

        with pytest.raises(LinkLost):
            run_virtual(scenario)

    def test_slow_caller_gets_an_error(self) -> None:
        """Tokens that the caller does not read must not use more memory than the limit allows."""

        async def scenario() -> None:
            mailboxes = Mailboxes(10)
            link = FakeLink()
            mailbox = mailboxes.open(link, 7)  # type: ignore[arg-type]
            for seq in range(20):
                await mailboxes.deliver(link, Tokens(mailbox.req, seq, ("x",)))  # type: ignore[arg-type]
            await mailbox.get()

        with pytest.raises(SlowCaller):
            run_virtual(scenario)

    def test_mailbox_cannot_be_opened_on_a_closed_link(self) -> None:
        """No message would ever arrive in the mailbox, so opening it raises LinkClosed."""
        link = FakeLink()
        link.closed = True
        link.peer = type("Peer", (), {"name": "x"})  # type: ignore[attr-defined]
        with pytest.raises(LinkClosed):
            Mailboxes(10).open(link, 1)  # type: ignore[arg-type]


class RecordingExchange:
    """Keeps the response that it is asked to send."""

    req = HttpRequest("POST", "/v1/completions", {}, b"")
    response_started = False
    status = 0
    body = b""
    headers: Mapping[str, str] = {}

    async def respond(self, status: int, body: bytes, headers: Mapping[str, str]) -> None:
        """Keep the response."""
        self.status, self.body, self.headers = status, body, headers


class FailingEntry(Entry):
    """An entry whose requests fail in one way."""

    def __init__(self, error: CrankhingeError, *, may_have_run: bool) -> None:
        self._metrics, self._log = Metrics(prefix="t"), get_log(program="t", stream=LogCapture())
        self._error, self._may_have_run = error, may_have_run

    async def _dispatch(self, exchange: Any, log_fields: Any, progress: RequestProgress) -> None:
        progress.may_have_run = self._may_have_run
        raise self._error


class TestErrorResponses:
    """What a caller is told about whether its failed request ran."""

    @pytest.mark.parametrize("may_have_run", [False, True])
    @pytest.mark.parametrize("error", [Overloaded, NoBackend, LimitReached])
    def test_refusal_of_a_later_attempt_does_not_refuse_the_request(
        self, error: type[CrankhingeError], may_have_run: bool
    ) -> None:
        """An engine failed while it ran the request, and no other one had a free slot."""
        exchange = RecordingExchange()
        entry = FailingEntry(error("full", retry_after_s=2.0), may_have_run=may_have_run)
        run_virtual(entry._answer, exchange, 1, "req-1")
        details = msgspec.json.decode(exchange.body)["error"]
        if may_have_run:
            assert (exchange.status, details["retry_after_s"]) == (502, None)
            assert exchange.headers["x-request-outcome"] == "unknown"
            assert "retry-after" not in exchange.headers
        else:
            assert (exchange.status, details["retry_after_s"]) == (error.status, 2.0)
            assert exchange.headers["x-request-outcome"] == "not-run"
            assert exchange.headers["retry-after"] == "2"

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refusal_of_a_service_has_an_unknown_outcome(self, status: int) -> None:
        """The service does not say whether it ran the call; its caller took that for a no."""
        headers = call_response_headers(status, {"retry-after": "1"}, "req-1")
        assert (headers["x-request-outcome"], headers["retry-after"]) == ("unknown", "1")

    @pytest.mark.parametrize("status", [200, 404, 500])
    def test_other_response_of_a_service_has_no_outcome(self, status: int) -> None:
        """It is the answer to the call; the field is the entry's, so a service's is dropped."""
        headers = call_response_headers(status, {"x-request-outcome": "not-run"}, "req-1")
        assert "x-request-outcome" not in headers


class TestRequestIds:
    """The ids of a request and of its steps, by which log lines are found."""

    def test_step_ids_differ_only_in_the_last_two_digits(self) -> None:
        """The first 14 hex digits are common to all steps of a request and to no other request."""
        ids = RequestIds(99)
        progress = RequestProgress(ids.new_id())
        steps = [f"{progress.new_step_id():016x}" for _ in range(3)]
        assert {step[:14] for step in steps} == {f"{progress.request_id:016x}"[:14]}
        assert len(set(steps)) == 3
        assert f"{ids.new_id():016x}"[:14] != steps[0][:14]


class TestBudget:
    """The retry budget, which keeps retries from amplifying an outage."""

    def test_retries_are_limited_to_a_share_of_first_attempts(self) -> None:
        """If all requests fail, a tenth of them is retried in addition to the burst."""
        budget = RetryBudget(ratio=0.1, burst=10.0)
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt()
            retries += budget.try_retry()
        assert 100 <= retries <= 115


class TestBreaker:
    """The breaker, which stops requests to a failing backend server."""

    def test_open_breaker_allows_one_trial_request(self) -> None:
        """Three failures open the breaker; a trial request is allowed one second later."""
        breaker = Breaker()
        for _ in range(3):
            breaker.record_failure(0.0)
        assert not breaker.allows_request(0.5)
        assert breaker.allows_request(1.5)
        breaker.record_sent(1.5)
        assert not breaker.allows_request(1.5)
        breaker.record_failure(1.6)
        assert not breaker.allows_request(3.0)
        assert breaker.allows_request(3.7)
        breaker.record_sent(3.7)
        breaker.record_success()
        assert breaker.allows_request(3.8)

    def test_trial_without_an_outcome_is_followed_by_another(self) -> None:
        """A refused trial shows neither success nor failure and must not keep the breaker open."""
        breaker = Breaker()
        for _ in range(3):
            breaker.record_failure(0.0)
        breaker.record_sent(1.5)
        assert not breaker.allows_request(2.0)
        assert breaker.allows_request(2.6)


class TestLimits:
    """Limits of a member that each entry enforces."""

    def test_requests_over_a_limit_get_a_retry_delay(self) -> None:
        """The member has a limit of concurrent requests and one of requests per second."""
        limits = MemberLimits()
        assert limits.admit("m", 0.0, max_concurrent=1, max_per_s=0) is None
        assert limits.admit("m", 0.0, max_concurrent=1, max_per_s=0) is not None
        limits.record_end("m")
        assert limits.admit("m", 0.0, max_concurrent=1, max_per_s=0) is None
        for _ in range(2):
            assert limits.admit("r", 0.0, max_concurrent=0, max_per_s=2.0) is None
        assert limits.admit("r", 0.0, max_concurrent=0, max_per_s=2.0) == 0.5
        assert limits.admit("r", 0.6, max_concurrent=0, max_per_s=2.0) is None


def work(req: int, deadline: float, units: int) -> WorkRequest:
    """Return a request for *units* of work that has to end by *deadline*."""
    return WorkRequest(req=req, partner="p", member="m", rank=1, deadline=deadline, units=units)


class TestWorkQueue:
    """The queue of requests to one backend server."""

    def test_request_that_cannot_meet_its_deadline_is_refused(self) -> None:
        """Work that is queued ahead counts: a short prompt may fit where a long one does not."""
        queue = WorkQueue(width=1, units_per_s=1000.0)
        assert queue.submit(work(1, 1.0, 800), 0.0) is None
        started, late = queue.take_next(0.0)
        assert [ask.req for ask in started] == [1] and late == []
        refusal = queue.submit(work(2, 1.0, 800), 0.0)
        assert refusal is not None and refusal.retry_after_s > 1.0
        assert queue.submit(work(3, 1.0, 100), 0.0) is None

    def test_request_that_has_waited_too_long_is_not_started(self) -> None:
        """Work that took longer than expected has used up the time of the next request."""
        queue = WorkQueue(width=1, units_per_s=1000.0)
        queue.submit(work(1, 9.0, 100), 0.0)
        queue.take_next(0.0)
        queue.submit(work(2, 1.0, 500), 0.0)
        queue.record_end(1, 0.9)
        started, late = queue.take_next(0.9)
        assert started == [] and [refusal.req for refusal in late] == [2]

    def test_queue_rate_follows_measurements(self) -> None:
        """The queue's rate approaches the measured one, here twice the configured rate."""
        queue = WorkQueue(width=1, units_per_s=1000.0)
        for req in range(1, 30):
            queue.submit(work(req, 1e9, 100), float(req))
            queue.take_next(float(req))
            queue.record_end(req, req + 0.05, done=100)
        assert 1900 < queue.units_per_s < 2000
