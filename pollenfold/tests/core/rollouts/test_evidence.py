"""The sequential test of a target version, by simulated responses."""

import math
import random
from collections import Counter

import pytest

from pollenfold.core.rollouts.evidence import (
    ALL_ROUTES,
    BadKind,
    Evidence,
    RouteCounts,
    _weight_of_route,
    log_ratio,
)
from pollenfold.tests.core.rollouts.simulated import (
    Load,
    exposure_limit,
    run_rollout,
)


def judged(*steps, duration_ms=12_000):
    """Return the finding after cumulative counts, each 300 ms after the one before."""
    evidence = Evidence(duration_ms, 0.0)
    for number, counts in enumerate(steps, 1):
        evidence.record(counts, 300.0 * number)
    return evidence.judge()


def counts(n_old, n_old_failed, n_new, n_new_failed):
    return RouteCounts(n_old, n_old_failed, 0, n_new, n_new_failed, 0)


@pytest.mark.parametrize(
    ("n_old_bad", "n_old", "n_new_bad", "n_new"),
    [
        (0, 0, 0, 0),
        (0, 100, 0, 10),
        (5, 100, 1, 30),
        (100, 100, 10, 10),
        (10, 10, 0, 9),
    ],
)
def test_no_worse_target_has_no_evidence_against_it(n_old_bad, n_old, n_new_bad, n_new):
    """Guards against a version that is judged bad since it is better, or equal."""
    assert log_ratio(n_old_bad, n_old, n_new_bad, n_new) == -math.inf


def test_evidence_grows_with_bad_responses():
    """Guards against a ratio that falls as more responses are bad."""
    ratios = [log_ratio(3, 300, n_bad, 20) for n_bad in range(1, 21)]
    assert ratios == sorted(ratios)


def test_all_responses_bad_gives_a_number():
    """Guards against a logarithm of 0."""
    assert math.isfinite(log_ratio(0, 0, 5, 5))
    assert math.isfinite(log_ratio(99, 100, 1_000, 1_000))


def test_single_bad_route_is_named():
    """Guards against a version that is bad on one route and good on the others."""
    steps = [
        {
            "good": counts(300 * n, 2, 40 * n, 0),
            "bad": counts(30 * n, 0, 4 * n, 2 * n),
        }
        for n in range(1, 5)
    ]
    finding = judged(*steps)
    assert finding.is_bad
    assert (finding.route, finding.kind) == ("bad", BadKind.FAILED)


def test_slow_responses_count():
    """Guards against a version whose slowness goes unnoticed."""
    steps = [{"r": RouteCounts(100 * n, 0, n, 6 * n, 0, 3 * n)} for n in range(1, 5)]
    finding = judged(*steps)
    assert finding.is_bad
    assert finding.kind is BadKind.SLOW


def test_end_of_one_endpoint_is_no_evidence():
    """Guards against a good version that is rolled back since one of its endpoints
    ended with nine requests, and a tenth failed shortly after."""
    before = [{"r": counts(90 * n, 0, 6 * n, 0)} for n in range(1, 8)]
    burst = [
        {"r": counts(720, 0, 57, 9)},
        {"r": counts(810, 0, 64, 10)},
        {"r": counts(900, 0, 70, 10)},
        {"r": counts(990, 0, 76, 10)},
    ]
    finding = judged(*before, *burst)
    assert not finding.is_bad


def test_version_that_turns_bad_late_is_found():
    """Guards against good responses at first that outweigh the bad ones later."""
    good = [{"r": counts(100 * n, 0, 10 * n, 0)} for n in range(1, 20)]
    bad = [{"r": counts(1900 + 100 * n, 0, 190 + 10 * n, 4 * n)} for n in range(1, 7)]
    assert not judged(*good).is_bad
    assert judged(*good, *bad).is_bad


def test_old_version_without_later_requests_stays_the_reference():
    """Guards against a version that can't be judged once the old one gets nothing."""
    before = [{"r": counts(100 * n, 0, 10 * n, 0)} for n in range(1, 20)]
    full = [{"r": counts(1900, 0, 190 + 30 * n, 10 * n)} for n in range(1, 10)]
    assert judged(*before, *full).is_bad


def test_background_of_both_versions_is_no_evidence():
    """Guards against failures of both versions that are held against the target."""
    steps = [{"r": counts(100 * n, 20 * n, 10 * n, 2 * n)} for n in range(1, 30)]
    assert not judged(*steps).is_doubtful


def test_weights_of_routes_leave_room_for_any_number():
    """Guards against more false alarms with more routes."""
    assert sum(map(_weight_of_route, range(10_000))) <= 1.0


def test_no_counts_are_no_evidence():
    """Guards against a decision without traffic."""
    finding = judged({}, {}, {})
    assert (finding.log_ratio, finding.route) == (-math.inf, ALL_ROUTES)


# Simulated roll-outs of 12 s


GOOD_LOADS = [
    Load(100),
    Load(300, failed=0.01, slow=0.1),
    Load(100, failed=0.01, slow=0.1),
    Load(200, failed=0.005, slow=0.04),
]


@pytest.mark.parametrize("load", GOOD_LOADS, ids=str)
def test_good_version_is_never_called_bad(load):
    """Guards against false alarms.

    The rate of false alarms is below 1%: 2 in 40 then have a probability of 6%, and 3
    of less than 1%.
    """
    rng = random.Random(11)
    outcomes = [run_rollout(load, rng) for _ in range(40)]
    stages = Counter(outcome.stage for outcome in outcomes)
    assert stages["completed"] >= 38, stages
    completed = [o for o in outcomes if o.stage == "completed"]
    assert all(o.until_full_ms <= 0.75 * 12_000 + 100 for o in completed)
    on_time = sum(o.until_full_ms <= 0.6 * 12_000 + 100 for o in completed)
    assert on_time >= 0.9 * len(completed)


MISSES = 0.1
"""The largest share of bad versions that may exceed the limits, at these loads."""

BAD_LOADS = [
    Load(100, bad_share=0.2),
    Load(100, bad_share=0.6, bad_kind="slow", onset_ms=3_500.0),
    Load(100, bad_share=0.6, bad_routes=("a",), onset_ms=3_500.0),
    Load(200, 0.005, 0.05, 0.4, "slow", ("b",), 2_000.0),
    Load(300, bad_share=0.2, bad_routes=("c",), onset_ms=2_000.0),
    Load(300, 0.01, 0.1, 0.4, "slow", onset_ms=3_000.0),
    Load(300, 0.01, 0.1, 0.6, "failed", ("a",)),
]


@pytest.mark.parametrize("load", BAD_LOADS, ids=str)
def test_bad_version_is_rolled_back_within_its_limits(load):
    """Guards against a bad version that is completed, or gets too many requests."""
    rng = random.Random(12)
    outcomes = [run_rollout(load, rng) for _ in range(20)]
    n_missed = sum(
        o.stage != "rolled_back"
        or o.ended_ms > 12_000
        or o.n_target > exposure_limit(load)
        or o.late_ms > 5_000
        for o in outcomes
    )
    assert n_missed <= MISSES * len(outcomes)


FAST_LOADS = [
    Load(100, bad_share=0.6),
    Load(200, bad_share=0.4),
    Load(300, bad_share=0.4, bad_kind="slow"),
    Load(300, bad_share=0.6, bad_routes=("a",)),
    Load(300, 0.005, 0.05, 0.6, "slow"),
]


@pytest.mark.parametrize("load", FAST_LOADS, ids=str)
def test_bad_version_is_detected_within_two_seconds(load):
    """Guards against a test that needs more responses than the canary brings."""
    rng = random.Random(13)
    outcomes = [run_rollout(load, rng) for _ in range(20)]
    times_ms = sorted(o.bad_for_ms for o in outcomes)
    assert times_ms[len(times_ms) // 2] <= 2_000 + 300
