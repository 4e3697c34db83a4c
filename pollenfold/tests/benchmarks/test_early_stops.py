"""Stops at any instant of a process's life, and the check of how it ends."""

import random
import signal
import subprocess
import sys

import curio
import pytest

from benchmarks import planned_work
from benchmarks.early_stops import (
    EARLY_S,
    FAULT_SERIES,
    PLANNED_SERIES,
    draw_life,
    is_accepting,
    wait_for_end,
)
from benchmarks.soak import CALLER_PORT, Program

SEED = 189
"""Selects a network of loopback addresses that no other test uses."""

PLANNED_S = 10.0
LISTENING = """
import socket
listener = socket.create_server(({host!r}, {port}))
print(flush=True)
input()
"""
IDLE = """
print(flush=True)
input()
"""


class Violations:
    """Collects what would be reported by a soak."""

    def __init__(self):
        self.seeds = []
        self.violations = []

    def add_violation(self, text):
        self.violations.append(text)


@pytest.fixture
def entry(tmp_path):
    entry = Program("entry-0", "entry", "127.198.2.1", "a", tmp_path)
    (tmp_path / "log").touch()
    yield entry
    entry.kill()


def start(entry, code):
    """Let a process run that sets no handlers, and wait until it does."""
    code = code.format(host=entry.host, port=CALLER_PORT)
    entry.process = subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    entry.process.stdout.readline()


def violations_of_stop(entry):
    system = Violations()
    entry.signal(signal.SIGTERM)
    curio.run(wait_for_end, system, entry, entry.process, "SIGTERM")
    return system.violations


def test_requests_of_starting_and_stopping_entries_are_answered(tmp_path):
    """Guards against a process that is stopped early in its life, by one signal or
    several, and resets the requests which were accepted for it."""
    assert planned_work.run_seed(SEED, PLANNED_S, tmp_path) == []


def test_accepting_process_must_not_end_by_a_signal(entry):
    """Guards against a check that excuses a process which hasn't logged its start,
    though connections to it are accepted."""
    start(entry, LISTENING)
    assert is_accepting(entry.host, CALLER_PORT)
    assert violations_of_stop(entry) == ["entry-0 exited with -15 after SIGTERM"]


def test_process_that_accepts_nothing_may_end_by_a_signal(entry):
    """Guards against a false report about an interpreter that still loads."""
    start(entry, IDLE)
    assert not is_accepting(entry.host, CALLER_PORT)
    assert violations_of_stop(entry) == []


@pytest.mark.parametrize("role", ["entry", "control"])
def test_lives_are_drawn_by_the_seed(role):
    """Guards against signals that never come early, and against kills among planned
    work."""
    lives = [draw_life(random.Random(k), role, PLANNED_SERIES) for k in range(200)]
    again = [draw_life(random.Random(k), role, PLANNED_SERIES) for k in range(200)]
    assert lives == again
    first_s = [life.signals[0][0] for life in lives]
    assert min(first_s) < 0.05
    assert any(0.4 < wait_s < EARLY_S for wait_s in first_s)
    assert any(life.slow_point for life in lives)
    planned = {number for life in lives for _, number in life.signals}
    assert planned == {signal.SIGTERM, signal.SIGHUP}
    assert any(signal.SIGKILL in series for series in FAULT_SERIES)
