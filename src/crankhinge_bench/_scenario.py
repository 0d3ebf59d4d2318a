"""Scenario files: the programs to start, the load, and the faults to inject."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from crankhinge.runtime import load_settings
from crankhinge_bench._spec import ClusterSpec
from crankhinge_bench._trace import Load


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault to inject.

    Attributes:
        at: start in seconds after the start of the trace.
        kind: ``kill`` ends a process with SIGKILL and starts it again after ``seconds``; ``pause``
            stops it for ``seconds``; any other kind switches a fault of a stand-in on for
            ``seconds``.
        target: name of an agent (``write-0``), of a backend server (``backend-write-0``), of an
            entry (``entry-0``) or ``platform``.
        seconds: duration of the fault.
        factor: factor by which ``slow`` slows a stand-in down.
    """

    at: float
    kind: Literal["kill", "pause", "down", "slow", "stall", "refuse", "lose-answers"]
    target: str
    seconds: float = 1.0
    factor: float = 4.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A scenario.

    Attributes:
        name: name of the scenario in the results.
        loads: offered loads as multiples of the engines' capacity; each one is run.
        cluster: the programs to start.
        load: distribution of the arrivals; its ``per_s`` is ignored and computed from ``loads`` and
            the capacity.
        faults: faults to inject.
        client_delay_s: one-way delay in seconds between callers and entries. Twice the delay is
            added to the measured time to the first token.
    """

    name: str
    loads: Annotated[tuple[float, ...], msgspec.Meta(min_length=1)] = (1.0,)
    cluster: ClusterSpec = msgspec.field(default_factory=ClusterSpec)
    load: Load = msgspec.field(default_factory=Load)
    faults: tuple[Fault, ...] = ()
    client_delay_s: float = 0.0


def read_scenario(path: str) -> Scenario:
    """Read a scenario file.

    Raises:
        SettingsError: the file can't be read or is invalid; the detail states the file, the key and
            the reason.
    """
    return load_settings(path, Scenario)
