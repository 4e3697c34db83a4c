"""Fixtures of the tests of signals and daemons."""

import signal

import pytest

from pollenfold.observe.signals import RELOAD_SIGNAL, STOP_SIGNALS


@pytest.fixture(autouse=True)
def handlers():
    """Restore the handlers of the process that runs the tests."""
    before = {n: signal.getsignal(n) for n in (*STOP_SIGNALS, RELOAD_SIGNAL)}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)
