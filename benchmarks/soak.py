"""A soak of the real programs under faults from outside, by seed.

    python -m benchmarks.soak --seeds 1-50 --jobs 3

Entries and control replicas run as separate processes on loopback addresses. Phases
of faults (signals, lost disks, a proxy that delays, resets or silences the links to
backend servers) alternate with calm ones. The promises are checked while it runs from
what callers, backend servers and the operator see. Only processes that were started
here are ended, by their id.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import curio

from benchmarks.soak_backends import Link, SoakBackend
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Response, find_header

ROOT = Path(__file__).resolve().parent.parent
CALLER_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT = 8144, 8140, 8146, 7660
DRAIN_LIMIT_S = 2.0
ZONE_LIMIT_S = 5.0
RECOVERY_LIMIT_S = 15.0
CALM_BEFORE_ORDERS_S = 3.2
"""A process counts again so long after the last fault."""

REFUSALS = (408, 421, 429, 503)
ZONES = ("a", "b", "c")

SETTINGS = """
[self]
nodeName = "{name}"
ip = "{host}"
zone = "{zone}"
bootstrap = {bootstrap}
dataDir = "{folder}"
[network]
internalPorts = [{first_port},{last_port}]
seeds = [{seeds}]
[network.listenAddrs]
front = "{host}:{caller_port}"
ready = "{host}:{ready_port}"
control = "{host}:{control_port}"
[network.zones]
a = "r"
b = "r"
c = "r"
[terms.faultTolerance]
machines = 1
[terms.bounds]
graceS = 6
budgetRatio = 0.2
budgetWindowS = 10
extraRetries = 64
warmupBurstFactor = 1.5
coldSlack = 5
probesPerS = 60
"""


@dataclass
class Program:
    """One process of the system, with what it needs to be started again."""

    name: str
    role: str
    host: str
    zone: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    n_log_bytes: int = 0
    """How long the log was when the process was started."""

    def start(self, seeds: list[str], is_first: bool) -> None:
        if self.process is not None and self.process.poll() is None:
            # Another fault has started it already. A second process would take the
            # place of this one here, and nobody would end the first.
            return
        settings = self.folder / "settings.toml"
        data = self.folder / "data"
        data.mkdir(parents=True, exist_ok=True)
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            bootstrap="true" if is_first else "false",
            folder=data,
            first_port=FIRST_PORT,
            last_port=FIRST_PORT + 15,
            seeds=",".join(f'"{host}:{CONTROL_PORT}"' for host in seeds),
            caller_port=CALLER_PORT,
            ready_port=READY_PORT,
            control_port=CONTROL_PORT,
        )
        settings.write_text(text)
        with (self.folder / "log").open("ab") as log:
            self.n_log_bytes = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pollenfold.platform", self.role],
                cwd=ROOT,
                env={**os.environ, "POLLENFOLD_BOOT": str(settings)},
                stdout=log,
                stderr=log,
            )

    def has_started(self) -> bool:
        """Return whether the process wrote that it is up; its handlers are set then."""
        with (self.folder / "log").open("rb") as log:
            log.seek(self.n_log_bytes)
            return b"event=started " in log.read()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


@dataclass
class Soak:
    """One run: the programs, the fakes and what was seen."""

    seed: int
    folder: Path
    n_cycles: int
    rng: random.Random = field(default_factory=random.Random)
    violations: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    n_served: int = 0
    n_asked: int = 0
    version: int = 0
    acknowledged: int = 0
    last_fault_at: float = 0.0
    is_disk_lost: bool = False
    is_over: bool = False

    def __post_init__(self) -> None:
        self.rng.seed(self.seed)
        net = f"127.{10 + self.seed % 200}"
        self.controls = [self._program("control", net, 1, k) for k in range(3)]
        self.entries = [self._program("entry", net, 2, k) for k in range(3)]
        self.seeds = [program.host for program in self.controls]
        self.backends = [
            SoakBackend(f"i-{k}", f"{net}.3.{k + 1}", ZONES[k % 3]) for k in range(6)
        ]

    def _program(self, role: str, net: str, part: int, number: int) -> Program:
        name = f"{role}-{number}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        host = f"{net}.{part}.{number + 1}"
        return Program(name, role, host, ZONES[number], folder)

    def broken(self, text: str) -> None:
        self.violations.append(f"seed {self.seed} {text}")

    # Calls

    async def control_call(
        self, method: bytes, path: str, document: object = None, wait_s: float = 8.0
    ) -> Response | None:
        """Send an order until it gets a clear answer; None when it got none."""
        body = b"" if document is None else json.dumps(document).encode()
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            host = self.rng.choice(self.controls).host
            response = await exchange(host, CONTROL_PORT, method, path, [], body, 1.2)
            if response is not None and response.status in (200, 400, 404):
                return response
            await curio.sleep(0.05)
        return None

    def document(self, version: int) -> dict[str, object]:
        routes = [
            {
                "name": kind,
                "pathPrefix": f"/{kind}/",
                "kind": kind,
                "timeoutMs": 1000,
                "targetLatencyMs": 200,
                "priority": 1,
                "service": "s",
                "maxAttempts": 2,
            }
            for kind in ("safe", "unsafe")
        ]
        service = {"name": "s", "healthPath": "/healthz", "maxConns": 200}
        service |= {"warmupS": 3.0, "warmupPerS": 50.0}
        return {
            "version": version,
            "services": [service],
            "limits": {"idleMs": 15000, "headerMs": 3000},
            "hosts": [{"host": "h.example", "paths": routes}],
        }

    async def configure(self) -> None:
        """Put the next version and read it back."""
        self.version += 1
        version = self.version
        put = await self.control_call(b"PUT", "/-/config", self.document(version))
        if put is not None and put.status == 200:
            self.acknowledged = max(self.acknowledged, version)
        elif put is not None:
            self.broken(f"config {version} refused with {put.status}")
        before = self.acknowledged
        got = await self.control_call(b"GET", "/-/config", wait_s=1.0)
        if got is not None and got.status == 200:
            read = json.loads(got.body)["version"]
            if read < before:
                self.broken(f"config: read {read} after {before} was acknowledged")

    async def call_entries(self, number: int) -> None:
        """Be a caller that keeps a connection until the process is gone."""
        rng = random.Random(self.seed * 1000 + number)
        connection: HttpConnection | None = None
        n_calls = 0
        while not self.is_over:
            await curio.sleep(rng.uniform(0.0, 0.04))
            entry = rng.choice(self.entries)
            if connection is None:
                try:
                    async with curio.timeout_after(0.5):
                        connection = await HttpConnection.open(entry.host, CALLER_PORT)
                except (OSError, curio.TaskTimeout):
                    continue
            n_calls += 1
            kind = rng.choice(("safe", "unsafe"))
            request_id = f"{kind}-{number}-{n_calls}"
            self.n_asked += 1
            keeps = await self._call(connection, kind, request_id)
            if not keeps:
                await connection.close()
                connection = None

    async def _call(
        self, connection: HttpConnection, kind: str, request_id: str
    ) -> bool:
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"1000"),
        ]
        method = b"GET" if kind == "safe" else b"POST"
        target = f"/{kind}/{request_id}".encode()
        result = await connection.exchange(method, target, headers, b"", 2_500)
        if result.is_error():
            return False
        response = result.ok
        if response.status == 200:
            self.n_served += 1
            signature = find_header(response.headers, b"x-response-signature")
            expected = hashlib.sha256(request_id.encode()).hexdigest().encode()
            if signature != expected or response.body != expected * 3:
                self.broken(f"{request_id}: a response that is not its own or whole")
        elif response.status in REFUSALS:
            self.refused.add(request_id)
        return connection.reusable

    # Faults

    def note_fault(self) -> None:
        self.last_fault_at = time.monotonic()

    async def fault(self) -> None:
        """Do one fault, drawn by the seed; the harm ends by itself."""
        self.note_fault()
        kind = self.rng.choice(
            (
                "kill_entry",
                "stop_entry",
                "pause_entry",
                "hup",
                "kill_control",
                "pause_control",
                "stop_control",
                "wipe_control",
                "kill_all_control",
                "link",
                "link",
                "backend",
            )
        )
        pause_s = self.rng.uniform(0.2, 1.5)
        program = self.rng.choice(self.entries)
        if "control" in kind:
            program = self.rng.choice(self.controls)
        match kind:
            case "kill_entry" | "kill_control":
                await self.restart(program, signal.SIGKILL, pause_s)
            case "stop_entry" | "stop_control":
                await self.restart(program, signal.SIGTERM, 0.1)
            case "pause_entry" | "pause_control":
                program.signal(signal.SIGSTOP)
                await curio.sleep(pause_s)
                program.signal(signal.SIGCONT)
            case "hup":
                program.signal(signal.SIGHUP)
            case "wipe_control":
                if self.is_disk_lost:
                    return
                # One disk may be lost at a time; the next one after a calm phase.
                self.is_disk_lost = True
                program.kill()
                shutil.rmtree(program.folder / "data")
                program.start(self.seeds, False)
            case "kill_all_control":
                for control in self.controls:
                    control.kill()
                await curio.sleep(pause_s)
                for control in self.controls:
                    control.start(self.seeds, False)
            case "link":
                backend = self.rng.choice(self.backends)
                backend.link.mode = self.rng.choice(list(Link)[1:])
                await curio.sleep(pause_s)
                backend.link.mode = Link.PASS
                backend.link.cut()
            case "backend":
                backend = self.rng.choice(self.backends)
                backend.fault = self.rng.choice(("shed", "reset", "cut", "late"))
                await curio.sleep(pause_s)
                backend.fault = ""
        self.note_fault()

    async def restart(self, program: Program, number: int, pause_s: float) -> None:
        process, has_started = program.process, program.has_started()
        program.signal(number)
        until = time.monotonic() + 7.0
        while process.poll() is None and time.monotonic() < until:
            await curio.sleep(0.02)
        if process is not program.process:
            # Another fault has ended this process and started the next one.
            return
        if process.poll() is None:
            self.broken(f"{program.name} still runs 7 s after signal {number}")
            program.kill()
        # It may have been killed by another fault, or before it set its handlers.
        is_well = process.returncode in (0, -signal.SIGKILL) or not has_started
        if number == signal.SIGTERM and not is_well:
            self.broken(f"{program.name} ended with {process.returncode}")
        await curio.sleep(pause_s)
        if process is program.process:
            program.start(self.seeds, False)

    # Orders in calm

    async def drain_one(self) -> None:
        """Let a backend server leave; after the limit nothing may reach it."""
        backend = self.rng.choice([b for b in self.backends if not b.is_leaving])
        backend.is_leaving = True
        fields = backend.announcement()
        path = f"/-/instances/{backend.name}"
        put = await self.control_call(b"PUT", path, fields)
        if put is None or put.status != 200:
            self.broken(f"{backend.name}: leaving was not acknowledged in calm")
            return
        await curio.sleep(DRAIN_LIMIT_S)
        n_before = backend.n_requests
        await curio.sleep(1.0)
        if backend.n_requests > n_before:
            self.broken(f"{backend.name}: work {DRAIN_LIMIT_S} s after it left")
        await backend.come_back()

    async def zone_out_and_in(self) -> None:
        """Take a zone out; after the limit nothing may reach it; take it in."""
        zone = self.rng.choice(ZONES)
        out = await self.control_call(b"POST", f"/-/evacuations/{zone}")
        if out is None or out.status != 200:
            self.broken(f"zone {zone} out was not acknowledged in calm")
            return
        await curio.sleep(ZONE_LIMIT_S - 1.5)
        backends = [b for b in self.backends if b.zone == zone]
        n_before = sum(b.n_requests for b in backends)
        await curio.sleep(1.0)
        if sum(b.n_requests for b in backends) > n_before:
            self.broken(f"zone {zone}: work {ZONE_LIMIT_S - 1.5} s after it was out")
        await self.control_call(b"DELETE", f"/-/evacuations/{zone}")

    # The run

    async def run(self) -> None:
        for program in self.controls + self.entries:
            program.start(self.seeds, True)
        for backend in self.backends:
            await backend.start(self.seeds, CONTROL_PORT)
        await self.configure()
        if not self.acknowledged:
            self.broken("the first configuration was not acknowledged")
        callers = [await curio.spawn(self.call_entries, k) for k in range(8)]
        await curio.sleep(2.0)
        for _ in range(self.n_cycles):
            await self._cycle()
        await self._recover()
        self.is_over = True
        for caller in callers:
            await caller.join()
        self._check_runs()

    async def _cycle(self) -> None:
        until = time.monotonic() + 3.0
        tasks = []
        while time.monotonic() < until:
            tasks.append(await curio.spawn(self.fault))
            if self.rng.random() < 0.5:
                tasks.append(await curio.spawn(self.configure))
            await curio.sleep(self.rng.uniform(0.2, 0.9))
        for task in tasks:
            await task.join()
        await curio.sleep(CALM_BEFORE_ORDERS_S)
        await self.configure()
        self.is_disk_lost = False
        first = await curio.spawn(self.drain_one)
        await self.zone_out_and_in()
        await first.join()

    async def _recover(self) -> None:
        """Kill everything at once; what was acknowledged must be back and served."""
        for program in self.controls + self.entries:
            program.kill()
        for program in self.controls + self.entries:
            program.start(self.seeds, False)
        self.note_fault()
        got = await self.control_call(b"GET", "/-/config", wait_s=RECOVERY_LIMIT_S)
        read = 0 if got is None else json.loads(got.body)["version"]
        if not self.acknowledged <= read <= self.version:
            self.broken(f"config: {read} after the end, {self.acknowledged} was acked")
        until = time.monotonic() + RECOVERY_LIMIT_S
        n_before = self.n_served
        while self.n_served < n_before + 20 and time.monotonic() < until:
            await curio.sleep(0.1)
        if self.n_served < n_before + 20:
            self.broken("requests are not served after the recovery time")

    def _check_runs(self) -> None:
        runs: dict[str, int] = {}
        for backend in self.backends:
            for request_id, n in backend.runs.items():
                runs[request_id] = runs.get(request_id, 0) + n
        for request_id, n in runs.items():
            if n > 1 and request_id.startswith("unsafe"):
                self.broken(f"{request_id} ran {n} times")
            if request_id in self.refused and request_id.startswith("unsafe"):
                self.broken(f"{request_id} was refused and ran")
        if self.n_served < self.n_asked / 4:
            self.broken(f"only {self.n_served} of {self.n_asked} requests served")

    def stop(self) -> None:
        for program in self.controls + self.entries:
            program.kill()


async def exchange(
    host: str,
    port: int,
    method: bytes,
    path: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    timeout_s: float,
) -> Response | None:
    """Do one request on a new connection; None when it got no answer."""
    try:
        async with curio.timeout_after(timeout_s):
            connection = await HttpConnection.open(host, port)
            try:
                all_headers = [(b"host", host.encode()), *headers]
                result = await connection.exchange(
                    method, path.encode(), all_headers, body
                )
            finally:
                await connection.close()
    except (OSError, curio.TaskTimeout):
        return None
    return result.ok if result.is_ok() else None


def run_seed(seed: int, n_cycles: int, keep: Path | None = None) -> list[str]:
    """Run one seed and return the broken promises; logs stay in ``keep``."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, folder, n_cycles)
    try:
        curio.run(soak.run)
    finally:
        soak.stop()
        if soak.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    print(f"seed={seed} asked={soak.n_asked} served={soak.n_served}", flush=True)
    return soak.violations


def main() -> int:
    """Run the seeds of the command line; the exit status tells of any failure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="for example 1-50 or 7,9")
    parser.add_argument("--cycles", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    arguments = parser.parse_args()
    seeds: list[int] = []
    for part in arguments.seeds.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    if arguments.jobs == 1:
        broken = []
        for seed in seeds:
            broken += run_seed(seed, arguments.cycles, arguments.keep)
        print("\n".join(broken) or "no broken promise")
        return 1 if broken else 0
    return run_parallel(seeds, arguments)


def run_parallel(seeds: list[int], arguments: argparse.Namespace) -> int:
    """Run each seed in a process of its own, a few at a time."""
    waiting = list(seeds)
    running: list[subprocess.Popen[bytes]] = []
    n_failed = 0
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            command = [sys.executable, "-m", "benchmarks.soak"]
            command += ["--seeds", str(waiting.pop(0))]
            command += ["--cycles", str(arguments.cycles)]
            if arguments.keep is not None:
                command += ["--keep", str(arguments.keep)]
            running.append(subprocess.Popen(command, cwd=ROOT))
        time.sleep(0.2)
        n_failed += sum(process.poll() not in (None, 0) for process in running)
        running = [process for process in running if process.poll() is None]
    print(f"{len(seeds)} seeds, {n_failed} with a broken promise")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
