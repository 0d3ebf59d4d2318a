"""One question to an engine, answered in time or not at all."""

from __future__ import annotations

import curio

from crankhinge.adapters import Engine, EngineFailed, EngineLoad

PROBE_TIMEOUT_S = 2.0


async def probe_load(engine: Engine) -> EngineLoad | None:
    """Return the engine's load; None when it can't be reached or doesn't answer in time."""
    try:
        load: EngineLoad = await curio.timeout_after(PROBE_TIMEOUT_S, engine.load)
    except (EngineFailed, curio.TaskTimeout):
        return None
    return load
