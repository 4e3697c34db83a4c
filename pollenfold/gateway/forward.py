"""The path of a request: route, endpoint, response, and what may be sent again."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from ..core.allowances import RetryAllowance
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.errors import ErrorKind, RunState
from ..core.overload import (
    CallerAge,
    Prospect,
    Verdict,
    WorkEstimate,
    acceptable_slowdown,
    judge,
    quick_retry_after_ms,
    retry_after_ms,
)
from ..core.retries import AttemptOutcome
from ..core.routes import Route, WeightedSplit, find_route
from ..http.messages import (
    HOP_HEADERS,
    Headers,
    Request,
    Response,
    error_response,
    find_header,
)
from ..http.readiness import is_closed_by_peer
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .backend import BackendConnection, Failure, encode_request
from .balancer import CROWDED_SLOWDOWN, Balancer, Pick
from .dialect import Dialect
from .view import Endpoint, FleetView

CALLER_CHECK_MS = 60.0
"""How often a waiting request looks whether its caller closed the connection."""

RESPONSE_GRACE_MS = 40.0
"""An endpoint ends work at its deadline and says so; that answer is worth waiting
for, since it tells more than an own one."""

MIN_DEADLINE_MS = 10.0
NOT_READY_RETRY_AFTER_MS = 150.0


class CallerGoneError(Exception):
    """The caller closed its connection, so nobody waits for the response."""


@dataclass(slots=True)
class _Attempt:
    """One send of a request, for the log."""

    endpoint_id: str
    slowdown: float
    outcome: AttemptOutcome
    elapsed_ms: float


@dataclass(slots=True)
class _Call:
    """One request on its way, with all that was decided on it."""

    request: Request
    request_id: bytes
    route: Route
    service: str
    started_at: Instant
    deadline: Instant
    target: Instant
    age_ms: float
    work: WorkEstimate
    headers: Headers
    tried: set[str] = field(default_factory=set)
    attempts: list[_Attempt] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    last_response: Response | None = None
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The extra sends that a service may get from all entries in a window."""

    ratio: float
    n_extra: float
    window_ms: float


class Forwarder:
    """Serves the callers of one entry."""

    def __init__(
        self,
        view: FleetView,
        balancer: Balancer,
        dialect: Dialect,
        retry_limits: RetryLimits,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._dialect = dialect
        self._retry_limits = retry_limits
        self._allowances: dict[str, RetryAllowance] = {}
        self._split = WeightedSplit()
        self._ages: dict[str, CallerAge] = {}
        self._works: dict[str, WorkEstimate] = {}
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._dropped = frozenset(
            (*HOP_HEADERS, dialect.deadline_ms, dialect.expected_instance)
        )

    async def handle(self, request: Request) -> Response | None:
        """Return the final response, or None when the caller went away."""
        started_at = self._clock()
        configuration = self._view.configuration
        request_id = request.header(self._dialect.request_id) or b""
        if configuration is None:
            response = self._refusal(ErrorKind.NOT_READY, NOT_READY_RETRY_AFTER_MS)
            return self._refuse(request_id, "", response, ErrorKind.NOT_READY)
        host = (request.header(b"host") or b"").decode("latin-1")
        route = find_route(configuration, host, request.path)
        if route is None:
            response = error_response(ErrorKind.NO_ROUTE)
            return self._refuse(request_id, "", response, ErrorKind.NO_ROUTE)
        call = self._call(request, request_id, route, started_at)
        if call is None:
            response = error_response(ErrorKind.BAD_REQUEST, "malformed deadline")
            return self._refuse(request_id, route.name, response, ErrorKind.BAD_REQUEST)
        try:
            final = await self._run(call)
        except CallerGoneError:
            self._finish(call, 0, "caller_gone")
            return None
        return final

    def _call(
        self, request: Request, request_id: bytes, route: Route, started_at: Instant
    ) -> _Call | None:
        """Return the call of a request; None when its deadline can't be read."""
        value = request.header(self._dialect.deadline_ms)
        limit_ms = route.timeout_ms
        if value is not None:
            if not value.isdigit() or len(value) > 9:
                return None
            deadline_ms = float(value)
            limit_ms = deadline_ms if limit_ms is None else min(deadline_ms, limit_ms)
        deadline = add_ms(started_at, 60_000.0 if limit_ms is None else limit_ms)
        age_ms = 0.0
        if value is not None:
            age = self._ages.setdefault(route.name, CallerAge())
            age_ms = age.observe(deadline_ms, started_at)
        target = add_ms(started_at, route.target_latency_ms - age_ms)
        work = self._works.get(route.name)
        if work is None:
            work = self._works[route.name] = WorkEstimate(route.target_latency_ms)
        service = self._split.next_service(route)
        headers = [pair for pair in request.headers if pair[0] not in self._dropped]
        return _Call(
            request,
            request_id,
            route,
            service,
            started_at,
            deadline,
            target,
            age_ms,
            work,
            headers,
        )

    # Refusals and the end of a call

    def _refusal(self, kind: ErrorKind, after_ms: float) -> Response:
        return error_response(kind, retry_after_s=round(after_ms / 1000, 3))

    def _refuse(
        self, request_id: bytes, route: str, response: Response, kind: ErrorKind
    ) -> Response:
        """Log a request that is refused before a call is made of it."""
        self._metrics.count("refused_total", kind=kind.value)
        self._log.request(
            "request_refused",
            True,
            request=request_id.decode("latin-1"),
            route=route,
            status=response.status,
            kind=kind.value,
            version=self._view.orders.version,
        )
        return response

    def _finish(self, call: _Call, status: int, kind: str) -> None:
        """Count and log the end of a call, with what decided it."""
        latency_ms = self._clock() - call.started_at
        name = call.route.name
        self._metrics.count("requests_total", route=name, status=str(status))
        self._metrics.observe("request_ms", latency_ms, route=name)
        attempts = ";".join(
            f"{a.endpoint_id}:{a.outcome.value}:{a.slowdown:.2f}:{a.elapsed_ms:.0f}ms"
            for a in call.attempts
        )
        self._log.request(
            "request_done",
            not 200 <= status < 300,
            request=call.request_id.decode("latin-1"),
            route=name,
            service=call.service,
            status=status,
            kind=kind,
            latency_ms=latency_ms,
            deadline_ms=call.deadline - call.started_at,
            age_ms=call.age_ms,
            work_ms=call.work.get(),
            attempts=attempts or "none",
            asked=";".join(call.trace) or "none",
            version=self._view.orders.version,
            index=self._view.orders.index,
            n_endpoints=len(self._view.by_service.get(call.service, ())),
        )

    def _give_up(self, call: _Call, kind: ErrorKind) -> Response:
        """Answer for a call that ends without a response to pass on."""
        if call.last_response is not None:
            return self._relay(call, call.last_response)
        if call.may_have_run:
            is_late = kind is ErrorKind.DEADLINE_EXCEEDED
            kind = kind if is_late else ErrorKind.BACKEND_FAILED
            response = error_response(kind, run_state=RunState.OUTCOME_UNKNOWN.value)
        else:
            if kind is ErrorKind.DEADLINE_EXCEEDED:
                kind = ErrorKind.QUEUE_FULL
            left_ms = remaining_ms(call.deadline, self._clock())
            after_ms = retry_after_ms(left_ms, self._rng.random())
            if kind is ErrorKind.BACKEND_REFUSED:
                after_ms = quick_retry_after_ms(self._rng.random())
            response = self._refusal(kind, after_ms)
        self._metrics.count("refused_total", kind=kind.value)
        self._finish(call, response.status, kind.value)
        return response

    def _relay(self, call: _Call, response: Response) -> Response:
        """Pass a backend server's response on."""
        self._finish(call, response.status, "responded")
        headers = [pair for pair in response.headers if pair[0] not in HOP_HEADERS]
        return Response(response.status, headers, response.body)

    # Attempts

    async def _run(self, call: _Call) -> Response:
        """Send the request to one endpoint after another, as far as is allowed."""
        allowance = self._allowance(call.service)
        allowance.count_request(call.started_at)
        n_sent = 0
        while True:
            if self._is_caller_gone(call):
                raise CallerGoneError
            left_ms = remaining_ms(call.target, self._clock())
            pick = await self._balancer.pick(
                call.service,
                call.tried,
                call.deadline,
                acceptable_slowdown(call.work.get(), left_ms),
                call.trace,
            )
            now = self._clock()
            if pick is None:
                return self._give_up(call, ErrorKind.NO_BACKEND_SERVER)
            if remaining_ms(call.deadline, now) < MIN_DEADLINE_MS:
                await self._balancer.give_back(pick.endpoint, pick.connection)
                return self._give_up(call, ErrorKind.DEADLINE_EXCEEDED)
            if not n_sent and not self._admits(call, pick, now):
                await self._balancer.give_back(pick.endpoint, pick.connection)
                return self._give_up(call, ErrorKind.QUEUE_FULL)
            if n_sent and not allowance.take(self._view.fleet.get(now), now):
                await self._balancer.give_back(pick.endpoint, pick.connection)
                self._metrics.count("retries_refused_total", service=call.service)
                return self._give_up(call, ErrorKind.BACKEND_REFUSED)
            outcome, response = await self._attempt(call, pick)
            call.tried.add(pick.endpoint.announcement.endpoint_id)
            if outcome is not AttemptOutcome.UNREACHABLE:
                n_sent += 1
            if outcome is AttemptOutcome.RESPONDED and response is not None:
                return self._relay(call, response)
            if outcome is AttemptOutcome.EXPIRED:
                return self._give_up(call, ErrorKind.DEADLINE_EXCEEDED)
            may_retry = call.route.is_idempotent or outcome in (
                AttemptOutcome.NOT_STARTED,
                AttemptOutcome.UNREACHABLE,
            )
            if not may_retry or n_sent >= max(1, call.route.max_attempts):
                is_full = pick.slowdown > CROWDED_SLOWDOWN
                refused = ErrorKind.QUEUE_FULL if is_full else ErrorKind.BACKEND_REFUSED
                return self._give_up(call, refused)

    def _admits(self, call: _Call, pick: Pick, now: Instant) -> bool:
        """Return whether a request is sent where the search found room for it."""
        prospect = Prospect(
            call.work.get(),
            pick.slowdown,
            pick.load,
            remaining_ms(call.target, now),
            remaining_ms(call.deadline, now),
        )
        verdict = judge(prospect)
        call.trace.append(verdict.value)
        self._metrics.count(
            "admissions_total", service=call.service, verdict=verdict.value
        )
        return verdict is not Verdict.REFUSE

    def _allowance(self, service: str) -> RetryAllowance:
        allowance = self._allowances.get(service)
        if allowance is None:
            limits = self._retry_limits
            allowance = RetryAllowance(limits.ratio, limits.n_extra, limits.window_ms)
            self._allowances[service] = allowance
        return allowance

    def _is_caller_gone(self, call: _Call) -> bool:
        descriptor = call.request.descriptor
        return descriptor >= 0 and is_closed_by_peer(descriptor)

    async def _attempt(
        self, call: _Call, pick: Pick
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request to one endpoint; return how that ended."""
        endpoint = pick.endpoint
        started_at = self._clock()
        endpoint.health.n_in_flight += 1
        outcome = AttemptOutcome.LOST
        response: Response | None = None
        try:
            received = await self._exchange(call, pick.connection, endpoint)
            if isinstance(received, Response):
                response = received
                outcome = self._classify(call, response)
            else:
                outcome = received
        finally:
            endpoint.health.n_in_flight -= 1
            elapsed_ms = self._clock() - started_at
            call.attempts.append(
                _Attempt(
                    endpoint.announcement.endpoint_id,
                    pick.slowdown,
                    outcome,
                    elapsed_ms,
                )
            )
            await self._balancer.give_back(endpoint, pick.connection)
        self._learn(call, endpoint, outcome, elapsed_ms)
        if outcome is AttemptOutcome.RESPONDED and pick.load is not None:
            call.work.observe(elapsed_ms, pick.slowdown)
        if outcome is AttemptOutcome.SERVER_ERROR:
            call.last_response = response
        return outcome, response

    def _learn(
        self,
        call: _Call,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        elapsed_ms: float,
    ) -> None:
        """Let the outcome change what this entry thinks of the endpoint."""
        now = self._clock()
        service = call.service
        self._metrics.count("attempts_total", service=service, outcome=outcome.value)
        match outcome:
            case AttemptOutcome.RESPONDED:
                endpoint.health.observe(elapsed_ms)
                endpoint.health.mark_reachable()
            case AttemptOutcome.UNREACHABLE:
                endpoint.health.mark_unreachable(now)
            case AttemptOutcome.NOT_STARTED:
                endpoint.health.fail(0.5, now)
            case AttemptOutcome.LOST | AttemptOutcome.SERVER_ERROR:
                endpoint.health.fail(2.0, now)
            case AttemptOutcome.EXPIRED:
                endpoint.health.fail(1.0, now)

    async def _exchange(
        self, call: _Call, connection: BackendConnection, endpoint: Endpoint
    ) -> Response | AttemptOutcome:
        dialect = self._dialect
        now = self._clock()
        left_ms = int(remaining_ms(call.deadline, now))
        endpoint_id = endpoint.announcement.endpoint_id.encode()
        headers = [
            *call.headers,
            (dialect.deadline_ms, b"%d" % left_ms),
            (dialect.expected_instance, endpoint_id),
        ]
        request = call.request
        data = encode_request(request.method, request.target, headers, request.body)
        until = add_ms(call.deadline, RESPONSE_GRACE_MS)
        is_answer = self._answers(call.request_id)
        try:
            if not await connection.send(data):
                return AttemptOutcome.UNREACHABLE
            call.may_have_run = True
            return await self._wait(call, connection, until, is_answer)
        except OSError:
            call.may_have_run = True
            return AttemptOutcome.LOST

    async def _wait(
        self,
        call: _Call,
        connection: BackendConnection,
        until: Instant,
        is_answer: Callable[[Response], bool],
    ) -> Response | AttemptOutcome:
        """Wait for the response, and look whether the caller still does."""
        reader = await curio.spawn(
            connection.receive, call.request.method, is_answer, daemon=True
        )
        try:
            while not reader.terminated:
                left_ms = remaining_ms(until, self._clock())
                if left_ms <= 0.0:
                    return AttemptOutcome.EXPIRED
                async with curio.ignore_after(min(left_ms, CALLER_CHECK_MS) / 1000):
                    await reader.wait()
                if reader.terminated:
                    break
                # The outcome of a non-idempotent request is awaited even when its
                # caller left: ending it half done helps nobody.
                if call.route.is_idempotent and self._is_caller_gone(call):
                    raise CallerGoneError
            received = reader.result
            if isinstance(received, Failure):
                return AttemptOutcome.LOST
            return received
        finally:
            if not reader.terminated:
                await reader.cancel()

    def _answers(self, request_id: bytes) -> Callable[[Response], bool]:
        """Return whether a response carries the id of this request, or none."""

        def is_answer(response: Response) -> bool:
            echoed = find_header(response.headers, self._dialect.request_id)
            return echoed is None or echoed == request_id

        return is_answer

    def _classify(self, call: _Call, response: Response) -> AttemptOutcome:
        """Return what a whole response means for another attempt."""
        is_refused = find_header(response.headers, self._dialect.not_executed)
        if response.status == 421 or is_refused is not None:
            if len(call.attempts) == 0 or not self._ran_before(call):
                call.may_have_run = False
            return AttemptOutcome.NOT_STARTED
        if not self._dialect.is_genuine(response, call.request_id):
            return AttemptOutcome.LOST
        if response.status in (500, 502, 503, 504) and call.route.is_idempotent:
            return AttemptOutcome.SERVER_ERROR
        return AttemptOutcome.RESPONDED

    def _ran_before(self, call: _Call) -> bool:
        """Return whether an earlier attempt may have run."""
        never_ran = (AttemptOutcome.NOT_STARTED, AttemptOutcome.UNREACHABLE)
        return any(attempt.outcome not in never_ran for attempt in call.attempts)
