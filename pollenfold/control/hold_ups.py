"""Logs what keeps a replica from sending and answering heartbeats."""

from __future__ import annotations

from loguru import logger

from ..core.clock import Clock, Instant, add_ms

NOTICEABLE_MS = 100.0
"""A heartbeat interval; several of them in a row let followers elect another leader."""

LOG_INTERVAL_MS = 1_000.0


class HoldUps:
    """Logs hold-ups of the event loop by their cause, at most one line a second each.

    A line has the longest one since the line before. For example, ``sync`` is a write
    to a slow disk, and ``loop`` any other delay, such as a long computation or a busy
    VM.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_log_at: dict[str, Instant] = {}
        self._longest_ms: dict[str, float] = {}

    def record(self, cause: str, duration_ms: float) -> None:
        """Record how long the loop was held up by a cause."""
        if duration_ms < NOTICEABLE_MS:
            return
        longest_ms = max(duration_ms, self._longest_ms.get(cause, 0.0))
        self._longest_ms[cause] = longest_ms
        now = self._clock()
        if now >= self._next_log_at.get(cause, now):
            self._next_log_at[cause] = add_ms(now, LOG_INTERVAL_MS)
            del self._longest_ms[cause]
            logger.warning(
                "event=held_up cause={} longest_ms={:.1f}", cause, longest_ms
            )
