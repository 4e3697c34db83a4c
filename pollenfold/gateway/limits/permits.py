"""Selection of endpoints that take only a limited number of requests.

Cold endpoints are probed and need a permit for the request. Endpoints that declare a
limit aren't probed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ...core.clock import Clock, Instant, add_ms
from ..connections import Connections
from ..endpoint import Endpoint
from ..pick import Pick
from ..settings import BalancerSettings
from ..view import FleetView
from .cold_permits import ColdPermits
from .limit_permits import LimitPermits

MAX_CONNECT_ATTEMPTS = 3
SPARE_PERMIT_MS = 500.0
"""How long a permit for a limited endpoint must be unused before it serves a request
that can't be in time."""


@dataclass(frozen=True, slots=True)
class LimitedChoice:
    """The choice among limited endpoints for one request.

    Endpoints that failed lately are chosen only if ``includes_failing`` is true.
    ``can_be_in_time`` is whether an idle endpoint would meet the request's target.
    """

    endpoints: list[Endpoint]
    includes_failing: bool
    can_be_in_time: bool
    deadline: Instant
    trace: list[str]


class Permits:
    """This entry's permits for cold and for limited endpoints."""

    def __init__(
        self,
        view: FleetView,
        settings: BalancerSettings,
        connections: Connections,
        clock: Clock,
    ) -> None:
        self._view = view
        self._zone = settings.zone
        self._connections = connections
        self._clock = clock
        self._cold = ColdPermits(view, settings, clock)
        self._limits = LimitPermits(view, settings, clock)

    def count_request(self, service: str) -> None:
        """Count one request of a caller for a service."""
        self._limits.count_request(service)

    async def pick_limited(self, choice: LimitedChoice) -> Pick | None:
        """Select a limited endpoint for which this entry has a permit, if any.

        Its load isn't probed, since a probe counts against its limit.
        """
        now = self._clock()
        candidates = [
            endpoint
            for endpoint in choice.endpoints
            if self._may_use_permit(endpoint, choice.can_be_in_time)
            and (choice.includes_failing or not _is_failing(endpoint, now))
        ]
        candidates.sort(key=self._limited_order)
        for endpoint in candidates[:MAX_CONNECT_ATTEMPTS]:
            pick = await self.connect(endpoint, choice.deadline)
            if pick is not None:
                choice.trace.append("limited")
                return pick
        return None

    def _may_use_permit(self, endpoint: Endpoint, can_be_in_time: bool) -> bool:
        """Return whether there is a permit for a request.

        A late response has little value, so a scarce permit is kept for a request that
        can be in time, unless none has come for it.
        """
        is_kept = not can_be_in_time and self._limits.is_scarce(endpoint)
        unused_ms = SPARE_PERMIT_MS if is_kept else 0.0
        available_at = self._limits.next_permit_at(endpoint)
        return add_ms(available_at, unused_ms) <= self._clock()

    def _limited_order(self, endpoint: Endpoint) -> tuple[bool, Instant]:
        """Prefer the own zone, then the endpoint whose permit waits longest."""
        is_remote = endpoint.announcement.zone != self._zone
        return is_remote, self._limits.next_permit_at(endpoint)

    async def connect(self, endpoint: Endpoint, deadline: Instant) -> Pick | None:
        """Acquire the permits for an endpoint and connect to it."""
        if not self.acquire(endpoint):
            return None
        connection = await self._connections.connect(endpoint, deadline)
        if connection is None:
            return None
        # The endpoint may have started to leave while the connection was opened.
        if self._view.accepts_new_requests(endpoint):
            return Pick(endpoint, connection, 1.0)
        await self._connections.release(endpoint, connection)
        return None

    def acquire(self, endpoint: Endpoint) -> bool:
        """Count a request to a cold or limited endpoint if it is permitted."""
        if not self.has(endpoint):
            return False
        if endpoint.is_cold(self._clock()):
            self._cold.acquire(endpoint)
        return self._limits.acquire(endpoint)

    def has(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent now, without counting it."""
        is_cold = endpoint.is_cold(self._clock())
        if is_cold and not self._cold.has_permit(endpoint):
            return False
        return self._limits.has_permit(endpoint)

    def wait_ms(self, endpoints: Iterable[Endpoint]) -> float | None:
        """Return the ms until the first of some endpoints may get a request.

        Return None if there are none, or one that neither declares a limit nor backs
        off.
        """
        return self._limits.wait_ms(endpoints)

    def acquire_check(self, endpoint: Endpoint) -> bool:
        """Return whether to probe now if a limit still holds, and count the probe."""
        return self._limits.acquire_check(endpoint)

    def forget_absent(self) -> None:
        """Drop the state of endpoints and services that are no longer known."""
        self._cold.forget_absent()
        self._limits.forget_absent()


def _is_failing(endpoint: Endpoint, now: Instant) -> bool:
    health = endpoint.health
    return health.is_unreachable(now) or health.is_deprioritized(now)
