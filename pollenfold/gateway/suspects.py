"""Calls whose requests ended servers, or are suspected of it."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock, Instant
from .balancer import Balancer
from .calls import Call
from .dialect import Dialect
from .endpoint import Endpoint
from .quarantine import RequestQuarantine
from .request_digest import request_digest


class Suspects:
    """Checks calls against the quarantine, and records what their attempts show.

    A digest is computed only once there are requests under suspicion, or for a request
    that was lost.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        balancer: Balancer,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._balancer = balancer
        self._dialect = dialect
        self._clock = clock

    def _digest(self, call: Call) -> str:
        call.digest = call.digest or request_digest(
            call.request, self._dialect, call.tenant
        )
        return call.digest

    def is_quarantined(self, call: Call) -> bool:
        """Return whether the request must not be sent."""
        quarantine = self._quarantine
        return not quarantine.is_empty and quarantine.is_quarantined(self._digest(call))

    def is_suspect(self, call: Call) -> bool:
        """Return whether a server ended while it ran the request."""
        quarantine = self._quarantine
        return not quarantine.is_empty and quarantine.is_suspect(self._digest(call))

    def avoided_endpoint_ids(self, call: Call) -> frozenset[str]:
        """Return the endpoints that already run a request under suspicion.

        With one of them at a time on an endpoint, its end tells which one caused it.
        """
        if self.is_suspect(call):
            return self._quarantine.busy_endpoint_ids()
        return frozenset()

    def begin_run(self, call: Call, endpoint: Endpoint) -> Callable[[], None]:
        """Record that a request is sent; return the function that records its end."""
        if not self.is_suspect(call):
            return lambda: None
        self._quarantine.begin_run(endpoint)
        return lambda: self._quarantine.end_run(endpoint)

    async def record_lost_run(
        self, call: Call, endpoint: Endpoint, started_at: Instant
    ) -> None:
        """Record the run of a lost request, if its endpoint ended meanwhile.

        An endpoint runs a request only after it has received all of it.
        """
        digest = self._digest(call)
        ended_at = self._clock()
        is_sent = call.sent_at >= started_at
        if is_sent and await self._balancer.has_ended(endpoint):
            await self._quarantine.record_end(digest, endpoint, started_at, ended_at)

    async def record_completed_run(self, call: Call) -> None:
        """Clear a request under suspicion that an endpoint has completed."""
        if self.is_suspect(call):
            await self._quarantine.record_completion(self._digest(call))
