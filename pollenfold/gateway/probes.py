"""Questions to endpoints for their load, just before a send."""

from __future__ import annotations

import random
from dataclasses import dataclass

import curio

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..core.selection import (
    QUICK_SLOWDOWN,
    REMOTE_ZONE_SLOWDOWN,
    ServerLoad,
    expected_slowdown,
)
from ..http.messages import Response, find_header
from ..observe.exposition import Metrics
from .backend import BackendConnection, Failure
from .connections import CONNECT_TIMEOUT_MS, Connections
from .dialect import Dialect
from .notices import take_notices
from .outgoing import OutgoingRequest, outgoing_request
from .view import Endpoint, FleetView

MIN_PROBE_WAIT_MS = 12.0

MAX_PROBE_WAIT_MS = 80.0

PROBE_WAIT_FACTOR = 4.0
"""An endpoint that takes so many times the usual time to answer isn't waited for."""

UNSEEN_BYTES = 64 * 1024
"""What may be on its way to this entry ahead of an answer, unseen: bodies of callers
are known only when they were read."""

FIRST_ANSWER_CHECK_MS = 2.0

COLD_SLOWDOWN = 2.0
"""How much longer work takes on a cold endpoint, as far as it is known."""

UNHEALTHY_COST = 10.0

MAX_SILENT_ANSWERS = 10

ASK_AGAIN_MS = 2_000.0


@dataclass(slots=True)
class Answer:
    """What one endpoint answered to a probe.

    ``slowdown`` is what its load lets expect. ``cost`` orders the endpoints: it adds
    what this entry holds against one, which says nothing about the time to wait.
    """

    endpoint: Endpoint
    connection: BackendConnection
    load: ServerLoad | None
    slowdown: float
    cost: float
    is_cold: bool


@dataclass(slots=True)
class ServiceState:
    """What an entry found out about one service by asking.

    ``n_silent`` counts health answers without a load since the last one with it.
    """

    n_silent: int = 0
    asked_again_at: Instant = Instant(0.0)
    probe_ms: float = 4.0
    least_slowdown: float = 1.0
    searched_at: Instant = Instant(0.0)

    def note_report(self, has_load: bool) -> None:
        """Count one health answer."""
        self.n_silent = 0 if has_load else self.n_silent + 1

    def tells_load(self, now: Instant) -> bool:
        """Return whether asking the servers of this service is worth while.

        A few answers without a load may be those of a faulty server, so it takes many
        in a row, and now and then the servers are asked again.
        """
        if self.n_silent < MAX_SILENT_ANSWERS:
            return True
        if now < add_ms(self.asked_again_at, ASK_AGAIN_MS):
            return False
        self.asked_again_at = now
        return True


class Prober:
    """Asks endpoints for their load."""

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
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._zone = zone
        self._connections = connections
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._link = link
        self._requests: dict[tuple[str, str], OutgoingRequest] = {}

    async def ask(
        self,
        service: str,
        state: ServiceState,
        endpoints: list[Endpoint],
        is_patient: bool,
    ) -> list[Answer]:
        """Ask endpoints for their load at the same time.

        ``is_patient`` gives them the longest time to answer, for a search in which
        the ones asked before stayed silent.
        """
        started_at = self._clock()
        wait_ms = min(
            max(PROBE_WAIT_FACTOR * state.probe_ms, MIN_PROBE_WAIT_MS),
            MAX_PROBE_WAIT_MS,
        )
        if is_patient:
            wait_ms = MAX_PROBE_WAIT_MS + self._link.transfer_ms(UNSEEN_BYTES)
        # What the own link has queued says nothing of the endpoints.
        backlog_ms = self._link.backlog_ms(started_at)
        wait_ms += backlog_ms
        until = add_ms(started_at, wait_ms)
        self._metrics.count("probes_total", len(endpoints), service=service)
        pending = []
        for endpoint in endpoints:
            connection = await self._connections.start(endpoint)
            if connection is not None:
                pending.append((endpoint, connection))
        sent = [
            (endpoint, connection)
            for endpoint, connection in pending
            if await self._send(service, endpoint, connection, until)
        ]
        if is_patient:
            until = await self._wait_for_any([c for _, c in sent], until)
        answers = []
        for endpoint, connection in sent:
            answer = await self._read(state, endpoint, connection, until)
            if answer is not None:
                answers.append(answer)
        if answers:
            elapsed_ms = max(0.0, self._clock() - started_at - backlog_ms)
            state.probe_ms += 0.1 * (elapsed_ms - state.probe_ms)
        return answers

    async def _wait_for_any(
        self, connections: list[BackendConnection], until: Instant
    ) -> Instant:
        """Wait for the first answer; return how long to wait for the others."""
        while self._clock() < until:
            if any(connection.has_input() for connection in connections):
                break
            await curio.sleep(FIRST_ANSWER_CHECK_MS / 1000)
        return min(until, add_ms(self._clock(), MIN_PROBE_WAIT_MS))

    async def _send(
        self,
        service: str,
        endpoint: Endpoint,
        connection: BackendConnection,
        until: Instant,
    ) -> bool:
        request = self._request(service, endpoint)
        try:
            left_ms = remaining_ms(until, self._clock())
            async with curio.timeout_after(left_ms / 1000):
                await connection.connected()
                if await connection.send(request):
                    return True
        except (OSError, curio.TaskTimeout):
            pass
        await self._connections.fail(endpoint, connection)
        return False

    def _request(self, service: str, endpoint: Endpoint) -> OutgoingRequest:
        configuration = self._view.configuration
        known = None if configuration is None else configuration.services.get(service)
        path = "/healthz" if known is None else known.health_path
        announcement = endpoint.announcement
        key = (announcement.endpoint_id, path)
        request = self._requests.get(key)
        if request is None:
            host = f"{announcement.host}:{announcement.port}".encode()
            instance = announcement.endpoint_id.encode()
            headers = [(b"host", host), (self._dialect.expected_instance, instance)]
            request = outgoing_request(b"GET", path.encode(), headers, b"")
            self._requests[key] = request
        return request

    async def _read(
        self,
        state: ServiceState,
        endpoint: Endpoint,
        connection: BackendConnection,
        until: Instant,
    ) -> Answer | None:
        left_ms = max(1.0, remaining_ms(until, self._clock()))
        response: Response | Failure = Failure.LOST
        try:
            async with curio.timeout_after(left_ms / 1000):
                response = await connection.receive(self._is_health_answer)
        except curio.TaskTimeout:
            pass
        if isinstance(response, Failure):
            await self._connections.fail(endpoint, connection)
            return None
        return await self._judge(state, endpoint, connection, response)

    def _is_health_answer(self, response: Response) -> bool:
        """Return False for a late second copy of the answer to a request."""
        return find_header(response.headers, self._dialect.request_id) is None

    async def _judge(
        self,
        state: ServiceState,
        endpoint: Endpoint,
        connection: BackendConnection,
        response: Response,
    ) -> Answer | None:
        """Read what a health answer says."""
        dialect = self._dialect
        now = self._clock()
        endpoint_id = endpoint.announcement.endpoint_id
        instance = find_header(response.headers, dialect.instance)
        if response.status == 421 or instance not in (None, endpoint_id.encode()):
            await self._connections.give_back(endpoint, connection)
            self._view.forget(endpoint_id, "other_instance")
            return None
        endpoint.health.mark_reachable()
        take_notices(endpoint, response, dialect, self._view, self._rng)
        if not self._view.may_get_work(endpoint):
            await self._connections.give_back(endpoint, connection)
            return None
        value = find_header(response.headers, dialect.server_load)
        load = None if value is None else dialect.parse_load(value)
        if response.status == 200:
            state.note_report(load is not None)
        left = find_header(response.headers, dialect.warmup_left_ms)
        if response.status == 200:
            self._view.confirm(endpoint, _milliseconds(left))
        slowdown = 1.0 if load is None else expected_slowdown(load)
        if slowdown > QUICK_SLOWDOWN:
            endpoint.health.mark_slow(now)
        is_cold = endpoint.is_cold(now)
        if is_cold:
            slowdown *= COLD_SLOWDOWN
        cost = slowdown + endpoint.health.penalty(now)
        if endpoint.announcement.zone != self._zone:
            cost += REMOTE_ZONE_SLOWDOWN
        if response.status != 200:
            # A health answer may be wrong, so the endpoint stays the last choice.
            endpoint.health.fail(1.0, now)
            cost += UNHEALTHY_COST
        if not connection.is_clean:
            await self._connections.discard(endpoint, connection)
            fresh = await self._connections.connect(
                endpoint, add_ms(now, CONNECT_TIMEOUT_MS)
            )
            if fresh is None:
                return None
            connection = fresh
        return Answer(endpoint, connection, load, slowdown, cost, is_cold)

    def forget_absent(self) -> None:
        """Drop the questions to endpoints that left."""
        known = self._view.endpoints
        self._requests = {k: v for k, v in self._requests.items() if k[0] in known}


def _milliseconds(value: bytes | None) -> float:
    """Return a header's number; 0 when it is missing or malformed."""
    try:
        return max(0.0, float(value or 0))
    except ValueError:
        return 0.0
