"""The data model of a bundle and its validation."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from crankhinge.decoding import decode_toml
from crankhinge.errors import BundleError, Undecodable

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class _BundleStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the bundle models; rejects unknown keys."""


class Policy(_BundleStruct, frozen=True):
    """Trade-off between goodput and wasted prefill, and limits on retries and waiting.

    Attributes:
        waste_weight: 0 maximizes goodput alone, 1 minimizes wasted prefill.
        retry_ratio: maximum number of retries per first attempt.
        patience: a request is refused if its first token cannot arrive within this multiple of the
            model's ``first_token_s``, less a margin.
    """

    waste_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    patience: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0


class Partner(_BundleStruct, frozen=True):
    """One of the organizations that share the engines; every partner signs every bundle.

    Attributes:
        name: name of the partner.
        weight: weight in the fair queues, relative to the other partners.
    """

    name: Name
    weight: Positive = 1.0


class Member(_BundleStruct, frozen=True):
    """A client account.

    Attributes:
        name: name of the account.
        partner: name of the partner that the account belongs to.
        credential_sha256: SHA-256 of the account's bearer credential, in hex.
        weight: weight in the fair queues, relative to the other accounts of the same partner.
        max_concurrent: maximum number of requests in progress at one entry; 0 for no limit.
        max_per_s: maximum number of requests per second at one entry; 0 for no limit.
        max_rank: number of the most urgent priority class that the account may request. Class 0
            is the most urgent, class 2 the least urgent.
    """

    name: Name
    partner: Name
    credential_sha256: Sha256
    weight: Positive = 1.0
    max_concurrent: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_rank: Annotated[int, msgspec.Meta(ge=0, le=2)] = 0


class Adapter(_BundleStruct, frozen=True):
    """An adapter: a variant of a model that is loaded into the model's engines.

    Attributes:
        name: model name that callers use to select the adapter.
        path: path of the adapter's weights, in the form that the engine expects.
        version: version of the weights; increase it by one whenever they change.
    """

    name: Name
    path: str
    version: Count = 1


class Model(_BundleStruct, frozen=True):
    """A language model that callers select by name.

    Attributes:
        name: name of the model.
        prefill: names of the pools whose engines prefill for the model.
        decode: names of the pools whose engines decode for the model.
        first_token_s: latency target for the first token, in seconds.
        between_tokens_s: latency target for the mean time between tokens, in seconds.
        objective: fraction of the requests that must meet each target.
        max_prompt_tokens: maximum number of tokens of a prompt.
        max_output_tokens: maximum number of output tokens, and the default for requests that do
            not set a maximum.
        adapters: adapters that are loaded into the model's engines; callers use the name of an
            adapter as a model name.
    """

    name: Name
    prefill: tuple[Name, ...]
    decode: tuple[Name, ...]
    first_token_s: Positive = 0.43
    between_tokens_s: Positive = 0.07
    objective: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.95
    max_prompt_tokens: Count = 32_768
    max_output_tokens: Count = 1_024
    adapters: tuple[Adapter, ...] = ()


class Pool(_BundleStruct, frozen=True):
    """A pool of backend servers of one kind.

    Attributes:
        name: name of the pool.
        kind: what the backend servers of the pool do.
        slots: maximum number of requests that a decode engine holds in memory, of prompts that a
            prefill engine processes concurrently, or of calls that a plain service handles
            concurrently.
        rolling: maximum number of the pool's engines that may load the weights of adapters at the
            same time.
        fence: pairs of agents, in different availability zones, that keep the fence records of
            the pool. A fence record lets a non-repeatable request with an idempotency key run at
            most once; the keys are distributed over the pairs.
    """

    name: Name
    kind: Literal["prefill", "decode", "plain"]
    slots: Count = 20
    rolling: Count = 1
    fence: tuple[tuple[Name, Name], ...] = ()


class Service(_BundleStruct, frozen=True):
    """A service whose backend servers handle plain HTTP calls instead of running a model.

    Attributes:
        name: name of the service.
        path: prefix of the request paths that the service handles; the longest match wins.
        pool: name of the pool that serves the calls.
        repeatable: HTTP methods whose calls may be retried.
        timeout_s: maximum duration of a call, in seconds.
    """

    name: Name
    path: Annotated[str, msgspec.Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    pool: Name
    repeatable: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: Positive = 10.0


class Transfer(_BundleStruct, frozen=True):
    """Cost of transferring the KV cache of a prompt between engines.

    Attributes:
        kv_bytes_per_token: size of the KV cache per prompt token, in bytes.
        same_zone_bytes_per_s: bandwidth of a link within a zone; 0 for no limit.
        cross_zone_bytes_per_s: bandwidth of a link between zones; 0 for no limit.
        cross_zone_s: one-way latency between zones, in seconds.
    """

    kv_bytes_per_token: Annotated[int, msgspec.Meta(ge=0)] = 0
    same_zone_bytes_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cross_zone_bytes_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cross_zone_s: Annotated[float, msgspec.Meta(ge=0)] = 0.001


class Bundle(_BundleStruct, frozen=True):
    """A complete configuration.

    Attributes:
        version: version of the bundle, one higher than that of the bundle it replaces.
        partners: the partners; each of them must sign the bundle.
        members: client accounts.
        models: language models and the pools that serve them.
        pools: pools of backend servers.
        services: plain services.
        policy: trade-off between goodput and wasted prefill, and limits on retries and waiting.
        transfer: cost of transferring KV caches between engines.
    """

    version: Count
    partners: tuple[Partner, ...]
    members: tuple[Member, ...] = ()
    models: tuple[Model, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    policy: Policy = Policy()
    transfer: Transfer = Transfer()

    def find_model(self, name: str) -> Model | None:
        """Return the model that is called *name* or has an adapter of that name, or None."""
        for model in self.models:
            if name == model.name or any(name == adapter.name for adapter in model.adapters):
                return model
        return None

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool called *name*, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def find_service(self, path: str) -> Service | None:
        """Return the service whose path is the longest prefix of *path*, or None."""
        matches = [service for service in self.services if path.startswith(service.path)]
        return max(matches, key=lambda service: len(service.path), default=None)


def fence_range_id(pool: str, pair_number: int, replicas: tuple[str, str]) -> str:
    """Return the id of the range of idempotency keys whose fence records a pair of agents keeps.

    Args:
        pool: name of the pool.
        pair_number: index of the pair in the pool's ``fence`` list.
        replicas: names of the two agents of the pair.
    """
    return f"{pool}/{pair_number}/{replicas[0]}+{replicas[1]}"


def hash_credential(credential: str) -> str:
    """Return the SHA-256 of a bearer credential in hex, the only form that a bundle contains."""
    return hashlib.sha256(credential.encode()).hexdigest()


def parse_bundle(text: str) -> Bundle:
    """Parse and validate the TOML text of a bundle.

    Raises:
        BundleError: the text is not a valid bundle; the message names the key and the reason.
    """
    try:
        bundle = decode_toml(text, Bundle)
    except Undecodable as exc:
        raise BundleError(exc.detail) from exc
    _check_names(bundle)
    _check_references(bundle)
    return bundle


def _check_names(bundle: Bundle) -> None:
    _check_unique("partners", (partner.name for partner in bundle.partners))
    _check_unique("members", (member.name for member in bundle.members))
    _check_unique("credentials", (member.credential_sha256 for member in bundle.members))
    _check_unique("pools", (pool.name for pool in bundle.pools))
    _check_unique("services", (service.name for service in bundle.services))
    names = [model.name for model in bundle.models]
    names += [adapter.name for model in bundle.models for adapter in model.adapters]
    _check_unique("models and adapters", names)
    if not bundle.partners:
        raise BundleError("partners: at least one is required")


def _check_unique(kind: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise BundleError(f"{kind}: {name!r} is defined more than once")
        seen.add(name)


def _check_references(bundle: Bundle) -> None:
    partners = {partner.name for partner in bundle.partners}
    for member in bundle.members:
        if member.partner not in partners:
            raise BundleError(f"members: {member.name}: unknown partner {member.partner!r}")
    for model in bundle.models:
        _check_pools(bundle, f"models: {model.name}", model.prefill, "prefill")
        _check_pools(bundle, f"models: {model.name}", model.decode, "decode")
    for service in bundle.services:
        _check_pools(bundle, f"services: {service.name}", (service.pool,), "plain")
    for pool in bundle.pools:
        if any(first == second for first, second in pool.fence):
            raise BundleError(f"pools: {pool.name}: a fence pair must name two different agents")


def _check_pools(bundle: Bundle, where: str, names: tuple[str, ...], kind: str) -> None:
    if not names:
        raise BundleError(f"{where}: no {kind} pool")
    for name in names:
        pool = bundle.find_pool(name)
        if pool is None:
            raise BundleError(f"{where}: no pool {name!r}")
        if pool.kind != kind:
            raise BundleError(f"{where}: pool {name!r} is {pool.kind}, not {kind}")
