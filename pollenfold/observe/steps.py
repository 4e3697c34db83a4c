"""Steps that run one after another, of which one may fail."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import Any

import curio

OnFailed = Callable[[str, BaseException], None]
"""Called with the name of a step that failed, and with what it raised."""


async def run_step(
    name: str, on_failed: OnFailed, step: Callable[..., Any], *args: Any
) -> None:
    """Run a function or coroutine function; report what it raises, and return.

    So one that fails doesn't skip the next. Curio's cancellations are no subclass of
    Exception; one of another task, or a timeout, that rises through the step is a
    failure as well. Only the cancellation of the calling task is raised.
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


async def is_ended_from_outside(error: BaseException) -> bool:
    """Return whether the error is a cancellation of the calling task itself."""
    if isinstance(error, curio.TimeoutCancellationError):
        return True
    is_cancellation = isinstance(error, curio.CancelledError)
    return is_cancellation and bool((await curio.current_task()).cancelled)
