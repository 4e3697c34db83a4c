"""A real entry that is started again while its predecessor still drains."""

import signal
import time

import curio

from benchmarks.soak import Program
from pollenfold.tests.platform.test_drain_instants import Callers, start_entry

NUMBER = 9
"""Selects a host that no other test uses."""

OLD_ENDS_S = 6.5
NEW_STARTS_AFTER_S = 1.5
"""After the stop signal; the predecessor closes its listener 2.7 s after it."""


def test_entry_that_waits_for_the_port_takes_no_caller_from_its_predecessor(
    run, tmp_path
):
    """Guards against connections that a process accepts and resets while the one that
    it replaces still drains on the same port."""
    old = start_entry(tmp_path, NUMBER)
    new = Program("n", "entry", old.host, "a", tmp_path / "new")
    new.folder.mkdir()

    async def main():
        callers = Callers(old.host, NUMBER)
        tasks = [await curio.spawn(callers.run, n < 4) for n in range(8)]
        await curio.sleep(0.3)
        old.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        await curio.sleep(NEW_STARTS_AFTER_S)
        new.start(["127.231.9.1"], True)
        while not new.has_started():
            assert time.monotonic() < stopped_at + OLD_ENDS_S, log_of(new)
            await curio.sleep(0.02)
        n_before = callers.n_answered
        await curio.sleep(1.0)
        callers.is_over = True
        for task in tasks:
            await task.join()
        return callers, callers.n_answered - n_before

    try:
        callers, n_of_new = run(main)
        assert old.process.wait(timeout=OLD_ENDS_S) == 0
        assert callers.lost == []
        assert callers.n_unread == 0
        assert n_of_new > 10
    finally:
        old.kill()
        new.kill()


def log_of(program):
    return (program.folder / "log").read_text()
