"""Which endpoints get no requests for a while since they fail more than the others."""

from __future__ import annotations

from collections.abc import Hashable

from ..core.clock import Clock
from ..core.failure_outliers import Change, FailureOutliers
from ..core.outcomes import AttemptOutcome
from ..http.messages import Response
from .endpoint import Endpoint
from .pick import Pick
from .view import FleetView

_SERVER_ERRORS = (500, 502, 503, 504)


class EndpointOutliers:
    """The failure outliers of all services, as one entry sees them."""

    def __init__(self, view: FleetView, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._services: dict[str, FailureOutliers] = {}

    def usable(self, service: str, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may get a request, or all if that leaves none.

        Endpoints that can't be reached don't replace those that fail.
        """
        excluded = self._excluded(service)
        if not excluded:
            return endpoints
        now = self._clock()
        usable = [e for e in endpoints if e.incarnation not in excluded]
        has_reachable = any(not e.health.is_unreachable(now) for e in usable)
        return usable if has_reachable else endpoints

    def _excluded(self, service: str) -> frozenset[Hashable]:
        outliers = self._services.get(service)
        if outliers is None or not outliers.has_excluded:
            return frozenset()
        endpoints = self._view.by_service.get(service, ())
        return outliers.excluded([e.incarnation for e in endpoints], self._clock())

    def admit(self, pick: Pick) -> bool:
        """Return whether a request may be sent; mark it if it is a trial.

        Another request may have begun the trial while this one's endpoint was selected.
        """
        endpoint = pick.endpoint
        service = endpoint.announcement.service
        outliers = self._services.get(service)
        if outliers is None or not outliers.needs_trial(endpoint.incarnation):
            return True
        pick.is_trial = outliers.begin_trial(endpoint.incarnation, self._clock())
        return pick.is_trial or endpoint.incarnation not in self._excluded(service)

    def record(
        self, pick: Pick, outcome: AttemptOutcome, response: Response | None
    ) -> Change | None:
        """Record the outcome of an attempt; return how it changed the use."""
        endpoint = pick.endpoint
        service = endpoint.announcement.service
        outliers = self._services.setdefault(service, FailureOutliers())
        is_failure = _is_failure(outcome, response)
        if is_failure is not None:
            now = self._clock()
            return outliers.record(endpoint.incarnation, is_failure, pick.is_trial, now)
        self.abandon(pick)
        return None

    def abandon(self, pick: Pick) -> None:
        """End the trial of a pick whose request showed nothing, or wasn't sent."""
        outliers = self._services.get(pick.endpoint.announcement.service)
        if pick.is_trial and outliers is not None:
            outliers.end_trial(pick.endpoint.incarnation)

    def forget_absent(self) -> None:
        """Drop the state of removed services and endpoints."""
        by_service = self._view.by_service
        known = self._services.items()
        self._services = {name: o for name, o in known if name in by_service}
        for name, outliers in self._services.items():
            outliers.retain({endpoint.incarnation for endpoint in by_service[name]})


def _is_failure(outcome: AttemptOutcome, response: Response | None) -> bool | None:
    """Return whether the endpoint failed, or None if the attempt doesn't show it."""
    match outcome:
        case AttemptOutcome.LOST | AttemptOutcome.SERVER_ERROR | AttemptOutcome.EXPIRED:
            return True
        case AttemptOutcome.RESPONDED:
            return response is not None and response.status in _SERVER_ERRORS
        case _:
            return None
