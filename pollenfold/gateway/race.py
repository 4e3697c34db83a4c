"""Two attempts of one request at the same time, of which one response is used."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.outcomes import AttemptOutcome
from ..http.messages import Response
from .balancer import Balancer
from .calls import Call
from .pick import Pick

SendResult = tuple[AttemptOutcome, Response | None]

Runner = Callable[[Call, Pick], Awaitable[SendResult]]
"""Sends a request to a selected endpoint, as ``EndpointAttempts.send`` does."""

Selector = Callable[[Callable[[], bool]], Awaitable[Pick | None]]
"""Selects the endpoint of a second attempt, or none. Its argument returns whether the
attempt is still wanted."""


@dataclass(slots=True)
class _Run:
    """One attempt. ``pick`` is None until its endpoint is selected."""

    call: Call
    n_earlier_attempts: int
    pick: Pick | None = None
    task: curio.Task | None = None
    result: SendResult | None = None
    error: Exception | None = None
    is_ended: bool = False
    is_cancelled: bool = False
    is_unwanted: bool = False
    """Whether nobody waits for its result any more."""

    @property
    def is_in_exchange(self) -> bool:
        """Whether it waits for its endpoint; later it only records what it saw."""
        is_recorded = len(self.call.attempts) > self.n_earlier_attempts
        return self.pick is not None and not self.is_ended and not is_recorded

    @property
    def has_responded(self) -> bool:
        """Whether its response can be passed on."""
        if self.result is None:
            return False
        outcome, response = self.result
        return outcome is AttemptOutcome.RESPONDED and response is not None


class Race:
    """The attempts of one request. ``end`` must be awaited, whatever happened."""

    def __init__(self, send: Runner, balancer: Balancer, clock: Clock) -> None:
        self._send = send
        self._balancer = balancer
        self._clock = clock
        self._changed = curio.Event()
        self._started_at = Instant(0.0)
        self._first: _Run | None = None
        self._second: _Run | None = None
        self._winner: _Run | None = None

    # State

    @property
    def is_first_sent(self) -> bool:
        """Whether the first endpoint has got the whole request."""
        return self._first is not None and self._first.call.sent_at >= self._started_at

    @property
    def is_first_waiting(self) -> bool:
        """Whether the first attempt still waits for its endpoint."""
        return self._first is not None and self._first.is_in_exchange

    @property
    def second_call(self) -> Call | None:
        """The copy of the call that the second attempt works on, once it started."""
        return None if self._second is None else self._second.call

    @property
    def second_pick(self) -> Pick | None:
        """The endpoint to which the second attempt was sent."""
        return None if self._second is None else self._second.pick

    @property
    def is_searching(self) -> bool:
        """Whether the endpoint of the second attempt is still being selected."""
        second = self._second
        return second is not None and second.pick is None and not second.is_ended

    @property
    def has_first_won(self) -> bool:
        """Whether the response of the first attempt is used."""
        return self._winner is not None and self._winner is self._first

    @property
    def n_earlier_attempts(self) -> int:
        """The number of attempts of the call before those of the race."""
        return 0 if self._first is None else self._first.n_earlier_attempts

    @property
    def second_end(self) -> str:
        """How the second attempt ended: won or lost, or without any response."""
        if self._winner is None:
            is_cancelled = self._second is not None and self._second.is_cancelled
            return "abandoned" if is_cancelled else "failed"
        return "lost" if self.has_first_won else "won"

    # Attempts

    async def start(self, call: Call, pick: Pick) -> None:
        """Start the first attempt."""
        self._started_at = self._clock()
        self._first = run = _Run(call, len(call.attempts), pick)
        run.task = await curio.spawn(self._run, run, None, daemon=True)

    async def start_second(self, call: Call, select: Selector) -> None:
        """Select the endpoint of the second attempt, and start it there."""
        self._second = run = _Run(call, len(call.attempts))
        run.task = await curio.spawn(self._run, run, select, daemon=True)

    async def _run(self, run: _Run, select: Selector | None) -> None:
        try:
            pick = run.pick
            if select is not None and not run.is_unwanted:
                pick = await select(lambda: not run.is_unwanted)
            if pick is not None and run.is_unwanted:
                await self._balancer.release(pick.endpoint, pick.connection)
            elif pick is not None:
                run.pick = pick
                run.result = await self._send(run.call, pick)
        except Exception as error:
            run.error = error
        except curio.CancelledError:
            # Re-raised, its traceback would keep the attempts' objects in memory.
            run.is_cancelled = True
        finally:
            run.is_ended = True
            if run.is_unwanted:
                await _discard(run)
            await self._changed.set()

    async def wait_for_first(self, delay_ms: float) -> bool:
        """Wait for the first attempt; return False if it takes longer than the delay.

        The delay counts from when its request was sent.
        """
        assert self._first is not None
        until = add_ms(self._clock(), delay_ms)
        while not self._first.is_ended:
            left_ms = remaining_ms(until, self._clock())
            if left_ms <= 0.0:
                sent_until = add_ms(self._first.call.sent_at, delay_ms)
                if not self.is_first_sent or sent_until <= self._clock():
                    return False
                until = sent_until
                continue
            async with curio.ignore_after(left_ms / 1000):
                await self._changed.wait()
        return True

    async def result(self) -> SendResult:
        """Return the first response, or what counts after all attempts failed.

        Raise the error of an attempt, as when the caller is gone.
        """
        assert self._first is not None
        first, second = self._first, self._second
        while True:
            self._changed.clear()
            runs = [first] if second is None else [first, second]
            for run in runs:
                if run.error is not None:
                    raise run.error
            for run in runs:
                if run.has_responded and run.result is not None:
                    self._winner = run
                    result, run.result = run.result, None
                    return result
            # Without its endpoint the second one is no attempt yet: a retry follows.
            is_alone = second is None or second.is_ended or second.pick is None
            if first.is_ended and is_alone:
                return _combined(first, second)
            await self._changed.wait()

    async def end(self) -> None:
        """Break off the attempts that still run, except for what they record.

        A search for an endpoint isn't broken off, since it holds connections. It
        releases what it finds.
        """
        for run in (self._first, self._second):
            if run is None or run is self._winner:
                continue
            run.is_unwanted = True
            if run.is_ended:
                await _discard(run)
            elif run.is_in_exchange and run.task is not None:
                # A task that hasn't run yet runs first, and releases its connection.
                await run.task.cancel()
                self._record_cancelled(run)

    def _record_cancelled(self, run: _Run) -> None:
        """Let the log say that an attempt was broken off, which is no failure.

        An attempt whose response arrived at the same moment has ended by itself.
        """
        is_recorded = len(run.call.attempts) > run.n_earlier_attempts
        if self._winner is not None and run.is_cancelled and is_recorded:
            run.call.attempts[-1].outcome = AttemptOutcome.CANCELLED


async def _discard(run: _Run) -> None:
    """Release a response that reaches nobody; one that streams holds a connection."""
    result, run.result = run.result, None
    if result is not None and result[1] is not None:
        remaining_body = result[1].remaining_body
        if remaining_body is not None and result[0] is AttemptOutcome.RESPONDED:
            await remaining_body.close()


def _combined(first: _Run, second: _Run | None) -> SendResult:
    """Return the result after all attempts failed.

    An attempt that ended at the deadline takes precedence, then the second attempt.
    """
    results = [
        run.result
        for run in (first, second)
        if run is not None and run.result is not None
    ]
    for result in results:
        if result[0] is AttemptOutcome.EXPIRED:
            return result
    return results[-1] if results else (AttemptOutcome.LOST, None)
