"""Call path of a request, from its arrival at the entry to its final response."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.errors import ErrorKind, RunState
from ..core.outcomes import AttemptOutcome
from ..core.records import RequestClass, ServiceSpec, classify
from ..core.retries import may_retry
from ..http.messages import Request, Response, find_header
from .attempts import (
    CANCEL_CHECK_MS,
    TIMEOUT_HEADER,
    Attempt,
    AttemptResult,
    CallerGone,
    Exchange,
    backend_headers,
    combine_results,
    forwarded_headers,
)
from .forwarding import Forwarder, RequestLostError, is_forwarded
from .hedges import run_hedged_attempt
from .non_idempotent import NonIdempotentRunner, without_refusal_status
from .refusal import Refusal

if TYPE_CHECKING:
    from .services import ServiceRuntime, ServiceTable

IDEMPOTENCY_KEY = b"idempotency-key"
MAX_KEY_BYTES = 200


Observer = Callable[[ServiceSpec, RequestClass, int, float], None]
"""Called with service, class, status and latency in ms of each final response."""


def _ignore_response(
    service: ServiceSpec, request_class: RequestClass, status: int, latency_ms: float
) -> None:
    return None


class Proxy:
    """Handles the requests of an entry's callers.

    ``has_lease`` returns whether the configuration lease is valid now; without it no
    new work is accepted. ``actions`` executes non-idempotent requests under a claim.
    """

    def __init__(
        self,
        services: ServiceTable,
        actions: NonIdempotentRunner,
        forwarder: Forwarder,
        has_lease: Callable[[], bool],
        clock: Clock,
        observe: Observer = _ignore_response,
    ) -> None:
        self._services = services
        self._actions = actions
        self._forwarder = forwarder
        self._has_lease = has_lease
        self._clock = clock
        self._observe = observe

    async def handle(self, request: Request) -> Response | None:
        """Return the final response, or None if the caller closed its connection."""
        started_at = self._clock()
        runtime = self._services.find(request.path)
        if not self._has_lease():
            return self._refuse_early(request, ErrorKind.NO_LEASE)
        if runtime is None:
            return self._refuse_early(request, ErrorKind.UNKNOWN_SERVICE)
        spec = runtime.spec
        if len(request.body) > spec.max_body_bytes:
            return self._refuse_early(request, ErrorKind.BODY_TOO_LARGE)
        timeout_ms = _timeout_ms(request, spec)
        if timeout_ms is None:
            return self._refuse_early(request, ErrorKind.BAD_REQUEST)
        deadline = add_ms(started_at, timeout_ms)
        request_class = classify(spec, request.method.decode(), request.path)
        try:
            if request_class is RequestClass.IDEMPOTENT:
                response = await self._run_idempotent(runtime, request, deadline)
            else:
                response = await self._run_non_idempotent(runtime, request, deadline)
        except CallerGone:
            return None
        latency_ms = self._clock() - started_at
        self._observe(spec, request_class, response.status, latency_ms)
        return response

    def _refuse_early(self, request: Request, kind: ErrorKind) -> Response:
        """Refuse a request before a claim is sent to the ledger.

        An earlier request with the same key may have run, so ``did_not_run`` is only
        reported for a request without a key.
        """
        has_key = request.header(IDEMPOTENCY_KEY) is not None
        state = RunState.OUTCOME_UNKNOWN if has_key else None
        return Refusal(kind, state).response()

    async def _run_idempotent(
        self, runtime: ServiceRuntime, request: Request, deadline: Instant
    ) -> Response:
        exchange = Exchange(request, forwarded_headers(request, []), deadline)
        if _must_forward(runtime, request):
            forwarded = await self._forward(runtime, exchange, RequestClass.IDEMPOTENT)
            return forwarded or Refusal(ErrorKind.NO_BACKEND_SERVER).response()
        result = await run_attempts(
            runtime, exchange, RequestClass.IDEMPOTENT, self._has_lease, self._clock
        )
        if isinstance(result, Response):
            return Response(result.status, backend_headers(result), result.body)
        return result.response()

    async def _run_non_idempotent(
        self, runtime: ServiceRuntime, request: Request, deadline: Instant
    ) -> Response:
        caller_key = request.header(IDEMPOTENCY_KEY)
        if caller_key is not None and not 0 < len(caller_key) <= MAX_KEY_BYTES:
            return self._refuse_early(request, ErrorKind.BAD_REQUEST)
        key = caller_key or secrets.token_hex(16).encode()
        headers = forwarded_headers(request, [])
        if caller_key is None:
            headers.append((IDEMPOTENCY_KEY, key))
        exchange = Exchange(request, headers, deadline)
        if _must_forward(runtime, request):
            forwarded = await self._forward(
                runtime, exchange, RequestClass.NON_IDEMPOTENT
            )
            if forwarded is None:
                return self._refuse_early(request, ErrorKind.NO_BACKEND_SERVER)
            if find_header(forwarded.headers, IDEMPOTENCY_KEY) is None:
                forwarded.headers.append((IDEMPOTENCY_KEY, key))
            return without_refusal_status(forwarded)
        if caller_key is None:
            # No earlier request has this new key, so the request certainly didn't run
            # and may be refused without a claim.
            kind = runtime.slots.refusal(deadline)
            if kind is not None:
                retry_after_s = runtime.slots.retry_after_s()
                return Refusal(kind, retry_after_s=retry_after_s).response()

        async def dispatch() -> Response | Refusal:
            return await run_attempts(
                runtime,
                exchange,
                RequestClass.NON_IDEMPOTENT,
                self._has_lease,
                self._clock,
            )

        return await self._actions.run(
            runtime.spec, key, caller_key is not None, deadline, dispatch
        )

    async def _forward(
        self, runtime: ServiceRuntime, exchange: Exchange, request_class: RequestClass
    ) -> Response | None:
        """Forward a request to a warm-up owner; return None if none was reached."""
        try:
            return await self._forwarder.forward(
                exchange, runtime.warmup_owners, request_class
            )
        except RequestLostError:
            if request_class is RequestClass.IDEMPOTENT:
                return Refusal(ErrorKind.BACKEND_FAILED).response()
            return Refusal(ErrorKind.OUTCOME_UNKNOWN).response()


def _must_forward(runtime: ServiceRuntime, request: Request) -> bool:
    """Return whether this entry must forward the request to another entry.

    It must if it has no candidates, there are warm-up owners, and the request was not
    already forwarded.
    """
    return (
        not runtime.slots.candidates
        and bool(runtime.warmup_owners)
        and not is_forwarded(request)
    )


def _timeout_ms(request: Request, spec: ServiceSpec) -> float | None:
    """Return the timeout of the request, or None for a malformed header."""
    value = request.header(TIMEOUT_HEADER)
    if value is None:
        return spec.timeout_ms
    if not value.isdigit() or len(value) > 9:
        return None
    return min(float(value), spec.timeout_ms)


async def run_attempts(
    runtime: ServiceRuntime,
    exchange: Exchange,
    request_class: RequestClass,
    has_lease: Callable[[], bool],
    clock: Clock,
) -> Response | Refusal:
    """Send a request, and retry it at other backend servers as far as allowed.

    Return a complete response, or a refusal that includes the run state.
    """
    tried: set[str] = set()
    last: AttemptResult | None = None
    runtime.count_call()
    while True:
        acquire_started_at = clock()
        candidate = runtime.slots.try_acquire(tried)
        if candidate is None:
            acquired = await runtime.slots.acquire(tried, exchange.deadline)
            if acquired.is_error():
                retry_after_s = runtime.slots.retry_after_s()
                return _final_result(
                    last, Refusal(acquired.error, retry_after_s=retry_after_s)
                )
            candidate = acquired.ok
        # The lease may have expired, or the process been suspended, while the request
        # waited in the queue.
        if not has_lease():
            await runtime.slots.release(candidate, None)
            return _final_result(last, Refusal(ErrorKind.NO_LEASE))
        if request_class is RequestClass.IDEMPOTENT:
            if (
                clock() - acquire_started_at >= CANCEL_CHECK_MS
                and exchange.is_caller_gone()
            ):
                await runtime.slots.release(candidate, None)
                raise CallerGone
            attempt = runtime.start_attempt(candidate)
            result = await run_hedged_attempt(
                runtime, attempt, exchange, tried, has_lease
            )
        else:
            attempt = runtime.start_attempt(candidate)
            result = await _attempt_once(runtime, attempt, exchange)
        last = result if last is None else combine_results(last, result)
        if last.outcome is AttemptOutcome.RESPONDED:
            return _final_result(last, Refusal(ErrorKind.BACKEND_FAILED))
        tried.add(candidate.key)
        if not may_retry(result.outcome, request_class):
            break
        if remaining_ms(exchange.deadline, clock()) <= 0.0:
            return _final_result(last, Refusal(ErrorKind.DEADLINE_EXCEEDED))
        if not runtime.retry_budget.withdraw():
            break
    return _final_result(last, Refusal(ErrorKind.BACKEND_REFUSED))


async def _attempt_once(
    runtime: ServiceRuntime, attempt: Attempt, exchange: Exchange
) -> AttemptResult:
    """Run one attempt to its end, even if the caller disconnects.

    The outcome of a non-idempotent request is stored even then, because the caller may
    resend the request later to get it.
    """
    result: AttemptResult | None = None
    try:
        result = await attempt.start(exchange)
        if result is None:
            result = await attempt.wait_until(exchange, exchange.deadline, False)
        if result is None:
            result = AttemptResult(AttemptOutcome.EXPIRED)
    finally:
        await runtime.finish_attempt(attempt, result)
    return result


def _final_result(last: AttemptResult | None, refusal: Refusal) -> Response | Refusal:
    """Return the response of the last attempt, or the refusal for its failure."""
    if last is None:
        return refusal
    if last.outcome in (AttemptOutcome.NOT_STARTED, AttemptOutcome.UNREACHABLE):
        if refusal.kind is ErrorKind.NO_BACKEND_SERVER:
            return Refusal(ErrorKind.BACKEND_REFUSED)
        return refusal
    if last.response is not None:
        return last.response
    if last.outcome is AttemptOutcome.EXPIRED:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, RunState.OUTCOME_UNKNOWN)
    return Refusal(ErrorKind.BACKEND_FAILED)
