"""What began streams."""

from __future__ import annotations

import hashlib
from collections import defaultdict, deque
from dataclasses import dataclass

from crankhinge.decisions._servers import UNCERTAIN_VERSION

# Seconds for which the origin of a stream is remembered; callers take it up no later.
MAX_STREAM_S = 60
# Streams that are remembered, some 200 bytes each. At the planned size an instance has to remember
# 1,650.
MAX_STREAMS = 20_000
# Bounds of the streams that are remembered with their servers. A list of servers that is up to date
# shows a restart within seconds.
MAX_STREAMS_PER_SERVER = 500
MAX_BEGUN_SERVERS = 2000


def stream_key(account: str, host: str, request_id: str) -> int:
    """Return a number of 64 bits for the stream that an attempt of a caller began."""
    text = "\0".join((account, host, request_id)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def service_number(name: str) -> int:
    """Return a number of 32 bits for a service."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "big")


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream.

    Attributes:
        service: :func:`service_number` of the service.
        version: software version of the server; empty if its entry has none.
    """

    service: int
    version: str


class BegunStreams:
    """Streams that servers have begun lately, by the incarnation that was listed then."""

    def __init__(self) -> None:
        self._streams: defaultdict[str, deque[tuple[float, int]]] = defaultdict(
            lambda: deque(maxlen=MAX_STREAMS_PER_SERVER)
        )

    def record(self, incarnation_id: str, key: int, now: float) -> None:
        """Record that a stream began at a server."""
        if len(self._streams) >= MAX_BEGUN_SERVERS and incarnation_id not in self._streams:
            del self._streams[next(iter(self._streams))]
        self._streams[incarnation_id].append((now, key))

    def pop_since(self, incarnation_id: str, begin: float) -> list[int]:
        """Forget the streams of an incarnation; return those that began after *begin*."""
        return [key for at, key in self._streams.pop(incarnation_id, ()) if at > begin]


class StreamOrigins:
    """Origins of the streams that this instance began, or holds for other instances."""

    def __init__(self) -> None:
        self._streams: dict[int, tuple[StreamOrigin, float]] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, key: int, origin: StreamOrigin, lifetime_s: float, now: float) -> None:
        """Remember the origin of a stream for *lifetime_s* seconds, MAX_STREAM_S at the most."""
        known = self.get(key, now)
        if known is not None and known.version == UNCERTAIN_VERSION:
            # An earlier record of the stream may arrive late, or be passed on by a take-up.
            origin = known
        self._streams.pop(key, None)
        self._streams[key] = origin, now + min(lifetime_s, MAX_STREAM_S)
        self._drop_oldest(now)

    def _drop_oldest(self, now: float) -> None:
        while self._streams:
            oldest = next(iter(self._streams))
            if self._streams[oldest][1] > now and len(self._streams) <= MAX_STREAMS:
                return
            del self._streams[oldest]

    def get(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""
        known = self._streams.get(key)
        return known[0] if known is not None and known[1] > now else None
