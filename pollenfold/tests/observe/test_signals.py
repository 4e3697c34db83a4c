"""Signals that stop a daemon or reload its settings."""

import os
import signal
import time

import curio
import pytest

from pollenfold.observe.clock import system_clock
from pollenfold.observe.signals import (
    RELOAD_SIGNAL,
    STOP_SIGNALS,
    Signals,
    StoppedBeforeStart,
)


@pytest.mark.parametrize("second", [*STOP_SIGNALS, RELOAD_SIGNAL])
def test_second_signal_does_not_end_a_stopping_process(run, second):
    """Guards against a second signal that aborts a planned stop, also between the first
    signal and the daemon's reaction to it."""

    async def main():
        with Signals() as signals:
            stop = await curio.spawn(signals.wait_for_stop, lambda: None)
            await curio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            assert (await stop.join()).signal_name == "SIGTERM"
            assert signal.getsignal(second) is signal.SIG_IGN
            os.kill(os.getpid(), second)
            await curio.sleep(0.01)
        assert signal.getsignal(second) is signal.SIG_IGN

    run(main)


def test_cancelled_wait_restores_the_handlers(run):
    """Guards against a process that ignores stop signals after its daemon failed."""

    async def main():
        before = signal.getsignal(signal.SIGTERM)
        with Signals() as signals:
            stop = await curio.spawn(signals.wait_for_stop)
            await curio.sleep(0.01)
            await stop.cancel()
        assert signal.getsignal(signal.SIGTERM) is before

    run(main)


def test_signals_before_the_event_loop_are_kept(run):
    """Guards against a stop or reload signal that is lost, or ends the process, while
    it starts; and against a grace period that counts from the start of the loop."""
    reloads = []

    async def main(signals):
        before = system_clock()
        stop = await signals.wait_for_stop(lambda: reloads.append(1))
        assert stop.signal_name == "SIGINT"
        assert before - stop.received_at > 10.0

    with Signals() as signals:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGINT)
        time.sleep(0.02)
        os.kill(os.getpid(), signal.SIGTERM)
        run(lambda: main(signals))
    assert reloads == [1]


def test_stop_before_the_first_listener_ends_the_start():
    """Guards against a process that starts up in full though it is to stop."""
    with Signals() as signals:
        signals.check_not_stopped()
        os.kill(os.getpid(), signal.SIGTERM)
        with pytest.raises(StoppedBeforeStart):
            signals.check_not_stopped()


@pytest.mark.parametrize("n_reloads", [1, 100, 2_000])
def test_stop_after_many_reloads_is_kept(run, n_reloads):
    """Guards against a stop signal that is lost, since the signals before it have
    filled the wakeup socket of a process that starts."""
    reloads = []

    async def main(signals):
        async with curio.timeout_after(2):
            stop = await signals.wait_for_stop(lambda: reloads.append(1))
        assert stop.signal_name == "SIGTERM"

    with Signals() as signals:
        for _ in range(n_reloads):
            os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        run(lambda: main(signals))


def test_reload_between_others_is_not_missed(run):
    """Guards against settings that are read before the last change of several."""
    reloads = []

    async def main(signals):
        stop = await curio.spawn(signals.wait_for_stop, lambda: reloads.append(1))
        for number in (1, 2):
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGHUP)
            await curio.sleep(0.02)
            assert len(reloads) >= number
        os.kill(os.getpid(), signal.SIGTERM)
        await stop.join()

    with Signals() as signals:
        run(lambda: main(signals))
