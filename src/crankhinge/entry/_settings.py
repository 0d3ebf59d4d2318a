"""Settings of an entry."""

from __future__ import annotations

from typing import Annotated

import msgspec

from crankhinge.peers import PeerSettings


class EntrySettings(PeerSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry.

    Attributes:
        subset: largest number of agents of one pool that this entry keeps links to.
        body_bytes: largest size of a request body, in bytes.
        buffer_tokens: largest number of unread tokens of one answer. A caller that reads too
            slowly exceeds it, and its request fails.
        max_requests: largest number of open requests.
    """

    subset: Annotated[int, msgspec.Meta(ge=1)] = 8
    body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    buffer_tokens: Annotated[int, msgspec.Meta(ge=16)] = 2048
    max_requests: Annotated[int, msgspec.Meta(ge=1)] = 2000
