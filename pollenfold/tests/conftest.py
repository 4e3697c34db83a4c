"""Fixtures shared by the tests."""

import curio
import pytest

from pollenfold.observe.clock import system_clock
from pollenfold.testing.control import FakeControlReplica
from pollenfold.tests.running import run_within

LEASE_MS = 600.0
"""Longer than a long poll, and short enough for a test to wait until it expires."""


@pytest.fixture
def run():
    """Return a function that runs a coroutine function within 20 s."""
    return run_within(20)


@pytest.fixture
def control_run(run):
    """Return a function that runs ``main(control)`` against a settled leader."""

    def run_with_control(main):
        async def start():
            control = FakeControlReplica(lease_ms=LEASE_MS)
            await control.start()
            while not is_settled(control):
                await curio.sleep(0.01)
            try:
                return await main(control)
            finally:
                await control.stop()

        return run(start)

    return run_with_control


def is_settled(control):
    leadership = control.state.leadership()
    return leadership is not None and leadership.directory.is_settled(system_clock())


@pytest.fixture
def error(request):
    """Return a new error, made by the parameter of the test."""
    return request.param()
