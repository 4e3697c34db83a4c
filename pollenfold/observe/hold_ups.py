"""Logs how long an event loop was held up, and by what."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock, Instant, add_ms

NOTICEABLE_MS = 100.0
"""A heartbeat interval; several of them in a row let followers elect another leader."""

LOG_INTERVAL_MS = 1_000.0

OnHeldUp = Callable[[str, float], None]
"""Called with a cause and the longest time that it held the loop up."""


class HoldUps:
    """Reports hold-ups of the event loop by their cause, at most once a second each.

    A report has the longest one since the report before. For example, ``sync`` is a
    write to a slow disk, and ``loop`` any other delay, such as a long computation or a
    busy VM.
    """

    def __init__(self, clock: Clock, on_held_up: OnHeldUp) -> None:
        self._clock = clock
        self._on_held_up = on_held_up
        self._next_report_at: dict[str, Instant] = {}
        self._longest_ms: dict[str, float] = {}

    def record(self, cause: str, duration_ms: float) -> None:
        """Record how long the loop was held up by a cause."""
        if duration_ms < NOTICEABLE_MS:
            return
        longest_ms = max(duration_ms, self._longest_ms.get(cause, 0.0))
        self._longest_ms[cause] = longest_ms
        now = self._clock()
        if now >= self._next_report_at.get(cause, now):
            self._next_report_at[cause] = add_ms(now, LOG_INTERVAL_MS)
            del self._longest_ms[cause]
            self._on_held_up(cause, longest_ms)
