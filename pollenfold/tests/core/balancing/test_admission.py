"""Tests of the admission to the queue of a service."""

import pytest

from pollenfold.core.balancing.admission import admit, retry_after_s
from pollenfold.core.clock import Instant
from pollenfold.core.errors import ErrorKind


@pytest.mark.parametrize(
    "n_waiting, n_slots, service_ms, deadline_ms, expected",
    [
        (0, 4, 10.0, 100.0, None),
        (20, 4, 10.0, 100.0, None),
        (40, 4, 10.0, 100.0, ErrorKind.DEADLINE_EXCEEDED),
        (100, 4, 10.0, 1e6, ErrorKind.QUEUE_FULL),
        (0, 4, 10.0, 0.0, ErrorKind.DEADLINE_EXCEEDED),
        (0, 4, 0.0, 1.0, None),
        (0, 0, 10.0, 100.0, None),
    ],
)
def test_admission(n_waiting, n_slots, service_ms, deadline_ms, expected):
    """Guards against queueing a request that can't be served before its deadline."""
    result = admit(
        n_waiting, 100, n_slots, service_ms, Instant(deadline_ms), Instant(0.0)
    )
    assert (result.error if result.is_error() else None) is expected


def test_retry_after_covers_the_queue():
    """Guards against a Retry-After so short that the queue is still full."""
    assert retry_after_s(n_waiting=999, n_slots=10, service_ms=50.0) == 5
    assert retry_after_s(n_waiting=0, n_slots=0, service_ms=50.0) == 1
