"""One attempt to have a request executed by an endpoint."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from ..core.balancing.overload import WORK_VARIATION_FACTOR
from ..core.clock import Clock, Instant, add_ms
from ..core.link import Link
from ..core.outcomes import AttemptOutcome
from ..core.reach import Contact
from ..http.messages import Response, find_header
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .backend import BeforeFinalPiece
from .balancer import Balancer
from .calls import Attempt, Call
from .dialect import Dialect
from .endpoint import Endpoint
from .exchange import CallerGoneError, exchange, is_caller_gone
from .long_response import hold_connection_for_body
from .notices import apply_response_notices, notices_of
from .pick import Pick
from .reach_monitor import ReachMonitor
from .rollouts.outcomes import VersionOutcomes
from .suspects import Suspects
from .view import FleetView

COMPLETED_OUTCOMES = (
    AttemptOutcome.RESPONDED,
    AttemptOutcome.SERVER_ERROR,
    AttemptOutcome.UNMARKED_REFUSAL,
)
"""Outcomes after which the endpoint has run the request and is still there."""

RESPONSE_OUTCOMES = (
    *COMPLETED_OUTCOMES,
    AttemptOutcome.NOT_STARTED,
    AttemptOutcome.GIVEN_UP,
)
"""Outcomes with a response of the endpoint."""

STALE_LOAD_MS = 40.0
"""If sending the body takes at least this long, the reported load is out of date by the
time the request is complete."""

MAX_LOGGED_HEADER_CHARS = 40

MAX_HOLD_MS = 1_500.0
"""The longest time for which the final piece of a request is delayed."""


def body_send_ms(link: Link, call: Call) -> float:
    """Return how long the link takes to send the request body that was read."""
    return link.transfer_ms(len(call.request.body))


class EndpointAttempts:
    """Sends requests to selected endpoints and records what each attempt shows.

    ``acquire_retry`` counts a retry of a call if the budget permits it.
    """

    def __init__(
        self,
        view: FleetView,
        balancer: Balancer,
        monitor: ReachMonitor,
        suspects: Suspects,
        acquire_retry: Callable[[Call], bool],
        version_outcomes: VersionOutcomes,
        dialect: Dialect,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._monitor = monitor
        self._suspects = suspects
        self._acquire_retry = acquire_retry
        self._version_outcomes = version_outcomes
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._link = link

    async def send(
        self, call: Call, pick: Pick
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request to one endpoint; return the outcome and any response."""
        endpoint = pick.endpoint
        started_at = self._clock()
        self._count_limited_send(endpoint)
        end_run = self._suspects.begin_run(call, endpoint)
        endpoint.begin_exchange()
        version = self._version_outcomes.count_attempt(endpoint)
        outcome = AttemptOutcome.LOST
        response: Response | None = None
        try:
            outcome, response = await exchange(
                call,
                pick.connection,
                endpoint,
                self._dialect,
                self._clock,
                self._before_final_piece(call, pick),
                partial(self._is_abandoned, call, endpoint),
            )
        finally:
            endpoint.end_exchange()
            end_run()
            elapsed_ms = self._clock() - started_at
            call.attempts.append(
                Attempt(
                    endpoint.announcement.endpoint_id,
                    pick.slowdown,
                    outcome,
                    elapsed_ms,
                    born_ms=endpoint.announcement.born_ms,
                    version=version,
                )
            )
            has_remaining_body = (
                response is not None and response.remaining_body is not None
            )
            if outcome is AttemptOutcome.RESPONDED and has_remaining_body:
                hold_connection_for_body(
                    call, pick, response, self._balancer, self._clock, self._log
                )
            else:
                await self._balancer.release(endpoint, pick.connection)
        self._log_invalid_response(call, pick)
        if outcome is AttemptOutcome.UNMARKED_REFUSAL and response is not None:
            self._log_unmarked_refusal(call, endpoint, response)
        call.last_notices = (
            None if response is None else notices_of(response, self._dialect)
        )
        self._metrics.count(
            "attempts_total", service=call.service, outcome=outcome.value
        )
        arrived_at = started_at + elapsed_ms
        if response is not None and response.arrived_at is not None:
            arrived_at = response.arrived_at
        if outcome is AttemptOutcome.EXPIRED and self._is_caller_late(call, started_at):
            return outcome, response
        latency_ms = arrived_at - started_at
        self._version_outcomes.record(
            call, pick, outcome, response, started_at, latency_ms
        )
        self._record_health(call, endpoint, outcome, latency_ms)
        await self._record_contact(call, endpoint, outcome, started_at)
        if outcome in COMPLETED_OUTCOMES and not has_remaining_body:
            await self._suspects.record_completed_run(call)
        if response is not None:
            self._apply_notices(endpoint, outcome, response, started_at)
        if outcome is AttemptOutcome.RESPONDED and pick.load is not None:
            work_ms = arrived_at - call.sent_at
            self._version_outcomes.observe_work(call.work_estimate, work_ms, pick)
        if outcome is AttemptOutcome.SERVER_ERROR and not has_remaining_body:
            call.last_response = response
        return outcome, response

    def _is_caller_late(self, call: Call, started_at: Instant) -> bool:
        """Return whether an attempt may have expired because of the caller.

        It left too little time for any endpoint, or didn't send the rest of its body.
        """
        if call.sent_at < started_at:
            return call.is_body_streamed
        return not call.work_estimate.is_due(self._clock() - call.sent_at)

    def _log_invalid_response(self, call: Call, pick: Pick) -> None:
        """Log what the endpoint sent instead of a response, if it did."""
        detail = pick.connection.invalid_response
        if detail:
            self._log.request(
                "response_invalid",
                True,
                request=call.request_id.decode("latin-1"),
                endpoint=pick.endpoint.announcement.endpoint_id,
                detail=detail,
            )

    def _log_unmarked_refusal(
        self, call: Call, endpoint: Endpoint, response: Response
    ) -> None:
        """Log and count the status, in place of which the caller gets another one."""
        retry_after = find_header(response.headers, b"retry-after") or b"none"
        self._log.request(
            "refusal_unmarked",
            True,
            request=call.request_id.decode("latin-1"),
            endpoint=endpoint.announcement.endpoint_id,
            endpoint_status=response.status,
            retry_after=retry_after.decode("latin-1")[:MAX_LOGGED_HEADER_CHARS],
        )
        self._metrics.count(
            "unmarked_refusals_total",
            service=call.service,
            status=str(response.status),
        )

    async def _record_contact(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        started_at: Instant,
    ) -> None:
        """Record whether the endpoint responded, and whose run was lost with it."""
        if outcome in RESPONSE_OUTCOMES:
            self._monitor.observe(endpoint, Contact.RESPONDED)
        else:
            await self._monitor.observe_failure(endpoint, Contact.UNANSWERED)
        if outcome is AttemptOutcome.LOST:
            await self._suspects.record_lost_run(call, endpoint, started_at)

    def _apply_notices(
        self,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        response: Response,
        started_at: Instant,
    ) -> None:
        is_success = outcome is AttemptOutcome.RESPONDED and response.status < 300
        apply_response_notices(
            endpoint,
            response,
            self._dialect,
            self._view,
            self._rng,
            is_success,
            started_at,
        )

    async def _is_abandoned(self, call: Call, endpoint: Endpoint) -> bool:
        """Return whether a sent request is given up, to be relayed to a peer.

        The connections of an entry that was cut off may hang. Only a request that may
        be repeated is given up, and only if it can be.
        """
        await self._monitor.observe_waiting(endpoint, call.sent_at)
        has_attempts = call.n_sends() + 1 < call.max_attempts
        if not (
            self._monitor.is_silent
            and call.route.is_idempotent
            and has_attempts
            and not call.is_body_streamed
            and await self._monitor.find_peer_for(call.service)
        ):
            return False
        call.is_retry_acquired = self._acquire_retry(call)
        return call.is_retry_acquired

    def _count_limited_send(self, endpoint: Endpoint) -> None:
        if endpoint.declared_limit is not None:
            service = endpoint.announcement.service
            self._metrics.count("limited_sends_total", service=service, kind="request")

    def _before_final_piece(self, call: Call, pick: Pick) -> BeforeFinalPiece | None:
        """Return a function that delays the end of a long request to a slow endpoint.

        An endpoint starts a request when it has received all of it, and the load that
        it reported before a long body was sent is out of date then. If the caller
        leaves meanwhile, the request is not completed.
        """
        if pick.load is None or body_send_ms(self._link, call) < STALE_LOAD_MS:
            return None
        until = min(
            add_ms(call.target_at, -WORK_VARIATION_FACTOR * call.work_estimate.get()),
            add_ms(self._clock(), body_send_ms(self._link, call) + MAX_HOLD_MS),
        )

        async def wait_until_fast() -> None:
            await self._balancer.wait_until_fast(
                call.service, pick.endpoint, until, lambda: is_caller_gone(call)
            )
            if is_caller_gone(call):
                raise CallerGoneError

        return wait_until_fast

    def _record_health(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        elapsed_ms: float,
    ) -> None:
        """Update the health of the endpoint from the outcome of an attempt."""
        now = self._clock()
        match outcome:
            case AttemptOutcome.RESPONDED:
                endpoint.health.observe(elapsed_ms)
                endpoint.health.mark_reachable()
            case AttemptOutcome.GIVEN_UP:
                endpoint.health.mark_reachable()
            case AttemptOutcome.UNREACHABLE:
                endpoint.health.mark_unreachable(now)
            case AttemptOutcome.NOT_STARTED:
                endpoint.health.add_penalty(0.5, now)
            case (
                AttemptOutcome.LOST
                | AttemptOutcome.SERVER_ERROR
                | AttemptOutcome.UNMARKED_REFUSAL
            ):
                endpoint.health.add_penalty(2.0, now)
            case AttemptOutcome.EXPIRED:
                endpoint.health.add_penalty(1.0, now)
