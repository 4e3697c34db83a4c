"""Tests of the detection of endpoints that fail more than the service's others."""

import random

import pytest

from pollenfold.core.failure_outliers import (
    EXCLUSION_MS,
    MAX_EXCLUSION_MS,
    TRIAL_TIMEOUT_MS,
    Change,
    FailureOutliers,
)

KEYS = [f"e{number}" for number in range(12)]
STEP_MS = 10.0


def play(failure_shares, seed=1, n_requests=6_000, keys=KEYS):
    """Send requests to endpoints at random; return the outliers and all results.

    Each endpoint fails its share of the requests at once. Results are tuples of time,
    endpoint and whether it failed.
    """
    rng = random.Random(seed)
    outliers, results = FailureOutliers(), []
    for number in range(n_requests):
        now = STEP_MS * number
        excluded = outliers.excluded(keys, now)
        key = rng.choice([key for key in keys if key not in excluded])
        is_trial = outliers.needs_trial(key) and outliers.begin_trial(key, now)
        is_failure = rng.random() < failure_shares.get(key, 0.0)
        outliers.record(key, is_failure, is_trial, now)
        results.append((now, key, is_failure))
    return outliers, results


def n_requests_of(results, keys, from_ms=0.0):
    return sum(key in keys and now >= from_ms for now, key, _ in results)


@pytest.mark.parametrize("n_failing", [1, 2, 6])
@pytest.mark.parametrize("seed", range(5))
def test_endpoints_that_fail_all_get_a_few_requests_and_then_trials(seed, n_failing):
    """Guards against endpoints that fail every request and draw work for as long."""
    failing = KEYS[:n_failing]
    _, results = play(dict.fromkeys(failing, 1.0), seed)
    last_ms = results[-1][0]
    # Each endpoint has had about 40 requests, of which it may need nine.
    first_ms = 5_000.0
    # After them there is at most one trial for each full exclusion.
    n_trials = 3 + (last_ms - first_ms) / MAX_EXCLUSION_MS
    for key in failing:
        assert n_requests_of(results, [key], first_ms) <= n_trials
    others = [key for key in KEYS if key not in failing]
    assert min(n_requests_of(results, [key]) for key in others) > 300


@pytest.mark.parametrize("share", [0.0, 0.1, 0.3, 0.5, 0.7, 0.9, 1.0])
@pytest.mark.parametrize("seed", range(5))
def test_no_endpoint_is_excluded_where_all_fail_alike(seed, share):
    """Guards against a service that refuses requests since all its endpoints fail a
    part of them, for example because of what callers send."""
    outliers, results = play(dict.fromkeys(KEYS, share), seed)
    assert not outliers.has_excluded
    counts = [n_requests_of(results, [key]) for key in KEYS]
    assert min(counts) > 400


@pytest.mark.parametrize("seed", range(5))
def test_endpoint_that_fails_a_quarter_is_not_excluded(seed):
    """Guards against the loss of an endpoint that does most of its work."""
    outliers, results = play({"e0": 0.25}, seed)
    assert not outliers.has_excluded
    assert n_requests_of(results, ["e0"]) > 400


@pytest.mark.parametrize("n_failing", [7, 11, 12])
def test_no_more_than_half_are_excluded(n_failing):
    """Guards against a service whose endpoints are all excluded."""
    outliers, results = play(dict.fromkeys(KEYS[:n_failing], 1.0))
    last_ms = results[-1][0]
    assert len(outliers.excluded(KEYS, last_ms)) <= 6


@pytest.mark.parametrize("n_all", [1, 2, 3])
def test_last_endpoint_is_not_excluded(n_all):
    """Guards against a small service without any endpoint."""
    keys = KEYS[:n_all]
    outliers, results = play(dict.fromkeys(keys[: n_all // 2 or 1], 1.0), keys=keys)
    assert len(outliers.excluded(keys, results[-1][0])) <= n_all // 2


def exclude(outliers, key="e0", now=0.0):
    """Let one endpoint fail until it is excluded; return the number of failures."""
    for other in KEYS[1:4]:
        for _ in range(20):
            outliers.record(other, False, False, now - 1_000.0)
    for number in range(1, 100):
        if outliers.record(key, True, False, now) is Change.EXCLUDED:
            return number
    raise AssertionError("the endpoint was never excluded")


def test_endpoint_that_fails_before_others_have_results_is_excluded():
    """Guards against an entry that starts, and sends all to an endpoint that fails
    at once while the first requests to the others still run."""
    outliers = FailureOutliers()
    outliers.record("e1", False, False, 0.0)
    changes = [outliers.record("e0", True, False, 200.0) for _ in range(9)]
    assert changes[-1] is Change.EXCLUDED
    assert "e0" in outliers.excluded(KEYS, 201.0)


def test_exclusion_ends_once_all_others_fail_as_well():
    """Guards against half of a service without requests, since its failures showed on
    one endpoint before they showed on the others."""
    outliers = FailureOutliers()
    exclude(outliers)
    for now in range(100, 900, 10):
        for key in KEYS[1:]:
            outliers.record(key, True, False, float(now))
    assert not outliers.excluded(KEYS, 900.0)


def test_exclusions_grow_up_to_a_limit_and_one_trial_runs_at_a_time():
    """Guards against trials that come as often as requests, or never again."""
    outliers = FailureOutliers()
    assert exclude(outliers) == 9
    now, duration_ms = 0.0, EXCLUSION_MS
    for _ in range(8):
        assert "e0" in outliers.excluded(KEYS, now + duration_ms - 1.0)
        assert not outliers.begin_trial("e0", now + duration_ms - 1.0)
        now += duration_ms
        assert "e0" not in outliers.excluded(KEYS, now)
        assert outliers.begin_trial("e0", now)
        assert not outliers.begin_trial("e0", now)
        assert "e0" in outliers.excluded(KEYS, now)
        assert outliers.record("e0", True, True, now) is Change.EXCLUDED
        duration_ms = min(MAX_EXCLUSION_MS, 2 * duration_ms)


def test_endpoint_that_is_well_again_is_reinstated_by_a_trial():
    """Guards against an endpoint that gets no requests after it has recovered."""
    outliers = FailureOutliers()
    exclude(outliers)
    assert outliers.begin_trial("e0", EXCLUSION_MS)
    assert outliers.record("e0", False, True, EXCLUSION_MS) is Change.REINSTATED
    assert not outliers.has_excluded
    assert not outliers.excluded(KEYS, EXCLUSION_MS)


def test_trial_without_a_result_is_followed_by_another_one():
    """Guards against an endpoint that stays excluded because a trial was refused, or
    its caller left."""
    outliers = FailureOutliers()
    exclude(outliers)
    now = EXCLUSION_MS
    assert outliers.begin_trial("e0", now)
    outliers.end_trial("e0")
    assert outliers.begin_trial("e0", now)
    assert not outliers.begin_trial("e0", now + TRIAL_TIMEOUT_MS - 1.0)
    assert outliers.begin_trial("e0", now + TRIAL_TIMEOUT_MS)


def test_result_from_before_the_exclusion_does_not_end_it():
    """Guards against a success that was sent earlier and counts as the trial."""
    outliers = FailureOutliers()
    exclude(outliers)
    assert outliers.record("e0", False, False, 1.0) is None
    assert "e0" in outliers.excluded(KEYS, 2.0)


def test_removed_endpoints_are_forgotten():
    """Guards against state that grows with each endpoint that comes and goes."""
    outliers = FailureOutliers()
    exclude(outliers)
    outliers.retain({"e1"})
    assert not outliers.has_excluded
    assert not outliers.excluded(KEYS, 1.0)


@pytest.mark.parametrize("keys", [KEYS, KEYS[:4], KEYS[:2]])
@pytest.mark.parametrize("interval_ms", [STEP_MS, STEP_MS / 6])
@pytest.mark.parametrize("seed", range(3))
def test_sudden_failure_of_all_endpoints_excludes_none(seed, interval_ms, keys):
    """Guards against half of a sound service that is taken out, for longer than the
    fault: all its endpoints failed at once, as when this entry was suspended or cut off
    or what they all depend on failed, and the usual failure share follows too late."""
    rng = random.Random(seed)
    outliers, n_excluded = FailureOutliers(), []
    failed_from_ms, failed_until_ms = 20_000.0, 21_000.0
    now = 0.0
    while now < failed_until_ms:
        now += interval_ms
        excluded = outliers.excluded(keys, now)
        key = rng.choice([key for key in keys if key not in excluded])
        is_trial = outliers.needs_trial(key) and outliers.begin_trial(key, now)
        outliers.record(key, now >= failed_from_ms, is_trial, now)
        n_excluded.append(len(outliers.excluded(keys, now)))
    assert max(n_excluded) == 0
