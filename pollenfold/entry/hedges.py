"""Hedged attempts of idempotent requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import curio

from ..core.clock import Clock, Instant, add_ms
from ..core.retries import AttemptOutcome
from .attempts import Attempt, AttemptResult, Exchange

if TYPE_CHECKING:
    from .services import ServiceRuntime


async def race(
    runtime: ServiceRuntime,
    attempt: Attempt,
    exchange: Exchange,
    tried: set[str],
    has_lease: Callable[[], bool],
    clock: Clock,
) -> AttemptResult:
    """Run an attempt, and a second one at another server when it takes long.

    Without a lease no second attempt starts.

    The first whole response wins; the connection of the other attempt is closed, so
    that its late response reaches nobody. Raise CallerGone when the caller left.
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
        if has_lease():
            second = _second_attempt(runtime, attempt, exchange.deadline, tried, clock)
        if second is None:
            result = await attempt.wait_until(exchange, exchange.deadline, True)
            if result is None:
                result = AttemptResult(AttemptOutcome.EXPIRED)
            return result
        return await _first_response(runtime, attempt, second, exchange)
    finally:
        await runtime.finish(attempt, result)


def _second_attempt(
    runtime: ServiceRuntime,
    attempt: Attempt,
    deadline: Instant,
    tried: set[str],
    clock: Clock,
) -> Attempt | None:
    if clock() >= deadline:
        return None
    candidate = runtime.acquire_hedge(tried | {attempt.backend.candidate.key})
    if candidate is None:
        return None
    return runtime.begin(candidate)


async def _first_response(
    runtime: ServiceRuntime, first: Attempt, second: Attempt, exchange: Exchange
) -> AttemptResult:
    last = AttemptResult(AttemptOutcome.EXPIRED)
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(_run_first, first, exchange)
        await group.spawn(_run_second, runtime, second, exchange)
        async for task in group:
            if task.exception is not None:
                raise task.exception
            last = task.result
            if last.outcome is AttemptOutcome.RESPONDED:
                break
        await group.cancel_remaining()
    return last


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
        await runtime.finish(attempt, result)
