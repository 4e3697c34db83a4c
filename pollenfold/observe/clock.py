"""The monotonic clock of this process."""

from __future__ import annotations

import time

from ..core.clock import Instant


def system_clock() -> Instant:
    """Return the time since the VM started, in milliseconds.

    CLOCK_BOOTTIME advances while the process is stopped by a signal and, unlike
    CLOCK_MONOTONIC, while the VM is suspended, so a lease that ran out meanwhile is
    seen as expired afterwards.
    """
    return Instant(time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6)


def time_of_day_ms() -> int:
    """Return the time in ms since 1970, which may jump forwards and backwards."""
    return int(time.time() * 1000)
