"""What the entries report on a roll-out, and the sums over all of them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from reprlib import repr as short_repr

from ..clock import Instant, add_ms
from ..input_limits import is_name, is_whole_number
from .evidence import RouteCounts

MAX_ROUTES = 10_000
"""The most routes that a report may have; entries send far fewer (``outcomes.py``)."""

MAX_ROUTE_LENGTH = 256
"""In characters."""

MAX_REPORT_AGE_MS = 1_000.0
"""Five intervals of the reports; an older one says nothing about what is in flight."""

N_COUNTS = 6
"""The number of fields of ``RouteCounts``."""


@dataclass(frozen=True, slots=True)
class Report:
    """What one entry says about one roll-out; counts are since its order."""

    service: str
    order_index: int
    stage_index: int
    n_in_flight_old: int
    n_in_flight_target: int
    counts: Mapping[str, RouteCounts]


def decode_report(fields: object) -> Report:
    """Decode a report; raise ValueError if it is malformed."""
    match fields:
        case [service, order_index, stage_index, n_old, n_target, dict(counts), *_] if (
            is_name(service)
            and is_whole_number(order_index)
            and is_whole_number(stage_index)
            and is_whole_number(n_old)
            and is_whole_number(n_target)
            and len(counts) <= MAX_ROUTES
        ):
            decoded = {k: _decode_counts(k, v) for k, v in counts.items()}
            return Report(service, order_index, stage_index, n_old, n_target, decoded)
    raise ValueError(f"expected a report on a roll-out, got {short_repr(fields)}")


def _decode_counts(route: str, fields: object) -> RouteCounts:
    is_list = isinstance(fields, list) and len(fields) >= N_COUNTS
    if len(route) > MAX_ROUTE_LENGTH or not is_list:
        raise ValueError(f"expected counts of a route, got {short_repr(fields)}")
    assert isinstance(fields, list)
    counts = fields[:N_COUNTS]
    if not all(is_whole_number(value) for value in counts):
        raise ValueError(f"expected counts of a route, got {short_repr(fields)}")
    n_old, n_old_failed, n_old_slow, n_new, n_new_failed, n_new_slow = counts
    if n_old_failed + n_old_slow > n_old or n_new_failed + n_new_slow > n_new:
        raise ValueError(f"more bad responses than responses: {short_repr(fields)}")
    return RouteCounts(*counts)


@dataclass(slots=True)
class _EntryReport:
    """The newest report of the running process of an entry."""

    incarnation: int
    report: Report
    received_at: Instant
    ended: frozenset[int] = frozenset()
    """Earlier processes of this entry, whose counts are kept in the sums."""


class Reports:
    """The newest report of each entry on one roll-out, and the sums of the counts."""

    def __init__(self) -> None:
        self._by_entry: dict[str, _EntryReport] = {}
        self._counts: dict[str, RouteCounts] = {}

    @property
    def counts(self) -> dict[str, RouteCounts]:
        """A copy of the counts of all entries together, by route.

        They include those of processes and entries that ended.
        """
        return dict(self._counts)

    @property
    def n_in_flight_target(self) -> int:
        """The requests in flight at the target, by the newest reports."""
        return sum(e.report.n_in_flight_target for e in self._by_entry.values())

    def add(self, entry: str, incarnation: int, report: Report, now: Instant) -> None:
        """Add a report of an entry, in place of the one before of the same process.

        A line of a process that has ended may still arrive after its successor's.
        """
        known = self._by_entry.get(entry)
        if known is None:
            self._replace({}, report.counts)
            self._by_entry[entry] = _EntryReport(incarnation, report, now)
        elif known.incarnation == incarnation:
            self._replace(known.report.counts, report.counts)
            known.report, known.received_at = report, now
        elif incarnation not in known.ended:
            self._replace({}, report.counts)
            ended = known.ended | {known.incarnation}
            self._by_entry[entry] = _EntryReport(incarnation, report, now, ended)

    def _replace(
        self, before: Mapping[str, RouteCounts], after: Mapping[str, RouteCounts]
    ) -> None:
        for route, counts in after.items():
            if counts == before.get(route):
                continue
            total = self._counts.get(route, RouteCounts()) + counts
            self._counts[route] = total - before.get(route, RouteCounts())

    def has_all(self, entries: Iterable[str], now: Instant) -> bool:
        """Return whether each entry reported lately."""
        return all(self._find(entry, now) is not None for entry in entries)

    def is_old_idle(
        self, entries: Iterable[str], stage_index: int, now: Instant
    ) -> bool:
        """Return whether no entry has anything in flight at the old version.

        Each must have confirmed the stage in a recent report.
        """
        reports = self._confirming(entries, stage_index, now)
        return all(r is not None and not r.n_in_flight_old for r in reports)

    def is_target_idle(
        self, entries: Iterable[str], stage_index: int, now: Instant
    ) -> bool:
        """Return the same for the target as ``is_old_idle`` for the old version."""
        reports = self._confirming(entries, stage_index, now)
        return all(r is not None and not r.n_in_flight_target for r in reports)

    def _confirming(
        self, entries: Iterable[str], stage_index: int, now: Instant
    ) -> list[Report | None]:
        """Return each entry's recent report on a stage, or None if it has none."""
        reports = [self._find(entry, now) for entry in entries]
        return [
            r if r is not None and r.stage_index == stage_index else None
            for r in reports
        ]

    def _find(self, entry: str, now: Instant) -> Report | None:
        """Return the report of an entry, or None if there is no recent one."""
        known = self._by_entry.get(entry)
        if known is None or now > add_ms(known.received_at, MAX_REPORT_AGE_MS):
            return None
        return known.report
