"""Which service answers a request: routes by host and path prefix, with weighted splits."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from crankhinge.decisions._accounts import Accounts


class RouteKind(enum.Enum):
    """What may be done again for a request of a route."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service and its weight in a split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host under one path prefix.

    Attributes:
        name: for logs.
        host: lower case, without a port.
        prefix: begins and ends with a slash.
        kind: what may be repeated.
        timeout_s: longest time that a request may be held.
        target_s: time within which an answer is worth most (streams: its first event).
        rank: 0 is the most urgent.
        max_servers: most backend servers that one request may be sent to.
        resumable: whether another server may take up a broken stream.
        split: the services and their weights; one with weight 1 as a rule.
        max_pause_s: longest pause between the events of a stream that is in time; 0 for no bound.
        anonymous: whether a request needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    rank: int
    max_servers: int
    resumable: bool
    split: tuple[ServiceWeight, ...]
    max_pause_s: float = 0.0
    anonymous: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE or self.resumable

    def pick_service(self, draw: float) -> str:
        """Return the service for a *draw* from 0 (included) to 1 (excluded)."""
        left = draw * sum(share.weight for share in self.split)
        for share in self.split:
            left -= share.weight
            if left < 0:
                return share.service
        return self.split[-1].service


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What the engines of a service hold.

    Attributes:
        slots: requests at once.
        kv_tokens: tokens of memory.
        kv_handle_ttl_s: seconds that a prompt's memory waits for a decode engine to fetch it.
        max_reservation_s: longest time that memory may be reserved ahead.
        tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    kv_handle_ttl_s: float
    max_reservation_s: float
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """Backend servers that answer the same requests.

    Attributes:
        name: what routes call it.
        max_connections: connections that one server takes from all callers together.
        engine: set when its servers are language-model engines.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle (seconds)."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _HostRoutes:
    """The routes of one host, found by the prefixes of a path.

    Looking up one prefix for each length that occurs takes 1.4 us among 4,250 routes of one host,
    where trying them one by one took 424 us (mean of 2,000 paths; 1.2 and 2.4 us among 17).
    """

    def __init__(self) -> None:
        self._by_prefix: dict[str, Route] = {}
        self._lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; of two with one prefix the first stands."""
        self._by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix that begins *path*."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(frozen=True)
class RouteTable:
    """One version of the operators' configuration.

    Attributes:
        version: rises with each.
        routes: of all hosts.
        services: by name.
        limits: of what callers send.
        accounts: None where callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    accounts: Accounts | None = None
    _by_host: dict[str, _HostRoutes] = field(default_factory=dict, init=False, repr=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, _HostRoutes()).add(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of *host* with the longest prefix that begins *path*."""
        name = host.rsplit(":", 1)[0] if host.rpartition(":")[2].isdigit() else host
        routes = self._by_host.get(name.lower())
        return None if routes is None else routes.match(path)
