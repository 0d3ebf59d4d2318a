"""Moves of runs between stand-in engines.

The engine that runs a request, the source, copies the run's KV memory to another engine, the
target. The source keeps the record of each copy, so that a handle is used at most once: the target
asks the source before it continues a run. Between engines, the paths under ``/engines/`` are used,
which only the stand-ins know.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import curio
import msgspec

from crankhinge.errors import BadHttp, HttpClosed
from crankhinge.http import Exchange, HttpClient, Response
from crankhinge_standins._replica_state import KvMemory
from crankhinge_standins._web import UnframedResponse

# Seconds to copy one token of KV memory.
COPY_TOKEN_S = 0.0000005
# Seconds for which the target keeps a copy after the last call. It is well above the time for which
# the handle is valid, so that the copy does not lapse while it is used.
COPY_TTL_S = 1.5
ENGINE_CALL_TIMEOUT_S = 1.0
COPY_PATH = "/engines/copy/"
USE_PATH = "/engines/use/"
DROP_PATH = "/engines/drop/"


@dataclass(eq=False)
class DecodeRun:
    """An answer in progress.

    Attributes:
        ident: id of the request.
        tokens: KV memory that it occupies.
        response: sends its events.
        made: number of events made so far, those of earlier engines included.
        stopping: set when the run is to stop without the end of its stream.
        stopped: set when its stream is closed.
        completed: whether its stream had its end.
        moving: whether a call copies it now.
        handle: handle of its copy; empty if there is none.
    """

    ident: str
    tokens: int
    response: Exchange | UnframedResponse
    made: int = 0
    stopping: curio.Event = field(default_factory=curio.Event)
    stopped: curio.Event = field(default_factory=curio.Event)
    completed: bool = False
    moving: bool = False
    handle: str = ""


@dataclass
class _Copy:
    """A copy of a run, as the source knows it.

    Attributes:
        run: the run.
        target: ``host:port`` of the engine that has the copy.
        expires_at: end of the validity of its handle, on the runtime's clock.
    """

    run: DecodeRun
    target: str
    expires_at: float


class RunMoves:
    """The copies of an engine's runs at other engines, and those that it keeps for others.

    Args:
        memory: KV memory of the engine.
        handle_ttl_s: seconds for which a handle is valid.

    Attributes:
        runs: answers in progress, by request id.
    """

    def __init__(self, memory: KvMemory, handle_ttl_s: float) -> None:
        self.runs: dict[str, DecodeRun] = {}
        self._memory = memory
        self._handle_ttl_s = handle_ttl_s
        self._copies: dict[str, _Copy] = {}
        self._numbers = itertools.count(1)
        # Expiry of the copies kept for other engines, by location.
        self._kept_until: dict[str, float] = {}
        self._link = curio.Lock()

    async def copy(
        self, own_address: str, ident: str, target: str, *, last: bool
    ) -> tuple[int, dict[str, object]]:
        """Copy a run to another engine; return the status and the body of the response."""
        run = self.runs.get(ident)
        if run is None or run.stopping.is_set():
            return 404, {}
        if run.moving:
            return 409, {}
        run.moving = True
        try:
            async with self._link:
                return await self._copy(own_address, run, target, last=last)
        finally:
            run.moving = False

    async def _copy(
        self, own_address: str, run: DecodeRun, target: str, *, last: bool
    ) -> tuple[int, dict[str, object]]:
        known = self._copies.get(run.handle)
        if known is not None and known.target != target:
            await self.drop(own_address, run.handle)
            known = None
        if known is None:
            run.handle = f"m{next(self._numbers)}"
        if last:
            await run.stopping.set()
            await run.stopped.wait()
            if run.completed:
                return 404, {}
            self._memory.handles[run.handle] = run.tokens
        elif run.stopped.is_set():
            return 404, {}
        await curio.sleep(run.tokens * COPY_TOKEN_S)
        body = msgspec.json.encode({"tokens": run.tokens})
        path = f"{COPY_PATH}{own_address}/{run.handle}"
        resp = await _call(target, "POST", path, body)
        now = await curio.clock()
        answer: dict[str, object] = {"kv_handle": run.handle, "made": run.made}
        has_room = resp is not None and resp.status == 200
        if has_room or last:
            self._copies[run.handle] = _Copy(run, target, now + self._handle_ttl_s)
            await curio.spawn(self._expire, own_address, run.handle, daemon=True)
        if has_room:
            return 200, answer
        return 503, answer if last else {}

    async def _expire(self, own_address: str, handle: str) -> None:
        while (copy := self._copies.get(handle)) is not None:
            left_s = copy.expires_at - await curio.clock()
            if left_s <= 0:
                # The target lets its copy lapse by itself.
                del self._copies[handle]
                self._memory.handles.pop(handle, None)
                return
            await curio.sleep(left_s)

    async def drop(self, own_address: str, handle: str) -> bool:
        """Free both ends of a copy; return whether the handle was valid."""
        copy = self._copies.pop(handle, None)
        if copy is None:
            return False
        self._memory.handles.pop(handle, None)
        await _call(copy.target, "DELETE", f"{DROP_PATH}{own_address}/{handle}", b"")
        return True

    def use(self, handle: str) -> bool:
        """Use a handle up; return whether its run may continue at the engine that asks."""
        copy = self._copies.get(handle)
        if copy is None or not copy.run.stopped.is_set():
            return False
        del self._copies[handle]
        self._memory.handles.pop(handle, None)
        return True

    async def use_at_source(self, own_address: str, handle: str) -> bool:
        """Use up the handle of a run that continues at its source; free the target's copy."""
        copy = self._copies.get(handle)
        if copy is None or not self.use(handle):
            return False
        await _call(copy.target, "DELETE", f"{DROP_PATH}{own_address}/{handle}", b"")
        return True

    async def keep(self, location: str, tokens: int, free_tokens: int, *, has_slot: bool) -> bool:
        """Keep a copy for another engine; return whether there is room."""
        known = self._memory.copies.get(location, 0)
        if (not known and not has_slot) or tokens - known > free_tokens:
            return False
        self._memory.copies[location] = tokens
        is_new = location not in self._kept_until
        self._kept_until[location] = await curio.clock() + COPY_TTL_S
        if is_new:
            await curio.spawn(self._expire_kept, location, daemon=True)
        return True

    async def _expire_kept(self, location: str) -> None:
        while (until := self._kept_until.get(location)) is not None:
            left_s = until - await curio.clock()
            if left_s <= 0:
                self.release(location)
                return
            await curio.sleep(left_s)

    def release(self, location: str) -> int:
        """Remove the copy with a location; return its tokens, 0 if there is none."""
        self._kept_until.pop(location, None)
        return self._memory.copies.pop(location, 0)

    async def use_copy(self, location: str) -> bool:
        """Ask the source whether the run with a kept copy may continue here."""
        address, _, handle = location.partition("/")
        resp = await _call(address, "POST", f"{USE_PATH}{handle}", b"")
        return resp is not None and resp.status == 200


async def _call(address: str, method: str, path: str, body: bytes) -> Response | None:
    """Call another engine; return None if it gives no response in time."""
    host, _, port = address.rpartition(":")
    client = HttpClient(host, int(port))
    try:
        resp: Response = await curio.timeout_after(
            ENGINE_CALL_TIMEOUT_S,
            lambda: client.call(method, path, body=body, new_connection=True),
        )
    except (HttpClosed, BadHttp, curio.TaskTimeout):
        return None
    finally:
        await client.close()
    return resp
