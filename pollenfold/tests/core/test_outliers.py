"""Ejection of endpoints: failures, fail-fast, slowness, limit and return."""

import pytest

from pollenfold.core.clock import Instant
from pollenfold.core.outliers import (
    EJECTION_MS,
    FORGIVE_MS,
    MAX_EJECTION_MS,
    N_FAILURES,
    N_FAST_FAILURES,
    TRIAL_TIMEOUT_MS,
    OutlierDetector,
)

KEYS = [f"10.0.0.{n}:80" for n in range(10)]
BAD = KEYS[0]


def at(ms):
    return Instant(float(ms))


@pytest.fixture
def detector():
    """A detector that has seen each of ten endpoints respond in 10 ms."""
    detector = OutlierDetector()
    for ms in range(20):
        for key in KEYS:
            detector.record(key, False, 10.0, at(ms * 100 - 2000))
    return detector


def fail(detector, key, now, n=N_FAILURES, latency_ms=10.0):
    for _ in range(n):
        detector.record(key, True, latency_ms, at(now))


@pytest.mark.parametrize(
    "n, latency_ms, expected",
    [
        (N_FAILURES - 1, 10.0, False),
        (N_FAILURES, 10.0, True),
        (N_FAST_FAILURES, 0.5, True),
        (N_FAST_FAILURES - 1, 0.5, False),
    ],
)
def test_consecutive_failures_eject(detector, n, latency_ms, expected):
    """Guards against a failing server that keeps its share, and against one that
    fails fast and so attracts load."""
    fail(detector, BAD, 0, n, latency_ms)
    assert detector.is_ejected(BAD, at(0)) is expected
    assert not detector.is_ejected(KEYS[1], at(0))


def test_server_that_fails_half_of_its_requests_is_ejected(detector):
    """Guards against failures that never come in a row."""
    for n in range(40):
        detector.record(BAD, n % 5 != 0, 10.0, at(n))
    assert detector.is_ejected(BAD, at(40))


def test_slow_server_is_ejected(detector):
    """Guards against a server that is slow against its peers, not against all
    servers when the whole service slows down."""
    for _ in range(30):
        detector.record(BAD, False, 100.0, at(0))
    assert detector.is_ejected(BAD, at(0))
    for n in range(200):
        for key in KEYS[1:]:
            detector.record(key, False, 10.0 + n, at(n * 20))
    assert detector.n_ejected == 1


@pytest.mark.parametrize("share, expected", [(0.5, 5), (0.25, 2), (0.0, 0)])
def test_share_ejected_is_limited(share, expected):
    """Guards against an entry that ejects everything after its own failure, and
    against an only endpoint that gets no work."""
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


def test_one_trial_request_decides_the_return(detector):
    """Guards against a burst of requests to a server that may still be broken, and
    against a trial whose result never comes."""
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
    """Guards against a broken server that gets a trial every second for ever."""
    now = 0.0
    fail(detector, BAD, now)
    for n in range(8):
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2**n)
        assert detector.is_ejected(BAD, at(now + duration_ms - 1))
        now += duration_ms
        assert not detector.is_ejected(BAD, at(now))
        detector.start_trial(BAD, at(now))
        detector.record(BAD, is_failure, latency_ms, at(now))


def test_ejection_time_is_forgiven_after_a_healthy_minute(detector):
    """Guards against a server that one bad hour marks for ever."""
    fail(detector, BAD, 0)
    for start, expected_ms in [(1000, 2000), (3000 + FORGIVE_MS + 1, 1000)]:
        back = 1000 if start == 1000 else 3000
        detector.start_trial(BAD, at(back))
        detector.record(BAD, False, 10.0, at(back))
        fail(detector, BAD, start)
        assert detector.is_ejected(BAD, at(start + expected_ms - 1))
        assert not detector.is_ejected(BAD, at(start + expected_ms))


def test_results_of_earlier_requests_do_not_end_an_ejection(detector):
    """Guards against a late response that returns a broken server."""
    fail(detector, BAD, 0)
    detector.record(BAD, False, 10.0, at(10))
    assert detector.is_ejected(BAD, at(11))
    detector.retain(KEYS[1:])
    assert detector.n_ejected == 0
