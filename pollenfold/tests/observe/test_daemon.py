"""How daemons end: by a signal, by the failure of a task, by both."""

import os
import signal
import time

import curio
import pytest

from pollenfold.observe.clock import system_clock
from pollenfold.observe.daemon import wait_for_end
from pollenfold.observe.events import EventLog
from pollenfold.observe.signals import Signals

WAITED_MS = 200.0


@pytest.fixture
def log():
    return EventLog("e1", system_clock, write=len)


def test_grace_of_a_failure_after_a_stop_signal_counts_from_the_signal(run, log):
    """Guards against a daemon that is killed, since a task failed after the signal to
    stop and it drains for a whole grace period from then on."""

    async def fail():
        raise OSError("busy")

    async def main(signals, signalled_at):
        async with curio.TaskGroup(wait=None) as group:
            failing = await group.spawn(fail)
            while not failing.terminated:
                await curio.sleep(0)
            stop = await group.spawn(signals.wait_for_stop)
            end = await wait_for_end(group, stop, log, signals)
            await group.cancel_remaining()
        assert isinstance(end.failure, OSError)
        assert end.stop.received_at - signalled_at < WAITED_MS / 2

    with Signals() as signals:
        os.kill(os.getpid(), signal.SIGTERM)
        signalled_at = system_clock()
        time.sleep(WAITED_MS / 1000)
        run(lambda: main(signals, signalled_at))


def test_failure_of_the_task_of_the_signals_is_an_end(run, log):
    """Guards against a daemon that ends without a drain, since a reload failed in a way
    that nobody expected."""

    def reload():
        raise KeyError("settings")

    async def main(signals):
        async with curio.TaskGroup(wait=None) as group:
            stop = await group.spawn(signals.wait_for_stop, reload)
            os.kill(os.getpid(), signal.SIGHUP)
            end = await wait_for_end(group, stop, log, signals)
        assert isinstance(end.failure, KeyError)

    with Signals() as signals:
        run(lambda: main(signals))
