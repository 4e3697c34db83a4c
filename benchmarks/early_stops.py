"""Signals at any instant of a process's life, its first half second included.

A process that accepts connections must keep what accepting promises, however early it
is stopped. A seed draws when the signals come, which ones they are, and whether the
start is slow at one point, as on a busy VM.
"""

from __future__ import annotations

import math
import random
import signal
import socket
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import curio

STOP_LIMIT_S = 7.0
"""The grace period of 6 s, and the time that a busy machine takes to end a process."""

ACCEPT_WAIT_S = 0.2
"""A connection that is neither accepted nor refused for so long waits in a full queue
of connections, so the process listens."""

RELOAD_S = 0.1
"""Time after which a SIGHUP has ended a process that hasn't set its handler yet."""

EARLY_S = 0.5
LATE_S = 3.0
EARLY_SHARE = 0.75
"""Share of the first signals that come within ``EARLY_S`` after the start; the others
come within ``LATE_S``."""

FROM_ACCEPT_SHARE = 0.5
START_LIMIT_S = 5.0
"""The longest wait for a process to accept connections."""

SLOW_SHARE = 0.5
MAX_SLOW_S = 0.8
MAX_GAP_S = 0.3
MAX_LONG_GAP_S = 4.0
"""Longest time between two signals when the later one meets a process that drains."""

SLOW_POINTS = {
    "entry": (
        "pollenfold.gateway.daemon",
        "pollenfold.gateway.daemon:Gateway.__init__",
    ),
    "control": (
        "pollenfold.control.cluster",
        "pollenfold.control.cluster:ClusterNode.load_endpoints",
    ),
}
"""Where the start of a role may be slow."""

PLANNED_SERIES = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)
FAULT_SERIES = (*PLANNED_SERIES, (signal.SIGKILL,), (signal.SIGHUP, signal.SIGKILL))
"""Each series ends the process."""


class Program(Protocol):
    """A process that can be signalled and started again."""

    name: str
    role: str
    module: tuple[str, ...]
    process: subprocess.Popen[bytes] | None

    def start(self, seeds: list[str], is_first: bool) -> None: ...
    def signal(self, number: int) -> None: ...
    def kill(self) -> None: ...
    def is_accepting(self) -> bool: ...
    def must_end_planned(self, process: subprocess.Popen[bytes]) -> bool: ...


class System(Protocol):
    """What starts programs and collects violations."""

    seed: int
    seeds: list[str]

    def add_violation(self, text: str) -> None: ...


@dataclass(frozen=True, slots=True)
class EarlyLife:
    """How a process starts and which signals end it, after which waits in s."""

    slow_point: str
    """Empty for a start that isn't slowed."""

    slow_s: float
    is_from_accept: bool
    """Whether the first wait begins when the kernel accepts connections for the
    process, instead of when it is started. How long it takes until then depends on the
    machine."""

    signals: tuple[tuple[float, int], ...]
    """Each signal after the time that passes before it."""

    @property
    def module(self) -> tuple[str, ...]:
        """The module that is run, with the arguments before the role."""
        if not self.slow_point:
            return ("pollenfold.platform",)
        return ("pollenfold.testing.slow_start", self.slow_point, f"{self.slow_s:.3f}")

    @property
    def is_killed(self) -> bool:
        return any(number == signal.SIGKILL for _, number in self.signals)

    def __str__(self) -> str:
        signals = ",".join(
            f"{signal.Signals(number).name}@+{wait_s:.3f}"
            for wait_s, number in self.signals
        )
        slow = f"slow={self.slow_point or 'none'}:{self.slow_s:.3f}"
        since = "accept" if self.is_from_accept else "start"
        return f"{slow} since={since} signals={signals}"


def draw_life(
    rng: random.Random, role: str, series: tuple[tuple[int, ...], ...]
) -> EarlyLife:
    """Draw a life that one of the series of signals ends."""
    slow_point = rng.choice(SLOW_POINTS[role]) if rng.random() < SLOW_SHARE else ""
    slow_s = rng.uniform(0.1, MAX_SLOW_S)
    is_from_accept = rng.random() < FROM_ACCEPT_SHARE
    is_early = rng.random() < EARLY_SHARE
    waits_s = [rng.uniform(0.0, EARLY_S) if is_early else rng.uniform(EARLY_S, LATE_S)]
    numbers = rng.choice(series)
    for _ in numbers[1:]:
        longest_s = MAX_GAP_S if rng.random() < EARLY_SHARE else MAX_LONG_GAP_S
        waits_s.append(rng.uniform(0.0, longest_s))
    signals = tuple(zip(waits_s, numbers, strict=True))
    return EarlyLife(slow_point, slow_s, is_from_accept, signals)


def is_accepting(host: str, port: int) -> bool:
    """Return whether the kernel accepts connections for a process at an address."""
    try:
        socket.create_connection((host, port), timeout=ACCEPT_WAIT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return True
    return True


async def wait_for_end(
    system: System,
    program: Program,
    process: subprocess.Popen[bytes] | None,
    cause: str,
    stopped_at: float = math.inf,
) -> None:
    """Wait until a process has ended after a signal; report how it must not end.

    The limit counts from ``stopped_at``, the time of the first stop signal, if that is
    earlier than now.
    """
    if process is None:
        return
    deadline = min(stopped_at, time.monotonic()) + STOP_LIMIT_S
    while process.poll() is None and time.monotonic() < deadline:
        await curio.sleep(0.02)
    if process.poll() is None:
        system.add_violation(f"{program.name} still runs 7 s after {cause}")
        program.kill()
        return
    check_end(system, program, process, cause)


def check_end(
    system: System, program: Program, process: subprocess.Popen[bytes], cause: str
) -> None:
    """Report the exit status of a process that must not end so.

    A signal may end a process by its default action only if no connection to it had
    been accepted by then. Another fault may have killed it.
    """
    allowed = {0, -signal.SIGKILL}
    if not program.must_end_planned(process):
        allowed |= {-signal.SIGTERM, -signal.SIGHUP}
    if process.returncode not in allowed:
        system.add_violation(
            f"{program.name} exited with {process.returncode} after {cause}"
        )


async def reload(system: System, program: Program) -> None:
    """Send SIGHUP, which may end only a process that accepts nothing yet."""
    process = program.process
    program.signal(signal.SIGHUP)
    await curio.sleep(RELOAD_S)
    if process is not None and process.poll() is not None:
        check_end(system, program, process, "SIGHUP")
        program.start(system.seeds, False)


def start_life(system: System, program: Program, life: EarlyLife) -> None:
    """Start a program as its life says; later starts are as before."""
    print(f"seed={system.seed} life={program.name} {life}", flush=True)
    module, program.module = program.module, life.module
    program.start(system.seeds, False)
    program.module = module


async def _wait_for_accept(program: Program) -> None:
    deadline = time.monotonic() + START_LIMIT_S
    while not program.is_accepting() and time.monotonic() < deadline:
        await curio.sleep(0.01)


async def end_life(system: System, program: Program, life: EarlyLife) -> None:
    """Send the signals of a life to the process that runs and wait for its end."""
    process = program.process
    if life.is_from_accept:
        await _wait_for_accept(program)
    stopped_at = math.inf
    for wait_s, number in life.signals:
        await curio.sleep(wait_s)
        if process is program.process:
            program.signal(number)
        if number != signal.SIGHUP:
            stopped_at = min(stopped_at, time.monotonic())
    await wait_for_end(system, program, process, str(life), stopped_at)


async def end_lives_early(
    system: System,
    programs: Sequence[Program],
    rng: random.Random,
    deadline: float,
) -> None:
    """Kill processes, and end those that start instead at drawn instants.

    One process is treated after the other until the deadline.
    """
    while time.monotonic() < deadline:
        program = rng.choice(programs)
        life = draw_life(rng, program.role, FAULT_SERIES)
        program.kill()
        start_life(system, program, life)
        await end_life(system, program, life)
        program.start(system.seeds, False)
