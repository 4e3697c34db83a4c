"""Applies priorities at the admission of requests, if the configuration has tenants."""

from __future__ import annotations

from ..core.balancing.priority import ServicePriorities
from ..core.clock import Clock
from .balancer import Balancer
from .calls import Call
from .pick import Pick

MAX_SERVICES = 200
"""How many services have their priorities kept. Beyond it, the service that was added
first is dropped."""

MIN_MAX_SLOWDOWN = 1.0
"""The limit of a search is never lowered below this slowdown, since an idle endpoint
takes requests of any priority."""


class Priorities:
    """Holds back requests of an entry while higher priorities lack capacity."""

    def __init__(self, balancer: Balancer, clock: Clock) -> None:
        self._balancer = balancer
        self._clock = clock
        self._by_service: dict[str, ServicePriorities] = {}

    def max_slowdown(self, call: Call, limit: float) -> float:
        """Return up to which slowdown an endpoint is searched for a first attempt.

        ``limit`` is the slowdown that the request accepts to be in time.
        """
        if not call.identity.has_tenants:
            return limit
        cap = self._priorities_of(call.service).limit(call.priority)
        return min(limit, max(cap, MIN_MAX_SLOWDOWN))

    def record_search(self, call: Call, limit: float, pick: Pick | None) -> None:
        """Record what the search for a first attempt found.

        Without a pick, the last search counts if it found only slow endpoints.
        """
        if not call.identity.has_tenants:
            return
        if pick is None:
            slowdown = self._balancer.least_slowdown(call.service)
        else:
            slowdown = None if pick.load is None else pick.slowdown
        if slowdown is None:
            return
        priorities = self._priorities_of(call.service)
        priorities.record_search(call.priority, limit, slowdown, self._clock())

    def holds_back(self, call: Call, pick: Pick) -> bool:
        """Return whether a request must leave the endpoint to higher priorities."""
        if not call.identity.has_tenants or pick.load is None:
            return False
        priorities = self._priorities_of(call.service)
        if not priorities.holds_back(call.priority, pick.slowdown, pick.load):
            return False
        call.decision_trace.append(f"held/{priorities.step(call.priority)}")
        return True

    def _priorities_of(self, service: str) -> ServicePriorities:
        priorities = self._by_service.get(service)
        if priorities is None:
            if len(self._by_service) >= MAX_SERVICES:
                del self._by_service[next(iter(self._by_service))]
            priorities = self._by_service[service] = ServicePriorities()
        return priorities
