"""Performs a long computation while other tasks run."""

from __future__ import annotations

from typing import TypeVar

import curio

from ..core.clock import Clock
from ..core.slices import PAUSE_MS, SlicedComputation, Steps

T = TypeVar("T")


async def run_in_slices(steps: Steps[T], clock: Clock) -> T:
    """Perform a computation in slices and return its result."""
    computation = SlicedComputation(steps, clock)
    while not computation.run_slice():
        await curio.sleep(PAUSE_MS / 1000)
    return computation.get()
