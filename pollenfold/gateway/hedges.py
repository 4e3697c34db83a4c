"""Hedged requests: a second attempt at another endpoint while the first one is slow.

``core/hedging.py`` decides. The second attempt works on a copy of the call, so that two
attempts at a time don't write to the same state; the copy is merged at the end.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Container
from dataclasses import dataclass, replace
from functools import partial

from ..core.clock import Clock, Instant
from ..core.hedging import (
    HedgeBudget,
    HedgeCandidate,
    HedgeDecision,
    HedgeMoment,
    LatencyRatios,
    censored_ratio,
    decide_hedge,
    hedge_delay_ms,
    hedge_quantile,
    hedge_slowdown_limit,
    latest_useful_delay_ms,
    may_be_hedged,
    may_get_hedge,
    timely_delay_ms,
)
from ..core.outcomes import AttemptOutcome
from ..http.messages import Response
from ..observe.exposition import Metrics
from .balancer import Balancer
from .calls import Call
from .endpoint import Endpoint
from .endpoint_attempts import EndpointAttempts
from .pick import Pick
from .race import Race, Runner, SendResult
from .rollouts.selection import VersionSelector
from .suspects import Suspects
from .view import FleetView

NEVER = Instant(float("-inf"))
"""The instant of what hasn't happened yet."""


@dataclass(slots=True)
class _ServiceHedges:
    """What an entry keeps of one service to hedge its requests."""

    budget: HedgeBudget
    ratios: LatencyRatios
    refused_at: Instant = NEVER


class Hedges:
    """Sends requests to selected endpoints, and hedges those that take long.

    ``acquire_retry`` counts a retry of a call if the budget of retries permits it, and
    ``acquire_permit`` returns whether the tenant's quota permits a second run.
    ``active_calls`` are the calls whose deadlines move when the process stops.
    """

    def __init__(
        self,
        view: FleetView,
        balancer: Balancer,
        attempts: EndpointAttempts,
        suspects: Suspects,
        versions: VersionSelector,
        acquire_retry: Callable[[Call], bool],
        acquire_permit: Callable[[Call], Awaitable[bool]],
        active_calls: set[Call],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._attempts = attempts
        self._suspects = suspects
        self._versions = versions
        self._acquire_retry = acquire_retry
        self._acquire_permit = acquire_permit
        self._active_calls = active_calls
        self._clock = clock
        self._metrics = metrics
        self._services: dict[str, _ServiceHedges] = {}

    def retain(self, services: Container[str]) -> None:
        """Drop the state of services that the configuration lacks."""
        self._services = {k: v for k, v in self._services.items() if k in services}

    def count_request(self, service: str, ratio: float) -> None:
        """Count one request of a caller, which earns ``ratio`` of a hedge."""
        budget = self._service(service).budget
        budget.ratio = ratio
        budget.deposit()

    def record_refusal(self, service: str) -> None:
        """Record that a request was refused for lack of capacity."""
        self._service(service).refused_at = self._clock()

    def _service(self, name: str) -> _ServiceHedges:
        service = self._services.get(name)
        if service is None:
            service = _ServiceHedges(HedgeBudget(0.0), LatencyRatios())
            self._services[name] = service
        return service

    async def send(self, call: Call, pick: Pick, ratio: float) -> SendResult:
        """Send the request like ``EndpointAttempts.send``, with a hedge if it is slow.

        The endpoint of a hedge is added to the tried ones of the call. If both attempts
        fail, their outcomes are combined, and the attempts of the call hold both.
        """
        service = self._service(call.service)
        quantile = service.ratios.quantile(hedge_quantile(ratio))
        send = self._observed_sender(service, quantile)
        # During a roll-out the stage that chose the version must hold at the send.
        is_in_progress = self._versions.is_in_progress(call.service)
        if quantile is None or is_in_progress or not self._may_be_hedged(call):
            return await send(call, pick)
        delay_ms = self._delay_ms(call, pick, quantile, ratio)
        race = Race(send, self._balancer, self._clock)
        try:
            await race.start(call, pick)
            if not await race.wait_for_first(delay_ms) and race.is_first_waiting:
                await self._hedge(race, call, pick, delay_ms)
            return await race.result()
        finally:
            await self._end(race, call)

    def _delay_ms(self, call: Call, pick: Pick, quantile: float, ratio: float) -> float:
        """Return how long the first attempt is awaited."""
        expected_ms = _expected_ms(call, pick)
        least_ratio = self._service(call.service).ratios.quantile(1.0 - ratio)
        return timely_delay_ms(
            hedge_delay_ms(expected_ms, quantile),
            hedge_delay_ms(expected_ms, least_ratio or quantile),
            latest_useful_delay_ms(
                call.target_at - self._clock(), call.work_estimate.get()
            ),
        )

    def _may_be_hedged(self, call: Call) -> bool:
        has_body_left = call.request.read_remaining_body is not None
        return may_be_hedged(
            call.route.is_idempotent,
            call.is_body_streamed or has_body_left,
            call.n_sends(),
            call.max_attempts,
        ) and not self._suspects.is_suspect(call)

    def _observed_sender(
        self, service: _ServiceHedges, quantile: float | None
    ) -> Runner:
        """Return ``EndpointAttempts.send``, which also records the latency."""

        async def send(call: Call, pick: Pick) -> SendResult:
            # Other tasks run before the task of an attempt starts.
            if not self._view.accepts_new_requests(pick.endpoint):
                await self._balancer.release(pick.endpoint, pick.connection)
                return AttemptOutcome.UNREACHABLE, None
            started_at = self._clock()
            expected_ms = _expected_ms(call, pick)
            outcome: AttemptOutcome | None = None
            response: Response | None = None
            try:
                outcome, response = await self._attempts.send(call, pick)
                return outcome, response
            finally:
                ended_at = self._clock()
                if response is not None and response.arrived_at is not None:
                    ended_at = response.arrived_at
                elapsed_ms = ended_at - max(started_at, call.sent_at)
                if outcome is AttemptOutcome.RESPONDED:
                    service.ratios.observe(elapsed_ms / expected_ms)
                elif outcome is AttemptOutcome.NOT_STARTED:
                    service.refused_at = self._clock()
                elif outcome is None or outcome is AttemptOutcome.EXPIRED:
                    ratio = censored_ratio(elapsed_ms, expected_ms, quantile)
                    if ratio is not None:
                        service.ratios.observe(ratio)

        return send

    # The second attempt

    async def _hedge(self, race: Race, call: Call, pick: Pick, delay_ms: float) -> None:
        """Start the second attempt if nothing prevents it."""
        moment = self._moment(call, race)
        decision = decide_hedge(moment)
        if decision is HedgeDecision.SEND:
            budget = self._service(call.service).budget
            if not budget.withdraw():
                decision = HedgeDecision.RATIO
        call.decision_trace.append(f"hedge/{delay_ms:.0f}/{decision.value}")
        if decision is not HedgeDecision.SEND:
            self._count(call, f"refused_{decision.value}")
            return
        self._metrics.observe("hedge_delay_ms", delay_ms, service=call.service)
        fork = _fork(call)
        self._active_calls.add(fork)
        # The hedge takes one of the attempts, so that the first isn't given up for one.
        call.max_attempts -= 1
        await race.start_second(fork, partial(self._select, call, fork, pick, moment))

    def _moment(self, call: Call, race: Race) -> HedgeMoment:
        return HedgeMoment(
            now=self._clock(),
            is_sent=race.is_first_sent,
            n_sends=call.n_sends() + 1,
            max_attempts=call.max_attempts,
            least_slowdown=self._balancer.last_slowdown(call.service),
            refused_at=self._service(call.service).refused_at,
            work_ms=call.work_estimate.get(),
            target_at=call.target_at,
            deadline=call.deadline,
        )

    async def _select(
        self,
        call: Call,
        fork: Call,
        first: Pick,
        moment: HedgeMoment,
        is_wanted: Callable[[], bool],
    ) -> Pick | None:
        """Return an endpoint for the hedge, once the retry budget permits it."""
        pick = await self._balancer.pick(
            call.service,
            self._excluded_endpoint_ids(call, first),
            fork.deadline,
            hedge_slowdown_limit(moment),
            fork.decision_trace,
            subset=self._versions.settled_subset(call.service),
        )
        if not is_wanted():
            # The race releases it, before a retry is taken for it.
            return pick
        refusal: HedgeDecision | None = HedgeDecision.NO_ENDPOINT
        if pick is not None:
            refusal = await self._refusal(fork, pick, first, moment)
            if not is_wanted():
                return pick
            if refusal is None and not self._acquire_retry(fork):
                refusal = HedgeDecision.RETRY_BUDGET
        if refusal is None:
            return pick
        fork.decision_trace.append(refusal.value)
        self._count(call, f"refused_{refusal.value}")
        if pick is not None:
            await self._balancer.release(pick.endpoint, pick.connection)
        return None

    def _excluded_endpoint_ids(self, call: Call, first: Pick) -> set[str]:
        """Return the endpoints that must not get the hedge of a call."""
        now = self._clock()
        excluded = call.tried_endpoint_ids | {first.endpoint.announcement.endpoint_id}
        endpoints = self._view.by_service.get(call.service, ())
        return excluded | {
            endpoint.announcement.endpoint_id
            for endpoint in endpoints
            if not may_get_hedge(_candidate(endpoint, now))
        }

    async def _refusal(
        self, fork: Call, pick: Pick, first: Pick, moment: HedgeMoment
    ) -> HedgeDecision | None:
        """Return why the selected endpoint doesn't get the hedge, if so.

        Time has passed since the search began, and the endpoint has reported since.
        """
        now = self._clock()
        limit = hedge_slowdown_limit(replace(moment, now=now, deadline=fork.deadline))
        if limit < 1.0:
            return HedgeDecision.TOO_LATE
        is_unknown = pick.load is None and first.load is not None
        is_fit = may_get_hedge(_candidate(pick.endpoint, now))
        if is_unknown or not is_fit or pick.slowdown > limit:
            return HedgeDecision.NO_ENDPOINT
        if not await self._acquire_permit(fork):
            return HedgeDecision.QUOTA
        if not self._view.accepts_new_requests(pick.endpoint):
            return HedgeDecision.NO_ENDPOINT
        return None

    async def _end(self, race: Race, call: Call) -> None:
        """End what still runs, and merge the state of the second attempt."""
        await race.end()
        fork = race.second_call
        if fork is None:
            return
        self._active_calls.discard(fork)
        call.max_attempts += 1
        call.decision_trace += fork.decision_trace
        if race.second_pick is None:
            if race.is_searching:
                self._count(call, "overtaken")
            return
        call.tried_endpoint_ids.add(race.second_pick.endpoint.announcement.endpoint_id)
        call.may_have_executed |= fork.may_have_executed
        call.last_response = fork.last_response or call.last_response
        call.digest = call.digest or fork.digest
        # A peer names the endpoint of the last attempt: the one that responded.
        own = fork.attempts[race.n_earlier_attempts :]
        position = race.n_earlier_attempts if race.has_first_won else len(call.attempts)
        call.attempts[position:position] = own
        self._count(call, race.second_end)

    def _count(self, call: Call, result: str) -> None:
        self._metrics.count("hedges_total", service=call.service, result=result)


def _expected_ms(call: Call, pick: Pick) -> float:
    """Return the usual time of a request at an endpoint with the reported slowdown."""
    return max(1.0, call.work_estimate.get() * max(pick.slowdown, 1.0))


def _fork(call: Call) -> Call:
    """Return a copy of a call for a second attempt.

    It has just one attempt left, so that it isn't given up to be relayed to a peer.
    """
    return replace(
        call,
        tried_endpoint_ids=set(call.tried_endpoint_ids),
        attempts=list(call.attempts),
        decision_trace=[],
        last_response=None,
        may_have_executed=call.may_have_executed_before(),
        sent_at=Instant(0.0),
        is_retry_acquired=False,
        max_attempts=call.n_sends() + 1,
    )


def _candidate(endpoint: Endpoint, now: Instant) -> HedgeCandidate:
    health = endpoint.health
    return HedgeCandidate(
        is_cold=endpoint.is_cold(now),
        is_backing_off=endpoint.is_backing_off(now),
        is_limited=endpoint.declared_limit is not None,
        is_doubtful=health.is_failing
        or health.is_unreachable(now)
        or health.is_deprioritized(now),
    )
