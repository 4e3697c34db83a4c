"""A control replica with a fake log, and a client of its operator interface."""

import curio
import pytest

from pollenfold.cli.client import OperatorClient
from pollenfold.observe.clock import system_clock
from pollenfold.testing.control import TOKEN, ControlFake

LEASE_MS = 600.0
"""Longer than a long poll, and short enough for a test to wait for its end."""


@pytest.fixture
def control_run(run):
    """Return a function that runs ``main(control)`` against a settled leader."""

    def run_with_control(main):
        async def start():
            control = ControlFake(lease_ms=LEASE_MS)
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
    held = control.state.leadership()
    return held is not None and held.directory.is_settled(system_clock())


@pytest.fixture
def operator():
    """Return a function that makes a client of a control fake."""

    def make(control, token=TOKEN, timeout_ms=2000.0):
        return OperatorClient([control.operator], token, system_clock, timeout_ms)

    return make
