"""Counts and logs the connections that were closed since their callers read slowly."""

from __future__ import annotations

from ..core.clock import Clock, Instant, add_ms
from ..http.caller_outputs import ClosedOutput
from ..observe.events import EventLog
from ..observe.exposition import Metrics

LOG_INTERVAL_MS = 1_000.0
"""The least time between two log lines, so that many slow callers don't displace the
lines of other requests."""


class SlowCallerReport:
    """Reports closed connections; one line stands for all since the line before."""

    def __init__(self, metrics: Metrics, log: EventLog, clock: Clock) -> None:
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._n_unlogged = 0
        self._next_line_at = Instant(0.0)

    def record(self, closed: ClosedOutput) -> None:
        """Count a closed connection, and log it unless one was just logged."""
        self._metrics.count("callers_stalled_total", reason=closed.reason)
        self._n_unlogged += 1
        now = self._clock()
        if now < self._next_line_at:
            return
        self._next_line_at = add_ms(now, LOG_INTERVAL_MS)
        n_closed, self._n_unlogged = self._n_unlogged, 0
        pending = closed.pending
        self._log.state(
            "caller_stalled",
            reason=closed.reason,
            peer=closed.peer,
            unsent_bytes=pending.n_unsent_bytes,
            held_bytes=pending.n_held_bytes,
            long=pending.is_long,
            rate_per_s="unknown" if pending.rate_per_s is None else pending.rate_per_s,
            stalled_ms=pending.stalled_ms,
            n=n_closed,
        )
