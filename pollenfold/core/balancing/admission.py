"""Admission of requests to the bounded queue of a service."""

from __future__ import annotations

import math

from expression import Error, Ok, Result

from ..clock import Instant, remaining_ms
from ..errors import ErrorKind

MIN_RETRY_AFTER_S = 1


def expected_wait_ms(n_waiting: int, n_slots: int, service_ms: float) -> float:
    """Return how long a request at the end of the queue waits for a slot."""
    if n_slots <= 0:
        return math.inf
    return (n_waiting + 1) * service_ms / n_slots


def admit(
    n_waiting: int,
    queue_limit: int,
    n_slots: int,
    service_ms: float,
    deadline: Instant,
    now: Instant,
) -> Result[None, ErrorKind]:
    """Decide on arrival whether a request may wait for a slot.

    The error is ``QUEUE_FULL`` when the queue holds ``queue_limit`` requests, and
    ``DEADLINE_EXCEEDED`` when the expected wait and one service time would end after
    the deadline.
    """
    if n_waiting >= queue_limit:
        return Error(ErrorKind.QUEUE_FULL)
    left_ms = remaining_ms(deadline, now)
    if left_ms <= 0.0:
        return Error(ErrorKind.DEADLINE_EXCEEDED)
    # Without slots or a measured service time the wait can't be estimated.
    if n_slots > 0 and service_ms > 0.0:
        wait_ms = expected_wait_ms(n_waiting, n_slots, service_ms)
        if wait_ms + service_ms > left_ms:
            return Error(ErrorKind.DEADLINE_EXCEEDED)
    return Ok(None)


def retry_after_s(n_waiting: int, n_slots: int, service_ms: float) -> int:
    """Return the seconds in which the current queue is expected to drain."""
    wait_ms = expected_wait_ms(n_waiting, n_slots, service_ms)
    if math.isinf(wait_ms):
        return MIN_RETRY_AFTER_S
    return max(MIN_RETRY_AFTER_S, math.ceil(wait_ms / 1000))
