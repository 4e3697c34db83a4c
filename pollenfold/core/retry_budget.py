"""The budget of retries that all entries together may send to a service.

In any window the entries may send ``ratio`` times the requests for the service plus
``n_extra`` as retries. Each entry computes its own share without messages. What a
process sent is lost with its memory, so an entry uses a share of ``n_extra`` only after
it had that share for a whole window, and its sum holds while entries end and start
again. The part for an entry's own requests has no such delay and may exceed its sum
when most entries end shortly after servers began to fail (KNOWN-RED.txt).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

from .allowances import SAFETY_FACTOR, FleetSize, WindowCount, rendezvous_rank
from .clock import Instant, add_ms

_SUBJECT = "retries"
"""Seeds the hash that selects the entries with one more permit than others."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits the retries that all entries together may send to one service.

    In any window of ``window_ms`` the limit is ``ratio`` times the requests for the
    service, plus ``n_extra``.
    """

    ratio: float
    n_extra: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a retry is permitted, and what decided it.

    ``n_before`` is how many retries this entry had sent in the window, ``share`` how
    many it may send.
    """

    is_permitted: bool
    n_before: int
    share: float


class SettledMinimum:
    """The smallest value that was recorded or in force in the last ``window_ms``.

    The value is 0 before the first record. For example, with a window of 10 s, a value
    of 3 that is recorded at 5 s is returned from 15 s on.
    """

    def __init__(self, window_ms: float, now: Instant) -> None:
        self._window_ms = window_ms
        self._values: deque[tuple[int, Instant]] = deque([(0, now)])
        """Values in ascending order, with the last instant at which each was in force.
        The last one is in force now."""

    def record(self, value: int, now: Instant) -> None:
        """Record the value that is in force from now on."""
        values = self._values
        values[-1] = (values[-1][0], now)
        while values and values[-1][0] >= value:
            values.pop()
        values.append((value, now))

    def get(self, now: Instant) -> int:
        """Return the smallest value in the window that ends now."""
        oldest = add_ms(now, -self._window_ms)
        values = self._values
        while len(values) > 1 and values[0][1] < oldest:
            values.popleft()
        return values[0][0]


def n_extra_permits(
    n_extra: float, entry_id: str, entry_ids: frozenset[str], n_entries: int
) -> int:
    """Return this entry's share of the extra retries, in whole retries.

    All get the same number. The remainder goes to the entries that rendezvous hashing
    ranks first, one retry for each, so that a limit below one retry for each entry is
    still used. Entries with different directories select different entries; at most
    half of what the equal shares leave is therefore given out in this way.
    """
    n_entries = max(n_entries, len(entry_ids), 1)
    n_each, n_remaining = divmod(int(SAFETY_FACTOR * n_extra), n_entries)
    if entry_id not in entry_ids:
        return n_each
    n_selected = min(n_remaining, int((n_extra - n_each * n_entries) / 2))
    return n_each + int(rendezvous_rank(entry_id, entry_ids, _SUBJECT) < n_selected)


class _ServiceCounts:
    """This entry's requests and retries to one service in the window."""

    def __init__(self, window_ms: float) -> None:
        self.requests = WindowCount(window_ms)
        self.retries = WindowCount(window_ms)


class RetryBudget:
    """This entry's share of the retries to each service.

    The share is ``ratio`` times the entry's own requests, reduced by ``SAFETY_FACTOR``,
    plus its share of ``n_extra``. For example, with a ratio of 0.2, 64 extra retries
    and 16 entries, an entry that received 100 requests in the window may send 0.8 * 20
    + 3 = 19 retries.

    An entry uses the smallest share of ``n_extra`` that it had in the last window. So
    the retries of all entries in a window are at most the shares at the start of that
    window, which add up to the limit: an entry that started later had none then, and
    one that ended since leaves its share unused until the window has passed.
    """

    def __init__(self, limits: RetryLimits, entry_id: str, now: Instant) -> None:
        self._limits = limits
        self._entry_id = entry_id
        self._n_extra = SettledMinimum(limits.window_ms, now)
        self._division: tuple[frozenset[str], int] | None = None
        self._n_permits = 0
        """The share of the extra retries by the present division, not yet settled."""

        self._services: dict[str, _ServiceCounts] = {}

    def update_share(
        self, fleet: FleetSize, entry_ids: frozenset[str], now: Instant
    ) -> None:
        """Divide the extra retries anew; call it far more often than once a window.

        An entry that wasn't told the number of entries for some time has no share,
        since the others may have divided it among themselves.
        """
        division = (entry_ids, fleet.get(now))
        if division != self._division:
            self._division = division
            self._n_permits = n_extra_permits(
                self._limits.n_extra, self._entry_id, *division
            )
        self._n_extra.record(self._n_permits if fleet.is_current(now) else 0, now)

    def retain(self, services: Container[str]) -> None:
        """Drop the counts of services that the configuration lacks."""
        self._services = {k: v for k, v in self._services.items() if k in services}

    def count_request(self, service: str, now: Instant) -> None:
        """Count one request of a caller for a service."""
        self._counts(service).requests.add(now)

    def try_acquire(self, service: str, now: Instant) -> RetryDecision:
        """Count one retry to a service, if this entry's share permits it."""
        counts = self._counts(service)
        n_before = counts.retries.get(now)
        from_requests = SAFETY_FACTOR * self._limits.ratio * counts.requests.get(now)
        share = from_requests + self._n_extra.get(now)
        is_permitted = n_before + 1 <= share
        if is_permitted:
            counts.retries.add(now)
        return RetryDecision(is_permitted, n_before, share)

    def _counts(self, service: str) -> _ServiceCounts:
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts(self._limits.window_ms)
        return counts
