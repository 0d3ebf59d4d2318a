"""The keys of a fence record: their creation time, and the state kept for each."""

from __future__ import annotations

import uuid
from collections import OrderedDict
from dataclasses import dataclass

from crankhinge.decisions._fence_messages import RecordedResponse

# Seconds for which a key is kept in the record. A key is accepted as new only in the first half of
# that time after its creation.
KEY_RETENTION_S = 900.0
# Largest assumed difference, in milliseconds, between the wall clocks of callers and agents.
MAX_CLOCK_SKEW_MS = 5_000
# Longest body of a response that is recorded.
MAX_RECORDED_BODY_BYTES = 4096
UUID_VERSION = 7
# Error codes for the caller.
TOO_OLD = "key-too-old"
BAD_KEY = "bad-key"


@dataclass
class KeyState:
    """The state of a recorded key.

    Attributes:
        digest: digest of the request.
        nonce: identifies the attempt that has permission, or waits for it.
        recorded_at: when the key was recorded, by the monotonic clock in seconds.
        awaiting_consent: whether the other replica has yet to consent.
        response: how the attempt ended; None while unknown.
    """

    digest: bytes
    nonce: int
    recorded_at: float
    awaiting_consent: bool = False
    response: RecordedResponse | None = None


def key_created_ms(key: str) -> int | None:
    """Return the creation time of a key in Unix milliseconds; None if it is not a UUIDv7."""
    try:
        value = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    return value.int >> 80 if value.version == UUID_VERSION else None


def key_time_problem(key: str, since_ms: int, wall_ms: int) -> str:
    """Return why an unrecorded key cannot be accepted as new; empty if it can.

    Args:
        key: the key of the request.
        since_ms: keys created before this time may be missing from the record.
        wall_ms: wall-clock time in milliseconds since the Unix epoch.
    """
    created_ms = key_created_ms(key)
    if created_ms is None or created_ms > wall_ms + MAX_CLOCK_SKEW_MS:
        return BAD_KEY
    oldest = max(since_ms + 2 * MAX_CLOCK_SKEW_MS, wall_ms - int(KEY_RETENTION_S * 1000) // 2)
    return TOO_OLD if created_ms < oldest else ""


def drop_expired_keys(keys: OrderedDict[str, KeyState], now: float) -> None:
    """Drop the keys that were recorded longer ago than the retention time."""
    while keys:
        key, known = next(iter(keys.items()))
        if now - known.recorded_at < KEY_RETENTION_S:
            return
        del keys[key]


def to_recorded_response(status: int, headers: dict[str, str], body: bytes) -> RecordedResponse:
    """Return what is recorded of a response; a long body is left out."""
    if len(body) > MAX_RECORDED_BODY_BYTES:
        return RecordedResponse(status, headers, b"", cut=True)
    return RecordedResponse(status, headers, body)
