"""Long computations in slices, between which the one loop does other work.

Such a computation is a generator that yields after each small step and returns its
result at the end.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Generic, TypeVar

from .clock import Clock, add_ms

T = TypeVar("T")
Steps = Generator[None, None, T]

SLICE_MS = 2.0
PAUSE_MS = 2.0
"""After each slice other tasks run for at least this long, so that a computation takes
at most half of the process's time and delays a request by little more than a slice."""

MIN_STEPS = 256
"""A slice has at least this many steps, so that a short computation always ends in the
first one, even while the machine is busy."""


class SlicedComputation(Generic[T]):
    """A computation that was started and its result, once there is one."""

    def __init__(self, steps: Steps[T], clock: Clock) -> None:
        self._steps = steps
        self._clock = clock
        self._results: list[T] = []

    def run_slice(self) -> bool:
        """Perform one slice; return whether the computation is complete.

        Exceptions of the computation are passed on.
        """
        end_at = add_ms(self._clock(), SLICE_MS)
        n_steps = 0
        try:
            while n_steps < MIN_STEPS or self._clock() < end_at:
                next(self._steps)
                n_steps += 1
        except StopIteration as stop:
            self._results.append(stop.value)
            return True
        return False

    def get(self) -> T:
        """Return the result of a complete computation."""
        return self._results[0]


def run_at_once(steps: Steps[T]) -> T:
    """Perform a computation without pauses and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: T = stop.value
            return result


def in_one_step(function: Callable[[str], T]) -> Callable[[str], Steps[T]]:
    """Return a computation of a single step that calls the function."""

    def steps(text: str) -> Steps[T]:
        yield
        return function(text)

    return steps
