"""A day of planned work on real processes, and what was lost on it.

    python -m benchmarks.lost_day --seeds 1-3 --seconds 20
    python -m benchmarks.lost_day --seeds 1-3 --root /tmp/earlier --busy 8

Twelve entries in four zones, five control replicas and 24 servers work under load while
entries and replicas are stopped and started, settings are reloaded, configurations and
zones change and servers leave, in series that overlap. At the end all processes are
killed right after an acknowledgement, and two disks are wiped. Requests that got no
response, and what was acknowledged and is gone, are cases (``lost_requests.py``).
"""

from __future__ import annotations

import argparse
import itertools
import json
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio

from benchmarks.disk_losses import (
    FIRST_ORDER_LIMIT_S,
    LAST_ORDER_LIMIT_S,
    N_TOLERATED,
    DiskLosses,
)
from benchmarks.early_stops import RELOAD_S, check_end, wait_for_end
from benchmarks.lost_requests import (
    TIMEOUTS_MS,
    Life,
    Requests,
    WorkingBackend,
    connect,
    copy_logs,
)
from benchmarks.planned_work import use_until_end
from benchmarks.soak import CALLER_PORT, CONTROL_PORT, ROOT, Program, exchange
from pollenfold.http.client import HttpConnection

ZONES = ("a", "b", "c", "d")
N_ENTRIES = 12
N_BACKENDS = 24
N_HANGING = 6
N_CALLERS = 110
N_KEPT = 25
"""Callers that use a connection until the entry closes it; the others open one for each
request."""

N_EARLY_CALLERS = 3
FIRST_HOSTS = {"entry": 50, "backend": 100}
EARLY_STOP_SHARE = 0.4
MAX_EARLY_S = 2.0
WARM_UP_S = 2.0
LEAVE_S = 2.0
CONTROL_PAUSE_S = 4.3


class LostDay(DiskLosses):
    """One day: its processes, what callers saw and what operators were told."""

    def __init__(self, seed: int, folder: Path, root: Path) -> None:
        super().__init__(seed, folder, 1, root)
        self.folder = folder
        self.requests = Requests()
        self.is_over = False
        self.n_restarts = self.n_early_stops = 0
        self.seeds = self._seeds
        network = self.replicas[0].program.host.rpartition(".")[0]
        self.entries = []
        for number in range(N_ENTRIES):
            home = folder / f"front-{number}"
            home.mkdir(parents=True)
            host = f"{network}.{FIRST_HOSTS['entry'] + number}"
            zone = ZONES[number % len(ZONES)]
            entry = Program(home.name, "entry", host, zone, home, root=root)
            entry.n_tolerated = N_TOLERATED
            self.entries.append(entry)
        self.backends = []
        for number in range(N_BACKENDS):
            host = f"{network}.{FIRST_HOSTS['backend'] + number}"
            backend = WorkingBackend(f"i-{number}", host, ZONES[number % len(ZONES)])
            backend.hangs_when_full = number < N_HANGING
            self.backends.append(backend)
        self.lives: dict[str, Life] = {}
        self.held: set[str] = set()
        """Names of entries that are stopped, started or reloaded now."""

    def add_violation(self, text: str) -> None:
        """Record an exit that must not be; requests that it cost are cases."""
        self.violations.append(text)

    def configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration with four kinds of request."""
        document = super().configuration(version)
        route = document["hosts"][0]["paths"][0]
        document["hosts"][0]["paths"] = [
            route
            | {
                "name": kind,
                "pathPrefix": f"/{kind}/",
                "kind": kind.partition("-")[0],
                "timeoutMs": timeout_ms,
            }
            for kind, timeout_ms in TIMEOUTS_MS.items()
        ]
        return document

    def _draw_zone(self) -> str:
        """Take the evacuated zone back, if any, so that servers of others are left."""
        out = [zone for zone, is_out in self.acknowledged.zones.items() if is_out]
        return out[0] if out else super()._draw_zone()

    # Processes

    def start_entry(self, entry: Program, is_first: bool = False) -> None:
        """Start an entry and remember which process writes its log from here on."""
        entry.start(self.seeds, is_first)
        assert entry.process is not None
        former = self.lives.get(entry.name)
        if former is not None:
            former.log_end = entry.n_log_bytes
        self.lives[entry.name] = Life(entry, entry.process, entry.n_log_bytes)

    async def stop_entry(self, entry: Program) -> None:
        """Stop an entry as planned and wait for its end."""
        life = self.lives[entry.name]
        life.stopped_at = time.monotonic()
        entry.signal(signal.SIGTERM)
        await wait_for_end(self, entry, life.process, "SIGTERM")

    # Callers

    async def run_caller(self, number: int) -> None:
        """Send requests; some callers keep a connection until its entry closes it."""
        rng = random.Random(f"{self.seed}-{number}")
        keeps = number < N_KEPT
        while not self.is_over:
            entry = rng.choice(self.entries)
            life = self.lives[entry.name]
            connection = await connect(entry)
            if connection is None:
                await curio.sleep(0.05)
                continue
            is_reusable = True
            while is_reusable:
                is_reusable = await self.requests.send(
                    connection, rng, str(number), life
                )
                await curio.sleep(rng.uniform(0.3, 1.2))
                is_reusable &= keeps and not self.is_over
            await connection.close()

    async def call_starting_entry(self, entry: Program, name: str) -> None:
        """Send requests to an entry from its first accepted connection to its end."""
        rng = random.Random(f"{self.seed}-{name}")
        life = self.lives[entry.name]

        async def send(connection: HttpConnection) -> bool:
            return await self.requests.send(connection, rng, name, life)

        await use_until_end(entry, CALLER_PORT, send)

    # Planned work

    async def work(self, seconds: float) -> None:
        """Do planned work in series that overlap."""
        until = time.monotonic() + seconds
        async with curio.TaskGroup() as group:
            for series in (
                self._roll_entries,
                self._reload_entries,
                self._leave,
                self._stop_controls,
                self._repeat_configure,
                self._repeat_zones,
            ):
                await group.spawn(series, until)

    def _hold_entry(self, rng: random.Random) -> Program:
        """Draw an entry that nothing is done to, for one work at a time on each."""
        entry = rng.choice([e for e in self.entries if e.name not in self.held])
        self.held.add(entry.name)
        return entry

    async def _roll_entries(self, until: float) -> None:
        rng = random.Random(f"{self.seed}-roll")
        async with curio.TaskGroup() as group:
            while time.monotonic() < until:
                if len(self.held) < N_ENTRIES // 2:
                    is_early = rng.random() < EARLY_STOP_SHARE
                    early_s = rng.uniform(0.0, MAX_EARLY_S) if is_early else None
                    await group.spawn(self._restart, self._hold_entry(rng), early_s)
                await curio.sleep(rng.uniform(0.3, 1.2))

    async def _restart(self, entry: Program, early_s: float | None) -> None:
        """Stop an entry and start it again, perhaps with a stop soon after a start."""
        self.n_restarts += 1
        await self.stop_entry(entry)
        self.start_entry(entry)
        if early_s is not None:
            self.n_early_stops += 1
            callers = []
            for number in range(N_EARLY_CALLERS):
                name = f"early-{self.n_early_stops}-{number}"
                callers.append(await curio.spawn(self.call_starting_entry, entry, name))
            await curio.sleep(early_s)
            await self.stop_entry(entry)
            for caller in callers:
                await caller.join()
            self.start_entry(entry)
        self.held.remove(entry.name)

    async def _reload_entries(self, until: float) -> None:
        rng = random.Random(f"{self.seed}-reload")
        while time.monotonic() < until:
            await self._reload(self._hold_entry(rng))
            await curio.sleep(rng.uniform(0.3, 1.2))

    async def _reload(self, entry: Program) -> None:
        life = self.lives[entry.name]
        entry.signal(signal.SIGHUP)
        await curio.sleep(RELOAD_S)
        if life.process.poll() is not None:
            check_end(self, entry, life.process, "SIGHUP")
            self.start_entry(entry)
        self.held.remove(entry.name)

    async def _leave(self, until: float) -> None:
        rng = random.Random(f"{self.seed}-leave")
        while time.monotonic() < until:
            backend = rng.choice(self.backends)
            backend.is_leaving = True
            host = rng.choice(self.replicas).program.host
            path = f"/-/instances/{backend.name}"
            body = json.dumps(backend.announcement()).encode()
            await exchange(host, CONTROL_PORT, b"PUT", path, [], body, 1.0)
            await curio.sleep(LEAVE_S)
            await backend.start_new_incarnation()

    async def _stop_controls(self, until: float) -> None:
        rng = random.Random(f"{self.seed}-controls")
        while time.monotonic() < until:
            program = rng.choice(self.replicas).program
            process = program.process
            program.signal(signal.SIGTERM)
            await wait_for_end(self, program, process, "SIGTERM")
            program.start(self.seeds, False)
            await curio.sleep(CONTROL_PAUSE_S)

    async def _repeat_configure(self, until: float) -> None:
        await self._repeat_until(self.configure, until)

    async def _repeat_zones(self, until: float) -> None:
        await self._repeat_until(self.order_zone, until)

    async def _repeat_until(
        self, order: Callable[[float], Awaitable[bool]], until: float
    ) -> None:
        rng = random.Random(f"{self.seed}-{order.__name__}")
        while time.monotonic() < until:
            await order(LAST_ORDER_LIMIT_S)
            await curio.sleep(rng.uniform(0.5, 1.5))

    # The day

    async def play(self, seconds: float) -> list[str]:
        """Play the day and return the cases."""
        for replica in self.replicas:
            replica.program.start(self.seeds, True)
        for entry in self.entries:
            self.start_entry(entry, True)
        for backend in self.backends:
            await backend.start(self.seeds, CONTROL_PORT)
        if not await self.configure(FIRST_ORDER_LIMIT_S):
            return ["the first configuration was not acknowledged"]
        callers = [await curio.spawn(self.run_caller, k) for k in range(N_CALLERS)]
        await curio.sleep(WARM_UP_S)
        await self.work(seconds)
        await curio.sleep(1.0)
        self.is_over = True
        for caller in callers:
            await caller.join()
        ran = {request_id for b in self.backends for request_id in b.executions}
        return self.requests.cases(ran) + await self.lose_disks()

    async def lose_disks(self) -> list[str]:
        """Kill all right after an acknowledgement, wipe two disks, then read back."""
        n_before = self.n_acknowledged
        operators = await curio.spawn(self.run_operators)
        deadline = time.monotonic() + LAST_ORDER_LIMIT_S
        while self.n_acknowledged < n_before + 2 and time.monotonic() < deadline:
            await curio.sleep(0.002)
        self.final_fault()
        for entry in self.entries:
            entry.kill()
        await operators.join()
        for replica in self.replicas:
            self._start(replica)
        n_exits = len(self.violations)
        await self._judge()
        gone = self.violations[n_exits:]
        del self.violations[n_exits:]
        if gone and gone[0].startswith("nothing was read"):
            gone *= 1 + len(self.acknowledged.zones)
        return [f"final fault: {text}" for text in gone]

    def stop(self) -> None:
        """End all processes."""
        super().stop()
        for entry in self.entries:
            entry.kill()
            self.violations += entry.socket_violations()


def run_seed(
    seed: int, seconds: float, keep: Path | None, root: Path = ROOT
) -> tuple[list[str], list[str], Requests]:
    """Play one seed; return the cases, the unplanned exits and what callers sent.

    The logs of a day with cases are kept. ``root`` is the folder with the version of
    the program that is run.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"day-{seed}-"))
    day = LostDay(seed, folder, root)
    cases: list[str] = []
    try:
        cases = curio.run(day.play, seconds)
    finally:
        day.stop()
        if keep is not None and (cases or day.violations):
            copy_logs(folder, keep / f"seed-{seed}", cases + day.violations)
        shutil.rmtree(folder, ignore_errors=True)
    requests = day.requests
    print(
        f"seed={seed} sent={requests.n_sent} served={requests.n_served} "
        f"unserved={len(requests.unanswered)} statuses={requests.statuses} "
        f"restarts={day.n_restarts} early={day.n_early_stops} "
        f"orders={day.n_acknowledged} exits={len(day.violations)} cases={len(cases)}",
        flush=True,
    )
    for text in itertools.chain(cases, day.violations):
        print(f"  {text}", flush=True)
    return cases, day.violations, requests


def main() -> int:
    """Play the given seeds; the exit status is 1 if something was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="for example 1-5")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--busy", type=int, default=0, help="number of busy processes")
    parser.add_argument("--keep", type=Path, help="folder for logs of days with cases")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    busy = [
        subprocess.Popen([sys.executable, "-c", "while True: pass"])
        for _ in range(arguments.busy)
    ]
    n_faults = 0
    try:
        for seed in range(int(first), int(last or first) + 1):
            cases, exits, _ = run_seed(
                seed, arguments.seconds, arguments.keep, arguments.root
            )
            n_faults += len(cases) + len(exits)
    finally:
        for process in busy:
            process.kill()
            process.wait()
    return 1 if n_faults else 0


if __name__ == "__main__":
    sys.exit(main())
