"""What the balancer and the operators' monitoring ask of an instance."""

from __future__ import annotations

from typing import Any

import curio
import msgspec

from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._gateway import Gateway
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.http import Exchange, serve_http
from crankhinge.runtime import split_host_port
from crankhinge.runtime._exposed import PrometheusMetrics

METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusPages:
    """Tells whether new connections are wanted, and shows the metrics.

    Args:
        settings: of the gateway.
        discovery: what it knows.
        gateway: answers callers.
        log: for events.
        metrics: what is shown.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        discovery: Discovery,
        gateway: Gateway,
        log: Any,
        metrics: PrometheusMetrics,
    ) -> None:
        self._settings = settings
        self._directory = discovery
        self._gateway = gateway
        self._log = log
        self._metrics = metrics

    async def listen_ready(self) -> None:
        """Tell the balancer whether to send new connections, until cancelled."""
        host, port = split_host_port(self._settings.ready)
        on_bad = self._gateway.refuse_malformed
        await serve_http(host, port, self._ready, on_malformed=on_bad, log=self._log)

    async def listen_metrics(self) -> None:
        """Show the metrics, until cancelled; nothing without an address."""
        if not self._settings.metrics:
            await curio.Event().wait()
        host, port = split_host_port(self._settings.metrics)
        on_bad = self._gateway.refuse_malformed
        await serve_http(host, port, self._show, on_malformed=on_bad, log=self._log)

    async def _show(self, exchange: Exchange) -> None:
        if exchange.req.path != METRICS_PATH:
            await exchange.respond(404, b"{}")
            return
        await exchange.respond(200, self._metrics.render(), {"content-type": METRICS_TYPE})

    async def _ready(self, exchange: Exchange) -> None:
        ready = self._directory.has_data and not self._gateway.is_draining
        # Others may still know; the balancer sends new connections to them.
        ready = ready and self._knows_keys(await curio.clock())
        if exchange.req.path != self._settings.ready_path:
            await exchange.respond(404, b"{}")
            return
        table = self._directory.table
        version = table.version if table else None
        state = {"ready": ready, "config": version, "open": self._gateway.open_requests}
        await exchange.respond(200 if ready else 503, msgspec.json.encode(state))

    def _knows_keys(self, now: float) -> bool:
        table = self._directory.table
        keyless = table is None or table.accounts is None
        return keyless or self._directory.may_use_keys(now)
