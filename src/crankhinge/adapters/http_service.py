"""Adapter for plain services over HTTP/1.1 (RFC 9112)."""

from __future__ import annotations

import math
from collections.abc import Mapping

from crankhinge.adapters._engine import EngineFailed
from crankhinge.adapters._service import PlainService, ServiceAnswer
from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import ConnectFailed, HttpClient

UNAVAILABLE = 503
HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host"}
    | {"proxy-authenticate", "proxy-authorization", "content-length"}
)


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are passed on (RFC 9110, section 7.6.1)."""
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP}


def _rest_s(status: int, headers: Mapping[str, str]) -> float | None:
    """Return for how long a service is unavailable (RFC 9110, section 10.2.3).

    A date is taken for no word: the clocks of two machines need not agree.
    """
    if status != UNAVAILABLE:
        return None
    try:
        rest_s = float(headers.get("retry-after", ""))
    except ValueError:
        return None
    return rest_s if math.isfinite(rest_s) and rest_s > 0 else None


class HttpService(PlainService):
    """The service at one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def alive(self) -> bool:
        """Whether the service takes connections."""
        return await self._client.reachable()

    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceAnswer:
        """Pass the call on, once, on a connection of its own.

        A kept connection that the service has just closed would leave it unknown whether a
        non-repeatable call arrived.
        """
        try:
            resp = await self._client.call(
                method, target, headers=end_to_end(headers), body=body, fresh=True
            )
        except ConnectFailed as exc:
            raise EngineFailed(exc.detail, ran=False) from exc
        except (HttpClosed, BadHttp) as exc:
            raise EngineFailed(exc.detail) from exc
        rest_s = _rest_s(resp.status, resp.headers)
        return ServiceAnswer(resp.status, end_to_end(resp.headers), resp.body, rest_s)
