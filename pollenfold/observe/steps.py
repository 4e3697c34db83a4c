"""Steps that run one after another, of which one may fail."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import Any

import curio

RESTART_PAUSE_MS = 100.0

OnFailed = Callable[[str, BaseException], None]
"""Called with the name of a step that failed, and with what it raised."""


async def run_step(
    name: str, on_failed: OnFailed, step: Callable[..., Any], *args: Any
) -> None:
    """Run a function or coroutine function; report what it raises, and return.

    So one that fails doesn't skip the next. Curio's cancellations are no subclass of
    Exception; one of another task, or a timeout of the step's own, that rises through
    the step is a failure as well. Only the cancellation of the calling task is raised,
    and a timeout around the step.
    """
    try:
        result = step(*args)
        if inspect.isawaitable(result):
            await result
    except (Exception, curio.CancelledError) as error:
        if await is_ended_from_outside(error):
            raise
        # A failing log must not end a stop either.
        try:
            on_failed(name, error)
        except Exception:
            return


async def run_again(name: str, on_failed: OnFailed, run: Callable[[], Any]) -> None:
    """Run a coroutine function until cancelled, and again after each error."""
    while True:
        await run_step(name, on_failed, run)
        await curio.sleep(RESTART_PAUSE_MS / 1000)


async def is_ended_from_outside(error: BaseException) -> bool:
    """Return whether the error ends the calling task, or a block around this code."""
    if isinstance(error, curio.TimeoutCancellationError):
        return True
    if not isinstance(error, curio.CancelledError):
        return False
    task = await curio.current_task()
    if isinstance(error, curio.TaskTimeout):
        # Curio raises the same error for a timeout within and around the step. Only in
        # the second case one of the blocks that are still open has expired.
        return any(deadline <= error.args[0] for deadline in task._deadlines)
    return bool(task.cancelled)
