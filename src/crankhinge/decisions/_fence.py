"""A record of non-repeatable requests, kept in memory by two agents in different zones.

Permission to run is granted once for each idempotency key. While both replicas of the record are
up, each grants permission only after the other has recorded the key as well. So either may crash
without a key being forgotten, and a replica that was paused cannot grant permission unnoticed by
the other. Only a change of who keeps the record goes through the key-value service, by
compare-and-swap on its epoch: a replica that has lost the other must win that swap before it may
continue alone, and a replica that restarts with an empty record must verify there that the copy it
received is current. While the head names a replica that continues alone, only that replica swaps
the head, since it grants permission without asking and would not notice the swap of another one.
When both replicas lose their memory at once, requests with keys created before that moment get the
response "unknown" and are never run: a key is a UUID of version 7 (RFC 9562) and contains the time
of its creation.

This module only decides: events in, actions out, no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from crankhinge.decisions._fence_actions import (
    FenceAction,
    FenceRecord,
    FenceRole,
    ReadRecord,
    Reply,
    Send,
    SwapRecord,
)
from crankhinge.decisions._fence_keys import BAD_KEY, KeyState, drop_expired_keys, key_time_problem
from crankhinge.decisions._fence_messages import (
    FenceAlreadyTaken,
    FenceClaim,
    FenceClaimReply,
    FenceJoined,
    FencePermitRequest,
    FencePermitted,
    FenceRelease,
    FenceRow,
    FenceSettle,
    FenceState,
    FenceSync,
)

# Seconds without a connection to the other replica after which a replica tries to continue alone:
# when it is paired, and when it has no trusted record.
PAIRED_GRACE_S = 3.0
JOINING_GRACE_S = 15.0
# Seconds for which a replica that is alone grants no permission, while it sends its record to the
# other replica.
SYNC_TIMEOUT_S = 5.0
# Maximum number of keys in one message of a copy.
MAX_SYNC_ROWS = 500


@dataclass
class _IncomingCopy:
    """A copy of the record that is being received from the other replica.

    Attributes:
        epoch: epoch of the sender.
        since_ms: keys created before this time may be missing from the copy.
        sync_id: identifies this copy.
        rows: the keys received so far.
        complete: whether the last part has been received.
        acknowledged: whether the sender was notified of that.
    """

    epoch: int
    since_ms: int
    sync_id: int
    rows: list[FenceRow] = field(default_factory=list)
    complete: bool = False
    acknowledged: bool = False


class FencePair:
    """One replica of one record.

    Args:
        range_id: identifies the record.
        me: name of this replica.
        other: name of the other replica.
        writer: identifies this incarnation of the process, which recognizes its own swaps by it.

    Attributes:
        role: what this replica may do now.
        epoch: epoch of the record, as this replica knows it.
        since_ms: keys created before this time (in Unix milliseconds) may be missing from the keys
            of this replica.
    """

    def __init__(self, *, range_id: str, me: str, other: str, writer: int) -> None:
        self.range_id = range_id
        self.me = me
        self.other = other
        self.role = FenceRole.JOINING
        self.epoch = 0
        self.since_ms = 0
        self._writer = writer
        self._keys: OrderedDict[str, KeyState] = OrderedDict()
        self._linked = False
        self._unlinked_at: float | None = None
        self._other_state = ""
        self._other_epoch = 0
        self._copy: _IncomingCopy | None = None
        self._sync_id = 0
        self._is_copy_current = False
        self._syncing_until = 0.0
        self._swap: FenceRecord | None = None
        self._pending_swap_calls = 0
        self._read_pending = False
        self._read_outdated = False

    def __len__(self) -> int:
        return len(self._keys)

    # -- requests of entries ------------------------------------------------------------------

    def on_permit(self, msg: FencePermitRequest, now: float, wall_ms: int) -> list[FenceAction]:
        """Decide whether an attempt gets permission to run.

        Args:
            msg: the request of an entry.
            now: monotonic time in seconds.
            wall_ms: wall-clock time in milliseconds since the Unix epoch.
        """
        known = self._keys.get(msg.key)
        if known is not None and self.role is not FenceRole.JOINING:
            return self._on_known_key(msg, known)
        cause = key_time_problem(msg.key, self.since_ms, wall_ms)
        if cause == BAD_KEY or (cause and self.role is not FenceRole.JOINING):
            return [Reply(msg.req, FenceAlreadyTaken(msg.req, cause=cause))]
        if self.role is FenceRole.SOLO and self._may_grant_alone(now):
            self._keys[msg.key] = KeyState(msg.digest, msg.req, now)
            self._is_copy_current = False
            return [Reply(msg.req, FencePermitted(msg.req))]
        if self.role is FenceRole.PAIRED and self._linked and self._swap is None:
            self._keys[msg.key] = KeyState(msg.digest, msg.req, now, awaiting_consent=True)
            return [Send(FenceClaim(self.range_id, self.epoch, msg.key, msg.digest, msg.req))]
        return [Reply(msg.req, None)]

    def _may_grant_alone(self, now: float) -> bool:
        """Whether a replica that is alone may grant permission now."""
        return self._swap is None and now >= self._syncing_until

    def _on_known_key(self, msg: FencePermitRequest, known: KeyState) -> list[FenceAction]:
        """Respond to a request whose key is already recorded."""
        if known.nonce == msg.req:
            return [] if known.awaiting_consent else [Reply(msg.req, FencePermitted(msg.req))]
        same = known.digest == msg.digest
        return [Reply(msg.req, FenceAlreadyTaken(msg.req, same, known.response if same else None))]

    def on_settle(self, msg: FenceSettle) -> list[FenceAction]:
        """Record how an attempt ended, and forward it once to the other replica."""
        known = self._keys.get(msg.key)
        if known is None or known.nonce != msg.req or known.response is not None:
            return []
        known.response = msg.answer
        return [Send(msg)] if self._linked else []

    def on_release(self, msg: FenceRelease) -> list[FenceAction]:
        """Release the key of an attempt that has not run and never will."""
        known = self._keys.get(msg.key)
        if known is None or known.nonce != msg.req or known.response is not None:
            return []
        del self._keys[msg.key]
        return [Send(msg)] if self._linked else []

    # -- the other replica --------------------------------------------------------------------

    def on_linked(self) -> list[FenceAction]:
        """Handle a new connection to the other replica, which may replace one that still exists."""
        # A process that has ended may have sent what came over the previous connection.
        actions = self._forget_connection()
        self._linked = True
        self._unlinked_at = None
        return [*actions, self._announce_state()]

    def on_unlinked(self, now: float) -> list[FenceAction]:
        """Handle a lost connection: attempts that wait for consent get the response "not now"."""
        self._linked = False
        self._unlinked_at = now
        return self._forget_connection()

    def _forget_connection(self) -> list[FenceAction]:
        """Drop what the other replica sent, and what it was asked, over a connection."""
        self._other_state = ""
        self._copy = None
        self._is_copy_current = False
        return self._drop_unconsented()

    def _drop_unconsented(self) -> list[FenceAction]:
        """Drop the keys without the other replica's consent, and respond to their requests."""
        unconsented = [(key, known) for key, known in self._keys.items() if known.awaiting_consent]
        for key, _ in unconsented:
            del self._keys[key]
        return [Reply(known.nonce, None) for _, known in unconsented]

    def _announce_state(self) -> Send:
        """Return the message that announces this replica's role and epoch."""
        return Send(FenceState(self.range_id, self.role.value, self.epoch))

    def on_claim(self, msg: FenceClaim, now: float) -> list[FenceAction]:
        """Record a key for the other replica, which then grants permission for it.

        The claim is refused when another attempt has the key, or when the replicas are not paired
        at the same epoch.
        """
        valid = self.role is FenceRole.PAIRED and msg.epoch == self.epoch
        if not valid:
            return [self._claim_reply(msg, valid=False, fresh=False)]
        known = self._keys.get(msg.key)
        actions: list[FenceAction] = []
        if known is not None and known.nonce != msg.nonce:
            if not known.awaiting_consent or self.me < self.other:
                return [self._claim_reply(msg, valid=True, fresh=False)]
            # Both replicas were asked for the same key at once: the one with the smaller name wins.
            actions.append(
                Reply(known.nonce, FenceAlreadyTaken(known.nonce, known.digest == msg.digest))
            )
        self._keys[msg.key] = KeyState(msg.digest, msg.nonce, now)
        actions.append(self._claim_reply(msg, valid=True, fresh=True))
        return actions

    def _claim_reply(self, msg: FenceClaim, *, valid: bool, fresh: bool) -> Send:
        """Return the reply to a claim."""
        return Send(FenceClaimReply(self.range_id, msg.key, msg.nonce, valid, fresh, self.epoch))

    def on_claim_reply(self, msg: FenceClaimReply) -> list[FenceAction]:
        """Grant or refuse permission by the other replica's reply to a claim."""
        known = self._keys.get(msg.key)
        if known is None or known.nonce != msg.nonce or not known.awaiting_consent:
            return []
        if msg.valid and msg.fresh and self.role is FenceRole.PAIRED:
            known.awaiting_consent = False
            return [Reply(msg.nonce, FencePermitted(msg.nonce))]
        del self._keys[msg.key]
        if msg.valid:
            return [Reply(msg.nonce, FenceAlreadyTaken(msg.nonce))]
        actions: list[FenceAction] = [Reply(msg.nonce, None)]
        if msg.epoch > self.epoch:
            actions += self._on_newer_epoch()
        return actions

    def on_state(self, msg: FenceState, now: float) -> list[FenceAction]:
        """Act on the state that the other replica announces."""
        self._other_state = msg.state
        self._other_epoch = msg.epoch
        if msg.epoch > self.epoch and self.role is not FenceRole.JOINING:
            return self._on_newer_epoch()
        if msg.state == FenceRole.JOINING.value:
            # It no longer has the record from which it sent a copy.
            self._copy = None
            return self._on_other_joining(now)
        if self.role is not FenceRole.JOINING:
            return [] if msg.epoch == self.epoch else [self._announce_state()]
        copy = self._copy
        if msg.state == FenceRole.PAIRED.value and copy is not None and copy.complete:
            # The other replica, which was alone until now, has made this one its pair.
            return self._read_record()
        return [self._announce_state()] if copy is None else []

    def _on_newer_epoch(self) -> list[FenceAction]:
        """Handle the news that the record has an epoch which this replica does not know."""
        if self._swap is not None:
            # The change may be this replica's own swap, whose result it has yet to learn.
            return self._read_record()
        return self._step_down()

    def _step_down(self) -> list[FenceAction]:
        """Stop trusting this replica's keys, since the record has changed without it."""
        actions = self._drop_unconsented()
        self.role = FenceRole.JOINING
        self._copy = None
        self._swap = None
        return [*actions, self._announce_state()] if self._linked else actions

    def _on_other_joining(self, now: float) -> list[FenceAction]:
        """Send the record to the other replica, or begin a new one if this one has none either."""
        if self.role is FenceRole.JOINING:
            # The record's head determines which of the two empty replicas begins a new record.
            return self._read_record()
        self._sync_id += 1
        if self.role is FenceRole.SOLO:
            self._syncing_until = now + SYNC_TIMEOUT_S
        return [Send(message) for message in self._sync_parts(now)]

    def _sync_parts(self, now: float) -> list[FenceSync]:
        """Return the messages that send a copy of the record."""
        rows = [
            FenceRow(key, known.digest, known.nonce, now - known.recorded_at, known.response)
            for key, known in self._keys.items()
        ]
        starts = range(0, max(1, len(rows)), MAX_SYNC_ROWS)
        return [
            FenceSync(
                self.range_id,
                self.epoch,
                self.since_ms,
                self._sync_id,
                tuple(rows[start : start + MAX_SYNC_ROWS]),
                start + MAX_SYNC_ROWS >= len(rows),
            )
            for start in starts
        ]

    def on_sync(self, msg: FenceSync) -> list[FenceAction]:
        """Receive a part of the other replica's record."""
        if self.role is not FenceRole.JOINING:
            return []
        copy = self._copy
        if copy is None or copy.sync_id != msg.sync or copy.epoch != msg.epoch:
            copy = self._copy = _IncomingCopy(msg.epoch, msg.since_ms, msg.sync)
        copy.rows += msg.rows
        if not msg.final:
            return []
        copy.complete = True
        return self._read_record()

    def on_joined(self, msg: FenceJoined, now: float) -> list[FenceAction]:
        """Handle the message that the other replica has received a complete copy.

        If the copy is current and this replica is alone and still waits for the message, it reads
        the record's head in order to make the other replica its pair.
        """
        current = msg.sync == self._sync_id and msg.epoch == self.epoch
        if self.role is not FenceRole.SOLO or not current or now >= self._syncing_until:
            return []
        self._is_copy_current = True
        return self._read_record()

    # -- the key-value service ----------------------------------------------------------------

    def _read_record(self) -> list[FenceAction]:
        """Read the record's head, unless a read is pending."""
        if self._read_pending:
            return []
        self._read_pending = True
        return [ReadRecord()]

    def on_record(
        self, record: FenceRecord | None, index: int, now: float, wall_ms: int
    ) -> list[FenceAction]:
        """Act on the record's head in the key-value service; None when there is none yet."""
        self._read_pending = False
        if self._read_outdated:
            # The head was possibly read before this replica's own swap; on_tick reads it again.
            self._read_outdated = False
            return []
        head = record or FenceRecord(0, "", 0)
        if self._swap is not None:
            return self._resolve_swap(head, index, now, wall_ms)
        if self.role is FenceRole.JOINING:
            return self._try_join(head, index, now)
        if head.epoch != self.epoch:
            return self._step_down()
        if self.role is FenceRole.PAIRED and self._is_other_lost(now):
            return self._start_swap(index, self.me)
        is_syncing = self._is_copy_current and now < self._syncing_until
        if self.role is FenceRole.SOLO and is_syncing:
            return self._start_swap(index, "")
        return []

    def on_read_failed(self) -> list[FenceAction]:
        """Handle a read without a response from the key-value service; :meth:`on_tick` retries."""
        self._read_pending = False
        self._read_outdated = False
        return []

    def _try_join(self, head: FenceRecord, index: int, now: float) -> list[FenceAction]:
        """Try to get a trusted record: use the received copy, or begin a record or take it over."""
        copy = self._copy
        if copy is not None and copy.complete:
            return self._use_copy(copy, head, now)
        both_empty = self._linked and self._other_state == FenceRole.JOINING.value
        if both_empty and self._may_begin(head):
            self.epoch = head.epoch
            return self._start_swap(index, "")
        if self._is_other_lost(now, JOINING_GRACE_S) and head.holder in ("", self.me):
            # The other replica cannot grant permission without this one, nor continue alone without
            # winning this same swap.
            self.epoch = head.epoch
            return self._start_swap(index, self.me)
        return []

    def _may_begin(self, head: FenceRecord) -> bool:
        """Whether this one of two empty replicas begins a new record.

        The replica that the head names does so, since the other one cannot know whether it still
        continues alone: it may have won that swap after its last announcement. Without such a
        replica, both names are compared; the compare-and-swap then excludes any other change.
        """
        first = head.holder if head.holder in (self.me, self.other) else min(self.me, self.other)
        return first == self.me

    def _use_copy(self, copy: _IncomingCopy, head: FenceRecord, now: float) -> list[FenceAction]:
        """Acknowledge a complete copy, or trust it once both replicas keep the record."""
        if head.epoch == copy.epoch and head.holder == self.other:
            copy.acknowledged = True
            return [Send(FenceJoined(self.range_id, copy.epoch, copy.sync_id))]
        paired_since = (
            self._other_state == FenceRole.PAIRED.value
            and head.epoch == self._other_epoch == copy.epoch + 1
        )
        if head.holder or not (head.epoch == copy.epoch or paired_since):
            # The copy is outdated. The announcement informs its sender of the newer epoch.
            self._copy = None
            self.epoch = max(self.epoch, head.epoch)
            return [self._announce_state()] if self._linked else []
        self.epoch = head.epoch
        self.since_ms = copy.since_ms
        self.role = FenceRole.PAIRED
        self._copy = None
        self._keys.clear()
        for row in copy.rows:
            self._keys[row.key] = KeyState(
                row.digest, row.nonce, now - row.age_s, response=row.answer
            )
        return [self._announce_state()]

    def _start_swap(self, index: int, holder: str) -> list[FenceAction]:
        """Try to swap in a head that makes *holder* continue alone; empty for both replicas."""
        return self._send_swap(index, FenceRecord(self.epoch + 1, holder, self._writer))

    def _send_swap(self, index: int, swap: FenceRecord) -> list[FenceAction]:
        """Send a swap, which may be one that was sent before."""
        self._swap = swap
        self._pending_swap_calls += 1
        return [SwapRecord(index, swap)]

    def on_swapped(self, won: bool | None, now: float, wall_ms: int) -> list[FenceAction]:
        """Act on the result of a swap; None when no response came, so the head is read again.

        The head is also read while other swap calls are pending, since the result may then belong
        to an earlier swap.
        """
        is_only_call = self._pending_swap_calls == 1
        self._pending_swap_calls = max(0, self._pending_swap_calls - 1)
        if self._swap is None:
            return []
        if won and is_only_call:
            return self._resolve_swap(self._swap, 0, now, wall_ms)
        return self._read_record()

    def _resolve_swap(
        self, head: FenceRecord, index: int, now: float, wall_ms: int
    ) -> list[FenceAction]:
        """Compare the record's head with the attempted swap."""
        swap = self._swap
        if swap is None:
            return []
        if head == swap:
            self._swap = None
            return self._apply_swap(swap, now, wall_ms)
        if head.epoch < swap.epoch:
            # The swap may still take effect. It is sent again; only one of the two can succeed.
            return self._send_swap(index, swap)
        self._swap = None
        return self._step_down()

    def _apply_swap(self, swap: FenceRecord, now: float, wall_ms: int) -> list[FenceAction]:
        """Take the role that follows from this replica's successful swap."""
        self.epoch = swap.epoch
        if self.role is FenceRole.JOINING:
            self._keys.clear()
            # Before the very first record, no permission can have been granted.
            self.since_ms = wall_ms if swap.epoch > 1 else 0
        self._copy = None
        self._read_outdated = self._read_pending
        was_empty = self.role is FenceRole.JOINING
        self.role = FenceRole.SOLO if swap.holder else FenceRole.PAIRED
        self._syncing_until = 0.0
        if not self._linked:
            return []
        # The other replica may still trust an older record, which it gives up on this announcement.
        actions: list[FenceAction] = [self._announce_state()]
        if was_empty and self.role is FenceRole.PAIRED:
            actions += self._on_other_joining(now)
        return actions

    # -- timers -------------------------------------------------------------------------------

    def _is_other_lost(self, now: float, grace_s: float = PAIRED_GRACE_S) -> bool:
        """Whether there has been no connection to the other replica for *grace_s* seconds."""
        return self._unlinked_at is not None and now - self._unlinked_at >= grace_s

    def on_tick(self, now: float) -> list[FenceAction]:
        """Do what is due: drop expired keys, continue alone after a timeout, retry."""
        drop_expired_keys(self._keys, now)
        if not self._linked and self._unlinked_at is None:
            self._unlinked_at = now
        if self._swap is not None:
            return self._read_record()
        if self.role is FenceRole.PAIRED and self._is_other_lost(now):
            return self._read_record()
        return self._tick_joining(now) if self.role is FenceRole.JOINING else []

    def _tick_joining(self, now: float) -> list[FenceAction]:
        """Retry what brings a replica without a trusted record closer to one."""
        if not self._linked:
            return self._read_record() if self._is_other_lost(now, JOINING_GRACE_S) else []
        copy = self._copy
        if copy is not None and copy.complete and not copy.acknowledged:
            return self._read_record()
        if copy is not None and copy.complete:
            # The sender did not make this replica its pair while the copy was current: start again.
            self._copy = None
        return [self._announce_state()]
