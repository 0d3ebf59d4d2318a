"""Settings of an agent."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from crankhinge.peers import PeerSettings
from crankhinge.runtime import HostPort, Seconds


class AgentSettings(PeerSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an agent.

    Attributes:
        role: kind of the backend server: a prefill engine, a decode engine or a plain service.
        pool: pool of the bundle that the backend server belongs to.
        backend: ``host:port`` of the backend server.
        slots: number of requests that the backend server runs at the same time. It applies until
            the bundle sets another number.
        step_s: assumed seconds between two tokens of an answer, until the agent has measured them.
        rate: assumed prompt tokens per second (for a plain service, calls per second), until the
            agent has measured the actual rate; greater than 0.
        lease_s: seconds for which a leased slot stays reserved after its expected first use.
    """

    role: Literal["prefill", "decode", "plain"]
    pool: str
    backend: HostPort
    slots: Annotated[int, msgspec.Meta(ge=1)] = 20
    step_s: Seconds = 0.03
    rate: Seconds = 10_000.0
    lease_s: Seconds = 1.0
