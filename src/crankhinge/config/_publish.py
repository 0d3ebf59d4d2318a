"""Publishes a bundle with one compare-and-swap in the key-value service."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from crankhinge.adapters import KeyValueStore, StoredValue
from crankhinge.config._envelope import verify_envelope
from crankhinge.config._keeper import TrustedKeys
from crankhinge.decoding import decode_json
from crankhinge.errors import BundleError, KeyValueUnavailable, PublishConflict, Undecodable

BUNDLE_KEY = "crankhinge/bundle"
HISTORY_KEY = "crankhinge/history"
MAX_HISTORY_ROWS = 200
MAX_HISTORY_ATTEMPTS = 5


class HistoryRow(msgspec.Struct, frozen=True):
    """Version of a published bundle and the SHA-256 of its envelope in hex."""

    version: int
    sha256: str


@dataclass(frozen=True)
class PublishResult:
    """The outcome of a successful publication.

    Attributes:
        version: version of the published bundle.
        confirmed_by_read: whether success is known from reading the key rather than from the
            response to the compare-and-swap: the response was lost, or the same bundle had
            already been published.
    """

    version: int
    confirmed_by_read: bool


async def read_current_envelope(kv: KeyValueStore) -> StoredValue | None:
    """Return the envelope of the published bundle, or None before the first publication.

    Raises:
        KeyValueUnavailable: the key-value service did not respond.
    """
    return await kv.get(BUNDLE_KEY)


async def publish(kv: KeyValueStore, envelope: bytes, keys: TrustedKeys) -> PublishResult:
    """Publish *envelope* if its version directly follows that of the published bundle.

    Raises:
        BundleError: the bundle is invalid, lacks a signature or skips a version.
        PublishConflict: a different bundle with this version or a higher one is already published;
            nothing was written.
        KeyValueUnavailable: it is unknown whether the bundle was published. Publishing the same
            file again is safe and resolves the uncertainty.
    """
    bundle = verify_envelope(envelope, keys)
    current = await read_current_envelope(kv)
    if current is not None and current.data == envelope:
        return PublishResult(bundle.version, confirmed_by_read=True)
    current_version = verify_envelope(current.data, keys).version if current else 0
    if bundle.version <= current_version:
        raise PublishConflict(
            f"version {current_version} is published, but this file has version {bundle.version}"
        )
    if bundle.version != current_version + 1:
        raise BundleError(
            f"version {bundle.version} does not directly follow version {current_version}"
        )
    result = await _compare_and_swap(kv, envelope, bundle.version, current.index if current else 0)
    await _append_to_history(kv, HistoryRow(bundle.version, hashlib.sha256(envelope).hexdigest()))
    return result


async def _compare_and_swap(
    kv: KeyValueStore, envelope: bytes, version: int, index: int
) -> PublishResult:
    try:
        written = await kv.compare_and_swap(BUNDLE_KEY, envelope, index)
    except KeyValueUnavailable:
        return await _confirm_by_read(kv, envelope, version)
    if written:
        return PublishResult(version, confirmed_by_read=False)
    return await _confirm_by_read(kv, envelope, version)


async def _confirm_by_read(kv: KeyValueStore, envelope: bytes, version: int) -> PublishResult:
    """Determine whether the write took effect by reading the key."""
    current = await read_current_envelope(kv)
    if current is not None and current.data == envelope:
        return PublishResult(version, confirmed_by_read=True)
    raise PublishConflict("another bundle was published first; compare it with `bundle diff`")


async def read_history(kv: KeyValueStore) -> list[HistoryRow]:
    """Return the history of published bundles, oldest first, at most ``MAX_HISTORY_ROWS``.

    Raises:
        KeyValueUnavailable: the key-value service did not respond.
    """
    value = await kv.get(HISTORY_KEY)
    return _decode_history(value)


def _decode_history(value: StoredValue | None) -> list[HistoryRow]:
    if value is None:
        return []
    try:
        return decode_json(value.data, list[HistoryRow])
    except Undecodable:
        return []


async def _append_to_history(kv: KeyValueStore, row: HistoryRow) -> None:
    """Append a row to the history.

    The history is for information only, so a failure to write it does not undo the publication.
    """
    for _ in range(MAX_HISTORY_ATTEMPTS):
        try:
            value = await kv.get(HISTORY_KEY)
            rows = _decode_history(value)
            if row in rows:
                return
            data = msgspec.json.encode([*rows, row][-MAX_HISTORY_ROWS:])
            if await kv.compare_and_swap(HISTORY_KEY, data, value.index if value else 0):
                return
        except KeyValueUnavailable:
            continue
