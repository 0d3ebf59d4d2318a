"""Tests of the fence service when the link between two agents is replaced."""

import io
import random
from typing import Any

import curio

from crankhinge.agent._fence_service import FenceService
from crankhinge.config import fence_range_id, parse_bundle
from crankhinge.decisions import FenceRole
from crankhinge.decisions._fence import MAX_SYNC_ROWS
from crankhinge.decisions._fence_messages import FenceRow, FenceState, FenceSync
from crankhinge.peers import InstanceListCache
from crankhinge.runtime import get_log
from crankhinge.wire import Hello
from test_config import BUNDLE_TEMPLATE, MemoryKeyValue
from virtual_time import run_virtual

FENCE = """
[[pools]]
name = "plain"
kind = "plain"
fence = [["a", "b"]]
"""
RANGE_ID = fence_range_id("plain", 0, ("a", "b"))


class FakeLink:
    """The own end of a link to agent "a"; it may accept only some messages before it blocks."""

    def __init__(self, capacity: int = 1000) -> None:
        self.peer = Hello(1, "a", "plain", "z", 1)
        self.sent: list[Any] = []
        self.room = curio.Semaphore(capacity)

    async def send(self, msg: Any) -> None:
        """Record a message once there is room for it."""
        await self.room.acquire()
        self.sent.append(msg)


def make_service(kv: MemoryKeyValue) -> FenceService:
    """Return the fence service of agent "b", which shares one range with agent "a"."""
    log = get_log(program="b", stream=io.StringIO())
    service = FenceService(
        agent_name="b",
        incarnation=7,
        kv=kv,
        instance_list=InstanceListCache(
            None,  # type: ignore[arg-type]
            refresh_interval_s=1.0,
            log=log,
            rng=random.Random(1),
        ),
        make_hello=lambda: Hello(1, "b", "plain", "z", 7),
        run_link=FakeLink.send,  # type: ignore[arg-type]
        log=log,
    )
    service.apply_bundle(parse_bundle(BUNDLE_TEMPLATE.format(version=1) + FENCE))
    return service


class TestReplacedLink:
    """Agent "a" connects again before agent "b" has noticed that the old link is broken."""

    def test_messages_of_the_replaced_link_are_ignored(self) -> None:
        """A copy that the process before sent must not be used with the one that runs now."""

        async def main() -> None:
            kv = MemoryKeyValue()
            kv.write("crankhinge/fence/plain/0", b'[1, "", 1]')
            service = make_service(kv)
            old, new = FakeLink(), FakeLink()
            await service.add_link(old)  # type: ignore[arg-type]
            await service.add_link(new)  # type: ignore[arg-type]
            copy = FenceSync(RANGE_ID, 1, 0, 1, (), final=True)
            assert await service.handle_message(old, copy)  # type: ignore[arg-type]
            await curio.sleep(0.1)
            pair = service._pairs[RANGE_ID]
            assert pair.role is FenceRole.JOINING
            assert await service.handle_message(new, copy)  # type: ignore[arg-type]
            await curio.sleep(0.1)
            assert pair.role is FenceRole.PAIRED

        run_virtual(main)

    def test_rest_of_a_copy_is_not_sent_over_the_new_link(self) -> None:
        """The last part of a copy alone would look like a complete copy with few keys."""

        async def main() -> None:
            kv = MemoryKeyValue()
            kv.write("crankhinge/fence/plain/0", b'[1, "", 1]')
            service = make_service(kv)
            # Room for two announcements and the first of three parts.
            old, new = FakeLink(capacity=3), FakeLink()
            await service.add_link(old)  # type: ignore[arg-type]
            rows = tuple(FenceRow(f"m/{n}", b"", n, 0.0) for n in range(2 * MAX_SYNC_ROWS + 1))
            copy = FenceSync(RANGE_ID, 1, 0, 1, rows, final=True)
            await service.handle_message(old, copy)  # type: ignore[arg-type]
            await curio.sleep(0.1)
            assert service._pairs[RANGE_ID].role is FenceRole.PAIRED
            joining = FenceState(RANGE_ID, FenceRole.JOINING.value, 0)
            sending = await curio.spawn(service.handle_message, old, joining)
            await curio.sleep(0.1)
            await service.add_link(new)  # type: ignore[arg-type]
            for _ in range(2):
                await old.room.release()
            await sending.join()
            assert not [msg for msg in new.sent if isinstance(msg, FenceSync)]
            assert sum(isinstance(msg, FenceSync) for msg in old.sent) == 3

        run_virtual(main)
