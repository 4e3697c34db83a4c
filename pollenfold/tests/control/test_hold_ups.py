"""The log lines of a replica whose event loop is held up."""

import pytest
from loguru import logger

from pollenfold.control.hold_ups import HoldUps
from pollenfold.core.clock import Instant


@pytest.fixture
def lines():
    """Return the messages that are logged during a test."""
    messages = []
    handler = logger.add(messages.append, format="{message}")
    yield messages
    logger.remove(handler)


def test_longest_hold_up_of_each_cause_is_logged_once_a_second(lines):
    """Guards against an incident in which nobody can tell what kept a leader from
    sending heartbeats, and against a line for each write to a slow disk."""
    now = [0.0]
    hold_ups = HoldUps(lambda: Instant(now[0]))
    hold_ups.record("sync", 20.0)
    for duration_ms in (150.0, 300.0, 200.0):
        hold_ups.record("sync", duration_ms)
    hold_ups.record("loop", 120.0)
    now[0] = 1_000.0
    hold_ups.record("sync", 110.0)
    assert [line.strip() for line in lines] == [
        "event=held_up cause=sync longest_ms=150.0",
        "event=held_up cause=loop longest_ms=120.0",
        "event=held_up cause=sync longest_ms=300.0",
    ]
