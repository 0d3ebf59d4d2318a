"""A scenario file: what is started, what is asked of it, and what goes wrong when."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from crankhinge.runtime import load_settings
from crankhinge_bench._spec import ClusterSpec
from crankhinge_bench._trace import Load


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One thing that goes wrong.

    Attributes:
        at: seconds after the start of the trace.
        kind: ``kill`` ends a process with SIGKILL and starts it again after ``seconds``; ``pause``
            stops it for ``seconds``; the others switch a stand-in's fault on for ``seconds``.
        target: name of an agent (``write-0``), of a backend server (``backend-write-0``), of an
            entry (``entry-0``) or ``platform``.
        seconds: how long it lasts.
        factor: of ``slow``.
    """

    at: float
    kind: Literal["kill", "pause", "down", "slow", "stall", "refuse", "lose-answers"]
    target: str
    seconds: float = 1.0
    factor: float = 4.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole scenario.

    Attributes:
        name: for the results.
        loads: multiples of the engines' capacity at which the trace is played.
        cluster: what is started.
        load: how arrivals are drawn; ``per_s`` is worked out from ``loads`` and the capacity.
        faults: what goes wrong.
        client_delay_s: one way between callers and entries, added to what callers see.
    """

    name: str
    loads: Annotated[tuple[float, ...], msgspec.Meta(min_length=1)] = (1.0,)
    cluster: ClusterSpec = msgspec.field(default_factory=ClusterSpec)
    load: Load = msgspec.field(default_factory=Load)
    faults: tuple[Fault, ...] = ()
    client_delay_s: float = 0.0


def read_scenario(path: str) -> Scenario:
    """Read a scenario.

    Raises:
        SettingsError: naming the file, the key and the reason.
    """
    return load_settings(path, Scenario)
