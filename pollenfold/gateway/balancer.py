"""Finds the endpoint for one request: asks a few for their load and takes the best."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import curio

from ..core.allowances import (
    WindowCount,
    cold_rate_limit,
    n_cold_permits,
)
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.selection import (
    QUICK_SLOWDOWN,
    REMOTE_ZONE_SLOWDOWN,
    Option,
    ServerLoad,
    choose_round,
    choose_without_reports,
    expected_slowdown,
)
from ..core.token_bucket import TokenBucket
from ..http.messages import Response, find_header
from ..observe.exposition import Metrics
from .backend import BackendConnection, ConnectionPool, Failure, encode_request
from .dialect import Dialect
from .view import Endpoint, FleetView

CONNECT_TIMEOUT_MS = 250.0
MIN_PROBE_WAIT_MS = 12.0
MAX_PROBE_WAIT_MS = 80.0
PROBE_WAIT_FACTOR = 4.0
"""An endpoint that takes so many times the usual time to answer isn't waited for."""

N_FIRST_PROBES = 2
N_NEXT_PROBES = 3
MAX_ROUNDS = 3
COLD_SLOWDOWN = 2.0
"""How much longer work takes on a cold endpoint, as far as it is known."""

CROWDED_SLOWDOWN = 2.0
"""Cold endpoints are asked as well when warm ones are at least so slow."""

CROWDED_MEMORY_MS = 12.0
"""How long a search that found only slow endpoints stands for the next ones."""

UNASKED_MEMORY_MS = 150.0
"""The same while the probe budget is spent."""

UNHEALTHY_COST = 10.0
MAX_SILENT_ANSWERS = 10
ASK_AGAIN_MS = 2_000.0

PROBE_BURST_S = 5.0
PROBE_SHARE = 0.85
"""The share of the probe budget that this use of it may take."""

CONNECTION_SHARE = 0.8
CONNECTION_MARGIN = 4
IDLE_CLOSE_MS = 9_000.0


@dataclass(slots=True)
class Pick:
    """An endpoint for one request, with a connection that is ready to carry it.

    ``slowdown`` is how many times its usual time the request should take there, and
    ``load`` what the endpoint said just now, if it said anything.
    """

    endpoint: Endpoint
    connection: BackendConnection
    slowdown: float
    load: ServerLoad | None = None


@dataclass(slots=True)
class _Answer:
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
class _Service:
    """What the balancer keeps for one service.

    ``n_silent`` counts health answers without a load since the last one with it.
    """

    n_silent: int = 0
    asked_again_at: Instant = Instant(0.0)
    probe_ms: float = 4.0
    least_slowdown: float = 1.0
    searched_at: Instant = Instant(0.0)
    cold_sends: dict[str, WindowCount] = field(default_factory=dict)

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


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Limits that hold for all entries together, and who this entry is."""

    entry_id: str
    zone: str
    probes_per_s: float
    cold_burst_factor: float
    cold_slack: float


class Balancer:
    """Chooses endpoints for one entry."""

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        settings: BalancerSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._pools: dict[str, ConnectionPool] = {}
        self._services: dict[str, _Service] = {}
        self._probe_budget: TokenBucket | None = None
        self._probe_requests: dict[tuple[str, str], bytes] = {}

    # Choice

    async def pick(
        self,
        service: str,
        tried: set[str],
        deadline: Instant,
        max_slowdown: float,
        trace: list[str],
    ) -> Pick | None:
        """Return an endpoint with a connection, or None when none can be used.

        A request that needs a slowdown of at most ``max_slowdown`` isn't searched an
        endpoint for when another one just found none so quick.

        ``trace`` gets one item for each round of questions: how many endpoints were
        asked and answered, and the least slowdown, for example ``3/2/1.60``.
        """
        now = self._clock()
        endpoints = [
            endpoint
            for endpoint in self._view.by_service.get(service, ())
            if endpoint.announcement.endpoint_id not in tried
        ]
        if not endpoints:
            return None
        self._refill(now)
        state = self._services.setdefault(service, _Service())
        is_recent = now < add_ms(state.searched_at, CROWDED_MEMORY_MS)
        if is_recent and state.least_slowdown > max(max_slowdown, CROWDED_SLOWDOWN):
            trace.append(f"crowded/{state.least_slowdown:.2f}")
            return None
        if not state.tells_load(now):
            return await self._pick_without_reports(service, endpoints, deadline)
        return await self._pick_by_reports(
            service, state, endpoints, deadline, max_slowdown, trace
        )

    def _may_probe(self, n_probes: int, now: Instant) -> bool:
        budget = self._probe_budget
        return budget is not None and budget.try_take(n_probes, now)

    def _refill(self, now: Instant) -> None:
        """Adjust the probe budget to the present size of the fleet."""
        n_endpoints = len(self._view.endpoints)
        n_entries = self._view.fleet.get(now)
        rate = self._settings.probes_per_s * PROBE_SHARE * n_endpoints / n_entries
        burst = rate * PROBE_BURST_S
        if self._probe_budget is None:
            # Full at first: callers that waited for a restart come all at once.
            self._probe_budget = TokenBucket(rate, burst, now, level=burst)
        self._probe_budget.rate_per_s = rate
        self._probe_budget.burst = burst

    async def _pick_by_reports(
        self,
        service: str,
        state: _Service,
        endpoints: list[Endpoint],
        deadline: Instant,
        max_slowdown: float,
        trace: list[str],
    ) -> Pick | None:
        by_id = {e.announcement.endpoint_id: e for e in endpoints}
        asked: set[str] = set()
        best: _Answer | None = None
        for n_round in range(MAX_ROUNDS):
            now = self._clock()
            left = [e for k, e in by_id.items() if k not in asked]
            is_crowded = best is not None and best.slowdown > CROWDED_SLOWDOWN
            usable = [
                e for e in left if not e.is_cold(now) or e.is_unconfirmed or is_crowded
            ]
            usable = usable or left
            n_wanted = N_NEXT_PROBES if n_round else N_FIRST_PROBES
            if not usable or remaining_ms(deadline, now) <= 0.0:
                break
            if not self._may_probe(n_wanted, now):
                if n_round:
                    break
                if not self._may_probe(1, now):
                    return await self._pick_unasked(
                        service, state, endpoints, deadline, max_slowdown, trace
                    )
                n_wanted = 1
            options = [self._option(e) for e in usable]
            # What another zone answers costs bytes between zones.
            is_local_only = n_round < MAX_ROUNDS - 1
            chosen = choose_round(options, n_wanted, is_local_only, now, self._rng)
            asked.update(option.endpoint_id for option in chosen)
            answers = await self._ask(
                service, state, [by_id[option.endpoint_id] for option in chosen]
            )
            best = await self._best(service, best, answers)
            least = "none" if best is None else f"{best.slowdown:.2f}"
            trace.append(f"{len(chosen)}/{len(answers)}/{least}")
            if best is not None and best.cost < QUICK_SLOWDOWN:
                break
        if best is None:
            return None
        state.least_slowdown = best.slowdown
        state.searched_at = self._clock()
        if best.is_cold and not self._take_cold_permit(service, best.endpoint):
            await self.give_back(best.endpoint, best.connection)
            return None
        if not self._view.may_get_work(best.endpoint):
            # The endpoint began to leave while it was asked.
            await self.give_back(best.endpoint, best.connection)
            return None
        return Pick(best.endpoint, best.connection, best.slowdown, best.load)

    async def _pick_unasked(
        self,
        service: str,
        state: _Service,
        endpoints: list[Endpoint],
        deadline: Instant,
        max_slowdown: float,
        trace: list[str],
    ) -> Pick | None:
        """Choose while the probe budget is spent.

        What the last search found stands a little longer then, so that a crowded
        service isn't flooded for want of questions.
        """
        is_recent = self._clock() < add_ms(state.searched_at, UNASKED_MEMORY_MS)
        if is_recent and state.least_slowdown > max(max_slowdown, CROWDED_SLOWDOWN):
            trace.append(f"unasked/{state.least_slowdown:.2f}")
            return None
        trace.append("unasked")
        return await self._pick_without_reports(service, endpoints, deadline)

    def _option(self, endpoint: Endpoint) -> Option:
        announcement = endpoint.announcement
        is_local = announcement.zone == self._settings.zone
        return Option(announcement.endpoint_id, is_local, endpoint.health)

    async def _best(
        self, service: str, best: _Answer | None, answers: list[_Answer]
    ) -> _Answer | None:
        """Return the better of the best so far and the answers; release the rest."""
        now = self._clock()
        for answer in answers:
            if answer.is_cold and not self._has_cold_permit(service, answer, now):
                loser: _Answer | None = answer
            elif best is None or answer.cost < best.cost:
                loser, best = best, answer
            else:
                loser = answer
            if loser is not None:
                await self.give_back(loser.endpoint, loser.connection)
        return best

    async def _pick_without_reports(
        self, service: str, endpoints: list[Endpoint], deadline: Instant
    ) -> Pick | None:
        """Choose by what this entry saw; a cold endpoint needs a permit."""
        left = list(endpoints)
        for _ in range(MAX_ROUNDS):
            now = self._clock()
            warm = [e for e in left if not e.is_cold(now)]
            option = choose_without_reports(
                [self._option(e) for e in warm or left], now, self._rng
            )
            if option is None:
                return None
            endpoint = next(
                e for e in left if e.announcement.endpoint_id == option.endpoint_id
            )
            left.remove(endpoint)
            if endpoint.is_cold(now) and not self._take_cold_permit(service, endpoint):
                continue
            connection = await self._connect(endpoint, deadline)
            if connection is not None:
                return Pick(endpoint, connection, 1.0)
        return None

    # Cold endpoints

    def _cold_count(self, service: str, endpoint_id: str) -> WindowCount:
        counts = self._services.setdefault(service, _Service()).cold_sends
        return counts.setdefault(endpoint_id, WindowCount(1_000.0))

    def _n_cold_permits(self, service: str, endpoint_id: str, now: Instant) -> int:
        configuration = self._view.configuration
        if configuration is None or service not in configuration.services:
            return 0
        settings = self._settings
        limit = cold_rate_limit(
            configuration.services[service].warmup_rate_per_s,
            settings.cold_burst_factor,
            settings.cold_slack,
        )
        return n_cold_permits(
            limit,
            settings.entry_id,
            self._view.entry_ids,
            endpoint_id,
            self._view.fleet.get(now),
        )

    def _has_cold_permit(self, service: str, answer: _Answer, now: Instant) -> bool:
        endpoint_id = answer.endpoint.announcement.endpoint_id
        n_permits = self._n_cold_permits(service, endpoint_id, now)
        return self._cold_count(service, endpoint_id).get(now) < n_permits

    def _take_cold_permit(self, service: str, endpoint: Endpoint) -> bool:
        """Count one request to a cold endpoint, if this entry may send it."""
        now = self._clock()
        endpoint_id = endpoint.announcement.endpoint_id
        count = self._cold_count(service, endpoint_id)
        if count.get(now) >= self._n_cold_permits(service, endpoint_id, now):
            return False
        count.add(now)
        return True

    # Probes

    async def _ask(
        self, service: str, state: _Service, endpoints: list[Endpoint]
    ) -> list[_Answer]:
        """Ask endpoints for their load at the same time."""
        started_at = self._clock()
        wait_ms = min(
            max(PROBE_WAIT_FACTOR * state.probe_ms, MIN_PROBE_WAIT_MS),
            MAX_PROBE_WAIT_MS,
        )
        until = add_ms(started_at, wait_ms)
        self._metrics.count("probes_total", len(endpoints), service=service)
        pending = []
        for endpoint in endpoints:
            connection = await self._start(endpoint)
            if connection is not None:
                pending.append((endpoint, connection))
        sent = [
            (endpoint, connection)
            for endpoint, connection in pending
            if await self._send_probe(service, endpoint, connection, until)
        ]
        answers = []
        for endpoint, connection in sent:
            answer = await self._read_probe(state, endpoint, connection, until)
            if answer is not None:
                answers.append(answer)
        if answers:
            elapsed_ms = self._clock() - started_at
            state.probe_ms += 0.1 * (elapsed_ms - state.probe_ms)
        return answers

    async def _start(self, endpoint: Endpoint) -> BackendConnection | None:
        """Return a connection to an endpoint that is open or opening."""
        try:
            return await self.pool(endpoint).take()
        except OSError:
            endpoint.health.mark_unreachable(self._clock())
            return None

    async def _connect(
        self, endpoint: Endpoint, deadline: Instant
    ) -> BackendConnection | None:
        """Return an open connection to an endpoint, or None when it has none."""
        connection = await self._start(endpoint)
        if connection is None:
            return None
        left_ms = min(remaining_ms(deadline, self._clock()), CONNECT_TIMEOUT_MS)
        try:
            async with curio.timeout_after(left_ms / 1000):
                await connection.connected()
            return connection
        except (OSError, curio.TaskTimeout):
            await self._fail_probe(endpoint, connection)
            return None

    async def _send_probe(
        self,
        service: str,
        endpoint: Endpoint,
        connection: BackendConnection,
        until: Instant,
    ) -> bool:
        data = self._probe_request(service, endpoint)
        try:
            left_ms = remaining_ms(until, self._clock())
            async with curio.timeout_after(left_ms / 1000):
                await connection.connected()
                if await connection.send(data):
                    return True
        except (OSError, curio.TaskTimeout):
            pass
        await self._fail_probe(endpoint, connection)
        return False

    def _probe_request(self, service: str, endpoint: Endpoint) -> bytes:
        configuration = self._view.configuration
        known = None if configuration is None else configuration.services.get(service)
        path = "/healthz" if known is None else known.health_path
        announcement = endpoint.announcement
        key = (announcement.endpoint_id, path)
        data = self._probe_requests.get(key)
        if data is None:
            host = f"{announcement.host}:{announcement.port}".encode()
            instance = announcement.endpoint_id.encode()
            headers = [(b"host", host), (self._dialect.expected_instance, instance)]
            data = encode_request(b"GET", path.encode(), headers, b"")
            self._probe_requests[key] = data
        return data

    async def _read_probe(
        self,
        state: _Service,
        endpoint: Endpoint,
        connection: BackendConnection,
        until: Instant,
    ) -> _Answer | None:
        left_ms = max(1.0, remaining_ms(until, self._clock()))
        response: Response | Failure = Failure.LOST
        try:
            async with curio.timeout_after(left_ms / 1000):
                response = await connection.receive(b"GET", None)
        except curio.TaskTimeout:
            pass
        if isinstance(response, Failure):
            await self._fail_probe(endpoint, connection)
            return None
        return await self._judge(state, endpoint, connection, response)

    async def _judge(
        self,
        state: _Service,
        endpoint: Endpoint,
        connection: BackendConnection,
        response: Response,
    ) -> _Answer | None:
        """Read what a health answer says."""
        dialect = self._dialect
        now = self._clock()
        endpoint_id = endpoint.announcement.endpoint_id
        instance = find_header(response.headers, dialect.instance)
        if response.status == 421 or instance not in (None, endpoint_id.encode()):
            await self.give_back(endpoint, connection)
            self._view.forget(endpoint_id, "other_instance")
            return None
        endpoint.health.mark_reachable()
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
        if endpoint.announcement.zone != self._settings.zone:
            cost += REMOTE_ZONE_SLOWDOWN
        if response.status != 200:
            # A health answer may be wrong, so the endpoint stays the last choice.
            endpoint.health.fail(1.0, now)
            cost += UNHEALTHY_COST
        if not connection.is_clean:
            await self.discard(endpoint, connection)
            fresh = await self._connect(endpoint, add_ms(now, CONNECT_TIMEOUT_MS))
            if fresh is None:
                return None
            connection = fresh
        return _Answer(endpoint, connection, load, slowdown, cost, is_cold)

    async def _fail_probe(
        self, endpoint: Endpoint, connection: BackendConnection
    ) -> None:
        """Leave out an endpoint that didn't answer; a stale connection says nothing."""
        is_reused = connection.n_exchanges > 1
        reason = "reused" if is_reused else "fresh"
        if not connection.is_connected:
            reason = "connect"
        self._metrics.count("probe_failures_total", reason=reason)
        await self.discard(endpoint, connection)
        now = self._clock()
        if is_reused:
            endpoint.health.fail(0.5, now)
        else:
            endpoint.health.mark_unreachable(now)

    # Connections

    def pool(self, endpoint: Endpoint) -> ConnectionPool:
        """Return the connections to an endpoint, under this entry's part."""
        announcement = endpoint.announcement
        pool = self._pools.get(announcement.endpoint_id)
        address = (announcement.host, announcement.port)
        if pool is None or (pool.host, pool.port) != address:
            pool = ConnectionPool(*address, 1, self._clock)
            self._pools[announcement.endpoint_id] = pool
        pool.limit = self._connection_limit(announcement.service)
        return pool

    def _connection_limit(self, service: str) -> int:
        configuration = self._view.configuration
        if configuration is None or service not in configuration.services:
            return 1
        n_entries = self._view.fleet.get(self._clock())
        n_all = configuration.services[service].max_connections
        return max(2, int(CONNECTION_SHARE * n_all / n_entries) - CONNECTION_MARGIN)

    async def give_back(
        self, endpoint: Endpoint, connection: BackendConnection
    ) -> None:
        """Return a connection that is no longer used."""
        await self.pool(endpoint).give_back(connection)

    async def discard(self, endpoint: Endpoint, connection: BackendConnection) -> None:
        """Close a connection."""
        await self.pool(endpoint).discard(connection)

    async def run(self) -> None:
        """Close old idle connections and forget endpoints that left."""
        while True:
            await curio.sleep(1.0)
            for endpoint_id, pool in list(self._pools.items()):
                is_known = endpoint_id in self._view.endpoints
                await pool.close_idle(IDLE_CLOSE_MS if is_known else 0.0)
                if not is_known and not pool.n_open:
                    del self._pools[endpoint_id]
            known = self._view.endpoints
            self._probe_requests = {
                k: v for k, v in self._probe_requests.items() if k[0] in known
            }
            for state in self._services.values():
                state.cold_sends = {
                    k: v for k, v in state.cold_sends.items() if k in known
                }


def _milliseconds(value: bytes | None) -> float:
    """Return a header's number; 0 when it is missing or malformed."""
    try:
        return max(0.0, float(value or 0))
    except ValueError:
        return 0.0
