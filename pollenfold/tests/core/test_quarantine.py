"""Which requests are quarantined because servers ended while they ran them."""

import pytest

from pollenfold.core.quarantine import (
    MAX_DIGESTS,
    MAX_RUNS,
    QUARANTINE_EXPIRY_MS,
    SUSPECT_EXPIRY_MS,
    EndedRun,
    Quarantine,
)

DIGEST = "0" * 32


def run_at(started_at, ended_at, server="i-1", born_ms=1):
    return EndedRun(server, born_ms, started_at, ended_at)


def in_succession(n_runs):
    return [run_at(100.0 * n, 100.0 * n + 50.0, f"i-{n}") for n in range(n_runs)]


def quarantine_of(*runs):
    quarantine = Quarantine()
    for run in runs:
        quarantine.add_run(DIGEST, run)
    return quarantine


def test_request_is_quarantined_after_three_servers_in_succession():
    """Guards against a request that ends server after server, and against a quarantine
    after fewer, which an innocent request reaches by chance."""
    assert not quarantine_of(*in_succession(2)).is_quarantined(DIGEST)
    quarantine = quarantine_of(*in_succession(3))
    assert quarantine.is_quarantined(DIGEST)
    assert quarantine.ended_endpoint_ids(DIGEST) == ["i-0", "i-1", "i-2"]


def test_servers_that_end_together_count_once():
    """Guards against the quarantine of a popular request whose servers end together,
    with their zone."""
    runs = [run_at(10.0 * n, 500.0 + n, f"i-{n}") for n in range(8)]
    quarantine = quarantine_of(*runs)
    assert quarantine.is_suspect(DIGEST)
    assert not quarantine.is_quarantined(DIGEST)


def test_end_that_several_entries_report_counts_once():
    """Guards against one end of a server that counts for each entry that saw it."""
    runs = [run_at(100.0 * n, 100.0 * n + 50.0) for n in range(3)]
    assert not quarantine_of(*runs).is_quarantined(DIGEST)


def test_server_that_started_again_counts_again():
    """Guards against a service of few servers, which one request ends forever."""
    runs = [run_at(100.0 * n, 100.0 * n + 50.0, "i-1", n) for n in range(3)]
    assert quarantine_of(*runs).is_quarantined(DIGEST)


def test_completed_request_is_cleared():
    """Guards against the quarantine of a request that servers complete, when servers
    end of something else while they run it."""
    first, second, third = in_succession(3)
    quarantine = quarantine_of(first, second)
    assert quarantine.clear(DIGEST, 160.0)
    quarantine.add_run(DIGEST, third)
    assert not quarantine.is_quarantined(DIGEST)
    quarantine.add_run(DIGEST, run_at(0.0, 155.0, "i-late"))
    assert quarantine.ended_endpoint_ids(DIGEST) == ["i-2"]


def test_suspicion_and_quarantine_expire():
    """Guards against requests that are refused, or kept in memory, forever."""
    suspect, quarantined = (
        quarantine_of(*in_succession(1)),
        quarantine_of(*in_succession(3)),
    )
    suspect.expire(50.0 + SUSPECT_EXPIRY_MS)
    assert len(suspect) == 1
    suspect.expire(51.0 + SUSPECT_EXPIRY_MS)
    assert len(suspect) == 0
    quarantined.expire(250.0 + QUARANTINE_EXPIRY_MS)
    assert quarantined.is_quarantined(DIGEST)
    quarantined.expire(251.0 + QUARANTINE_EXPIRY_MS)
    assert not quarantined.is_quarantined(DIGEST)


def test_memory_is_bounded_and_keeps_what_is_quarantined():
    """Guards against memory that grows with each lost request, and against a
    quarantined request that many others under suspicion displace."""
    quarantine = quarantine_of(*in_succession(3))
    for number in range(2 * MAX_DIGESTS):
        quarantine.add_run(f"{number:032d}", run_at(0.0, 1.0))
    assert len(quarantine) == MAX_DIGESTS
    assert quarantine.is_quarantined(DIGEST)


def test_runs_beyond_the_bound_do_not_displace_those_that_decide():
    """Guards against a request that many entries send at once, of which the first runs
    are forgotten, so that it is never quarantined."""
    crowd = [run_at(200.0, 260.0 + n, f"crowd-{n}") for n in range(3 * MAX_RUNS)]
    quarantine = quarantine_of(*in_succession(2), *crowd)
    assert quarantine.is_quarantined(DIGEST)


def test_request_that_goes_on_ending_servers_stays_within_the_bound():
    """Guards against an error in an entry that learns of more ends than it keeps, for
    example of entries that were cut off and weren't told of the quarantine."""
    quarantine = quarantine_of(*in_succession(3 * MAX_RUNS))
    assert quarantine.is_quarantined(DIGEST)
    report = quarantine.report(DIGEST, 100_000.0)
    assert Quarantine().merge(report, 0.0) == DIGEST


def test_reports_carry_the_state_to_another_clock():
    """Guards against a quarantine that only the entry knows which saw the ends."""
    quarantine = quarantine_of(*in_succession(3))
    report = quarantine.report(DIGEST, 1_000.0)
    other = Quarantine()
    assert other.merge(report, 70_000.0) == DIGEST
    assert other.is_quarantined(DIGEST)
    assert other.merge(report, 70_010.0) is None
    quarantine.clear(DIGEST, 1_500.0)
    assert other.merge(quarantine.report(DIGEST, 2_000.0), 71_000.0) == DIGEST
    assert not other.is_suspect(DIGEST)
    assert other.merge(report, 71_000.0) is None


@pytest.mark.parametrize(
    "fields",
    [
        None,
        [],
        [DIGEST, None],
        ["short", None, []],
        [DIGEST, -1, []],
        [DIGEST, float("nan"), []],
        [DIGEST, None, [["i-1", 1, 10]]],
        [DIGEST, None, [["i-1", 1, 10, 20]]],
        [DIGEST, None, [["i-1", 1, float("inf"), 20]]],
        [DIGEST, None, [["i" * 200, 1, 20, 10]]],
        [DIGEST, None, [["i-1", 1, 20, 10]] * (MAX_RUNS + 1)],
    ],
)
def test_malformed_report_is_rejected(fields):
    """Guards against a damaged report that quarantines a request or ends a feed."""
    quarantine = Quarantine()
    with pytest.raises(ValueError, match="expected"):
        quarantine.merge(fields, 0.0)
    assert len(quarantine) == 0
