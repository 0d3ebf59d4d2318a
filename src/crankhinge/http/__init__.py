"""HTTP/1.1 client and server on curio sockets; h11 parses and encodes the messages.

In the client, "server" is the other end of a connection; in the server, it is the "caller".
"""

from crankhinge.http._buffers import PIECE_BYTES, BufferLimits, BufferPool, ConnectionBuffers, Drop
from crankhinge.http._client import (
    ConnectFailed,
    ConnectRefused,
    HttpClient,
    Response,
)
from crankhinge.http._client_stream import (
    AnswerTooLong,
    BodyFraming,
    ClientStream,
    HttpSilent,
    ResponseMatcher,
    ResponseTimeouts,
)
from crankhinge.http._retry_after import parse_retry_after
from crankhinge.http._server import Exchange, HttpLimits, HttpRequest, serve_http
from crankhinge.http._sse import EventBuffer, SseParser, encode_sse_event

__all__ = [
    "PIECE_BYTES",
    "AnswerTooLong",
    "BodyFraming",
    "BufferLimits",
    "BufferPool",
    "ClientStream",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectionBuffers",
    "Drop",
    "EventBuffer",
    "Exchange",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpSilent",
    "Response",
    "ResponseMatcher",
    "ResponseTimeouts",
    "SseParser",
    "encode_sse_event",
    "parse_retry_after",
    "serve_http",
]
