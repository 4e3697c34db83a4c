"""How long ago a roll-out was ordered, as one process knows it.

The time of day may jump, so a process measures with its monotonic clock from when it
applied the order. That is right only if it applied the order when it was given: after a
restart, a pause or a partition it applies orders late, and takes their age from the
time of day.
"""

from __future__ import annotations

from ..clock import Instant, add_ms
from .state import Rollout

STEADY_MS = 1_000.0
"""A process that was in contact with the leader for this long applies new orders at
once. After a restart it takes less to catch up with the log."""

MAX_GAP_MS = 500.0
"""The longest time between two checks of the contact. More means that the process was
paused."""


class OrderAges:
    """The time since the order of each roll-out.

    The owner calls ``record_contact`` several times a second.
    """

    def __init__(self) -> None:
        self._ordered_at: dict[str, tuple[int, Instant]] = {}
        """By service, the index of the order and when it was given."""

        self._steady_since: Instant | None = None
        self._checked_at: Instant | None = None

    def record_contact(self, has_contact: bool, now: Instant) -> None:
        """Record whether this process leads or is in contact with the leader."""
        was_paused = self._was_paused(now)
        self._checked_at = now
        if not has_contact:
            self._steady_since = None
        elif self._steady_since is None or was_paused:
            self._steady_since = now

    def _was_paused(self, now: Instant) -> bool:
        return self._checked_at is None or now > add_ms(self._checked_at, MAX_GAP_MS)

    def _is_steady(self, now: Instant) -> bool:
        if self._steady_since is None or self._was_paused(now):
            return False
        return now >= add_ms(self._steady_since, STEADY_MS)

    def record_order(
        self, rollout: Rollout, now: Instant, time_of_day_ms: float
    ) -> None:
        """Record a roll-out that was applied just now."""
        age_ms = 0.0
        if not self._is_steady(now):
            age_ms = _age_by_time_of_day(rollout, time_of_day_ms)
        self._record(rollout, add_ms(now, -age_ms))

    def elapsed_ms(
        self, rollout: Rollout, now: Instant, time_of_day_ms: float
    ) -> float:
        """Return the time since the order of a roll-out."""
        known = self._ordered_at.get(rollout.service)
        if known is None or known[0] != rollout.order_index:
            age_ms = _age_by_time_of_day(rollout, time_of_day_ms)
            self._record(rollout, add_ms(now, -age_ms))
            return age_ms
        return now - known[1]

    def _record(self, rollout: Rollout, ordered_at: Instant) -> None:
        self._ordered_at[rollout.service] = (rollout.order_index, ordered_at)

    def forget_all_but(self, services: set[str]) -> None:
        """Forget the roll-outs of services that have none any more."""
        for service in self._ordered_at.keys() - services:
            del self._ordered_at[service]


def _age_by_time_of_day(rollout: Rollout, time_of_day_ms: float) -> float:
    age_ms = time_of_day_ms - rollout.ordered_at_ms
    return min(max(age_ms, 0.0), float(rollout.duration_ms))
