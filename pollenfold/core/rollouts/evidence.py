"""Whether a target version is worse than the old one, from counts of responses.

For each route, and for all routes together, the failed and the slow responses of both
versions are compared by a sequential test. It is the ratio of two likelihoods of the
target's responses: that of a mixture of hypotheses in which a bad version spoils a
share of them, and that of the share of bad responses that the old version shows. If
that share is exact and responses are independent, the ratio for a good version exceeds
a bound 1/a at any time with a probability of at most a (Ville's inequality), so it may
be evaluated after each report. The comparisons divide this probability by weights.
The share is estimated from many more responses than the target has, one standard
deviation high.

A version may turn bad late, so comparisons begin anew at regular times. An endpoint
that ends loses several requests at once, so bad responses must also spread in time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import exp, inf, log, sqrt

from ..clock import Instant, add_ms

FALSE_ALARM_RATE = 2e-4
"""The largest probability that a version which is as good as the old one is ever called
bad. ``tests/core/rollouts/test_evidence.py`` states the rate of misses by load."""

DOUBT_RATE = 2e-2
"""The same for a version that is called doubtful."""

EXCESS_SHARES = (0.2, 0.3, 0.45, 0.6)
"""The hypotheses on a bad version: it spoils this share of the responses that the old
version answers well."""

N_ASSUMED_BAD = 1
N_ASSUMED = 20
"""Responses of the old version that are assumed in addition to those counted, so that
a share of bad responses isn't taken for 0 after a few good ones."""

MAX_COMMON_SHARE = 0.95
"""The largest share of bad responses assumed for the old version. With 1 the logarithms
of the likelihoods would be undefined."""

SLOT_MS = 250.0
"""Somewhat more than the interval of the reports, in which the losses of one endpoint
that ends arrive."""

MIN_BAD_SLOTS = 3
MIN_BAD_SLOTS_OF_MANY = 2
MANY_RESPONSES = 100
"""Bad responses must come in this many slots. The losses of one endpoint that ends fall
into two; among so many responses they no longer look like a bad version."""

N_STARTS = 12
"""How many times a comparison begins anew in the duration of a roll-out."""

ALL_ROUTES = "*"
"""Stands for all routes together."""

# The weights divide the false alarm rate among the comparisons. Their sum is at most 1.
_WEIGHT_OF_START = 0.5
_WEIGHT_OF_LATER_STARTS = 0.5 / N_STARTS
_WEIGHT_OF_ALL_ROUTES = 0.5
_N_EQUAL_ROUTES = 4


class BadKind(Enum):
    """In which way a response is bad."""

    FAILED = "failed"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """Responses of the old version and of the target on one route.

    A response that failed isn't counted as slow.
    """

    n_old: int = 0
    n_old_failed: int = 0
    n_old_slow: int = 0
    n_new: int = 0
    n_new_failed: int = 0
    n_new_slow: int = 0

    def __add__(self, other: RouteCounts) -> RouteCounts:
        """Return the sums of the counts."""
        return RouteCounts(
            self.n_old + other.n_old,
            self.n_old_failed + other.n_old_failed,
            self.n_old_slow + other.n_old_slow,
            self.n_new + other.n_new,
            self.n_new_failed + other.n_new_failed,
            self.n_new_slow + other.n_new_slow,
        )

    def __sub__(self, other: RouteCounts) -> RouteCounts:
        """Return the differences of the counts."""
        return RouteCounts(
            self.n_old - other.n_old,
            self.n_old_failed - other.n_old_failed,
            self.n_old_slow - other.n_old_slow,
            self.n_new - other.n_new,
            self.n_new_failed - other.n_new_failed,
            self.n_new_slow - other.n_new_slow,
        )

    def old(self, kind: BadKind) -> tuple[int, int]:
        """Return the responses of the old version: bad ones of a kind, and all."""
        is_failure = kind is BadKind.FAILED
        return (self.n_old_failed if is_failure else self.n_old_slow), self.n_old

    def new(self, kind: BadKind) -> tuple[int, int]:
        """Return the responses of the target: bad ones of a kind, and all."""
        is_failure = kind is BadKind.FAILED
        return (self.n_new_failed if is_failure else self.n_new_slow), self.n_new

    @property
    def n_new_bad(self) -> int:
        """The bad responses of the target of any kind."""
        return self.n_new_failed + self.n_new_slow


Counts = Mapping[str, RouteCounts]
"""Counts by route."""


def sum_counts(counts: Iterable[RouteCounts]) -> RouteCounts:
    """Return the sums over several routes."""
    total = RouteCounts()
    for item in counts:
        total += item
    return total


def log_ratio(n_old_bad: int, n_old: int, n_new_bad: int, n_new: int) -> float:
    """Return the logarithm of the ratio of likelihoods; -inf if the target is no worse.

    For example, 0 bad of 100 against 4 bad of 6 gives about 16.
    """
    if n_new_bad * max(n_old, 1) <= n_old_bad * n_new:
        return -inf
    n_bad = n_old_bad + N_ASSUMED_BAD + sqrt(n_old_bad)
    common = n_bad / (n_old + N_ASSUMED)
    common = min(common, MAX_COMMON_SHARE)
    n_new_good = n_new - n_new_bad
    terms = []
    for excess in EXCESS_SHARES:
        spoilt = common + excess * (1 - common)
        of_bad, of_good = log(spoilt / common), log((1 - spoilt) / (1 - common))
        terms.append(n_new_bad * of_bad + n_new_good * of_good)
    largest = max(terms)
    return largest + log(sum(exp(term - largest) for term in terms) / len(terms))


@dataclass(frozen=True, slots=True)
class Finding:
    """What speaks most against the target.

    ``log_ratio`` is of all comparisons together; ``route`` (``ALL_ROUTES`` for all
    together), ``kind`` and the counts are of the strongest one.
    """

    log_ratio: float = -inf
    route: str = ALL_ROUTES
    kind: BadKind = BadKind.FAILED
    n_old_bad: int = 0
    n_old: int = 0
    n_new_bad: int = 0
    n_new: int = 0

    @property
    def is_bad(self) -> bool:
        """Whether the target is judged bad."""
        return self.log_ratio >= -log(FALSE_ALARM_RATE)

    @property
    def is_doubtful(self) -> bool:
        """Whether the target is probably bad."""
        return self.log_ratio >= -log(DOUBT_RATE)

    @property
    def is_suspect(self) -> bool:
        """Whether the counts fit a bad target better than a good one."""
        return self.log_ratio >= 0.0


@dataclass(frozen=True, slots=True)
class _Start:
    """The counts at a time at which comparisons begin."""

    at: Instant
    counts: Counts
    total: RouteCounts
    n_bad_slots: dict[BadKind, int]


class Evidence:
    """The counts of one roll-out over time, and what they say about the target."""

    def __init__(self, duration_ms: float, now: Instant) -> None:
        self._interval_ms = max(duration_ms / N_STARTS, 2 * SLOT_MS)
        self._n_bad_slots = dict.fromkeys(BadKind, 0)
        self._slot_at = now
        self._slot_total = RouteCounts()
        self._counts: Counts = {}
        self._total = RouteCounts()
        self._starts = [_Start(now, {}, RouteCounts(), dict(self._n_bad_slots))]
        self._ranks: dict[str, int] = {}
        """The order in which routes of the target appeared."""

    @property
    def total(self) -> RouteCounts:
        """The counts of all routes."""
        return self._total

    def record(self, counts: Counts, now: Instant) -> None:
        """Record the newest cumulative counts of all entries together."""
        self._counts = counts
        self._total = sum_counts(counts.values())
        for route, item in counts.items():
            if item.n_new:
                self._ranks.setdefault(route, len(self._ranks))
        if now >= add_ms(self._slot_at, SLOT_MS):
            self._end_slot(now)

    def _end_slot(self, now: Instant) -> None:
        for kind in BadKind:
            if self._has_bad_in_slot(kind):
                self._n_bad_slots[kind] += 1
        self._slot_at, self._slot_total = now, self._total
        is_due = now >= add_ms(self._starts[-1].at, self._interval_ms)
        if is_due and len(self._starts) <= N_STARTS:
            n_bad_slots = dict(self._n_bad_slots)
            self._starts.append(_Start(now, self._counts, self._total, n_bad_slots))

    def _has_bad_in_slot(self, kind: BadKind) -> bool:
        return self._total.new(kind)[0] > self._slot_total.new(kind)[0]

    def judge(self) -> Finding:
        """Return what the counts say, over all comparisons."""
        strongest, strongest_term = Finding(), -inf
        terms = []
        for number, start in enumerate(self._starts):
            weight = _WEIGHT_OF_LATER_STARTS if number else _WEIGHT_OF_START
            for kind in BadKind:
                for finding, share in self._compare(number, start, kind):
                    term = log(weight * share / len(BadKind)) + finding.log_ratio
                    terms.append(term)
                    if term > strongest_term:
                        strongest, strongest_term = finding, term
        if strongest_term == -inf:
            return strongest
        total = sum(exp(term - strongest_term) for term in terms)
        return replace(strongest, log_ratio=strongest_term + log(total))

    def _compare(
        self, number: int, start: _Start, kind: BadKind
    ) -> Iterable[tuple[Finding, float]]:
        """Yield a finding and its weight for all routes together and for each one."""
        n_slots = self._n_bad_slots[kind] - start.n_bad_slots[kind]
        n_slots += self._has_bad_in_slot(kind)
        n_new = self._total.n_new - start.total.n_new
        is_many = n_new >= MANY_RESPONSES
        if n_slots < (MIN_BAD_SLOTS_OF_MANY if is_many else MIN_BAD_SLOTS):
            return
        finding = self._find(ALL_ROUTES, number, kind)
        yield finding, _WEIGHT_OF_ALL_ROUTES
        for route, rank in self._ranks.items():
            if not self._counts[route].new(kind)[0]:
                continue
            weight = (1 - _WEIGHT_OF_ALL_ROUTES) * _weight_of_route(rank)
            yield self._find(route, number, kind), weight

    def _find(self, route: str, number: int, kind: BadKind) -> Finding:
        """Compare the versions on a route since the start with a number."""
        now = self._at(route, None)
        start = self._at(route, self._starts[number])
        n_new_bad, n_new = _difference(now.new(kind), start.new(kind))
        n_old_bad, n_old = _difference(now.old(kind), start.old(kind))
        # After the old version got its last request, earlier responses are the only
        # ones to compare with.
        while number and n_old < n_new:
            number -= 1
            start = self._at(route, self._starts[number])
            n_old_bad, n_old = _difference(now.old(kind), start.old(kind))
        ratio = log_ratio(n_old_bad, n_old, n_new_bad, n_new)
        return Finding(ratio, route, kind, n_old_bad, n_old, n_new_bad, n_new)

    def _at(self, route: str, start: _Start | None) -> RouteCounts:
        """Return the counts of a route at a start, or the newest ones with None."""
        if route == ALL_ROUTES:
            return self._total if start is None else start.total
        counts = self._counts if start is None else start.counts
        return counts.get(route, RouteCounts())


def _difference(now: tuple[int, int], start: tuple[int, int]) -> tuple[int, int]:
    """Return the bad responses and all responses since a start, neither below 0."""
    n = max(now[1] - start[1], 0)
    return min(max(now[0] - start[0], 0), n), n


def _weight_of_route(rank: int) -> float:
    """Return the weight of the route that appeared at a rank; all sum up to 1 at most.

    It must not depend on later routes, or the bound on the false alarms wouldn't hold.
    """
    if rank < _N_EQUAL_ROUTES:
        return 1 / (_N_EQUAL_ROUTES + 2)
    position = rank - _N_EQUAL_ROUTES + 1
    return 2 / (_N_EQUAL_ROUTES + 2) / (position * (position + 1))
