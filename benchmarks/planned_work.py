"""Planned work on real processes under load: each accepted request gets an answer.

    python -m benchmarks.planned_work --seeds 1-5 --seconds 40

Entries are stopped and started in turn, settings are reloaded, configurations and zones
change and control processes are killed, in series that overlap, while callers use kept
connections until they end. Some processes are signalled again at any instant after
their start, which may be slow, while callers connect to them. Some requests have long
bodies. A request counts as lost if a server ran it, or if the entry closed its
connection later than ``LOSS_SLACK_S`` after the last byte, and its caller got no
complete answer. The check is valid since nothing else is disturbed: neither servers,
nor links, nor entries other than by SIGTERM and SIGHUP.
"""

from __future__ import annotations

import argparse
import itertools
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from benchmarks.early_stops import (
    FAULT_SERIES,
    PLANNED_SERIES,
    EarlyLife,
    draw_life,
    end_life,
    reload,
    start_life,
    wait_for_end,
)
from benchmarks.soak import CALLER_PORT, CONTROL_PORT, ROOT, Program, Soak
from pollenfold.http.client import HttpConnection

LOSS_SLACK_S = 0.2
DEADLINE_MS = 1_000
WAIT_MS = 2_500.0
EARLY_DEADLINE_MS = 5_000
EARLY_WAIT_MS = 8_000.0
"""A caller of an entry that hasn't started waits for its start, and for the grace
period: beside load, a start can outlast the deadline of a request."""

CONNECT_EVERY_S = 0.002
SEND_EVERY_S = 0.02
N_EARLY_CALLERS = 3
STOP_LIMIT_S = 8.0
N_CALLERS = 6
BODY_SIZES = (0, 0, 0, 2_000, 40_000, 200_000)
ZONES = ("a", "b", "c", "d")


class PlannedWork(Soak):
    """A system of four zones with planned work, and the requests that it lost."""

    def __post_init__(self) -> None:
        super().__post_init__()
        network = self.entries[0].host.rpartition(".2.")[0]
        self.entries = [self._make_entry(network, number) for number in range(8)]
        self.lost: list[str] = []
        self.n_lives = 0
        self.n_reads = 0
        self.early_entries: set[str] = set()
        """Names of entries that are stopped early in their lives now."""

        self.late: dict[str, str] = {}
        """Requests whose caller saw the connection end, with what it saw."""

    def _make_entry(self, network: str, number: int) -> Program:
        name = f"front-{number}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        host = f"{network}.4.{number + 1}"
        return Program(name, "entry", host, ZONES[number % len(ZONES)], folder)

    async def run_caller(self, number: int) -> None:
        """Send requests on kept connections, which are used until they end."""
        rng = random.Random(self.seed * 1000 + number)
        n_calls = 0
        while not self.is_over:
            entry = rng.choice(self.entries)
            try:
                async with curio.timeout_after(0.5):
                    connection = await HttpConnection.open(entry.host, CALLER_PORT)
            except (OSError, curio.TaskTimeout):
                await curio.sleep(0.02)
                continue
            is_reusable = True
            while is_reusable and not self.is_over:
                await curio.sleep(rng.uniform(0.0, 0.03))
                n_calls += 1
                request_id = f"{number}-{n_calls}"
                is_reusable = await self._send(connection, rng, request_id, entry)
            await connection.close()

    async def _send(
        self,
        connection: HttpConnection,
        rng: random.Random,
        request_id: str,
        entry: Program,
        deadline_ms: int = DEADLINE_MS,
    ) -> bool:
        """Send one request; record how its connection ended without an answer."""
        kind = rng.choice(("safe", "unsafe"))
        body = b"" if kind == "safe" else b"x" * rng.choice(BODY_SIZES)
        request_id = f"{kind}-{request_id}"
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"%d" % deadline_ms),
        ]
        method = b"GET" if kind == "safe" else b"POST"
        wait_ms = WAIT_MS
        if connection.n_exchanges == 0 and not entry.has_started():
            wait_ms = EARLY_WAIT_MS
        self.n_sent += 1
        n_before = connection.n_exchanges
        path = f"/{kind}/{request_id}".encode()
        failure = await connection.send(method, path, headers, body)
        sent_at = time.monotonic()
        if failure is None:
            result = await connection.receive(wait_ms)
            if result.is_ok():
                self.n_served += result.ok.status == 200
                return connection.is_reusable
            failure = result.error
        waited_s = time.monotonic() - sent_at
        self.late[request_id] = (
            f"{entry.name} {failure.value} after {waited_s:.3f} s, request "
            f"{n_before + 1} of its connection, {len(body)} bytes"
        )
        if waited_s > LOSS_SLACK_S:
            self.lost.append(f"{request_id}: {self.late[request_id]}")
        return False

    async def call_starting_entry(
        self, entry: Program, name: str, rng: random.Random
    ) -> None:
        """Send requests to an entry from its first accepted connection to its end."""
        numbers = itertools.count(1)

        async def send(connection: HttpConnection) -> bool:
            request_id = f"{name}-{next(numbers)}"
            return await self._send(
                connection, rng, request_id, entry, EARLY_DEADLINE_MS
            )

        await use_until_end(entry, CALLER_PORT, send)

    async def read_from_starting_control(self, control: Program) -> None:
        """Read the configuration from a control process until its end."""

        async def send(connection: HttpConnection) -> bool:
            headers = [(b"host", control.host.encode())]
            self.n_reads += 1
            failure = await connection.send(b"GET", b"/-/config", headers, b"")
            sent_at = time.monotonic()
            if failure is None:
                result = await connection.receive(EARLY_WAIT_MS)
                if result.is_ok():
                    return connection.is_reusable
                failure = result.error
            waited_s = time.monotonic() - sent_at
            if waited_s > LOSS_SLACK_S:
                self.lost.append(
                    f"read {self.n_reads}: {control.name} {failure.value} "
                    f"after {waited_s:.3f} s"
                )
            return False

        await use_until_end(control, CONTROL_PORT, send)

    # Planned work

    async def work(self, seconds: float) -> None:
        """Do planned work in series that overlap."""
        until = time.monotonic() + seconds
        tasks = [
            await curio.spawn(self._roll_entries, until),
            await curio.spawn(self._reload, until),
            await curio.spawn(self._configure, until),
            await curio.spawn(self._order_zones, until),
            await curio.spawn(self._kill_control, until),
            await curio.spawn(self._end_lives_early, until),
        ]
        for task in tasks:
            await task.join()

    async def _roll_entries(self, until: float) -> None:
        while time.monotonic() < until:
            for entry in self.rng.sample(self.entries, 2):
                await curio.spawn(self._restart_entry, entry, daemon=True)
            await curio.sleep(5.0)

    async def _restart_entry(self, entry: Program) -> None:
        process = entry.process
        entry.signal(signal.SIGTERM)
        await wait_for_end(self, entry, process, "SIGTERM")
        entry.start(self.seeds, False)

    async def _end_lives_early(self, until: float) -> None:
        """Stop entries at instants of their lives that the seed draws."""
        rng = self.early_rngs["entry"]
        async with curio.TaskGroup() as group:
            while time.monotonic() < until:
                entry = rng.choice(self.entries)
                life = draw_life(rng, entry.role, PLANNED_SERIES)
                if entry.name not in self.early_entries:
                    await group.spawn(self._end_entry_early, entry, life)
                await curio.sleep(rng.uniform(0.5, 1.5))

    async def _end_entry_early(self, entry: Program, life: EarlyLife) -> None:
        """Stop an entry, and the process that starts in its place; start it again."""
        self.early_entries.add(entry.name)
        process = entry.process
        entry.signal(signal.SIGTERM)
        await wait_for_end(self, entry, process, "SIGTERM")
        start_life(self, entry, life)
        self.n_lives += 1
        callers = []
        for number in range(N_EARLY_CALLERS):
            name = f"early-{self.n_lives}-{number}"
            rng = random.Random(f"{self.seed}-{name}")
            callers.append(
                await curio.spawn(self.call_starting_entry, entry, name, rng)
            )
        await end_life(self, entry, life)
        for caller in callers:
            await caller.join()
        entry.start(self.seeds, False)
        self.early_entries.remove(entry.name)

    async def _reload(self, until: float) -> None:
        while time.monotonic() < until:
            entry = self.rng.choice(self.entries)
            await reload(self, entry)
            await curio.sleep(self.rng.uniform(0.2, 1.0))

    async def _configure(self, until: float) -> None:
        while time.monotonic() < until:
            await self.put_configuration()
            await curio.sleep(self.rng.uniform(0.3, 1.5))

    async def _order_zones(self, until: float) -> None:
        while time.monotonic() < until:
            await self.zone_out_and_in()

    async def _kill_control(self, until: float) -> None:
        while time.monotonic() < until:
            await curio.sleep(self.rng.uniform(2.0, 5.0))
            control = self.rng.choice(self.controls)
            control.kill()
            await curio.sleep(0.3)
            rng = self.early_rngs["control"]
            await self._end_control_early(
                control, draw_life(rng, control.role, FAULT_SERIES)
            )

    async def _end_control_early(self, control: Program, life: EarlyLife) -> None:
        """Start a control process, end it early in its life and start it again."""
        start_life(self, control, life)
        operators = []
        if not life.is_killed:
            operators = [
                await curio.spawn(self.read_from_starting_control, control)
                for _ in range(N_EARLY_CALLERS)
            ]
        await end_life(self, control, life)
        for operator in operators:
            await operator.join()
        control.start(self.seeds, False)

    async def play(self, seconds: float) -> None:
        """Start everything, work under load, then judge what callers got."""
        for program in self.controls + self.entries:
            program.start(self.seeds, True)
        for backend in self.backends:
            await backend.start(self.seeds, CONTROL_PORT)
        await self.put_configuration()
        callers = [await curio.spawn(self.run_caller, k) for k in range(N_CALLERS)]
        await curio.sleep(3.0)
        await self.work(seconds)
        await curio.sleep(STOP_LIMIT_S)
        self.is_over = True
        for caller in callers:
            await caller.join()
        self._judge()

    def _judge(self) -> None:
        ran = {request_id for b in self.backends for request_id in b.executions}
        for request_id, seen in self.late.items():
            if request_id in ran:
                self.lost.append(f"{request_id} ran: {seen}")
        for text in sorted(set(self.lost)):
            self.add_violation(f"no answer: {text}")
        for backend in self.backends:
            for request_id, n in backend.executions.items():
                if n > 1 and request_id.startswith("unsafe"):
                    self.add_violation(f"{request_id} was executed {n} times")


async def use_until_end(
    program: Program, port: int, send: Callable[[HttpConnection], Awaitable[bool]]
) -> None:
    """Use connections to a process from the first that it accepts until it is gone.

    ``send`` returns whether its connection can be used again.
    """
    process = program.process
    while process is not None and process.poll() is None:
        try:
            async with curio.timeout_after(0.5):
                connection = await HttpConnection.open(program.host, port)
        except (OSError, curio.TaskTimeout):
            await curio.sleep(CONNECT_EVERY_S)
            continue
        is_reusable = True
        while is_reusable and process.poll() is None:
            is_reusable = await send(connection)
            await curio.sleep(SEND_EVERY_S)
        await connection.close()


def run_seed(
    seed: int, seconds: float, keep: Path | None, root: Path = ROOT
) -> list[str]:
    """Play one seed and return the violations; keep the logs of a failed run.

    ``root`` is the folder with the version of the program that is run.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"planned-{seed}-"))
    work = PlannedWork(seed, folder, 1)
    work.set_root(root)
    try:
        curio.run(work.play, seconds)
    finally:
        work.stop()
        if work.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    counts = f"lives={work.n_lives} reads={work.n_reads} "
    counts += f"sent={work.n_sent} served={work.n_served} unanswered={len(work.late)}"
    print(f"seed={seed} {counts} violations={len(work.violations)}", flush=True)
    return work.violations


def main() -> int:
    """Play the given seeds; the exit status is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-2", help="for example 1-5")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    violations = []
    for seed in range(int(first), int(last or first) + 1):
        violations += run_seed(seed, arguments.seconds, arguments.keep, arguments.root)
    print("\n".join(violations) or "no broken promise")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
