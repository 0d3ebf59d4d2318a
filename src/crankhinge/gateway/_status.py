"""Serves the readiness check of the balancer and the metrics."""

from __future__ import annotations

from typing import Any

import curio
import msgspec

from crankhinge.gateway._discovery import Discovery
from crankhinge.gateway._gateway import Gateway
from crankhinge.gateway._settings import GatewaySettings
from crankhinge.http import Exchange, serve_http
from crankhinge.runtime import split_host_port
from crankhinge.runtime._prometheus import PrometheusMetrics

METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusPages:
    """Serves whether this instance accepts new connections, and its metrics.

    Args:
        settings: settings of the gateway.
        discovery: the configuration and the list of servers.
        gateway: handles the requests of callers.
        log: log for events.
        metrics: the metrics to serve.
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
        self._discovery = discovery
        self._gateway = gateway
        self._log = log
        self._metrics = metrics

    async def listen_ready(self) -> None:
        """Serve the readiness check until cancelled."""
        host, port = split_host_port(self._settings.ready)
        on_bad = self._gateway.refuse_malformed
        await serve_http(host, port, self._send_readiness, on_malformed=on_bad, log=self._log)

    async def listen_metrics(self) -> None:
        """Serve the metrics until cancelled; serve nothing if no address is set."""
        if not self._settings.metrics:
            await curio.Event().wait()
        host, port = split_host_port(self._settings.metrics)
        on_bad = self._gateway.refuse_malformed
        await serve_http(host, port, self._send_metrics, on_malformed=on_bad, log=self._log)

    async def _send_metrics(self, exchange: Exchange) -> None:
        if exchange.req.path != METRICS_PATH:
            await exchange.respond(404, b"{}")
            return
        await exchange.respond(200, self._metrics.render(), {"content-type": METRICS_TYPE})

    async def _send_readiness(self, exchange: Exchange) -> None:
        ready = self._discovery.has_data and not self._gateway.is_draining
        # If this instance's API keys are too old, it is not ready. Other instances may have recent
        # keys, and the balancer sends new connections to them.
        ready = ready and self._may_use_keys(await curio.clock())
        if exchange.req.path != self._settings.ready_path:
            await exchange.respond(404, b"{}")
            return
        config = self._discovery.config
        version = config.version if config else None
        state = {"ready": ready, "config": version, "open": self._gateway.open_requests}
        await exchange.respond(200 if ready else 503, msgspec.json.encode(state))

    def _may_use_keys(self, now: float) -> bool:
        config = self._discovery.config
        keyless = config is None or config.accounts is None
        return keyless or self._discovery.may_use_keys(now)
