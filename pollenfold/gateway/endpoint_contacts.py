"""Contacts of endpoints that show whether they respond, apart from requests."""

from __future__ import annotations

import random
from collections.abc import Callable

import curio

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..http.messages import Response
from ..observe.exposition import Metrics
from .backend import BackendConnection
from .dialect import Dialect
from .endpoint import Endpoint
from .health_requests import HealthRequests
from .notices import apply_response_notices
from .view import FleetView

N_CHECKED_PER_SERVICE = 2
CHECK_TIMEOUT_MS = 120.0
"""How long an endpoint has to respond to a check, beyond the backlog of the link."""

FIRST_RESPONSE_MS = 30.0
"""How long a check waits for the first endpoint before it contacts the others."""

OnResponse = Callable[[Endpoint], None]


class EndpointContacts:
    """Sends health requests to endpoints, each on a new connection.

    An endpoint that declares a limit or backs off gets no request; the connection alone
    counts. ``on_response`` is called with each endpoint that responds.
    """

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        zone: str,
        on_response: OnResponse,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._zone = zone
        self._on_response = on_response
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._link = link
        self._health_requests = HealthRequests(view, dialect)

    def choose(self, n_wanted: int) -> list[Endpoint]:
        """Return endpoints of as many services as possible, at random.

        Those of a service that take requests come before the others, then those of the
        own zone come first. The second one of a service is of any zone.
        """
        groups = []
        for endpoints in self._view.by_service.values():
            group = self._rng.sample(endpoints, len(endpoints))
            group.sort(key=self._is_spared)
            first = min(group, key=self._order)
            group.remove(first)
            groups.append([first, *group][:N_CHECKED_PER_SERVICE])
        self._rng.shuffle(groups)
        ranked = [
            group[position]
            for position in range(N_CHECKED_PER_SERVICE)
            for group in groups
            if position < len(group)
        ]
        return ranked[:n_wanted]

    def _order(self, endpoint: Endpoint) -> tuple[bool, bool]:
        is_remote = endpoint.announcement.zone != self._zone
        return self._is_spared(endpoint), is_remote

    async def contact_in_steps(self, endpoints: list[Endpoint]) -> int:
        """Contact one endpoint, and the others unless it responds soon.

        Most checks find that endpoints respond.
        """
        n_responded = await self.contact(endpoints[:1], FIRST_RESPONSE_MS)
        return n_responded or await self.contact(endpoints)

    async def contact(
        self, endpoints: list[Endpoint], timeout_ms: float = CHECK_TIMEOUT_MS
    ) -> int:
        """Send health requests on new connections; return how many are responded.

        All are under way before the first response is awaited, so that the time-out
        is one for all. No task is started, since one that starts others when the
        process ends would outlive it.
        """
        started_at = self._clock()
        until = add_ms(started_at, timeout_ms + self._link.backlog_ms(started_at))
        connections = [(e, self._open_connection(e)) for e in endpoints]
        sent = []
        n_responded = 0
        for endpoint, connection in connections:
            if connection is None:
                continue
            if self._is_spared(endpoint):
                n_responded += await self._wait_until_open(connection, until)
            elif await self._send(endpoint, connection, until):
                sent.append((endpoint, connection))
        for endpoint, connection in sent:
            n_responded += await self._receive(endpoint, connection, until)
        return n_responded

    def _is_spared(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint should get no request of a check."""
        is_backing_off = endpoint.is_backing_off(self._clock())
        return endpoint.declared_limit is not None or is_backing_off

    async def _wait_until_open(
        self, connection: BackendConnection, until: Instant
    ) -> bool:
        """Return whether a connection opens in time, and close it."""
        try:
            async with curio.timeout_after(remaining_ms(until, self._clock()) / 1000):
                await connection.wait_until_connected()
        except (OSError, curio.TaskTimeout):
            return False
        finally:
            await connection.close()
        return True

    def _open_connection(self, endpoint: Endpoint) -> BackendConnection | None:
        announcement = endpoint.announcement
        if not self._is_spared(endpoint):
            self._metrics.count("probes_total", service=announcement.service)
        try:
            return BackendConnection(announcement.host, announcement.port, self._link)
        except OSError:
            return None

    async def _send(
        self, endpoint: Endpoint, connection: BackendConnection, until: Instant
    ) -> bool:
        """Send a health request, or close the connection if that fails."""
        is_sent = False
        try:
            async with curio.timeout_after(remaining_ms(until, self._clock()) / 1000):
                await connection.wait_until_connected()
                is_sent = await connection.send(self._health_requests.get(endpoint))
        except (OSError, curio.TaskTimeout):
            is_sent = False
        finally:
            if not is_sent:
                await connection.close()
        return is_sent

    async def _receive(
        self, endpoint: Endpoint, connection: BackendConnection, until: Instant
    ) -> bool:
        """Receive a health response and close the connection."""
        sent_at = self._clock()
        left_ms = max(1.0, remaining_ms(until, sent_at))
        try:
            async with curio.timeout_after(left_ms / 1000):
                response = await connection.receive(lambda _: True)
        except curio.TaskTimeout:
            return False
        finally:
            await connection.close()
        if not isinstance(response, Response):
            return False
        self._apply(endpoint, response, sent_at)
        return True

    def _apply(self, endpoint: Endpoint, response: Response, asked_at: Instant) -> None:
        self._on_response(endpoint)
        is_success = response.status == 200
        apply_response_notices(
            endpoint,
            response,
            self._dialect,
            self._view,
            self._rng,
            is_success,
            asked_at,
        )

    def forget_absent(self) -> None:
        """Drop the prepared requests to endpoints that are no longer known."""
        self._health_requests.forget_absent()
