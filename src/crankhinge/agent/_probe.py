"""Probes an engine with a timeout."""

from __future__ import annotations

import curio

from crankhinge.adapters import Engine, EngineFailed, EngineLoad

PROBE_TIMEOUT_S = 2.0


async def probe_load(engine: Engine) -> EngineLoad | None:
    """Return the load of the engine, or None if it does not respond in time."""
    try:
        load: EngineLoad = await curio.timeout_after(PROBE_TIMEOUT_S, engine.get_load)
    except (EngineFailed, curio.TaskTimeout):
        return None
    return load
