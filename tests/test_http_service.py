"""Tests of the adapter for plain services."""

from __future__ import annotations

import curio
import pytest

from crankhinge.adapters import ServiceResponse
from crankhinge.adapters.http_service import HttpService
from crankhinge.errors import BadHttp
from crankhinge.http import Exchange, serve_http
from crankhinge.runtime import get_log, run_until_first_ends
from crankhinge_bench._procs import HOST, free_ports


def response_of(status: int, fields: list[tuple[str, str]]) -> ServiceResponse:
    """Return what the adapter makes of a service's response with this status and fields."""
    [port] = free_ports(1)
    responses: list[ServiceResponse] = []

    async def handle(exchange: Exchange) -> None:
        await exchange.respond_with_fields(status, fields, b"")

    async def on_bad(exchange: Exchange, exc: BadHttp) -> None:
        await exchange.respond(400, exc.detail.encode())

    async def serve() -> None:
        await serve_http(HOST, port, handle, on_malformed=on_bad, log=get_log(program="t"))

    async def call() -> None:
        service = HttpService(HOST, port)
        while not await service.is_reachable():
            await curio.sleep(0.01)
        responses.append(await service.call("POST", "/x", {}, b""))

    curio.run(run_until_first_ends, serve, call)
    return responses[0]


class TestBackoff:
    """A plain service that asks for no calls for some time."""

    @pytest.mark.parametrize(
        ("status", "value", "backoff_s"),
        [
            (503, "3", 3.0),
            (503, "0.5", 0.5),
            (503, "soon", None),
            (503, "-1", None),
            (503, "inf", None),
            (429, "3", None),
            (200, "3", None),
        ],
    )
    def test_retry_after_of_a_503_is_the_backoff(
        self, status: int, value: str, backoff_s: float | None
    ) -> None:
        """A value that is not a number of seconds starts no backoff; the field is passed on."""
        response = response_of(status, [("retry-after", value)])
        assert (response.status, response.backoff_s) == (status, backoff_s)
        assert response.headers["retry-after"] == value
