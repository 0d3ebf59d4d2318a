"""Settings of an entry."""

from __future__ import annotations

from typing import Annotated

import msgspec

from crankhinge.peers import PeerSettings


class EntrySettings(PeerSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry.

    Attributes:
        subset: most agents of one pool that this entry keeps a link to.
        body_bytes: largest body of a request.
        buffer_tokens: tokens of one answer kept for a caller that reads slowly.
        max_requests: requests in progress at one time.
    """

    subset: Annotated[int, msgspec.Meta(ge=1)] = 8
    body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    buffer_tokens: Annotated[int, msgspec.Meta(ge=16)] = 2048
    max_requests: Annotated[int, msgspec.Meta(ge=1)] = 2000
