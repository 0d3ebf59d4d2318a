"""What a cluster consists of."""

from __future__ import annotations

import msgspec


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines of one pool.

    Attributes:
        pool: its name.
        kind: ``prefill`` or ``decode``.
        count: how many.
        slots: requests in memory, or prompts read at once.
        step_s: seconds a decode step takes.
        prefill_rate: prompt tokens a second.
        kv_life_s: seconds for which a result is kept.
        link_bytes_per_s: rate of an engine's outgoing link; 0 for no limit.
        kv_bytes_per_token: size of the KV cache of a token.
        step_per_request_s: seconds a step takes longer for each further request in memory.
    """

    pool: str
    kind: str
    count: int
    slots: int = 20
    step_s: float = 0.02
    prefill_rate: float = 20_000.0
    kv_life_s: float = 0.8
    link_bytes_per_s: float = 0.0
    kv_bytes_per_token: int = 100_000
    step_per_request_s: float = 0.0005


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas of a plain service."""

    pool: str
    path: str
    count: int
    slots: int = 20
    work_s: float = 0.01


class ClusterSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What is started.

    Attributes:
        entries: entry instances.
        engines: pools of engines, all of one model ``m1``.
        services: plain services.
        members: names of members, with weights.
        zones: availability zones, given out in turn.
        first_token_s: latency target.
        between_tokens_s: latency target.
        policy: the bundle's policy.
        mechanisms: which mechanisms are at work; see the policies of ``run``.
        beat_s: seconds between heartbeats.
        subset: most agents of a pool that an entry links to.
    """

    entries: int = 1
    engines: tuple[EngineSpec, ...] = (
        EngineSpec("read", "prefill", 2),
        EngineSpec("write", "decode", 2),
    )
    services: tuple[ServiceSpec, ...] = (ServiceSpec("ledger", "/ledger/", 2),)
    members: tuple[tuple[str, float], ...] = (("naas-office", 1.0), ("swords-office", 1.0))
    zones: tuple[str, ...] = ("naas", "swords", "bray")
    first_token_s: float = 0.43
    between_tokens_s: float = 0.07
    policy: dict[str, float] = {}
    mechanisms: str = "full"
    beat_s: float = 0.5
    subset: int = 1000
