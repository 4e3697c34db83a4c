"""This entry's limit on the requests that it sends to cold endpoints."""

from __future__ import annotations

from ...core.allowances import WindowCount, cold_rate_limit, n_cold_permits
from ...core.clock import Clock, Instant, add_ms
from ..endpoint import Endpoint
from ..settings import BalancerSettings
from ..view import FleetView

WINDOW_MS = 1_000.0
"""The window over which the requests to a cold endpoint are limited."""


class ColdPermits:
    """Counts this entry's requests to each cold endpoint in any one second.

    There are no permits in the first second of a process, since an earlier process of
    this entry may have used them.
    """

    def __init__(
        self, view: FleetView, settings: BalancerSettings, clock: Clock
    ) -> None:
        self._view = view
        self._settings = settings
        self._clock = clock
        self._recent_sends: dict[str, WindowCount] = {}

    def has_permit(self, endpoint: Endpoint) -> bool:
        """Return whether one more request may be sent now, without counting it."""
        now = self._clock()
        if now <= add_ms(self._settings.started_at, WINDOW_MS):
            return False
        return self._count(endpoint).get(now) < self._n_permits(endpoint, now)

    def acquire(self, endpoint: Endpoint) -> bool:
        """Count one request if it may be sent; return whether it may."""
        if not self.has_permit(endpoint):
            return False
        self._count(endpoint).add(self._clock())
        return True

    def forget_absent(self) -> None:
        """Drop the counts of endpoints that are no longer known."""
        known = self._view.endpoints
        self._recent_sends = {k: v for k, v in self._recent_sends.items() if k in known}

    def _count(self, endpoint: Endpoint) -> WindowCount:
        endpoint_id = endpoint.announcement.endpoint_id
        return self._recent_sends.setdefault(endpoint_id, WindowCount(WINDOW_MS))

    def _n_permits(self, endpoint: Endpoint, now: Instant) -> int:
        configuration = self._view.configuration
        announcement = endpoint.announcement
        if configuration is None or announcement.service not in configuration.services:
            return 0
        settings = self._settings
        limit = cold_rate_limit(
            configuration.services[announcement.service].warmup_rate_per_s,
            settings.cold_burst_factor,
            settings.cold_slack,
        )
        return n_cold_permits(
            limit,
            settings.entry_id,
            self._view.entry_ids,
            announcement.endpoint_id,
            self._view.fleet.get(now),
        )
