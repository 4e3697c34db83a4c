"""Routes by host and path prefix, and the whole configuration that holds them.

A whole configuration replaces the one before it; the highest version is in force.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Part:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """What an operator decided for the requests of one host and path prefix.

    ``timeout_ms`` is the longest time to keep a caller waiting; None means that only
    the caller's deadline counts. Priority 0 is the most urgent.
    """

    name: str
    path_prefix: str
    is_idempotent: bool
    parts: tuple[Part, ...]
    timeout_ms: float | None = None
    target_latency_ms: float = 1_000.0
    priority: int = 0
    max_attempts: int = 1


@dataclass(frozen=True, slots=True)
class BackendService:
    """What an operator says of the backend servers of one service.

    A cold endpoint bears ``warmup_rate_per_s`` requests a second for ``warmup_ms``.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    warmup_ms: float = 0.0
    warmup_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 1 << 20
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Routes by lower-case host, each host's routes by falling prefix length."""

    version: int = 0
    hosts: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, BackendService] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


def sorted_routes(routes: list[Route]) -> tuple[Route, ...]:
    """Return the routes of one host in the order in which they are tried."""
    return tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))


def find_route(
    configuration: RoutingConfiguration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of the path, or None.

    The host is compared without its port and without case. For example, the host
    ``A.example:80`` and the path ``/x/1`` match the route ``/x/`` of ``a.example``.
    """
    name = host.rpartition(":")[0] if ":" in host else host
    for route in configuration.hosts.get(name.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


class WeightedSplit:
    """Distributes the requests of each route over its parts by weight.

    Smooth weighted round robin keeps the shares exact over short spans as well, so
    that a check of the shares over few requests holds. The state of a route is kept
    by its name and starts anew when its parts change.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[Part, ...], list[float]]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        known = self._credits.get(route.name)
        if known is None or known[0] != route.parts:
            known = (route.parts, [0.0] * len(route.parts))
            self._credits[route.name] = known
        parts, credits = known
        for position, part in enumerate(parts):
            credits[position] += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= sum(part.weight for part in parts)
        return parts[best].service

    def retain(self, names: set[str]) -> None:
        """Forget the routes that the configuration no longer has."""
        self._credits = {k: v for k, v in self._credits.items() if k in names}
