"""The monotonic clock of this process."""

from __future__ import annotations

import time

from ..core.clock import Instant


def system_clock() -> Instant:
    """Return the monotonic time in milliseconds.

    The clock goes on while the process is stopped by a signal, so a lease that ran
    out during that time is seen as expired afterwards.
    """
    return Instant(time.monotonic_ns() / 1e6)
