"""Settings of an agent."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from crankhinge.peers import PeerSettings
from crankhinge.runtime import HostPort, Seconds


class AgentSettings(PeerSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an agent.

    Attributes:
        role: what its backend server does.
        pool: its pool in the bundle.
        backend: ``host:port`` of the backend server.
        slots: requests the backend server takes at once, until the bundle says otherwise.
        step_s: seconds between tokens, before any was measured.
        rate: prompt tokens (or calls) per second, before any was measured.
        lease_s: seconds a slot is held beyond the time at which it was to be used.
    """

    role: Literal["prefill", "decode", "plain"]
    pool: str
    backend: HostPort
    slots: Annotated[int, msgspec.Meta(ge=1)] = 20
    step_s: Seconds = 0.03
    rate: Seconds = 10_000.0
    lease_s: Seconds = 1.0
