"""The path of a request: route, endpoint, response, and what may be sent again."""

from __future__ import annotations

import random

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.errors import ErrorKind
from ..core.link import Link
from ..core.outcomes import AttemptOutcome
from ..core.overload import (
    SPREAD_FACTOR,
    Prospect,
    Verdict,
    acceptable_slowdown,
    judge,
)
from ..core.routes import Route, RoutingConfiguration, find_route
from ..http.messages import (
    BodyError,
    Request,
    Response,
)
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .answers import FinalAnswers
from .backend import BeforeEnd
from .balancer import CROWDED_SLOWDOWN, Balancer, Pick
from .calls import NEVER_RAN, Attempt, Call, CallBook, RetryLimits
from .dialect import Dialect
from .exchange import CallerGoneError, exchange, is_caller_gone
from .long_response import keep_for_rest
from .notices import take_notices
from .view import Endpoint, FleetView

MIN_DEADLINE_MS = 10.0
NOT_READY_RETRY_AFTER_MS = 150.0

STALE_LOAD_MS = 40.0
"""A load that was told so long before the request is in says little."""

MAX_HOLD_MS = 1_500.0
"""How long the end of a request is held back at most."""


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
        link: Link,
    ) -> None:
        self._link = link
        self._view = view
        self._balancer = balancer
        self._dialect = dialect
        self._book = CallBook(dialect, retry_limits)
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._answers = FinalAnswers(view, clock, log, metrics, rng)

    def is_idempotent(self, request: Request) -> bool:
        """Return whether a request may run beside others of its connection."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        route = _route_of(request, configuration)
        return route is not None and route.is_idempotent

    async def handle(self, request: Request) -> Response | None:
        """Return the final response, or None when the caller went away.

        The caller's time counts from when the head of the request was read.
        """
        received_at = request.received_at
        started_at = self._clock() if received_at is None else received_at
        configuration = self._view.configuration
        request_id = request.header(self._dialect.request_id) or b""
        refuse = self._answers.refuse
        if configuration is None:
            after_ms = NOT_READY_RETRY_AFTER_MS
            return refuse(request_id, ErrorKind.NOT_READY, after_ms=after_ms)
        self._book.retain(configuration)
        route = _route_of(request, configuration)
        if route is None:
            return refuse(request_id, ErrorKind.NO_ROUTE)
        call = self._book.call(request, request_id, route, started_at)
        if call is None:
            detail = "malformed deadline"
            kind = ErrorKind.BAD_REQUEST
            return refuse(request_id, kind, route=route.name, detail=detail)
        self._link.note_received(len(request.body), started_at)
        try:
            final = await self._run(call)
        except CallerGoneError:
            self._answers.finish(call, 0, "caller_gone")
            return None
        except BodyError as error:
            return self._answers.end_broken_body(call, error.kind)
        return final

    # Attempts

    async def _run(self, call: Call) -> Response:
        """Send the request to one endpoint after another, as far as is allowed."""
        call.allowance.count_request(call.started_at)
        n_sent = 0
        while True:
            is_first = n_sent == 0
            pick = await self._search(call, is_first)
            if isinstance(pick, ErrorKind):
                return self._answers.give_up(call, pick)
            outcome, response = await self._attempt(call, pick)
            call.tried.add(pick.endpoint.announcement.endpoint_id)
            if outcome is not AttemptOutcome.UNREACHABLE:
                n_sent += 1
            if outcome is AttemptOutcome.RESPONDED and response is not None:
                return self._answers.relay(call, response)
            if outcome is AttemptOutcome.EXPIRED:
                return self._answers.give_up(call, ErrorKind.DEADLINE_EXCEEDED)
            is_repeatable = call.route.is_idempotent or outcome in NEVER_RAN
            may_retry = is_repeatable and not call.is_rest_taken
            if not may_retry or n_sent >= max(1, call.route.max_attempts):
                is_full = pick.slowdown > CROWDED_SLOWDOWN
                refused = ErrorKind.QUEUE_FULL if is_full else ErrorKind.BACKEND_REFUSED
                return self._answers.give_up(call, refused)

    async def _search(self, call: Call, is_first: bool) -> Pick | ErrorKind:
        """Return an endpoint that may get the request, or why none may."""
        if is_caller_gone(call):
            raise CallerGoneError
        left_ms = remaining_ms(call.target, self._clock()) - self._send_ms(call)
        pick = await self._balancer.pick(
            call.service,
            call.tried,
            call.deadline,
            acceptable_slowdown(call.work.get(), left_ms),
            call.trace,
        )
        if pick is None:
            call.rest_ms = self._view.rest_left_ms(call.service)
            if call.rest_ms is None:
                return ErrorKind.NO_BACKEND_SERVER
            call.trace.append(f"resting/{call.rest_ms:.0f}")
            return ErrorKind.QUEUE_FULL
        refused = self._refuses(call, pick, is_first)
        if refused is None:
            return pick
        await self._balancer.give_back(pick.endpoint, pick.connection)
        return refused

    def _refuses(self, call: Call, pick: Pick, is_first: bool) -> ErrorKind | None:
        """Return why a request isn't sent to the endpoint that was found, if so."""
        now = self._clock()
        if remaining_ms(call.deadline, now) < MIN_DEADLINE_MS:
            return ErrorKind.DEADLINE_EXCEEDED
        if is_first:
            return None if self._admits(call, pick, now) else ErrorKind.QUEUE_FULL
        if call.allowance.take(self._view.fleet.get(now), now):
            return None
        self._metrics.count("retries_refused_total", service=call.service)
        return ErrorKind.BACKEND_REFUSED

    def _admits(self, call: Call, pick: Pick, now: Instant) -> bool:
        """Return whether a request is sent where the search found room for it."""
        prospect = Prospect(
            call.work.get(),
            pick.slowdown,
            pick.load,
            remaining_ms(call.target, now) - self._send_ms(call),
            remaining_ms(call.deadline, now) - self._send_ms(call),
        )
        verdict = judge(prospect)
        call.trace.append(verdict.value)
        self._metrics.count(
            "admissions_total", service=call.service, verdict=verdict.value
        )
        return verdict is not Verdict.REFUSE

    def _send_ms(self, call: Call) -> float:
        """Return how long the link takes to pass the body of a request on."""
        return self._link.transfer_ms(len(call.request.body))

    async def _attempt(
        self, call: Call, pick: Pick
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request to one endpoint; return how that ended."""
        endpoint = pick.endpoint
        started_at = self._clock()
        endpoint.health.n_in_flight += 1
        outcome = AttemptOutcome.LOST
        response: Response | None = None
        try:
            outcome, response = await exchange(
                call,
                pick.connection,
                endpoint,
                self._dialect,
                self._clock,
                self._before_end(call, pick),
            )
        finally:
            endpoint.health.n_in_flight -= 1
            elapsed_ms = self._clock() - started_at
            call.attempts.append(
                Attempt(
                    endpoint.announcement.endpoint_id,
                    pick.slowdown,
                    outcome,
                    elapsed_ms,
                )
            )
            is_open = response is not None and response.rest is not None
            if outcome is AttemptOutcome.RESPONDED and is_open:
                keep_for_rest(
                    call, pick, response, self._balancer, self._clock, self._log
                )
            else:
                await self._balancer.give_back(endpoint, pick.connection)
        self._learn(call, endpoint, outcome, elapsed_ms)
        if response is not None:
            take_notices(endpoint, response, self._dialect, self._view, self._rng)
        if outcome is AttemptOutcome.RESPONDED and pick.load is not None:
            call.work.observe(self._clock() - call.sent_at, pick.slowdown)
        if outcome is AttemptOutcome.SERVER_ERROR and not is_open:
            call.last_response = response
        return outcome, response

    def _before_end(self, call: Call, pick: Pick) -> BeforeEnd | None:
        """Return what holds the end of a long request back while the endpoint is slow.

        An endpoint begins with the work when the whole request is in, and what it said
        of its load before a long body went out is old then. A request whose caller
        left meanwhile isn't finished.
        """
        if pick.load is None or self._send_ms(call) < STALE_LOAD_MS:
            return None
        until = min(
            add_ms(call.target, -SPREAD_FACTOR * call.work.get()),
            add_ms(self._clock(), self._send_ms(call) + MAX_HOLD_MS),
        )

        async def wait_until_quick() -> None:
            await self._balancer.wait_until_quick(
                call.service, pick.endpoint, until, lambda: is_caller_gone(call)
            )
            if is_caller_gone(call):
                raise CallerGoneError

        return wait_until_quick

    def _learn(
        self,
        call: Call,
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


def _route_of(request: Request, configuration: RoutingConfiguration) -> Route | None:
    host = (request.header(b"host") or b"").decode("latin-1")
    return find_route(configuration, host, request.path)
