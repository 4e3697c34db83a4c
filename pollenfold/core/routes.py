"""The routing configuration, with routes by host and path prefix.

A configuration replaces the previous one as a whole; the highest version is in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import chain

from .tenancy.tenants import TenantDirectory


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The configuration for requests of one host and path prefix.

    ``timeout_ms`` is the maximum time until a response; None means that only the
    caller's deadline applies. Priority 0 is the highest. With ``allows_anonymous``
    requests need no key of a tenant.
    """

    name: str
    path_prefix: str
    is_idempotent: bool
    weighted_services: tuple[WeightedService, ...]
    timeout_ms: float | None = None
    target_latency_ms: float = 1_000.0
    priority: int = 0
    max_attempts: int = 1
    allows_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class BackendService:
    """The configuration of the backend servers of one service.

    A cold endpoint receives up to ``warmup_rate_per_s`` requests per second for
    ``warmup_ms``.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    warmup_ms: float = 0.0
    warmup_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the connections of callers."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 1 << 20
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True, slots=True)
class PrefixIndex:
    """The routes of one host by prefix, and the lengths of the prefixes, longest first.

    Looking up each length takes time in proportion to the number of different lengths,
    which are few, and neither to the number of routes nor to the length of the path.
    """

    routes: dict[str, Route]
    lengths: tuple[int, ...]

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for length in self.lengths:
            route = self.routes.get(path[:length])
            if route is not None:
                return route
        return None


class HostRoutes:
    """Collects the routes of one host, in time independent of their number for each."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, Route] = {}
        self._by_length: dict[int, list[Route]] = {}

    def add(self, route: Route) -> bool:
        """Add a route; return False if there is one with the same prefix already."""
        prefix = route.path_prefix
        if prefix in self._by_prefix:
            return False
        self._by_prefix[prefix] = route
        self._by_length.setdefault(len(prefix), []).append(route)
        return True

    def in_matching_order(self) -> tuple[Route, ...]:
        """Return the routes, the longest prefix first."""
        lists = (self._by_length[length] for length in self._lengths())
        return tuple(chain.from_iterable(lists))

    def index(self) -> PrefixIndex:
        """Return the index of the routes."""
        return PrefixIndex(self._by_prefix, self._lengths())

    def _lengths(self) -> tuple[int, ...]:
        return tuple(sorted(self._by_length, reverse=True))


def prefix_index(routes: Iterable[Route]) -> PrefixIndex:
    """Return the index of a host's routes; the first of equal prefixes counts."""
    host_routes = HostRoutes()
    for route in routes:
        host_routes.add(route)
    return host_routes.index()


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Routes by lower-case host, the longest prefix first, and services by name.

    ``indexes`` has the same routes by prefix and ``route_names`` their names; both are
    built from ``hosts`` if they aren't given. ``tenants`` is None if the configuration
    has no tenants; requests need no key then.
    """

    version: int = 0
    hosts: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, BackendService] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    indexes: dict[str, PrefixIndex] = field(
        default_factory=dict, repr=False, compare=False
    )
    route_names: set[str] = field(default_factory=set, repr=False, compare=False)
    tenants: TenantDirectory | None = None

    def __post_init__(self) -> None:
        if not self.indexes:
            indexes = {host: prefix_index(rs) for host, rs in self.hosts.items()}
            object.__setattr__(self, "indexes", indexes)
        if not self.route_names:
            names = {route.name for routes in self.hosts.values() for route in routes}
            object.__setattr__(self, "route_names", names)


def sorted_routes(routes: list[Route]) -> tuple[Route, ...]:
    """Return the routes of one host in matching order."""
    return tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))


def find_route(
    configuration: RoutingConfiguration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of the path, or None.

    The host is compared case-insensitively and without its port. For example, the host
    ``A.example:80`` and the path ``/x/1`` match the route ``/x/`` of ``a.example``.
    """
    name = host.rpartition(":")[0] if ":" in host else host
    index = configuration.indexes.get(name.lower())
    return None if index is None else index.find(path)


class WeightedSplit:
    """Distributes the requests of each route over its services by weight.

    Smooth weighted round robin also keeps the shares exact over short spans, so they
    can be checked with few requests. For each request the credit of every service rises
    by its weight; the service with the highest credit is selected, and its credit is
    reduced by the sum of the weights. The credits of a route are kept under its name
    and reset when its services or weights change.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        cached = self._credits.get(route.name)
        if cached is None or cached[0] != route.weighted_services:
            cached = (route.weighted_services, [0.0] * len(route.weighted_services))
            self._credits[route.name] = cached
        weighted_services, credits = cached
        for position, weighted in enumerate(weighted_services):
            credits[position] += weighted.weight
        best = max(range(len(weighted_services)), key=credits.__getitem__)
        credits[best] -= sum(weighted.weight for weighted in weighted_services)
        return weighted_services[best].service

    def route_names(self) -> Iterable[str]:
        """Return the names of the routes that have credits."""
        return self._credits.keys()

    def discard(self, route_name: str) -> None:
        """Remove the credits of a route, if it has any."""
        self._credits.pop(route_name, None)
