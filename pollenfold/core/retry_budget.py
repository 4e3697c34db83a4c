"""The budget of retries that all entries together may send to a service.

In any window the entries may send ``ratio`` times the requests for the service plus
``n_extra`` as retries. Each entry computes its own share without messages. What a
process sent is lost with its memory, so the sum must hold while entries end and start
again. An entry therefore uses a share of ``n_extra`` only after it had that share for a
whole window. What it earns by its own requests it may use at once, but not for long:
otherwise processes that end could send the retries of requests from before the window,
in addition to those for the requests of the processes that replace them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

from .allowances import SAFETY_FACTOR, FleetSize, WindowCount, rendezvous_rank
from .clock import Instant, add_ms

_SUBJECT = "retries"
"""Seeds the hash that selects the entries with one more permit than others."""


VALIDITY_SHARE = 1.0 / SAFETY_FACTOR - 1.0
"""How long a retry that was earned by requests may be used, in windows.

The retries of one window come from the requests of the window and of this time before
it. Together they are as many as those of one window without the safety factor."""


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

    ``n_before`` is how many retries this entry had sent in the window, ``share`` that
    number and those that it may still send now.
    """

    is_permitted: bool
    n_before: int
    share: int


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


class _EarnedRetries:
    """The retries that an entry earned by requests and hasn't used.

    For example, at 0.16 retries a request the seventh request earns the first one.
    """

    def __init__(self, n_per_request: float, validity_ms: float) -> None:
        self._n_per_request = n_per_request
        self._validity_ms = validity_ms
        self._fraction = 0.0
        self._earned_at: deque[Instant] = deque()

    def count_request(self, now: Instant) -> None:
        """Earn a part of a retry."""
        n_earned, self._fraction = divmod(self._fraction + self._n_per_request, 1.0)
        self._earned_at.extend([now] * int(n_earned))

    def get(self, now: Instant) -> int:
        """Return how many are still valid."""
        oldest = add_ms(now, -self._validity_ms)
        while self._earned_at and self._earned_at[0] <= oldest:
            self._earned_at.popleft()
        return len(self._earned_at)

    def use(self) -> None:
        """Use the oldest one."""
        self._earned_at.popleft()


class _ServiceCounts:
    """This entry's retries to one service: earned, sent, and taken from the extra."""

    def __init__(self, limits: RetryLimits) -> None:
        self.earned = _EarnedRetries(
            SAFETY_FACTOR * limits.ratio, VALIDITY_SHARE * limits.window_ms
        )
        self.retries = WindowCount(limits.window_ms)
        self.extra = WindowCount(limits.window_ms)


class RetryBudget:
    """This entry's share of the retries to each service.

    Each request earns ``ratio`` retries, reduced by ``SAFETY_FACTOR``, which are valid
    for ``VALIDITY_SHARE`` of the window; in addition there is the entry's share of
    ``n_extra``. For example, with a ratio of 0.2, a window of 10 s, 64 extra retries
    and 16 entries, an entry that receives 10 requests a second may send 0.8 * 0.2 * 10
    = 1.6 retries a second, the 4 of the last 2.5 s at once, and 3 more in any 10 s.

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
        self._counts(service).earned.count_request(now)

    def try_acquire(self, service: str, now: Instant) -> RetryDecision:
        """Count one retry to a service, if this entry's share permits it."""
        counts = self._counts(service)
        n_before = counts.retries.get(now)
        n_earned = counts.earned.get(now)
        n_extra = max(0, self._n_extra.get(now) - counts.extra.get(now))
        share = n_before + n_earned + n_extra
        is_permitted = share > n_before
        if is_permitted:
            counts.retries.add(now)
            if n_earned:
                counts.earned.use()
            else:
                counts.extra.add(now)
        return RetryDecision(is_permitted, n_before, share)

    def _counts(self, service: str) -> _ServiceCounts:
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _ServiceCounts(self._limits)
        return counts
