"""Reports the error that ends a process."""

from __future__ import annotations

import traceback
from pathlib import Path

from .clock import system_clock
from .events import EventLog

MAX_FRAMES = 5
"""The innermost frames tell an error of the event loop from one of a task."""


def report_failure(process: str, error: BaseException) -> None:
    """Write one line with the error that ends a process and where it was raised.

    For example, ``event=process_failed detail=KeyError(...)
    at=kernel.py:331,kernel.py:694``, the innermost frame first.
    """
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    places = [f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames]
    log = EventLog(process, system_clock)
    log.state("process_failed", detail=repr(error), at=",".join(reversed(places)))
    log.flush()
