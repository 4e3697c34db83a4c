"""Limits that hold for the sum over all entries, each with its own part.

An entry that can't reach the others keeps to its part all the same, so the sum holds
during partitions. The part is the limit divided by the number of entries, for which
the largest number seen lately is taken.
"""

from __future__ import annotations

from collections import deque

import xxhash

from .clock import Instant, add_ms

SAFETY_SHARE = 0.8
"""The share of a limit that is used, because entries may count each other late."""

FLEET_MEMORY_MS = 30_000.0
"""How long an entry that is no longer seen still counts for the division.

It may be cut off from control and go on with its part."""


UNKNOWN_FLEET_SIZE = 64
"""Keeps the part of an entry small until it knows how many there are."""


class FleetSize:
    """The number of entries, as the largest one reported lately."""

    def __init__(self) -> None:
        self._reports: deque[tuple[Instant, int]] = deque()

    def report(self, n_entries: int, now: Instant) -> None:
        """Take the number of entries that a control replica sees."""
        while self._reports and self._reports[-1][1] <= n_entries:
            self._reports.pop()
        self._reports.append((now, n_entries))

    def get(self, now: Instant) -> int:
        """Return the number to divide by; many while nobody reported one."""
        oldest = add_ms(now, -FLEET_MEMORY_MS)
        while len(self._reports) > 1 and self._reports[0][0] < oldest:
            self._reports.popleft()
        return max(1, self._reports[0][1]) if self._reports else UNKNOWN_FLEET_SIZE


class WindowCount:
    """The number of events of the last ``window_ms``, which slides."""

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


class RetryAllowance:
    """This entry's part of the extra sends that one service may get.

    In any window all entries together may send ``ratio`` times the requests for the
    service and ``n_extra`` more. An entry adds ``ratio`` of its own requests to its
    part of ``n_extra``. For example, with 0.2, 64 and 16 entries an entry that took
    100 requests in the window may send 0.8 * (20 + 4) = 19 extra ones.
    """

    def __init__(self, ratio: float, n_extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._n_extra = n_extra
        self._requests = WindowCount(window_ms)
        self._extra = WindowCount(window_ms)

    def count_request(self, now: Instant) -> None:
        """Count a caller's request for the service."""
        self._requests.add(now)

    def take(self, n_entries: int, now: Instant) -> bool:
        """Count one extra send if the part allows it."""
        part = self._ratio * self._requests.get(now) + self._n_extra / n_entries
        if self._extra.get(now) + 1 > SAFETY_SHARE * part:
            return False
        self._extra.add(now)
        return True


def cold_rate_limit(rate_per_s: float, burst_factor: float, slack: float) -> float:
    """Return the requests that a cold endpoint bears in any one second."""
    return rate_per_s * burst_factor + slack


def n_cold_permits(
    limit_per_s: float,
    entry_id: str,
    entry_ids: frozenset[str],
    endpoint_id: str,
    n_entries: int,
) -> int:
    """Return how many requests this entry may send to a cold endpoint in a second.

    With more entries than the endpoint bears requests, a rendezvous hash selects the
    entries that may send one each. Entries that see different directories select
    different ones, so only half of the limit is given out in this way.
    """
    n_each = int(SAFETY_SHARE * limit_per_s / max(n_entries, len(entry_ids), 1))
    if n_each:
        return n_each
    n_selected = int(limit_per_s / 2)
    selected = sorted(entry_ids, key=lambda k: _rendezvous(k, endpoint_id))
    return int(entry_id in selected[:n_selected])


def _rendezvous(entry_id: str, endpoint_id: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{entry_id} {endpoint_id}".encode()))
