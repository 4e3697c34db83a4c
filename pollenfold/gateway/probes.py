"""Load probes of endpoints just before a request is sent."""

from __future__ import annotations

import random
from dataclasses import dataclass

import curio

from ..core.balancing.selection import (
    EARLY_ACCEPT_SLOWDOWN,
    REMOTE_ZONE_SLOWDOWN,
    ServerLoad,
    expected_slowdown,
)
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..core.reach import Contact
from ..http.messages import Response, find_header
from ..observe.exposition import Metrics
from .backend import BackendConnection
from .connections import CONNECT_TIMEOUT_MS, Connections
from .dialect import Dialect
from .endpoint import Endpoint
from .health_requests import HealthRequests
from .notices import apply_response_notices
from .reach_monitor import ReachMonitor
from .response_reader import Failure
from .view import FleetView

MIN_PROBE_WAIT_MS = 12.0

MAX_PROBE_WAIT_MS = 80.0

PROBE_WAIT_FACTOR = 4.0
"""A probe times out after this multiple of the mean duration of a round of probes."""

UNSEEN_INBOUND_BYTES = 64 * 1024
"""How much traffic may delay a response on the inbound link without being accounted
for, since request bodies are accounted for only once they have been read."""

FIRST_RESPONSE_POLL_MS = 2.0

COLD_SLOWDOWN = 2.0
"""The estimated factor by which requests take longer on a cold endpoint."""

UNHEALTHY_COST = 10.0

MAX_RESPONSES_WITHOUT_LOAD = 10

REPROBE_INTERVAL_MS = 2_000.0


@dataclass(slots=True)
class ProbeResult:
    """The response of one endpoint to a probe.

    ``slowdown`` is what to expect from the reported load. ``cost`` ranks the endpoints:
    it adds penalties for failures, remote zones and an unhealthy status, which say
    nothing about the expected latency.
    """

    endpoint: Endpoint
    connection: BackendConnection
    load: ServerLoad | None
    slowdown: float
    cost: float
    is_cold: bool


_Held = dict[BackendConnection, Endpoint]
"""The connections of a round of probes that aren't back in their pools."""


@dataclass(slots=True)
class ServiceProbeState:
    """What an entry knows about one service from its probes.

    ``n_without_load`` is the number of health responses without a load since the last
    one with a load.
    """

    n_without_load: int = 0
    last_reprobe_at: Instant = Instant(0.0)
    mean_probe_ms: float = 4.0
    is_unreached: bool = False
    """Whether none of the endpoints contacted in the last search responded."""

    least_slowdown: float = 1.0
    last_search_at: Instant = Instant(0.0)

    def record_health_response(self, has_load: bool) -> None:
        """Update the count of health responses without a load."""
        self.n_without_load = 0 if has_load else self.n_without_load + 1

    def should_probe(self, now: Instant) -> bool:
        """Return whether the servers of this service should be probed.

        A few responses without a load may come from one faulty server, so probing stops
        only after many in a row. After that, servers are probed again periodically.
        """
        if self.n_without_load < MAX_RESPONSES_WITHOUT_LOAD:
            return True
        if now < add_ms(self.last_reprobe_at, REPROBE_INTERVAL_MS):
            return False
        self.last_reprobe_at = now
        return True


class Prober:
    """Probes endpoints for their load."""

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        zone: str,
        connections: Connections,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
        monitor: ReachMonitor,
    ) -> None:
        self._monitor = monitor
        self._view = view
        self._dialect = dialect
        self._zone = zone
        self._connections = connections
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._link = link
        self._health_requests = HealthRequests(view, dialect)

    async def probe(
        self,
        service: str,
        state: ServiceProbeState,
        endpoints: list[Endpoint],
        uses_longest_wait: bool,
    ) -> list[ProbeResult]:
        """Probe endpoints for their load concurrently.

        ``uses_longest_wait`` allows them the longest time to respond. It is meant for a
        search in which no endpoint has responded to earlier probes.
        """
        held: _Held = {}
        try:
            return await self._probe(held, service, state, endpoints, uses_longest_wait)
        except BaseException:
            # The search is cancelled, as when a pipelined request is dropped.
            for connection, endpoint in held.items():
                await self._connections.discard(endpoint, connection)
            raise

    async def _probe(
        self,
        held: _Held,
        service: str,
        state: ServiceProbeState,
        endpoints: list[Endpoint],
        uses_longest_wait: bool,
    ) -> list[ProbeResult]:
        started_at = self._clock()
        wait_ms = min(
            max(PROBE_WAIT_FACTOR * state.mean_probe_ms, MIN_PROBE_WAIT_MS),
            MAX_PROBE_WAIT_MS,
        )
        if uses_longest_wait:
            wait_ms = MAX_PROBE_WAIT_MS + self._link.transfer_ms(UNSEEN_INBOUND_BYTES)
        # The backlog of this entry's own link must not count against the endpoints.
        backlog_ms = self._link.backlog_ms(started_at)
        wait_ms += backlog_ms
        until = add_ms(started_at, wait_ms)
        self._metrics.count("probes_total", len(endpoints), service=service)
        pending = []
        for endpoint in endpoints:
            connection = await self._connections.acquire(endpoint)
            if connection is not None:
                held[connection] = endpoint
                pending.append((endpoint, connection))
        n_limited = sum(e.declared_limit is not None for e, _ in pending)
        if n_limited:
            self._metrics.count(
                "limited_sends_total", n_limited, service=service, kind="probe"
            )
        sent = [
            (endpoint, connection)
            for endpoint, connection in pending
            if await self._send(held, endpoint, connection, until)
        ]
        if uses_longest_wait:
            until = await self._wait_for_any([c for _, c in sent], until)
        results = []
        for endpoint, connection in sent:
            result = await self._receive(
                held, state, endpoint, connection, started_at, until
            )
            if result is not None:
                results.append(result)
        if results:
            elapsed_ms = max(0.0, self._clock() - started_at - backlog_ms)
            state.mean_probe_ms += 0.1 * (elapsed_ms - state.mean_probe_ms)
        return results

    async def _wait_for_any(
        self, connections: list[BackendConnection], until: Instant
    ) -> Instant:
        """Wait for the first response; return until when to wait for the others."""
        while self._clock() < until:
            if any(connection.has_input() for connection in connections):
                break
            await curio.sleep(FIRST_RESPONSE_POLL_MS / 1000)
        return min(until, add_ms(self._clock(), MIN_PROBE_WAIT_MS))

    async def _send(
        self,
        held: _Held,
        endpoint: Endpoint,
        connection: BackendConnection,
        until: Instant,
    ) -> bool:
        request = self._health_requests.get(endpoint)
        try:
            left_ms = remaining_ms(until, self._clock())
            async with curio.timeout_after(left_ms / 1000):
                await connection.wait_until_connected()
                if await connection.send(request):
                    return True
        except (OSError, curio.TaskTimeout):
            pass
        del held[connection]
        await self._connections.record_failure(endpoint, connection)
        return False

    async def _receive(
        self,
        held: _Held,
        state: ServiceProbeState,
        endpoint: Endpoint,
        connection: BackendConnection,
        asked_at: Instant,
        until: Instant,
    ) -> ProbeResult | None:
        left_ms = max(1.0, remaining_ms(until, self._clock()))
        response: Response | Failure = Failure.LOST
        try:
            async with curio.timeout_after(left_ms / 1000):
                response = await connection.receive(self._is_health_response)
        except curio.TaskTimeout:
            pass
        if isinstance(response, Failure):
            del held[connection]
            await self._connections.record_failure(endpoint, connection)
            return None
        return await self._evaluate(
            held, state, endpoint, connection, asked_at, response
        )

    def _is_health_response(self, response: Response) -> bool:
        """Return False for a late duplicate of the response to a request."""
        return find_header(response.headers, self._dialect.request_id) is None

    async def _evaluate(
        self,
        held: _Held,
        state: ServiceProbeState,
        endpoint: Endpoint,
        connection: BackendConnection,
        asked_at: Instant,
        response: Response,
    ) -> ProbeResult | None:
        """Apply a health response to the state of the endpoint; return its result.

        Return None if the endpoint may not get requests.
        """
        dialect = self._dialect
        now = self._clock()
        endpoint_id = endpoint.announcement.endpoint_id
        self._monitor.observe(endpoint, Contact.RESPONDED)
        instance = find_header(response.headers, dialect.instance)
        if response.status == 421 or instance not in (None, endpoint_id.encode()):
            del held[connection]
            await self._connections.release(endpoint, connection)
            self._view.forget(endpoint_id, "other_instance")
            return None
        endpoint.health.mark_reachable()
        is_success = response.status == 200
        apply_response_notices(
            endpoint, response, dialect, self._view, self._rng, is_success, asked_at
        )
        if not self._view.accepts_new_requests(endpoint):
            del held[connection]
            await self._connections.release(endpoint, connection)
            return None
        value = find_header(response.headers, dialect.server_load)
        load = None if value is None else dialect.parse_load(value)
        if response.status == 200:
            state.record_health_response(load is not None)
        left = find_header(response.headers, dialect.warmup_left_ms)
        if response.status == 200:
            self._view.confirm_warmup(endpoint, _milliseconds(left))
        slowdown = 1.0 if load is None else expected_slowdown(load)
        if slowdown > EARLY_ACCEPT_SLOWDOWN:
            endpoint.health.mark_slow(now)
        is_cold = endpoint.is_cold(now)
        if is_cold:
            slowdown *= COLD_SLOWDOWN
        cost = slowdown + endpoint.health.penalty(now)
        if endpoint.announcement.zone != self._zone:
            cost += REMOTE_ZONE_SLOWDOWN
        if response.status != 200:
            # A health response may be wrong, so the endpoint remains as a last resort.
            endpoint.health.add_penalty(1.0, now)
            cost += UNHEALTHY_COST
        if not connection.is_reusable:
            del held[connection]
            await self._connections.discard(endpoint, connection)
            fresh = await self._connections.connect(
                endpoint, add_ms(now, CONNECT_TIMEOUT_MS)
            )
            if fresh is None:
                return None
            connection = fresh
            held[connection] = endpoint
        return ProbeResult(endpoint, connection, load, slowdown, cost, is_cold)

    def forget_absent(self) -> None:
        """Drop the prepared requests to endpoints that are no longer known."""
        self._health_requests.forget_absent()


def _milliseconds(value: bytes | None) -> float:
    """Return the number in a header, or 0 if it is missing or malformed."""
    try:
        return max(0.0, float(value or 0))
    except ValueError:
        return 0.0
