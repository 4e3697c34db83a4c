"""Request forwarding: route, endpoint selection, attempts and the final response."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..core.balancing.overload import (
    OVERLOADED_SLOWDOWN,
    AdmissionDecision,
    Placement,
    acceptable_slowdown,
    decide_admission,
)
from ..core.clock import Clock, Instant, remaining_ms
from ..core.errors import ErrorKind
from ..core.link import Link
from ..core.outcomes import AttemptOutcome
from ..core.retry_budget import RetryBudget
from ..core.routes import Route, RoutingConfiguration, find_route
from ..http.messages import (
    BodyError,
    Request,
    Response,
)
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .balancer import Balancer
from .calls import NOT_EXECUTED_OUTCOMES, Call, CallFactory
from .dialect import Dialect
from .endpoint_attempts import EndpointAttempts, body_send_ms
from .exchange import CallerGoneError, is_caller_gone
from .final_responses import FinalResponses
from .hedge_switch import HedgeSwitch, no_hedges
from .pick import EndpointSubset, Pick
from .priorities import Priorities
from .quotas.gate import QuotaGate
from .reach_monitor import ReachMonitor
from .relay.client import RelayClient
from .relay.headers import RelayedRequest
from .relay.relaying import Relaying
from .rollouts.contact import ControlContact
from .rollouts.outcomes import VersionOutcomes
from .rollouts.selection import VersionSelector
from .suspects import Suspects
from .tenancy import TenantChecks
from .view import FleetView

if TYPE_CHECKING:
    from .hedges import Hedges

MIN_DEADLINE_MS = 10.0
NOT_READY_RETRY_AFTER_MS = 150.0


class Forwarder:
    """Forwards the requests of an entry's callers to backend servers."""

    def __init__(
        self,
        view: FleetView,
        balancer: Balancer,
        dialect: Dialect,
        retry_budget: RetryBudget,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
        monitor: ReachMonitor,
        relay_client: RelayClient,
        quotas: QuotaGate,
        hedge_ratio: Callable[[], float] = no_hedges,
    ) -> None:
        self._quotas = quotas
        self._link = link
        self._monitor = monitor
        self._view = view
        self._balancer = balancer
        self._dialect = dialect
        self._call_factory = CallFactory(dialect)
        self._tenant_checks = TenantChecks(view, dialect)
        self._priorities = Priorities(balancer, clock)
        self._retry_budget = retry_budget
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._final_responses = FinalResponses(view, clock, log, metrics, rng)
        self._suspects = Suspects(view.quarantine, balancer, dialect, clock)
        self.control_contact = ControlContact(view, clock)
        self._versions = VersionSelector(view, balancer, self.control_contact, rng)
        self.version_outcomes = VersionOutcomes(view, monitor, clock, metrics)
        self._attempts = EndpointAttempts(
            view,
            balancer,
            monitor,
            self._suspects,
            self._acquire_retry,
            self.version_outcomes,
            dialect,
            clock,
            log,
            metrics,
            rng,
            link,
        )
        self._relaying = Relaying(
            monitor,
            relay_client,
            self._final_responses,
            balancer,
            clock,
            metrics,
            rng,
        )
        self._active_calls: set[Call] = set()
        self._latest_deadline = Instant(float("inf"))
        self.hedges = HedgeSwitch(hedge_ratio, self._attempts, self._load_hedges)

    def _load_hedges(self) -> Hedges:
        from .hedges import Hedges

        return Hedges(
            self._view,
            self._balancer,
            self._attempts,
            self._suspects,
            self._versions,
            self._acquire_retry,
            self._quotas.acquire_another,
            self._active_calls,
            self._clock,
            self._metrics,
        )

    def is_idempotent(self, request: Request) -> bool:
        """Return whether a request may run concurrently with others on a connection."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        route = _find_request_route(request, configuration)
        return route is not None and route.is_idempotent

    def limit_deadlines(self, latest: Instant) -> None:
        """End all requests, present and later ones, by ``latest`` at the latest.

        A process that stops calls it, so that each request gets a final response.
        """
        self._latest_deadline = latest
        for call in self._active_calls:
            call.deadline = min(call.deadline, latest)

    async def handle(self, request: Request) -> Response | None:
        """Return the final response, or None if the caller is gone.

        The caller's deadline counts from when the head of the request was read.
        """
        call = self._create_call(request, None)
        return call if isinstance(call, Response) else await self._handle_call(call)

    async def handle_relayed(
        self, request: Request, relayed: RelayedRequest
    ) -> tuple[Response | None, Call | None]:
        """Handle a request that another entry passed on.

        Return the final response, which is None if that entry is gone, and the call,
        which is None if the request was refused before it became one.
        """
        self._balancer.add_probes(relayed.n_probes)
        call = self._create_call(request, relayed)
        if isinstance(call, Response):
            return call, None
        return await self._handle_call(call), call

    def _create_call(
        self, request: Request, relayed: RelayedRequest | None
    ) -> Call | Response:
        """Return the call of a request, or the refusal of one that can't become one."""
        received_at = request.received_at
        started_at = self._clock() if received_at is None else received_at
        configuration = self._view.configuration
        request_id = request.header(self._dialect.request_id) or b""
        refuse = self._final_responses.refuse
        if configuration is None:
            after_ms = NOT_READY_RETRY_AFTER_MS
            return refuse(request_id, ErrorKind.NOT_READY, after_ms=after_ms)
        self._call_factory.retain(configuration)
        if relayed is not None and relayed.version > configuration.version:
            # The route may have moved, or may not be repeated any more.
            return refuse(request_id, ErrorKind.NOT_CONFIRMED)
        route = _find_request_route(request, configuration)
        if route is None:
            url = _request_host(request) + request.path
            if not self._view.is_state_current():
                return refuse(request_id, ErrorKind.NOT_CONFIRMED, url=url)
            return refuse(request_id, ErrorKind.NO_ROUTE, url=url)
        identity = self._tenant_checks.identify(request, route, configuration, relayed)
        if isinstance(identity, ErrorKind):
            return refuse(request_id, identity, route=route.name)
        call = self._call_factory.create_call(
            request, request_id, route, started_at, relayed, configuration.version
        )
        if call is None:
            detail = "malformed deadline"
            kind = ErrorKind.BAD_REQUEST
            return refuse(
                request_id, kind, route=route.name, detail=detail, identity=identity
            )
        call.identity = identity
        call.deadline = min(call.deadline, self._latest_deadline)
        self._link.record_received(len(request.body), started_at)
        return call

    async def _handle_call(self, call: Call) -> Response | None:
        self._active_calls.add(call)
        try:
            final = await self._forward(call)
        except CallerGoneError:
            self._final_responses.finish(call, 0, "caller_gone")
            return None
        except BodyError as error:
            return self._final_responses.end_incomplete_request(call, error.kind)
        finally:
            self._active_calls.discard(call)
        return final

    # Attempts

    async def _forward(self, call: Call) -> Response:
        """Send the request to one endpoint after another, as far as retries allow."""
        if self._suspects.is_quarantined(call):
            return self._final_responses.finish_failed(call, ErrorKind.QUARANTINED)
        denial_kind = self._quotas.refusal_kind(call)
        if denial_kind is not None:
            return self._final_responses.finish_failed(call, denial_kind)
        n_sent = 0
        while True:
            final = await self._relaying.relay_if_cut(call)
            if final is not None:
                return final
            is_first_attempt = n_sent == 0 and not call.is_repeat
            pick = await self._select_endpoint(call, is_first_attempt)
            if pick is ErrorKind.NO_BACKEND_SERVER:
                final = await self._relaying.relay_if_unreached(call)
                if final is not None:
                    return final
            if not call.is_counted:
                # A request that is relayed is counted by the peer.
                self._retry_budget.count_request(call.service, call.started_at)
                self.hedges.count_request(call.service)
                call.is_counted = True
            if isinstance(pick, ErrorKind):
                self.hedges.record_refusal(call.service, pick)
                return self._final_responses.finish_failed(call, pick)
            n_sent_before = call.n_sends()
            outcome, response = await self.hedges.send(call, pick)
            call.tried_endpoint_ids.add(pick.endpoint.announcement.endpoint_id)
            n_sent += call.n_sends() - n_sent_before
            if outcome is AttemptOutcome.RESPONDED and response is not None:
                return self._final_responses.relay(call, response)
            if outcome is AttemptOutcome.EXPIRED:
                return self._final_responses.finish_failed(
                    call, ErrorKind.DEADLINE_EXCEEDED
                )
            if outcome is AttemptOutcome.GIVEN_UP:
                kind = ErrorKind.BACKEND_FAILED
                return self._final_responses.finish_failed(call, kind)
            is_repeatable = call.route.is_idempotent or outcome in NOT_EXECUTED_OUTCOMES
            may_retry = is_repeatable and not call.is_body_streamed
            if not may_retry or n_sent >= call.max_attempts:
                is_overloaded = pick.slowdown > OVERLOADED_SLOWDOWN
                refusal_kind = (
                    ErrorKind.QUEUE_FULL if is_overloaded else ErrorKind.BACKEND_REFUSED
                )
                return self._final_responses.finish_failed(call, refusal_kind)

    async def _select_endpoint(
        self, call: Call, is_first_attempt: bool
    ) -> Pick | ErrorKind:
        """Return an endpoint for the request, or the reason why there is none."""
        return await self._versions.select(
            call.service,
            not is_first_attempt,
            partial(self._select_among, call, is_first_attempt),
        )

    async def _select_among(
        self, call: Call, is_first_attempt: bool, subset: EndpointSubset | None
    ) -> Pick | ErrorKind | None:
        """Return an endpoint of a subset, or the reason why there is none.

        Return None if the stage of a roll-out changed meanwhile, so that the endpoint
        may not get the request.
        """
        if is_caller_gone(call):
            raise CallerGoneError
        call.backoff_ms = None
        if subset is not None:
            call.decision_trace.append("target" if subset.is_target else "old")
        left_ms = remaining_ms(call.target_at, self._clock()) - body_send_ms(
            self._link, call
        )
        limit = max_slowdown = acceptable_slowdown(call.work_estimate.get(), left_ms)
        if is_first_attempt:
            max_slowdown = self._priorities.max_slowdown(call, limit)
        pick = await self._balancer.pick(
            call.service,
            call.tried_endpoint_ids,
            call.deadline,
            max_slowdown,
            call.decision_trace,
            self._suspects.avoided_endpoint_ids(call),
            subset,
        )
        if is_first_attempt:
            self._priorities.record_search(call, limit, pick)
        if pick is None:
            call.backoff_ms = self._balancer.permit_wait_ms(call.service, subset)
            if call.backoff_ms is None:
                return ErrorKind.NO_BACKEND_SERVER
            reason = "limited" if self._view.has_limited(call.service) else "resting"
            call.decision_trace.append(f"{reason}/{call.backoff_ms:.0f}")
            return ErrorKind.QUEUE_FULL
        return await self._admit(call, pick, subset, is_first_attempt)

    async def _admit(
        self,
        call: Call,
        pick: Pick,
        subset: EndpointSubset | None,
        is_first_attempt: bool,
    ) -> Pick | ErrorKind | None:
        """Return the selected endpoint if the request may be sent to it.

        Otherwise release it and return the reason, or None if the endpoint may no
        longer get requests.
        """
        refusal_kind = self._refusal_kind(call, pick, is_first_attempt)
        may_send = False
        try:
            if refusal_kind is None:
                refusal_kind = await self._quotas.acquire(call)
            # The wait for a permit may last until the deadline.
            if refusal_kind is None and self._is_too_late(call):
                refusal_kind = ErrorKind.DEADLINE_EXCEEDED
            # No task runs between this check and the start of the attempt.
            may_send = refusal_kind is None and self._may_still_send(subset, pick)
        finally:
            if not may_send:
                await self._balancer.release(pick.endpoint, pick.connection)
        return pick if may_send else refusal_kind

    def _may_still_send(self, subset: EndpointSubset | None, pick: Pick) -> bool:
        """Return whether the endpoint may get requests after a wait for a permit."""
        return self._versions.may_send(
            subset, pick.endpoint
        ) and self._view.accepts_new_requests(pick.endpoint)

    def _refusal_kind(
        self, call: Call, pick: Pick, is_first_attempt: bool
    ) -> ErrorKind | None:
        """Return why a request may not be sent to the selected endpoint, if so."""
        # Others may have reported the request while an endpoint was selected.
        if self._suspects.is_quarantined(call):
            return ErrorKind.QUARANTINED
        if self._is_too_late(call):
            return ErrorKind.DEADLINE_EXCEEDED
        if is_first_attempt:
            now = self._clock()
            return None if self._admits(call, pick, now) else ErrorKind.QUEUE_FULL
        return None if self._acquire_retry(call) else ErrorKind.BACKEND_REFUSED

    def _is_too_late(self, call: Call) -> bool:
        """Return whether too little time is left to send the request."""
        return remaining_ms(call.deadline, self._clock()) < MIN_DEADLINE_MS

    def _acquire_retry(self, call: Call) -> bool:
        """Count a retry if the budget permits it, and trace what decided it."""
        if call.is_retry_acquired:
            call.is_retry_acquired = False
            return True
        now = self._clock()
        fleet = self._view.fleet
        self._retry_budget.update_share(fleet, self._view.entry_ids, now)
        decision = self._retry_budget.try_acquire(call.service, now)
        call.decision_trace.append(
            f"retry/{decision.n_before}/{decision.share}/{fleet.get(now)}"
        )
        name = "retries_total" if decision.is_permitted else "retries_refused_total"
        self._metrics.count(name, service=call.service)
        return decision.is_permitted

    def _admits(self, call: Call, pick: Pick, now: Instant) -> bool:
        """Return whether a first attempt may be sent to the selected endpoint."""
        send_ms = body_send_ms(self._link, call)
        placement = Placement(
            call.work_estimate.get(),
            pick.slowdown,
            pick.load,
            remaining_ms(call.target_at, now) - send_ms,
            remaining_ms(call.deadline, now) - send_ms,
        )
        verdict = decide_admission(placement)
        is_admitted = verdict is not AdmissionDecision.REFUSE
        is_held = is_admitted and self._priorities.holds_back(call, pick)
        if not is_held:
            call.decision_trace.append(verdict.value)
        self._metrics.count(
            "admissions_total",
            service=call.service,
            verdict="held" if is_held else verdict.value,
        )
        return is_admitted and not is_held


def _find_request_route(
    request: Request, configuration: RoutingConfiguration
) -> Route | None:
    return find_route(configuration, _request_host(request), request.path)


def _request_host(request: Request) -> str:
    return (request.header(b"host") or b"").decode("latin-1")
