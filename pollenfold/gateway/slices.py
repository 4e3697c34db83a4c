"""Performs a long computation while other tasks run."""

from __future__ import annotations

from typing import TypeVar

import curio

from ..core.clock import Clock
from ..core.slices import SlicedComputation, Steps

T = TypeVar("T")


async def run_in_slices(steps: Steps[T], clock: Clock) -> T:
    """Perform a computation in slices and return its result.

    Between slices all other tasks that are ready run once.
    """
    computation = SlicedComputation(steps, clock)
    while not computation.run_slice():
        await curio.sleep(0)
    return computation.get()
