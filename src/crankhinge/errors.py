"""Typed failures shared by every part of the product.

Each class carries a stable ``code`` for logs and error bodies, and an ``outcome``: what a caller
may conclude about its request.
"""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request ran."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CrankhingeError(Exception):
    """Base class of all failures of this project."""

    code = "internal"
    status = 500
    outcome = Outcome.UNKNOWN

    def __init__(self, detail: str = "", *, retry_after_s: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_s = retry_after_s


class SettingsError(CrankhingeError):
    """A settings file is unusable. The detail names file, key and reason."""

    code = "bad-settings"


class RequestNotFound(CrankhingeError):
    """No log tells of the request."""

    code = "request-not-found"


class BundleError(CrankhingeError):
    """A configuration bundle is unusable: malformed, inconsistent, unsigned or too old."""

    code = "bad-bundle"


class KeyFileError(CrankhingeError):
    """A key file is missing, malformed or readable by others."""

    code = "bad-key"


class PublishConflict(CrankhingeError):
    """Another operator's bundle was accepted first; nothing was written."""

    code = "publish-conflict"


class KeyValueUnavailable(CrankhingeError):
    """The key-value service did not answer, or answered with an error."""

    code = "key-value-unavailable"


class WireError(CrankhingeError):
    """A peer sent something that is not a message of ours."""

    code = "bad-message"


class LinkClosed(CrankhingeError):
    """The connection to a peer is gone."""

    code = "link-closed"


class BadHttp(CrankhingeError):
    """Malformed HTTP."""

    code = "bad-http"
    status = 400
    outcome = Outcome.NOT_RUN


class BodyTooLarge(BadHttp):
    """An HTTP body or header block is over the limit."""

    code = "too-large"
    status = 413


class HttpClosed(CrankhingeError):
    """The other end closed the HTTP connection."""

    code = "http-closed"


class CallerGone(HttpClosed):
    """The connection of whoever asked is gone; no server is to blame."""

    code = "caller-gone"


class RequestError(CrankhingeError):
    """A caller's request is refused before anything was done for it."""

    code = "bad-request"
    status = 400
    outcome = Outcome.NOT_RUN


class BadCredentials(RequestError):
    """No member has the given credential."""

    code = "bad-credentials"
    status = 401


class UnknownModel(RequestError):
    """The bundle has no such model or adapter."""

    code = "unknown-model"
    status = 404


class UnknownRoute(RequestError):
    """No service of the bundle takes this path."""

    code = "unknown-route"
    status = 404


class PromptTooLong(RequestError):
    """The prompt is over the model's limit."""

    code = "prompt-too-long"
    status = 400


class NotReady(RequestError):
    """This instance has no bundle yet."""

    code = "not-ready"
    status = 503


class ConfigTooOld(NotReady):
    """What is known of keys is too old to run a request by; nothing was run."""

    code = "config-too-old"


class Stopping(CrankhingeError):
    """This instance ends; whether the request ran depends on how far it had come."""

    code = "stopping"
    status = 503


class Overloaded(RequestError):
    """The targets cannot be met now; nothing was run."""

    code = "overloaded"
    status = 503


class ServerBarred(RequestError):
    """A backend server takes no request now, by its own word; the request was not sent to it."""

    code = "server-barred"
    status = 503


class ServerAtLimit(ServerBarred):
    """Backend servers say that they take no more; the request was not sent."""

    code = "server-at-limit"
    status = 503


class ServersRest(ServerBarred):
    """All backend servers want no request for a while; the request was not sent."""

    code = "servers-rest"
    status = 503


class LimitReached(RequestError):
    """The member is at its own limit; nothing was run."""

    code = "limit-reached"
    status = 429


class NoBackend(RequestError):
    """No backend server for this model or service is known to be alive."""

    code = "no-backend"
    status = 503


class Quarantined(RequestError):
    """Servers crashed while they ran attempts at this request; this attempt was not run."""

    code = "quarantined"
    status = 503


class AlreadyTaken(CrankhingeError):
    """A non-repeatable request with this key was taken before; how it ended is not known."""

    code = "already-taken"
    status = 409


class FenceUnavailable(CrankhingeError):
    """The record that keeps a non-repeatable request from running twice can't be reached.

    This attempt was not run; whether an earlier one with the same key was, is not known.
    """

    code = "fence-unavailable"
    status = 503


class KeyReused(CrankhingeError):
    """The idempotency key was used before, for another request."""

    code = "key-reused"
    status = 422


class KeyTooOld(CrankhingeError):
    """Whether this idempotency key was used before is no longer known."""

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
    """The deadline went by while the request was being run."""

    code = "deadline-passed"
    status = 504


class SlowCaller(CrankhingeError):
    """The caller reads more slowly than its answer is written and its buffer is full."""

    code = "slow-caller"
    status = 499
