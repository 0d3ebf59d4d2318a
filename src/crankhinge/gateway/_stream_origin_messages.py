"""Messages between instances about what began streams, one per datagram.

There is one for each stream and holder, so they are encoded as arrays, and ids and services as
hashes.
"""

from __future__ import annotations

import msgspec

from crankhinge.decisions import StreamOrigin


class StreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="sb"):
    """A server began a stream whose caller may take it up at another instance.

    Attributes:
        key: number that stands for the caller's attempt.
        service: number that stands for the service.
        version: software version of the server.
        left_s: seconds for which the caller may take the stream up, rounded up.
    """

    key: int
    service: int
    version: str
    left_s: int

    @property
    def origin(self) -> StreamOrigin:
        """What began the stream."""
        return StreamOrigin(self.service, self.version)


class StreamOriginRequest(msgspec.Struct, frozen=True, array_like=True, tag="sq"):
    """Asks what began a stream.

    Attributes:
        number: number by which the sender matches the response.
        key: number that stands for the caller's attempt.
    """

    number: int
    key: int


class StreamOriginResponse(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Response to a :class:`StreamOriginRequest`.

    Attributes:
        number: number of the request.
        service: number that stands for the service; None if the stream is not known.
        version: software version of the server.
    """

    number: int
    service: int | None
    version: str = ""

    @property
    def origin(self) -> StreamOrigin | None:
        """What began the stream; None if the responding instance does not know it."""
        return None if self.service is None else StreamOrigin(self.service, self.version)


class OriginsCollected(msgspec.Struct, frozen=True, array_like=True, tag="so"):
    """Asks a recorder to write origins into the journal.

    Attributes:
        number: number by which the sender matches the receipt.
        segment: the streams and their origins, as in a segment of the journal.
    """

    number: int
    segment: bytes


class OriginsReceipt(msgspec.Struct, frozen=True, array_like=True, tag="sa"):
    """Response to an :class:`OriginsCollected`.

    Attributes:
        number: number of that message.
        accepted: whether the responding instance will write the origins.
    """

    number: int
    accepted: bool


StreamOriginMessage = (
    StreamBegan | StreamOriginRequest | StreamOriginResponse | OriginsCollected | OriginsReceipt
)
