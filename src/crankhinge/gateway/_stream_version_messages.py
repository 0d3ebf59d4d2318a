"""Messages between instances about the software versions that began streams, one per datagram.

There is one for each stream and holder, so they are encoded as arrays, and ids as hashes.
"""

from __future__ import annotations

import msgspec


class StreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="sb"):
    """A server began a stream whose caller may take it up at another instance.

    Attributes:
        key: number that stands for the caller's attempt.
        version: software version of the server.
        left_s: seconds for which the caller may take the stream up, rounded up.
    """

    key: int
    version: str
    left_s: int


class StreamVersionRequest(msgspec.Struct, frozen=True, array_like=True, tag="sq"):
    """Asks which version began a stream.

    Attributes:
        number: number by which the sender matches the response.
        key: number that stands for the caller's attempt.
    """

    number: int
    key: int


class StreamVersionResponse(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Response to a :class:`StreamVersionRequest`.

    Attributes:
        number: number of the request.
        version: the version; None if the responding instance does not know the stream.
    """

    number: int
    version: str | None


StreamVersionMessage = StreamBegan | StreamVersionRequest | StreamVersionResponse
