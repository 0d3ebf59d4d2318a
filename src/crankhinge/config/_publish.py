"""Acceptance of a bundle: one compare-and-swap in the key-value service."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from crankhinge.adapters import KeyValue, Value
from crankhinge.config._envelope import verify_envelope
from crankhinge.config._keeper import TrustedKeys
from crankhinge.errors import BundleError, KeyValueUnavailable, PublishConflict

BUNDLE_KEY = "crankhinge/bundle"
HISTORY_KEY = "crankhinge/history"
MAX_HISTORY_ROWS = 200
MAX_HISTORY_ATTEMPTS = 5


class HistoryRow(msgspec.Struct, frozen=True):
    """An accepted bundle: its version and the hash of its envelope."""

    version: int
    sha256: str


@dataclass(frozen=True)
class PublishResult:
    """A bundle was accepted.

    Attributes:
        version: its version.
        confirmed_by_read: whether the answer to the swap was lost and the outcome read back.
    """

    version: int
    confirmed_by_read: bool


async def read_current_envelope(kv: KeyValue) -> Value | None:
    """Return the accepted envelope, or None before the first. Raises KeyValueUnavailable."""
    return await kv.get(BUNDLE_KEY)


async def publish(kv: KeyValue, envelope: bytes, keys: TrustedKeys) -> PublishResult:
    """Accept *envelope* if it follows the current bundle.

    Raises:
        BundleError: when it is invalid, unsigned or doesn't follow the current version.
        PublishConflict: when another bundle was accepted first; nothing was written.
        KeyValueUnavailable: when it can't be told whether it was accepted; publishing the same
            file again is safe and settles it.
    """
    bundle = verify_envelope(envelope, keys)
    current = await read_current_envelope(kv)
    if current is not None and current.data == envelope:
        return PublishResult(bundle.version, confirmed_by_read=True)
    base = verify_envelope(current.data, keys).version if current else 0
    if bundle.version <= base:
        raise PublishConflict(f"version {base} is in force, this file is version {bundle.version}")
    if bundle.version != base + 1:
        raise BundleError(f"version {bundle.version} doesn't follow version {base}")
    result = await _compare_and_swap(kv, envelope, bundle.version, current.index if current else 0)
    await _append_to_history(kv, HistoryRow(bundle.version, hashlib.sha256(envelope).hexdigest()))
    return result


async def _compare_and_swap(
    kv: KeyValue, envelope: bytes, version: int, index: int
) -> PublishResult:
    try:
        won = await kv.swap(BUNDLE_KEY, envelope, index)
    except KeyValueUnavailable:
        return await _confirm_by_read(kv, envelope, version)
    if won:
        return PublishResult(version, confirmed_by_read=False)
    return await _confirm_by_read(kv, envelope, version)


async def _confirm_by_read(kv: KeyValue, envelope: bytes, version: int) -> PublishResult:
    """Tell from the service's state whether our write took effect."""
    now = await read_current_envelope(kv)
    if now is not None and now.data == envelope:
        return PublishResult(version, confirmed_by_read=True)
    raise PublishConflict("another bundle was accepted first; compare it with `bundle diff`")


async def read_history(kv: KeyValue) -> list[HistoryRow]:
    """Return the accepted bundles that are kept, oldest first. Raises KeyValueUnavailable."""
    value = await kv.get(HISTORY_KEY)
    return _decode_history(value)


def _decode_history(value: Value | None) -> list[HistoryRow]:
    if value is None:
        return []
    try:
        return msgspec.json.decode(value.data, type=list[HistoryRow])
    except msgspec.DecodeError:
        return []


async def _append_to_history(kv: KeyValue, row: HistoryRow) -> None:
    """Add a row to the history: a convenience, so that its loss undoes no acceptance."""
    for _ in range(MAX_HISTORY_ATTEMPTS):
        try:
            value = await kv.get(HISTORY_KEY)
            rows = _decode_history(value)
            if row in rows:
                return
            data = msgspec.json.encode([*rows, row][-MAX_HISTORY_ROWS:])
            if await kv.swap(HISTORY_KEY, data, value.index if value else 0):
                return
        except KeyValueUnavailable:
            continue
