"""The log line of a replica whose event loop is held up."""

import pytest
from loguru import logger

from pollenfold.control.replica import _log_hold_up


@pytest.fixture
def lines():
    """Return the messages that are logged during a test."""
    messages = []
    handler = logger.add(messages.append, format="{message}")
    yield messages
    logger.remove(handler)


def test_hold_up_of_a_replica_is_one_line_with_its_cause(lines):
    """Guards against an incident in which nobody can tell what kept a leader from
    sending heartbeats."""
    _log_hold_up("sync", 150.0)
    assert [line.strip() for line in lines] == [
        "event=held_up cause=sync longest_ms=150.0"
    ]
