"""A stand-in plain service that records every run of every call."""

from __future__ import annotations

from typing import Any

import curio

from crankhinge.errors import HttpClosed
from crankhinge.http import Exchange
from crankhinge_standins._web import Faults, Recorder, reply, serve


class StandinService:
    """One backend server of a plain service.

    Args:
        host: address to listen on.
        port: TCP port to listen on.
        work_s: duration of a call in seconds.
        log: log for unexpected failures.
        record: file for the runs; empty to record nothing.
    """

    def __init__(self, host: str, port: int, work_s: float, log: Any, record: str = "") -> None:
        self._host = host
        self._port = port
        self._work_s = work_s
        self._log = log
        self.faults = Faults()
        self._recorder = Recorder(record)
        self.runs: list[dict[str, str]] = []

    async def run(self) -> None:
        """Serve until cancelled."""
        await serve(self._host, self._port, self._handle, self.faults, self._log)

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        if req.path == "/runs":
            await reply(exchange, self.runs)
            return
        if self.faults.down:
            raise HttpClosed("down")
        if self.faults.refuse:
            await reply(exchange, {"error": "refused"}, 503)
            return
        run = {
            "method": req.method,
            "path": req.path,
            "key": req.headers.get("idempotency-key", ""),
            "body": req.body.decode("utf-8", "replace"),
        }
        self.runs.append(run)
        self._recorder.write(**run)
        await curio.sleep(self._work_s * self.faults.slow)
        if self.faults.lose_answers:
            raise HttpClosed("response lost on purpose")
        await reply(exchange, {"run": len(self.runs), "body": run["body"]})
