"""Adapter for plain services that speak HTTP/1.1 (RFC 9112)."""

from __future__ import annotations

from collections.abc import Mapping

from crankhinge.adapters._engine import EngineFailed
from crankhinge.adapters._service import PlainService, ServiceResponse
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import ConnectFailed, HttpClient, parse_retry_after

SERVICE_UNAVAILABLE = 503
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host"}
    | {"proxy-authenticate", "proxy-authorization", "content-length"}
)


def end_to_end_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the header fields that a proxy passes on (RFC 9110, section 7.6.1)."""
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP_HEADERS}


class HttpService(PlainService):
    """A plain service at one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def is_reachable(self) -> bool:
        """Return whether the service accepts connections."""
        return await self._client.is_reachable()

    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceResponse:
        """Forward the call to the service once, on a new connection.

        If the service has just closed a pooled connection, it would be unknown whether a
        non-repeatable call sent on it arrived.
        """
        try:
            resp = await self._client.call(
                method, target, headers=end_to_end_headers(headers), body=body, new_connection=True
            )
        except ConnectFailed as exc:
            raise EngineFailed(exc.detail, ran=False) from exc
        except (HttpClosed, BadHttp) as exc:
            raise EngineFailed(exc.detail) from exc
        backoff_s = parse_retry_after(resp.headers) if resp.status == SERVICE_UNAVAILABLE else None
        return ServiceResponse(resp.status, end_to_end_headers(resp.headers), resp.body, backoff_s)
