"""Hedged attempts of idempotent requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import curio

from ..core.clock import add_ms
from ..core.outcomes import AttemptOutcome
from .attempts import Attempt, AttemptResult, Exchange, combine_results

if TYPE_CHECKING:
    from .services import ServiceRuntime


async def run_hedged_attempt(
    runtime: ServiceRuntime,
    attempt: Attempt,
    exchange: Exchange,
    tried: set[str],
    has_lease: Callable[[], bool],
) -> AttemptResult:
    """Run an attempt, and start a second one at another server after the hedge delay.

    The first complete response wins; the connection of the other attempt is closed, so
    that its late response is discarded. The second server is added to ``tried``.
    Without a lease there is no second attempt, since it counts as new work. Raise
    CallerGone if the caller closed its connection.
    """
    result: AttemptResult | None = None
    try:
        result = await attempt.start(exchange)
        if result is not None:
            return result
        hedge_at = add_ms(attempt.started_at, runtime.hedge_delay_ms())
        first_wait_until = min(hedge_at, exchange.deadline)
        result = await attempt.wait_until(exchange, first_wait_until, True)
        if result is not None:
            return result
        second = None
        if hedge_at < exchange.deadline and has_lease():
            second = _second_attempt(runtime, attempt, tried)
        if second is None:
            result = await attempt.wait_until(exchange, exchange.deadline, True)
            if result is None:
                result = AttemptResult(AttemptOutcome.EXPIRED)
            return result
        result, response = await _first_response(runtime, attempt, second, exchange)
        return response
    finally:
        await runtime.finish_attempt(attempt, result)


def _second_attempt(
    runtime: ServiceRuntime, attempt: Attempt, tried: set[str]
) -> Attempt | None:
    candidate = runtime.acquire_hedge(tried | {attempt.backend.candidate.key})
    if candidate is None:
        return None
    tried.add(candidate.key)
    return runtime.start_attempt(candidate)


async def _first_response(
    runtime: ServiceRuntime, first: Attempt, second: Attempt, exchange: Exchange
) -> tuple[AttemptResult | None, AttemptResult]:
    """Return the result of the first attempt, if it ended, and the one that counts."""
    first_result: AttemptResult | None = None
    last: AttemptResult | None = None
    async with curio.TaskGroup(wait=None) as group:
        first_task = await group.spawn(_run_first, first, exchange)
        await group.spawn(_run_second, runtime, second, exchange)
        async for task in group:
            if task.exception is not None:
                raise task.exception
            result = task.result
            if task is first_task:
                first_result = result
            last = result if last is None else combine_results(last, result)
            if last.outcome is AttemptOutcome.RESPONDED:
                break
        await group.cancel_remaining()
    return first_result, last or AttemptResult(AttemptOutcome.EXPIRED)


async def _run_first(attempt: Attempt, exchange: Exchange) -> AttemptResult:
    result = await attempt.wait_until(exchange, exchange.deadline, True)
    return result or AttemptResult(AttemptOutcome.EXPIRED)


async def _run_second(
    runtime: ServiceRuntime, attempt: Attempt, exchange: Exchange
) -> AttemptResult:
    result: AttemptResult | None = None
    try:
        result = await attempt.start(exchange)
        if result is None:
            result = await attempt.wait_until(exchange, exchange.deadline, True)
        return result or AttemptResult(AttemptOutcome.EXPIRED)
    finally:
        await runtime.finish_attempt(attempt, result)
