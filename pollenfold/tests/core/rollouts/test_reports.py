"""The sums of the reports of all entries on a roll-out."""

from pollenfold.core.rollouts.evidence import RouteCounts
from pollenfold.core.rollouts.reports import (
    MAX_REPORT_AGE_MS,
    Report,
    Reports,
    decode_report,
)


def report(n_new=0, stage_index=5, n_old_in_flight=0, n_target_in_flight=0, n_old=0):
    counts = {"r": RouteCounts(n_old=n_old, n_new=n_new)}
    return Report("s", 1, stage_index, n_old_in_flight, n_target_in_flight, counts)


def test_report_is_decoded():
    """Guards against counts that end up in the wrong field."""
    fields = ["s", 1, 5, 2, 3, {"r": [9, 1, 2, 8, 3, 4]}]
    decoded = decode_report(fields)
    assert decoded == Report("s", 1, 5, 2, 3, {"r": RouteCounts(9, 1, 2, 8, 3, 4)})


def test_newest_report_of_each_entry_counts():
    """Guards against cumulative counts that are added up several times."""
    reports = Reports()
    for n_new in (1, 4, 9):
        reports.add("a", 1, report(n_new), 0.0)
        reports.add("b", 2, report(n_new, n_target_in_flight=1), 0.0)
    assert reports.counts["r"].n_new == 18
    assert reports.n_in_flight_target == 1


def test_counts_of_a_restarted_entry_are_kept():
    """Guards against evidence and exposure that are lost with a process."""
    reports = Reports()
    reports.add("a", 1, report(5), 0.0)
    reports.add("a", 2, report(1), 0.0)
    reports.add("a", 2, report(2), 0.0)
    # A line of the ended process arrives late.
    reports.add("a", 1, report(6, n_old_in_flight=1), 0.0)
    assert reports.counts["r"].n_new == 7
    assert reports.is_old_idle(["a"], 5, 0.0)


def test_idle_needs_a_recent_report_of_the_stage_from_every_entry():
    """Guards against an end while an entry still sends to the version that ends."""
    reports = Reports()
    reports.add("a", 1, report(), 0.0)
    reports.add("b", 2, report(stage_index=4), 0.0)
    assert reports.is_old_idle(["a"], 5, 0.0)
    assert not reports.is_old_idle(["a"], 6, 0.0)
    assert not reports.is_old_idle(["a", "b"], 5, 0.0)
    assert not reports.is_old_idle(["a", "c"], 5, 0.0)
    assert reports.has_all(["a", "b"], 0.0)
    assert not reports.has_all(["a", "c"], 0.0)
    assert not reports.is_old_idle(["a"], 5, MAX_REPORT_AGE_MS + 1)
    assert not reports.has_all(["a"], MAX_REPORT_AGE_MS + 1)


def test_idle_needs_nothing_in_flight_at_the_version_that_ends():
    """Guards against the count of the other version."""
    reports = Reports()
    reports.add("a", 1, report(n_old_in_flight=1), 0.0)
    assert not reports.is_old_idle(["a"], 5, 0.0)
    assert reports.is_target_idle(["a"], 5, 0.0)
    reports.add("a", 1, report(n_target_in_flight=1), 0.0)
    assert reports.is_old_idle(["a"], 5, 0.0)
    assert not reports.is_target_idle(["a"], 5, 0.0)
