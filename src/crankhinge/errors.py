"""Exception classes shared by all parts of the project.

Each class has a stable ``code`` for logs and error bodies, the HTTP ``status`` of the response, and
an ``outcome``: what is known about whether the request ran. Two classes share the code ``bad-key``:
:class:`KeyFileError`, which only command-line tools raise, and :class:`BadKey`, which is sent to
callers.
"""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """What is known about whether a failed request ran; a caller may retry one that did not.

    Attributes:
        NOT_RUN: the request was not run.
        UNKNOWN: the request may have run.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CrankhingeError(Exception):
    """Base class of all exceptions of this project.

    Args:
        detail: free text for logs and error bodies; the class's ``code`` by default.
        retry_after_s: seconds after which a retry may succeed, if known.

    Attributes:
        code: stable identifier of the failure.
        status: HTTP status of a response that reports the failure.
        outcome: what is known about whether the request ran.
        detail: free text for logs and error bodies.
        retry_after_s: seconds after which a retry may succeed, or None.
    """

    code = "internal"
    status = 500
    outcome = Outcome.UNKNOWN

    def __init__(self, detail: str = "", *, retry_after_s: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_s = retry_after_s


class SettingsError(CrankhingeError):
    """A settings file is unusable; the detail states the file, the key and the reason."""

    code = "bad-settings"


class RequestNotFound(CrankhingeError):
    """None of the searched logs mentions the request."""

    code = "request-not-found"


class BundleError(CrankhingeError):
    """A configuration bundle is malformed, inconsistent, unsigned or too old."""

    code = "bad-bundle"


class KeyFileError(CrankhingeError):
    """A key file is missing, malformed or readable by others."""

    code = "bad-key"


class PublishConflict(CrankhingeError):
    """A different bundle with the same or a higher version is published; nothing was written."""

    code = "publish-conflict"


class KeyValueUnavailable(CrankhingeError):
    """The key-value service did not respond, or responded with an error."""

    code = "key-value-unavailable"


class Undecodable(CrankhingeError):
    """Data from outside the process is not a value of the expected type."""

    code = "undecodable"


class WireError(CrankhingeError):
    """A peer sent bytes that are not a valid message of this protocol."""

    code = "bad-message"


class LinkClosed(CrankhingeError):
    """The connection to a peer is closed."""

    code = "link-closed"


class BadHttp(CrankhingeError):
    """A request or response is malformed HTTP."""

    code = "bad-http"
    status = 400
    outcome = Outcome.NOT_RUN


class EventTooLong(BadHttp):
    """A server sent an event that is longer than the limit, or the end of one never came."""

    code = "event-too-long"


class UnstatedStatus(BadHttp):
    """A server answered with a status that promises callers that it did not run the request.

    It did not state so itself, so the request may have been executed, and the status must not reach
    the caller.
    """

    code = "unstated-status"
    status = 502
    outcome = Outcome.UNKNOWN


class BodyTooLarge(BadHttp):
    """The body or header block of an HTTP request is over the size limit."""

    code = "too-large"
    status = 413


class OutOfBuffers(BadHttp):
    """This instance has no memory for the body of a request; nothing was run."""

    code = "out-of-buffers"
    status = 503


class HttpClosed(CrankhingeError):
    """The other end closed the HTTP connection."""

    code = "http-closed"


class CallerGone(HttpClosed):
    """The caller closed its connection; this is not a failure of a backend server."""

    code = "caller-gone"


class SlowReader(CallerGone):
    """The caller read its response too slowly, so its connection was dropped."""

    code = "slow-reader"


class RequestError(CrankhingeError):
    """A caller's request is refused before any work was done for it."""

    code = "bad-request"
    status = 400
    outcome = Outcome.NOT_RUN


class BadCredentials(RequestError):
    """No client account has the given credential."""

    code = "bad-credentials"
    status = 401


class UnknownModel(RequestError):
    """The bundle defines no such model or adapter."""

    code = "unknown-model"
    status = 404


class UnknownRoute(RequestError):
    """No configured route or service matches the host and path of the request."""

    code = "unknown-route"
    status = 404


class PromptTooLong(RequestError):
    """The prompt is longer than the model's limit."""

    code = "prompt-too-long"
    status = 400


class NotReady(RequestError):
    """This instance cannot serve requests yet, for example because it has no configuration."""

    code = "not-ready"
    status = 503


class ConfigTooOld(NotReady):
    """This instance's copy of the API keys is too old to authorize a request; nothing was run."""

    code = "config-too-old"


class Stopping(CrankhingeError):
    """This instance is shutting down; the request may or may not have run."""

    code = "stopping"
    status = 503


class Overloaded(RequestError):
    """The request cannot be served in time at the current load; nothing was run."""

    code = "overloaded"
    status = 503


class ServerBarred(RequestError):
    """A backend server is excluded from requests now; the request was not sent to it."""

    code = "server-barred"
    status = 503


class ServerAtLimit(ServerBarred):
    """Backend servers have reached the limits that they advertise; the request was not sent."""

    code = "server-at-limit"
    status = 503


class StreamOriginUnknown(CrankhingeError):
    """No instance knows what began the stream that a request takes up; it was not sent."""

    code = "stream-origin-unknown"
    status = 503


class StreamOriginGone(CrankhingeError):
    """The route does not lead to the service that began the stream; the request was not sent."""

    code = "stream-origin-gone"
    status = 503


class ServersRest(ServerBarred):
    """All backend servers are in backoff, which they asked for; the request was not sent."""

    code = "servers-rest"
    status = 503


class ServerReadsSlowly(ServerBarred):
    """A backend server has not read earlier request bodies; the request was not sent to it."""

    code = "server-reads-slowly"
    status = 503


class LimitReached(RequestError):
    """The client account has reached its limit of requests or tokens; nothing was run."""

    code = "limit-reached"
    status = 429


class NoBackend(RequestError):
    """No backend server for this model or service is known to be alive."""

    code = "no-backend"
    status = 503


class Quarantined(RequestError):
    """Backend servers crashed while they ran earlier attempts; this attempt was not run."""

    code = "quarantined"
    status = 503


class AlreadyTaken(CrankhingeError):
    """A non-repeatable request with this idempotency key was accepted before.

    How that request ended is not known.
    """

    code = "already-taken"
    status = 409


class FenceUnavailable(CrankhingeError):
    """The record that keeps a non-repeatable request from running twice cannot be reached.

    This attempt was not run; an earlier attempt with the same idempotency key may have run.
    """

    code = "fence-unavailable"
    status = 503


class KeyReused(CrankhingeError):
    """The request has an idempotency key that was already used for a different request."""

    code = "key-reused"
    status = 422


class KeyTooOld(CrankhingeError):
    """The idempotency key is so old that its earlier use can no longer be ruled out."""

    code = "key-too-old"
    status = 409


class BadKey(RequestError):
    """The idempotency key of a non-repeatable request is not a UUID of version 7."""

    code = "bad-key"
    status = 400


class BackendFailed(CrankhingeError):
    """A backend server failed after the request may have reached it."""

    code = "backend-failed"
    status = 502


class DeadlinePassed(CrankhingeError):
    """The deadline passed while the request was running."""

    code = "deadline-passed"
    status = 504


class SlowCaller(CrankhingeError):
    """The caller reads its response too slowly, and the buffer for it is full."""

    code = "slow-caller"
    status = 499
