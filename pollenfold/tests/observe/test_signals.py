"""Signals that stop a daemon or reload its settings."""

import os
import signal

import curio
import pytest

from pollenfold.observe.signals import RELOAD_SIGNAL, STOP_SIGNALS, wait_for_stop


@pytest.fixture(autouse=True)
def handlers():
    """Restore the handlers of the process that runs the tests."""
    before = {n: signal.getsignal(n) for n in (*STOP_SIGNALS, RELOAD_SIGNAL)}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.parametrize("second", [*STOP_SIGNALS, RELOAD_SIGNAL])
def test_second_signal_does_not_end_a_stopping_process(run, second):
    """Guards against a second signal that aborts a planned stop, also between the first
    signal and the daemon's reaction to it."""

    async def main():
        stop = await curio.spawn(wait_for_stop, lambda: None)
        await curio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        assert await stop.join() == "SIGTERM"
        assert signal.getsignal(second) is signal.SIG_IGN
        os.kill(os.getpid(), second)
        await curio.sleep(0.01)

    run(main)


def test_cancelled_wait_restores_the_handlers(run):
    """Guards against a process that ignores stop signals after its daemon failed."""

    async def main():
        before = signal.getsignal(signal.SIGTERM)
        stop = await curio.spawn(wait_for_stop)
        await curio.sleep(0.01)
        await stop.cancel()
        assert signal.getsignal(signal.SIGTERM) is before

    run(main)
