"""Tests of outlier ejection: failures, slowness, the limit and reinstatement."""

import pytest

from pollenfold.core.balancing.outliers import (
    EJECT_AFTER_FAILURES,
    EJECT_AFTER_FAST_FAILURES,
    EJECTION_MS,
    EJECTION_RESET_MS,
    MAX_EJECTION_MS,
    TRIAL_TIMEOUT_MS,
    OutlierDetector,
)
from pollenfold.core.clock import Instant

KEYS = [f"10.0.0.{n}:80" for n in range(10)]
BAD = KEYS[0]


def at(ms):
    return Instant(float(ms))


@pytest.fixture
def detector():
    """A detector with 20 responses in 10 ms from each of ten endpoints."""
    detector = OutlierDetector()
    for ms in range(20):
        for key in KEYS:
            detector.record(key, False, 10.0, at(ms * 100 - 2000))
    return detector


def fail(detector, key, now, n=EJECT_AFTER_FAILURES, latency_ms=10.0):
    for _ in range(n):
        detector.record(key, True, latency_ms, at(now))


@pytest.mark.parametrize(
    "n, latency_ms, expected",
    [
        (EJECT_AFTER_FAILURES - 1, 10.0, False),
        (EJECT_AFTER_FAILURES, 10.0, True),
        (EJECT_AFTER_FAST_FAILURES, 0.5, True),
        (EJECT_AFTER_FAST_FAILURES - 1, 0.5, False),
    ],
)
def test_consecutive_failures_eject(detector, n, latency_ms, expected):
    """Guards against a failing server that keeps its share of the load, and against one
    that attracts load by failing fast."""
    fail(detector, BAD, 0, n, latency_ms)
    assert detector.is_ejected(BAD, at(0)) is expected
    assert not detector.is_ejected(KEYS[1], at(0))


def test_server_that_fails_most_of_its_requests_is_ejected(detector):
    """Guards against frequent failures that go undetected between successes."""
    for n in range(40):
        detector.record(BAD, n % 5 != 0, 10.0, at(n))
    assert detector.is_ejected(BAD, at(40))


def test_slow_server_is_ejected(detector):
    """Guards against keeping a server that is slow compared with its peers, and against
    ejecting more servers when the whole service slows down."""
    for _ in range(30):
        detector.record(BAD, False, 100.0, at(0))
    assert detector.is_ejected(BAD, at(0))
    for n in range(200):
        for key in KEYS[1:]:
            detector.record(key, False, 10.0 + n, at(n * 20))
    assert detector.n_ejected == 1


@pytest.mark.parametrize("share, expected", [(0.5, 5), (0.25, 2), (0.0, 0)])
def test_share_ejected_is_limited(share, expected):
    """Guards against an entry that ejects all endpoints because of a fault of its own,
    and against ejecting the only endpoint."""
    alone = OutlierDetector()
    fail(alone, BAD, 0, 100)
    assert not alone.is_ejected(BAD, at(0))
    detector = OutlierDetector(share)
    for key in KEYS:
        detector.record(key, False, 10.0, at(0))
    for key in KEYS:
        fail(detector, key, 1)
    assert detector.n_ejected == expected
    assert sum(detector.is_ejected(key, at(1)) for key in KEYS) == expected


def test_one_trial_request_decides_the_reinstatement(detector):
    """Guards against a burst of requests to a server that may still be failing, and
    against permanent exclusion when the result of a trial never arrives."""
    fail(detector, BAD, 0)
    assert detector.is_ejected(BAD, at(EJECTION_MS - 1))
    assert not detector.is_ejected(BAD, at(EJECTION_MS))
    detector.start_trial(BAD, at(EJECTION_MS))
    assert detector.is_ejected(BAD, at(EJECTION_MS + TRIAL_TIMEOUT_MS - 1))
    assert not detector.is_ejected(BAD, at(EJECTION_MS + TRIAL_TIMEOUT_MS))
    detector.record(BAD, False, 10.0, at(EJECTION_MS + 2))
    assert not detector.is_ejected(BAD, at(EJECTION_MS + 3))


@pytest.mark.parametrize("is_failure, latency_ms", [(True, 10.0), (False, 500.0)])
def test_ejection_time_grows(detector, is_failure, latency_ms):
    """Guards against a trial every second for a server that keeps failing."""
    now = 0.0
    fail(detector, BAD, now)
    for n in range(8):
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2**n)
        assert detector.is_ejected(BAD, at(now + duration_ms - 1))
        now += duration_ms
        assert not detector.is_ejected(BAD, at(now))
        detector.start_trial(BAD, at(now))
        detector.record(BAD, is_failure, latency_ms, at(now))


def test_ejection_time_is_reset_after_a_healthy_minute(detector):
    """Guards against long ejections of a server because of failures long ago."""
    fail(detector, BAD, 0)
    for start, expected_ms in [(1000, 2000), (3000 + EJECTION_RESET_MS + 1, 1000)]:
        reinstated_at = 1000 if start == 1000 else 3000
        detector.start_trial(BAD, at(reinstated_at))
        detector.record(BAD, False, 10.0, at(reinstated_at))
        fail(detector, BAD, start)
        assert detector.is_ejected(BAD, at(start + expected_ms - 1))
        assert not detector.is_ejected(BAD, at(start + expected_ms))


def test_results_of_earlier_requests_do_not_end_an_ejection(detector):
    """Guards against a late response that reinstates a failing server."""
    fail(detector, BAD, 0)
    detector.record(BAD, False, 10.0, at(10))
    assert detector.is_ejected(BAD, at(11))
    detector.retain(KEYS[1:])
    assert detector.n_ejected == 0
