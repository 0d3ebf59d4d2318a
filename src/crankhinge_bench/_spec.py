"""Specification of the programs of a cluster, as scenario files state it."""

from __future__ import annotations

import msgspec


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines of one pool.

    Attributes:
        pool: name of the pool.
        kind: ``prefill`` or ``decode``.
        count: number of engines.
        slots: requests that a decode engine holds in memory, or prompts that a prefill engine
            processes, at the same time.
        step_s: seconds of a decode step with one request in memory.
        prefill_rate: prompt tokens that an engine processes per second.
        kv_life_s: seconds for which a prefill engine keeps the KV cache of a prompt.
        link_bytes_per_s: bandwidth of an engine's outgoing link in bytes per second; 0 for no
            limit.
        kv_bytes_per_token: bytes of KV cache per token.
        step_per_request_s: seconds that each further request in memory adds to a decode step.
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
    """Backend servers of a plain service.

    Attributes:
        pool: name of the pool and of the service.
        path: path prefix of the service's requests.
        count: number of backend servers; if there are several, the agents of the first two keep the
            fence records.
        slots: requests that a backend server runs at the same time.
        work_s: seconds that a backend server takes for a request.
    """

    pool: str
    path: str
    count: int
    slots: int = 20
    work_s: float = 0.01


class ClusterSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Programs and configuration of a cluster.

    Attributes:
        entries: number of entries.
        engines: pools of engines, which all serve the model ``m1``.
        services: plain services.
        members: name and weight of each member.
        zones: availability zones; the agents and backend servers of a pool are assigned to them in
            turn.
        first_token_s: latency target for the first token in seconds.
        between_tokens_s: latency target for the mean gap between tokens in seconds.
        policy: keys of the bundle's ``[policy]`` table.
        mechanisms: name of the policy that selects the active mechanisms, as for ``run --policy``.
        beat_s: seconds between heartbeats.
        subset: maximum number of agents of a pool that an entry links to.
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
