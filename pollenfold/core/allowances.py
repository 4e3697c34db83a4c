"""Limits on the sum over all entries, divided into one share per entry.

A partitioned entry also stays within its share, so the sum holds during network
partitions. A share is the limit divided by the largest recently reported number of
entries.
"""

from __future__ import annotations

from collections import deque
from math import ceil

import xxhash

from .clock import Instant, add_ms

SAFETY_FACTOR = 0.8
"""Fraction of a limit that is used, since entries may learn late of new entries."""

FLEET_SIZE_WINDOW_MS = 30_000.0
"""How long an entry that is no longer reported still counts in the divisor.

It may be partitioned from control and still use its share."""

UNKNOWN_FLEET_SIZE = 64
"""Keeps the share of an entry small until the number of entries is known."""


RATE_WINDOW_MS = 5_000.0
MIN_RATE_MS = 500.0
"""The shortest time over which a rate is computed, so that the first events don't
count as a high rate."""


class FleetSize:
    """The largest number of entries that was reported recently."""

    def __init__(self) -> None:
        self._reports: deque[tuple[Instant, int]] = deque()

    def report(self, n_entries: int, now: Instant) -> None:
        """Record the number of entries that a control replica reports."""
        while self._reports and self._reports[-1][1] <= n_entries:
            self._reports.pop()
        self._reports.append((now, n_entries))

    def is_current(self, now: Instant) -> bool:
        """Return whether a number was reported within ``FLEET_SIZE_WINDOW_MS``."""
        oldest = add_ms(now, -FLEET_SIZE_WINDOW_MS)
        return bool(self._reports) and self._reports[-1][0] >= oldest

    def get(self, now: Instant) -> int:
        """Return the divisor; ``UNKNOWN_FLEET_SIZE`` before the first report."""
        oldest = add_ms(now, -FLEET_SIZE_WINDOW_MS)
        while len(self._reports) > 1 and self._reports[0][0] < oldest:
            self._reports.popleft()
        return max(1, self._reports[0][1]) if self._reports else UNKNOWN_FLEET_SIZE


class WindowCount:
    """The number of events in a sliding window of ``window_ms``."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._instants: deque[Instant] = deque()

    def add(self, now: Instant) -> None:
        """Count one event."""
        self._instants.append(now)

    def get(self, now: Instant) -> int:
        """Return the number of events in the window that ends now."""
        oldest = add_ms(now, -self._window_ms)
        instants = self._instants
        while instants and instants[0] <= oldest:
            instants.popleft()
        return len(instants)


class RequestRate:
    """The rate of events over the last ``RATE_WINDOW_MS``, or since the first one."""

    def __init__(self, now: Instant) -> None:
        self._started_at = now
        self._count = WindowCount(RATE_WINDOW_MS)

    def add(self, now: Instant) -> None:
        """Count one event."""
        self._count.add(now)

    def get(self, now: Instant) -> float:
        """Return the events per second."""
        elapsed_ms = min(RATE_WINDOW_MS, max(now - self._started_at, MIN_RATE_MS))
        return 1000 * self._count.get(now) / elapsed_ms


def cold_rate_limit(rate_per_s: float, burst_factor: float, slack: float) -> float:
    """Return how many requests a cold endpoint may receive in any one second.

    ``burst_factor`` multiplies the configured rate, and ``slack`` is a number of
    requests allowed in addition.
    """
    return rate_per_s * burst_factor + slack


def n_cold_permits(
    limit_per_s: float,
    entry_id: str,
    entry_ids: frozenset[str],
    endpoint_id: str,
    n_entries: int,
) -> int:
    """Return how many requests this entry may send to a cold endpoint in a second.

    If there are more entries than permitted requests, rendezvous hashing selects the
    entries that may send one request each. Entries with different directories select
    different entries, so only half of the limit is distributed in this way.
    """
    n_permits = int(SAFETY_FACTOR * limit_per_s / max(n_entries, len(entry_ids), 1))
    if n_permits:
        return n_permits
    n_selected = int(limit_per_s / 2)
    if entry_id not in entry_ids:
        return 0
    return int(rendezvous_rank(entry_id, entry_ids, endpoint_id) < n_selected)


def divide_permits(
    n_permits: int,
    entry_id: str,
    entry_ids: frozenset[str],
    subject: str,
    n_entries: int,
) -> int:
    """Return this entry's share of a whole number of permits for a subject.

    All get the same number, and the remainder goes to the entries that rendezvous
    hashing ranks first. Entries with the same directory never exceed the total
    together. An entry that isn't in its own directory gets none, as others don't count
    it.

    An entry whose directory lacks some of the ``n_entries`` ranks itself too high, so
    only the part of the remainder that its directory stands for is given out in it.
    For example, of 12 permits 6 go to the entries of a directory with 156 of 312.
    """
    if entry_id not in entry_ids:
        return 0
    n_total = max(n_entries, len(entry_ids))
    n_each, n_remaining = divmod(n_permits, n_total)
    if not n_remaining:
        return n_each
    n_selected = ceil(n_remaining * len(entry_ids) / n_total)
    rank = rendezvous_rank(entry_id, entry_ids, subject)
    return n_each + int(rank < n_selected)


def rendezvous_rank(entry_id: str, entry_ids: frozenset[str], subject: str) -> int:
    """Return how many entries rendezvous hashing ranks before this one."""
    own = _rendezvous(entry_id, subject)
    return sum(_rendezvous(other, subject) < own for other in entry_ids)


def _rendezvous(entry_id: str, endpoint_id: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{entry_id} {endpoint_id}".encode()))
