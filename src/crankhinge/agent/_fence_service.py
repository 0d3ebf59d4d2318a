"""Runs the fence replicas of an agent: their messages, timers and key-value requests.

:class:`crankhinge.decisions.FencePair` makes all decisions and returns the actions to perform.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec

from crankhinge.adapters import KeyValueStore, StoredValue
from crankhinge.config import Bundle, fence_range_id
from crankhinge.decisions import (
    FenceAction,
    FencePair,
    FenceRecord,
    ReadRecord,
    Reply,
    Send,
    SwapRecord,
)
from crankhinge.decoding import JsonDecoder
from crankhinge.errors import KeyValueUnavailable, LinkClosed, Undecodable, WireError
from crankhinge.peers import InstanceListCache
from crankhinge.runtime import wall_ms
from crankhinge.wire import (
    FenceClaim,
    FenceClaimReply,
    FenceJoined,
    FencePermitRequest,
    FenceRelease,
    FenceSettle,
    FenceState,
    FenceSync,
    Link,
    Message,
    Refused,
    connect_link,
    send_if_open,
)

# Interval of the calls of :meth:`FencePair.on_tick`.
TICK_INTERVAL_S = 0.5
RECONNECT_DELAY_S = 1.0
# Delay between attempts to connect while the list of agents is still empty after the start.
INITIAL_RECONNECT_DELAY_S = 0.1
# Prefix of the keys of fence records in the key-value service.
KEY_PREFIX = "crankhinge/fence/"
# Retry delay that entries are given while no replica can decide.
RETRY_AFTER_S = 1.0

# Epoch, holder and writer of a fence record.
_record_decoder: JsonDecoder[tuple[int, str, int]] = JsonDecoder(tuple[int, str, int])

LinkRunner = Callable[[Link], Awaitable[None]]


class FenceService:
    """Keeps one :class:`FencePair` for each key range that the bundle assigns to this agent.

    Args:
        agent_name: name of this agent.
        incarnation: incarnation id of this agent.
        kv: client of the key-value service.
        instance_list: local copy of the platform's list, used to find the other replicas.
        make_hello: returns the Hello for a link to another agent.
        run_link: runs a link that this agent opened, in the same way as an accepted one.
        log: logger for events.
    """

    def __init__(
        self,
        *,
        agent_name: str,
        incarnation: int,
        kv: KeyValueStore,
        instance_list: InstanceListCache,
        make_hello: Callable[[], Any],
        run_link: LinkRunner,
        log: Any,
    ) -> None:
        self._agent_name = agent_name
        self._incarnation = incarnation
        self._kv = kv
        self._instance_list = instance_list
        self._make_hello = make_hello
        self._run_link = run_link
        self._log = log
        self._pairs: dict[str, FencePair] = {}
        self._links: dict[str, Link] = {}
        self._requesters: dict[int, Link] = {}
        self._rng = random.Random(agent_name)

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply the key ranges that a bundle assigns to this agent."""
        wanted: dict[str, str] = {}
        for pool in bundle.pools:
            for number, (first, second) in enumerate(pool.fence):
                if self._agent_name in (first, second):
                    other = second if self._agent_name == first else first
                    wanted[fence_range_id(pool.name, number, (first, second))] = other
        for range_id in [known for known in self._pairs if known not in wanted]:
            del self._pairs[range_id]
        for range_id, other in wanted.items():
            if range_id not in self._pairs:
                self._pairs[range_id] = FencePair(
                    range_id=range_id, me=self._agent_name, other=other, writer=self._incarnation
                )

    async def run(self) -> None:
        """Run the timers of all replicas and keep links to their peers until cancelled.

        Of two agents that share a range, the one whose name sorts first opens the link.
        """
        link_tasks: dict[str, curio.Task] = {}
        known: set[str] = set()
        while True:
            for pair in list(self._pairs.values()):
                if pair.range_id not in known and pair.other in self._links:
                    await self._apply_actions(pair, pair.on_linked())
                known.add(pair.range_id)
                if pair.other not in link_tasks and self._agent_name < pair.other:
                    link_tasks[pair.other] = await curio.spawn(
                        self._keep_linked, pair.other, daemon=True
                    )
                role_before = pair.role
                await self._apply_actions(pair, pair.on_tick(await curio.clock()))
                if pair.role is not role_before:
                    self._log_role(pair)
            await curio.sleep(TICK_INTERVAL_S)

    def _log_role(self, pair: FencePair) -> None:
        self._log.info("fence_role", range=pair.range_id, role=pair.role.value, epoch=pair.epoch)

    async def _keep_linked(self, name: str) -> None:
        while True:
            try:
                instance = self._instance_list.find(name)
                if instance is not None and name not in self._links:
                    link = await connect_link(instance.host, instance.port, self._make_hello())
                    await self._run_link(link)
            except (LinkClosed, WireError) as exc:
                self._log.info("fence_link_failed", agent=name, code=exc.code, why=exc.detail)
            delay_s = (
                RECONNECT_DELAY_S if self._instance_list.instances else INITIAL_RECONNECT_DELAY_S
            )
            await curio.sleep(delay_s * self._rng.uniform(0.5, 1.5))

    async def add_link(self, link: Link) -> None:
        """Add a link to another agent."""
        name = link.peer.name
        self._links[name] = link
        for pair in self._pairs_with(name):
            await self._apply_actions(pair, pair.on_linked())

    async def remove_link(self, link: Link) -> None:
        """Remove a link that has ended."""
        name = link.peer.name
        if self._links.get(name) is not link:
            return
        del self._links[name]
        for pair in self._pairs_with(name):
            await self._apply_actions(pair, pair.on_unlinked(await curio.clock()))

    def _pairs_with(self, name: str) -> list[FencePair]:
        return [pair for pair in self._pairs.values() if pair.other == name]

    async def handle_message(self, link: Link, msg: Message) -> bool:
        """Handle a message and return whether it concerns a fence record."""
        if isinstance(msg, FencePermitRequest):
            await self._handle_permit_request(link, msg)
            return True
        if not isinstance(
            msg,
            FenceClaim
            | FenceClaimReply
            | FenceSettle
            | FenceRelease
            | FenceState
            | FenceSync
            | FenceJoined,
        ):
            return False
        pair = self._pairs.get(msg.range_id)
        if pair is None or self._links.get(pair.other) is not link:
            # A link that was replaced may still deliver messages of a process that has ended.
            return True
        role_before = pair.role
        await self._apply_actions(pair, _apply_message(pair, msg, await curio.clock()))
        if pair.role is not role_before:
            self._log_role(pair)
        return True

    async def _handle_permit_request(self, link: Link, msg: FencePermitRequest) -> None:
        pair = self._pairs.get(msg.range_id)
        self._requesters[msg.req] = link
        if pair is None:
            await self._reply(Reply(msg.req, None))
            return
        now = await curio.clock()
        await self._apply_actions(pair, pair.on_permit(msg, now, wall_ms()))

    async def _apply_actions(self, pair: FencePair, actions: list[FenceAction]) -> None:
        # The actions of one decision go over one link: if a link is replaced while a copy is sent,
        # the rest of the copy would look like a complete one on the new link.
        link = self._links.get(pair.other)
        for action in actions:
            if isinstance(action, Send):
                if link is not None:
                    await send_if_open(link, action.msg)
            elif isinstance(action, Reply):
                await self._reply(action)
            else:
                await curio.spawn(self._call_store, pair, action, daemon=True)

    async def _reply(self, action: Reply) -> None:
        link = self._requesters.pop(action.req, None)
        if link is None:
            return
        response = action.msg or Refused(action.req, "fence-unavailable", RETRY_AFTER_S)
        await send_if_open(link, response)

    async def _call_store(self, pair: FencePair, action: ReadRecord | SwapRecord) -> None:
        """Make one request to the key-value service and pass the result to the pair."""
        role_before = pair.role
        try:
            if isinstance(action, ReadRecord):
                value = await self._kv.get(_store_key(pair.range_id))
                record, index = _parse_record(value)
                now = await curio.clock()
                actions = pair.on_record(record, index, now, wall_ms())
            else:
                data = msgspec.json.encode(list(action.new))
                swapped = await self._kv.compare_and_swap(
                    _store_key(pair.range_id), data, action.index
                )
                actions = pair.on_swapped(swapped, await curio.clock(), wall_ms())
        except KeyValueUnavailable:
            if isinstance(action, ReadRecord):
                actions = pair.on_read_failed()
            else:
                actions = pair.on_swapped(None, await curio.clock(), wall_ms())
        if self._pairs.get(pair.range_id) is not pair:
            return
        if pair.role is not role_before:
            self._log_role(pair)
        await self._apply_actions(pair, actions)


def _apply_message(
    pair: FencePair,
    msg: FenceClaim
    | FenceClaimReply
    | FenceSettle
    | FenceRelease
    | FenceState
    | FenceSync
    | FenceJoined,
    now: float,
) -> list[FenceAction]:
    if isinstance(msg, FenceClaim):
        return pair.on_claim(msg, now)
    if isinstance(msg, FenceClaimReply):
        return pair.on_claim_reply(msg)
    if isinstance(msg, FenceSettle):
        return pair.on_settle(msg)
    if isinstance(msg, FenceRelease):
        return pair.on_release(msg)
    if isinstance(msg, FenceState):
        return pair.on_state(msg, now)
    if isinstance(msg, FenceSync):
        return pair.on_sync(msg)
    return pair.on_joined(msg, now)


def _store_key(range_id: str) -> str:
    """Return the store key of a range, which stays the same if its replicas change."""
    return KEY_PREFIX + range_id.rpartition("/")[0]


def _parse_record(value: StoredValue | None) -> tuple[FenceRecord | None, int]:
    if value is None:
        return None, 0
    try:
        epoch, holder, writer = _record_decoder.decode(value.data)
    except Undecodable as exc:
        raise KeyValueUnavailable(f"invalid fence record: {exc.detail}") from exc
    return FenceRecord(epoch, holder, writer), value.index
