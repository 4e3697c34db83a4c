"""Notices when a group of replicas has no leader any more."""

from __future__ import annotations

from loguru import logger

from ..core.agreement.consensus import State, is_leader
from ..core.clock import Clock, add_ms

NO_LEADER_LOG_MS = 3_000.0
"""After how long without a leader this is logged; an election takes less."""


class LeaderWatch:
    """Remembers when a replica last knew a leader with a majority.

    For example, call ``update`` at each tick; it writes one line when the leader is
    missing for ``NO_LEADER_LOG_MS``, with the voters of whom a majority is needed, and
    one when there is a leader again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._led_at = clock()
        self._is_missing = False

    def has_leader(self) -> bool:
        """Return whether a leader was known within ``NO_LEADER_LOG_MS``."""
        return self._clock() < add_ms(self._led_at, NO_LEADER_LOG_MS)

    def update(self, state: State) -> None:
        """Record what the replica knows now, and log a change."""
        now = self._clock()
        led_at = now if is_leader(state, now) else state.leader_contact_at
        self._led_at = max(self._led_at, led_at)
        was_missing, self._is_missing = self._is_missing, not self.has_leader()
        if self._is_missing != was_missing:
            logger.warning(
                "event={} replica={} silent_ms={:.0f} voters={}",
                "leader_missing" if self._is_missing else "leader_found",
                state.replica_id,
                now - self._led_at,
                ",".join(sorted(state.voters)),
            )
