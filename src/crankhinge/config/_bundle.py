"""The model of a bundle, validated whole when it is read."""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from crankhinge.errors import BundleError

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class _BundleStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Common options: unknown keys are errors."""


class Policy(_BundleStruct, frozen=True):
    """How the two measures are weighed.

    Attributes:
        waste_weight: 0 for goodput only, 1 for as little wasted prefill as possible.
        retry_ratio: retries allowed per first attempt.
        patience: multiple of the first-token target after which a request is given up.
    """

    waste_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    patience: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0


class Partner(_BundleStruct, frozen=True):
    """One of the partners who sign bundles."""

    name: Name
    weight: Positive = 1.0


class Member(_BundleStruct, frozen=True):
    """A client account.

    Attributes:
        name: its name.
        partner: its partner.
        credential_sha256: SHA-256 of its bearer credential, in hex.
        weight: within its partner.
        max_concurrent: requests in progress at one entry; 0 for no limit.
        max_per_s: requests a second at one entry; 0 for no limit.
        max_rank: the most urgent priority class it may ask for.
    """

    name: Name
    partner: Name
    credential_sha256: Sha256
    weight: Positive = 1.0
    max_concurrent: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_rank: Annotated[int, msgspec.Meta(ge=0, le=2)] = 0


class Adapter(_BundleStruct, frozen=True):
    """A variant of a model that is loaded into its engines.

    Attributes:
        name: what callers ask for.
        path: of its weights, as the engine understands it.
        version: one more when the weights change.
    """

    name: Name
    path: str
    version: Count = 1


class Model(_BundleStruct, frozen=True):
    """A model that callers name.

    Attributes:
        name: its name.
        prefill: pools that read for it.
        decode: pools that write for it.
        first_token_s: latency target.
        between_tokens_s: latency target.
        objective: part of the requests that must meet each target.
        max_prompt_tokens: longest prompt.
        max_output_tokens: longest answer, and the default of a request that names none.
        adapters: variants that are loaded beside it, each a model name to callers.
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
        name: its name.
        kind: what its backend servers do.
        slots: requests that a decode engine holds in memory, prompts that a prefill engine reads
            at once, or calls that a plain service takes at once.
        rolling: how many of the pool's engines may load weights at once.
        fence: pairs of agents, of different availability zones, that keep the record of the
            pool's non-repeatable requests; the keys are spread over the pairs.
    """

    name: Name
    kind: Literal["prefill", "decode", "plain"]
    slots: Count = 20
    rolling: Count = 1
    fence: tuple[tuple[Name, Name], ...] = ()


class Service(_BundleStruct, frozen=True):
    """A plain service.

    Attributes:
        name: its name.
        path: prefix of the request paths it takes; the longest match wins.
        pool: its pool.
        repeatable: methods whose calls may be repeated.
        timeout_s: seconds a call may take.
    """

    name: Name
    path: Annotated[str, msgspec.Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    pool: Name
    repeatable: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: Positive = 10.0


class Transfer(_BundleStruct, frozen=True):
    """What the links between pools carry.

    Attributes:
        kv_bytes_per_token: size of the KV cache of a token.
        same_zone_bytes_per_s: rate of a link within a zone; 0 when not limited.
        cross_zone_bytes_per_s: rate of a link between zones; 0 when not limited.
        cross_zone_s: one way between zones, seconds.
    """

    kv_bytes_per_token: Annotated[int, msgspec.Meta(ge=0)] = 0
    same_zone_bytes_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cross_zone_bytes_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cross_zone_s: Annotated[float, msgspec.Meta(ge=0)] = 0.001


class Bundle(_BundleStruct, frozen=True):
    """A whole configuration.

    Attributes:
        version: one more than that of the bundle it replaces.
        partners: who must sign.
        members: client accounts.
        models: models.
        pools: pools.
        services: plain services.
        policy: how the measures are weighed.
        transfer: links between pools.
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
        """Return the model that serves *name*, itself or as an adapter."""
        for model in self.models:
            if name == model.name or any(name == adapter.name for adapter in model.adapters):
                return model
        return None

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool *name*."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def find_service(self, path: str) -> Service | None:
        """Return the service with the longest prefix of *path*."""
        fits = [service for service in self.services if path.startswith(service.path)]
        return max(fits, key=lambda service: len(service.path), default=None)


def fence_range_id(pool: str, pair_number: int, replicas: tuple[str, str]) -> str:
    """Return the identity of a record: its pool, place and holders."""
    return f"{pool}/{pair_number}/{replicas[0]}+{replicas[1]}"


def hash_credential(credential: str) -> str:
    """Return what a bundle keeps of a member's bearer credential."""
    return hashlib.sha256(credential.encode()).hexdigest()


def parse_bundle(text: str) -> Bundle:
    """Return the validated bundle.

    Raises:
        BundleError: naming the key and the reason.
    """
    try:
        bundle = msgspec.convert(tomllib.loads(text), Bundle)
    except tomllib.TOMLDecodeError as exc:
        raise BundleError(f"not TOML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise BundleError(str(exc)) from exc
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
        raise BundleError("partners: at least one is needed")


def _check_unique(what: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise BundleError(f"{what}: {name!r} stands twice")
        seen.add(name)


def _check_references(bundle: Bundle) -> None:
    partners = {partner.name for partner in bundle.partners}
    for member in bundle.members:
        if member.partner not in partners:
            raise BundleError(f"members: {member.name}: no partner {member.partner!r}")
    for model in bundle.models:
        _check_pools(bundle, f"models: {model.name}", model.prefill, "prefill")
        _check_pools(bundle, f"models: {model.name}", model.decode, "decode")
    for service in bundle.services:
        _check_pools(bundle, f"services: {service.name}", (service.pool,), "plain")
    for pool in bundle.pools:
        if any(first == second for first, second in pool.fence):
            raise BundleError(f"pools: {pool.name}: fence pairs name two different agents")


def _check_pools(bundle: Bundle, where: str, names: tuple[str, ...], kind: str) -> None:
    if not names:
        raise BundleError(f"{where}: no {kind} pool")
    for name in names:
        pool = bundle.find_pool(name)
        if pool is None:
            raise BundleError(f"{where}: no pool {name!r}")
        if pool.kind != kind:
            raise BundleError(f"{where}: pool {name!r} is {pool.kind}, not {kind}")
