"""Loads the adapters that the bundle requires into an engine.

The engines of a pool load adapters in turns: at most ``rolling`` engines, a setting of the pool in
the bundle, load at the same time. A record in the key-value service names the agents whose turn it
is.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec

from crankhinge.adapters import Engine, EngineFailed, KeyValueStore
from crankhinge.config import Adapter, Bundle
from crankhinge.decisions import (
    AcquiredRollout,
    RolloutRecord,
    adapters_to_load,
    release_rollout,
    try_acquire_rollout,
)
from crankhinge.decoding import decode_json
from crankhinge.errors import KeyValueUnavailable, Undecodable
from crankhinge.runtime import wall_ms

# Prefix of the keys of rollout records in the key-value service.
KEY_PREFIX = "crankhinge/roll/"
# Interval at which the loaded adapters are compared with the bundle.
CHECK_INTERVAL_S = 0.5
# Bounds of the delay before loading is tried again, after a failure or while too many other engines
# of the pool load adapters.
INITIAL_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 20.0


class AdapterLoader:
    """Loads the adapters that the bundle requires into one engine.

    Args:
        agent_name: name of this agent.
        pool_name: name of the engine's pool.
        engine: the engine.
        kv: client of the key-value service, whose rollout record limits how many engines of a pool
            load adapters at the same time.
        on_change: called with the names of all loaded adapters after each change.
        log: logger for events.
    """

    def __init__(
        self,
        *,
        agent_name: str,
        pool_name: str,
        engine: Engine,
        kv: KeyValueStore,
        on_change: Callable[[tuple[str, ...]], Awaitable[None]],
        log: Any,
    ) -> None:
        self._agent_name = agent_name
        self._pool_name = pool_name
        self._engine = engine
        self._kv = kv
        self._on_change = on_change
        self._log = log
        self._wanted: dict[str, Adapter] = {}
        self._max_concurrent = 1
        self._loaded: dict[str, int] = {}
        self._rng = random.Random(agent_name)

    @property
    def loaded_names(self) -> tuple[str, ...]:
        """Names of the loaded adapters; their versions may be older than the bundle requires."""
        return tuple(sorted(self._loaded))

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply the adapters and the rollout limit that a bundle requires for this engine."""
        models = [m for m in bundle.models if self._pool_name in (*m.prefill, *m.decode)]
        self._wanted = {adapter.name: adapter for model in models for adapter in model.adapters}
        pool = bundle.find_pool(self._pool_name)
        self._max_concurrent = pool.rolling if pool else 1

    async def run(self) -> None:
        """Load missing adapters until cancelled."""
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            await self._drop_unwanted()
            versions = {name: adapter.version for name, adapter in self._wanted.items()}
            missing = adapters_to_load(versions, self._loaded)
            if not missing:
                await curio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                is_done = await self._roll_out(missing)
            except KeyValueUnavailable as exc:
                self._log.warning("roll_waits", why=exc.detail)
                is_done = False
            delay_s = INITIAL_RETRY_DELAY_S if is_done else min(MAX_RETRY_DELAY_S, delay_s * 1.5)
            if not is_done:
                await curio.sleep(delay_s * self._rng.uniform(0.5, 1.0))

    async def _drop_unwanted(self) -> None:
        unwanted = [name for name in self._loaded if name not in self._wanted]
        for name in unwanted:
            del self._loaded[name]
        if unwanted:
            await self._on_change(self.loaded_names)

    async def _roll_out(self, missing: list[str]) -> bool:
        """Load the missing adapters during one turn of this agent.

        Returns:
            False if the agent gets no turn, since too many engines of the pool load adapters now.
        """
        acquired = await self._acquire_turn()
        if acquired is None:
            return False
        try:
            for name in missing:
                await self._load_adapter(name, acquired.token)
        finally:
            await self._release_turn()
        return True

    async def _load_adapter(self, name: str, token: int) -> None:
        adapter = self._wanted.get(name)
        if adapter is None:
            return
        try:
            await self._engine.load_adapter(
                name, adapter.path, adapter.version, fencing_token=token
            )
        except EngineFailed as exc:
            self._log.warning("adapter_failed", adapter=name, code=exc.code, why=exc.detail)
            await curio.sleep(INITIAL_RETRY_DELAY_S)
            return
        self._loaded[name] = adapter.version
        self._log.info("adapter_loaded", adapter=name, version=adapter.version, token=token)
        await self._on_change(self.loaded_names)

    async def _read_record(self) -> tuple[RolloutRecord, int]:
        value = await self._kv.get(KEY_PREFIX + self._pool_name)
        if value is None:
            return RolloutRecord(), 0
        try:
            return decode_json(value.data, RolloutRecord), value.index
        except Undecodable as exc:
            raise KeyValueUnavailable(f"invalid rollout record: {exc.detail}") from exc

    async def _acquire_turn(self) -> AcquiredRollout | None:
        """Add this agent to the pool's rollout record, or return None if it gets no turn now."""
        record, index = await self._read_record()
        acquired = try_acquire_rollout(record, self._agent_name, self._max_concurrent, wall_ms())
        if acquired is None:
            return None
        data = msgspec.json.encode(acquired.record)
        try:
            swapped = await self._kv.compare_and_swap(KEY_PREFIX + self._pool_name, data, index)
        except KeyValueUnavailable:
            # The response is lost. The record shows whether the write succeeded.
            swapped = (await self._read_record())[0] == acquired.record
        return acquired if swapped else None

    async def _release_turn(self) -> None:
        """End this agent's turn. If that fails, the turn ends when its lease expires."""
        for _ in range(5):
            try:
                record, index = await self._read_record()
                remaining = release_rollout(record, self._agent_name)
                data = msgspec.json.encode(remaining)
                if remaining == record or await self._kv.compare_and_swap(
                    KEY_PREFIX + self._pool_name, data, index
                ):
                    return
            except KeyValueUnavailable:
                await curio.sleep(INITIAL_RETRY_DELAY_S)
