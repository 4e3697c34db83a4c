"""Reports the error that ends a process."""

from __future__ import annotations

import traceback
from pathlib import Path

from .clock import system_clock
from .error_text import error_text
from .events import EventLog

MAX_FRAMES = 5
"""The innermost frames tell an error of the event loop from one of a task."""


def report_failure(process: str, error: BaseException) -> None:
    """Write one line with the error that ends a process and where it was raised.

    For example, ``event=process_failed detail=KeyError(...)
    at=kernel.py:331,kernel.py:694``, the innermost frame first. If the error was raised
    while another one was handled, ``first`` and ``first_at`` describe the first one:
    the event loop raises further errors while it shuts down.
    """
    fields = {"detail": error_text(error), "at": _places(error)}
    first = error
    while first.__context__ is not None:
        first = first.__context__
    if first is not error:
        fields |= {"first": error_text(first), "first_at": _places(first)}
    log = EventLog(process, system_clock)
    log.state("process_failed", **fields)
    log.flush()


def _places(error: BaseException) -> str:
    """Return the innermost frames of an error, the innermost one first."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    places = [f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames]
    return ",".join(reversed(places))
