"""HTTP/1.1 over curio sockets, parsed and written by h11."""

from crankhinge.http._client import (
    AnswerTooLong,
    ConnectFailed,
    ConnectRefused,
    HttpClient,
    Response,
)
from crankhinge.http._client_stream import ClientStream, HttpSilent, Patience
from crankhinge.http._retry_after import retry_after_s
from crankhinge.http._server import Exchange, HttpLimits, HttpRequest, serve_http
from crankhinge.http._sse import SseParser, sse_event

__all__ = [
    "AnswerTooLong",
    "ClientStream",
    "ConnectFailed",
    "ConnectRefused",
    "Exchange",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpSilent",
    "Patience",
    "Response",
    "SseParser",
    "retry_after_s",
    "serve_http",
    "sse_event",
]
