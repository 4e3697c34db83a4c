"""This entry's share in the limits that endpoints declare."""

from __future__ import annotations

from collections.abc import Iterable

from ...core.allowances import RequestRate
from ...core.clock import Clock, Instant, add_ms, remaining_ms
from ...core.declared_limit import CHECK_INTERVAL_MS, DeclaredLimit, divide_limit
from ..endpoint import Endpoint
from ..settings import BalancerSettings
from ..view import FleetView


class LimitPermits:
    """Hands out this entry's permits for requests to limited endpoints."""

    def __init__(
        self, view: FleetView, settings: BalancerSettings, clock: Clock
    ) -> None:
        self._view = view
        self._settings = settings
        self._clock = clock
        self._rates: dict[str, RequestRate] = {}

    def count_request(self, service: str) -> None:
        """Count one request of a caller for a service."""
        now = self._clock()
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = RequestRate(now)
        rate.add(now)

    def next_permit_at(self, endpoint: Endpoint) -> Instant:
        """Return when a request may be sent to the endpoint; infinite for never."""
        limit = self._updated(endpoint)
        if limit is None:
            return Instant(0.0)
        return limit.next_permit_at(self._fair_rate_per_s(endpoint))

    def has_permit(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent now, without counting it."""
        return self.next_permit_at(endpoint) <= self._clock()

    def is_scarce(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint takes less than its fair share of requests."""
        limit = endpoint.declared_limit
        return limit is not None and limit.rate_per_s < self._fair_rate_per_s(endpoint)

    def acquire(self, endpoint: Endpoint) -> bool:
        """Count one request if it may be sent; return whether it may."""
        if not self.has_permit(endpoint):
            return False
        if endpoint.declared_limit is not None:
            endpoint.declared_limit.use_permit(self._clock())
        return True

    def acquire_check(self, endpoint: Endpoint) -> bool:
        """Return whether to probe now if the limit still holds, and count the probe."""
        limit = self._updated(endpoint)
        now = self._clock()
        if limit is None or not limit.is_check_due(now):
            return False
        limit.record_check(now)
        return True

    def wait_ms(self, endpoints: Iterable[Endpoint]) -> float | None:
        """Return the ms until the first of some endpoints may get a request.

        Return None if there are none, or one that neither declares a limit nor backs
        off.
        """
        now = self._clock()
        waits_ms = []
        for endpoint in endpoints:
            if endpoint.declared_limit is None and not endpoint.is_backing_off(now):
                return None
            available_at = max(endpoint.backoff_until, self._free_at(endpoint))
            waits_ms.append(remaining_ms(available_at, now))
        return min(waits_ms, default=None)

    def _free_at(self, endpoint: Endpoint) -> Instant:
        """Return when this or another entry may send a request to the endpoint.

        A limit of 0 gives no permits; it may end at the next check.
        """
        limit = endpoint.declared_limit
        if limit is None:
            return Instant(0.0)
        interval_ms = 1000 / limit.rate_per_s if limit.rate_per_s else CHECK_INTERVAL_MS
        return min(self.next_permit_at(endpoint), add_ms(self._clock(), interval_ms))

    def forget_absent(self) -> None:
        """Drop the request rates of services that have no endpoints."""
        known = self._view.by_service
        self._rates = {k: v for k, v in self._rates.items() if k in known}

    def _updated(self, endpoint: Endpoint) -> DeclaredLimit | None:
        """Return the limit of an endpoint with the present share of this entry."""
        limit = endpoint.declared_limit
        if limit is None:
            return None
        now = self._clock()
        inputs = (limit.rate_per_s, self._view.entry_ids, self._view.fleet.get(now))
        if limit.share_inputs != inputs:
            limit.share_inputs = inputs
            rate_per_s, entry_ids, n_entries = inputs
            endpoint_id = endpoint.announcement.endpoint_id
            share = divide_limit(
                rate_per_s, self._settings.entry_id, entry_ids, endpoint_id, n_entries
            )
            limit.set_share(share, now)
        return limit

    def _fair_rate_per_s(self, endpoint: Endpoint) -> float:
        """Estimate what each endpoint of the service would get with equal shares.

        The platform's load balancer distributes callers over the entries, so the
        requests of this entry stand for those of the others.
        """
        service = endpoint.announcement.service
        rate = self._rates.get(service)
        endpoints = self._view.by_service.get(service, ())
        if rate is None or not endpoints:
            return 0.0
        now = self._clock()
        return rate.get(now) * self._view.fleet.get(now) / len(endpoints)
