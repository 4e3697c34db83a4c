"""A short soak run with a fixed seed and with every seed that has ever failed."""

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.soak import Program, run_seed

FAILED_SEEDS = {
    3: "a second SIGTERM ended a control process that was stopping",
    8: "a SIGHUP ended an entry that was starting or stopping",
}


@pytest.mark.parametrize("seed", sorted({100, *FAILED_SEEDS}))
def test_promises_hold_under_faults(seed, tmp_path: Path):
    """Guards against promises that are broken while external faults overlap."""
    assert run_seed(seed, 1, tmp_path) == []


@pytest.fixture
def program(tmp_path):
    """Return a program of the soak whose process is idle; end it after the test."""
    program = Program("control-1", "control", "127.0.0.1", "a", tmp_path)
    program.process = subprocess.Popen(
        [sys.executable, "-c", "input()"], stdin=subprocess.PIPE
    )
    yield program
    program.kill()


def test_process_that_runs_is_not_replaced(program):
    """Guards against an orphaned process, which keeps its addresses so that the next
    soak runs fail to bind them."""
    before = program.process
    program.start([], False)
    assert program.process is before


def test_planned_stop_is_required_only_of_a_started_process(program):
    """Guards against a false report about a process that got a signal before it had
    installed its handlers, however long it takes to start on a busy machine."""
    log = program.folder / "log"
    log.write_text("event=started role=control\n")
    program.n_log_bytes = log.stat().st_size
    assert not program.has_started()
    log.write_text(2 * "event=started role=control\n")
    assert program.has_started()
