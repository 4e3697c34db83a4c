"""Soak test of the real programs under external faults, drawn by a seed.

    python -m benchmarks.soak --seeds 1-50 --jobs 3

Entries and control replicas run as separate processes on loopback addresses. Phases
with faults (signals at any instant of a life, lost disks, a proxy that delays, resets
or blocks the links to backend servers) alternate with calm phases. The promises are
checked during the run from the observations of callers, backend servers and the
operator. Only processes that this program started are signalled, by their ids.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import math
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

from benchmarks.early_stops import (
    end_lives_early,
    is_accepting,
    reload,
    wait_for_end,
)
from benchmarks.soak_backends import DEADLY, Cut, EntryLinks, Link, SoakBackend
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Response, find_header
from pollenfold.testing import checked_daemon

ROOT = Path(__file__).resolve().parent.parent
CALLER_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT = 8144, 8140, 8146, 7660
DRAIN_LIMIT_S = 2.0
ZONE_LIMIT_S = 5.0
RECOVERY_LIMIT_S = 15.0
CALM_BEFORE_COMMANDS_S = 3.2
"""Time after the last fault until processes are expected to be available again."""

LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
DEADLY_S = 6.0
NEWS_LIMIT_S = 3.0
MAX_LATE_DEADLY = 3
"""How often a request may reach a server later than ``NEWS_LIMIT_S`` after it has ended
the third."""

LIMITS = ("0", "0.5", "3.1", "40", "soon", "")
"""Limits that backend servers declare during phases with faults; one is malformed."""

MAX_LIMITED = 2

CUT_S = 4.0
CUT_NOTICE_S = 1.0
"""How long after it was cut off from all servers an entry may fail requests."""

CUT_TOLERANCE = 0.05
CUT_MAX_FAILED = 2
"""By how much the served share at a cut entry may lie below that at the others, and how
many more requests may fail there."""

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
machines = {n_tolerated}
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
    """One process of the system, with all that is needed to restart it."""

    name: str
    role: str
    host: str
    zone: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    n_log_bytes: int = 0
    """Size of the log when the process was started."""

    module: tuple[str, ...] = ("pollenfold.platform",)
    """The module that is run, with the arguments before the role.

    It runs under the check of its sockets, if its version has that."""

    root: Path = ROOT
    """The folder with the version of the program that is run."""

    n_tolerated: int = 1
    """How many machines with a disk may be lost at the same time."""

    more_settings: str = ""
    """Further tables of the settings file."""

    planned: set[subprocess.Popen[bytes]] = field(default_factory=set)
    """Processes that got a signal when connections to them had been accepted, or when
    they had logged their start. A SIGTERM must end them as planned."""

    def start(self, seeds: list[str], is_first: bool) -> None:
        if self.process is not None and self.process.poll() is None:
            # Another fault has already restarted it. Starting a second process would
            # drop the reference to this one, which would never be killed.
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
            n_tolerated=self.n_tolerated,
        )
        settings.write_text(text + self.more_settings)
        with (self.folder / "log").open("ab") as log:
            self.n_log_bytes = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self._checked_module(), self.role],
                cwd=self.root,
                env={**os.environ, "POLLENFOLD_BOOT": str(settings)},
                stdout=log,
                stderr=log,
            )

    def _checked_module(self) -> tuple[str, ...]:
        path = self.root.joinpath(*checked_daemon.MODULE.split(".")).with_suffix(".py")
        return (checked_daemon.MODULE, *self.module) if path.exists() else self.module

    def socket_violations(self) -> list[str]:
        """Return the lines of the log about sockets that were closed under a wait."""
        path = self.folder / "log"
        if not path.exists():
            return []
        lines = path.read_text(errors="replace").splitlines()
        return [line for line in lines if checked_daemon.LOG_MARK in line]

    def has_started(self) -> bool:
        """Return whether the process has logged its start."""
        with (self.folder / "log").open("rb") as log:
            log.seek(self.n_log_bytes)
            return b"event=started " in log.read()

    def signal(self, number: int) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGHUP):
            if self.has_started() or self.is_accepting():
                self.planned.add(self.process)
        os.kill(self.process.pid, number)

    def is_accepting(self) -> bool:
        """Return whether the kernel accepts connections of those that it serves."""
        port = CALLER_PORT if self.role == "entry" else CONTROL_PORT
        return is_accepting(self.host, port)

    def must_end_planned(self, process: subprocess.Popen[bytes]) -> bool:
        """Return whether no signal but SIGKILL may end a process by its default."""
        return process in self.planned

    def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


@dataclass
class Soak:
    """One run: the programs, the fake backend servers and the observations."""

    seed: int
    folder: Path
    n_cycles: int
    rng: random.Random = field(default_factory=random.Random)
    limit_rng: random.Random = field(default_factory=random.Random)
    """Draws limits. With a source of their own they don't change the faults that are
    drawn by the seeds kept as regression tests."""

    deadly_rng: random.Random = field(default_factory=random.Random)
    cut_rng: random.Random = field(default_factory=random.Random)
    violations: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    n_served: int = 0
    n_sent: int = 0
    version: int = 0
    acknowledged: int = 0
    last_fault_at: float = 0.0
    is_disk_lost: bool = False
    is_over: bool = False

    def __post_init__(self) -> None:
        self.rng.seed(self.seed)
        self.limit_rng.seed(-1 - self.seed)
        self.deadly_rng.seed(-1_000_000 - self.seed)
        network = f"127.{10 + self.seed % 200}"
        self.cut_rng.seed(-2_000_000 - self.seed)
        self.early_rngs = {
            role: random.Random(f"{self.seed}-early-{role}")
            for role in ("entry", "control")
        }
        self.controls = [self._program("control", network, 1, k) for k in range(3)]
        self.entries = [self._program("entry", network, 2, k) for k in range(3)]
        self.entry_links = [self._redirect(entry) for entry in self.entries]
        self.seeds = [program.host for program in self.controls]
        self.backends = [
            SoakBackend(f"i-{k}", f"{network}.3.{k + 1}", ZONES[k % 3])
            for k in range(6)
        ]

    def _program(self, role: str, network: str, subnet: int, number: int) -> Program:
        name = f"{role}-{number}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        host = f"{network}.{subnet}.{number + 1}"
        return Program(name, role, host, ZONES[number], folder)

    def set_root(self, root: Path) -> None:
        """Run the version of the program that lies in a folder."""
        for program in self.controls + self.entries:
            program.root = root

    def _redirect(self, entry: Program) -> EntryLinks:
        """Let an entry connect to the backend servers from its own host."""
        redirects = entry.folder / "redirects.json"
        entry.module = ("pollenfold.testing.redirects", str(redirects))
        return EntryLinks(entry.host, redirects)

    def add_violation(self, text: str) -> None:
        self.violations.append(f"seed {self.seed} {text}")

    # Calls

    async def send_control_request(
        self, method: bytes, path: str, document: object = None, wait_s: float = 8.0
    ) -> Response | None:
        """Repeat a control request until its outcome is clear; None at the timeout."""
        body = b"" if document is None else json.dumps(document).encode()
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline:
            host = self.rng.choice(self.controls).host
            response = await exchange(host, CONTROL_PORT, method, path, [], body, 1.2)
            if response is not None and response.status in (200, 400, 404):
                return response
            await curio.sleep(0.05)
        return None

    def configuration_document(self, version: int) -> dict[str, object]:
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

    async def put_configuration(self) -> None:
        """Write the next configuration version and read it back."""
        self.version += 1
        version = self.version
        put = await self.send_control_request(
            b"PUT", "/-/config", self.configuration_document(version)
        )
        if put is not None and put.status == 200:
            self.acknowledged = max(self.acknowledged, version)
        elif put is not None:
            self.add_violation(f"config {version} refused with {put.status}")
        acknowledged_before = self.acknowledged
        got = await self.send_control_request(b"GET", "/-/config", wait_s=1.0)
        if got is not None and got.status == 200:
            read_version = json.loads(got.body)["version"]
            if read_version < acknowledged_before:
                self.add_violation(
                    f"config: read {read_version} after {acknowledged_before} "
                    "was acknowledged"
                )

    async def run_caller(self, number: int) -> None:
        """Send requests as a caller that keeps its connection until it breaks."""
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
            self.n_sent += 1
            is_reusable = await self._call(connection, kind, request_id)
            if not is_reusable:
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
                self.add_violation(
                    f"{request_id}: incomplete response, or that of another request"
                )
        elif response.status in REFUSALS:
            self.refused.add(request_id)
        return connection.is_reusable

    # Faults

    def record_fault_time(self) -> None:
        self.last_fault_at = time.monotonic()

    async def inject_fault(self) -> None:
        """Inject one fault, drawn by the seed; it ends without further action."""
        self.record_fault_time()
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
                await reload(self, program)
            case "wipe_control":
                if self.is_disk_lost:
                    return
                # At most one disk is lost before the next calm phase.
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
                backend.link.close_connections()
            case "backend":
                backend = self.rng.choice(self.backends)
                backend.fault = self.rng.choice(("shed", "reset", "cut", "late"))
                await curio.sleep(pause_s)
                backend.fault = ""
        self.record_fault_time()

    async def restart(self, program: Program, number: int, pause_s: float) -> None:
        process = program.process
        program.signal(number)
        await wait_for_end(self, program, process, f"signal {number}")
        await curio.sleep(pause_s)
        if process is program.process:
            program.start(self.seeds, False)

    async def vary_limits(self) -> None:
        """Let some backend servers declare limits until cancelled."""
        while True:
            await curio.sleep(self.limit_rng.uniform(0.2, 1.0))
            limited = [backend for backend in self.backends if backend.limit]
            if len(limited) == MAX_LIMITED:
                limited[0].limit = ""
            self.limit_rng.choice(self.backends).limit = self.limit_rng.choice(LIMITS)

    def end_limits(self) -> None:
        for backend in self.backends:
            backend.limit = ""

    # Commands in calm phases

    async def declare_limit(self) -> None:
        """Let a server declare a limit, to which all entries together must keep."""
        backend = self.limit_rng.choice(self.backends)
        backend.limit = f"{LIMIT_PER_S}"
        # Each entry has seen it by then.
        await curio.sleep(1.0)
        since = time.monotonic()
        await curio.sleep(LIMIT_WINDOW_S)
        n_arrived = sum(at >= since for at in backend.arrived_s)
        backend.limit = ""
        if n_arrived > 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5:
            self.add_violation(
                f"{backend.name}: {n_arrived} requests and probes in "
                f"{LIMIT_WINDOW_S} s at a declared limit of {LIMIT_PER_S} a second"
            )

    async def send_deadly_request(self, number: int) -> None:
        """Repeat a request that ends each server which runs it, at all entries.

        Some time after it has ended the third, it must reach hardly any server.
        """
        for backend in self.backends:
            backend.deadly_arrived_s.clear()
        path = f"/safe/{DEADLY}-{number}"
        headers = [(b"host", b"h.example"), (b"x-deadline-ms", b"1000")]
        deadline = time.monotonic() + DEADLY_S
        while time.monotonic() < deadline:
            host = self.deadly_rng.choice(self.entries).host
            request_id = f"{DEADLY}-{number}-{time.monotonic()}".encode()
            id_header = (b"x-request-id", request_id)
            await exchange(
                host, CALLER_PORT, b"GET", path, [*headers, id_header], b"", 1.5
            )
            await curio.sleep(self.deadly_rng.uniform(0.0, 0.2))
        arrived = sorted(at for b in self.backends for at in b.deadly_arrived_s)
        third_at = arrived[2] if len(arrived) > 2 else math.inf
        n_late = sum(at > third_at + NEWS_LIMIT_S for at in arrived)
        print(f"seed={self.seed} deadly={len(arrived)} late={n_late}", flush=True)
        if n_late > MAX_LATE_DEADLY:
            self.add_violation(
                f"{path} ended {len(arrived)} servers, {n_late} of them later than "
                f"{NEWS_LIMIT_S} s after the third"
            )

    async def cut_entry(self, number: int) -> None:
        """Cut an entry off from all servers; its callers must be served like others."""
        cut = self.cut_rng.randrange(len(self.entries))
        how = self.cut_rng.choice(list(Cut))
        self.entry_links[cut].cut(how, self.backends)
        since = time.monotonic() + CUT_NOTICE_S
        tasks = [
            await curio.spawn(self._send_in_cut, entry, number, since)
            for entry in self.entries
        ]
        results = [await task.join() for task in tasks]
        self.entry_links[cut].restore(self.backends)
        own = results.pop(cut)
        others = [is_served for result in results for is_served in result]
        share = sum(own) / max(1, len(own))
        other_share = sum(others) / max(1, len(others))
        name = self.entries[cut].name
        print(
            f"seed={self.seed} cut={name} how={how.value} n={len(own)} "
            f"served={share:.3f} others={other_share:.3f}",
            flush=True,
        )
        if sum(own) < (other_share - CUT_TOLERANCE) * len(own) - CUT_MAX_FAILED:
            self.add_violation(
                f"{name}: {share:.2f} of the requests served while it was cut "
                f"off ({how.value}), {other_share:.2f} at the others"
            )

    async def _send_in_cut(
        self, entry: Program, number: int, since: float
    ) -> list[bool]:
        """Send requests to an entry; return which were served of those after ``since``.

        Each one comes on a new connection.
        """
        results = []
        n_sent = 0
        while time.monotonic() < since + CUT_S - CUT_NOTICE_S:
            n_sent += 1
            kind = ("safe", "unsafe")[n_sent % 2]
            request_id = f"{kind}-cut-{entry.name}-{number}-{n_sent}"
            headers = [
                (b"host", b"h.example"),
                (b"x-request-id", request_id.encode()),
                (b"x-deadline-ms", b"1000"),
            ]
            method = b"GET" if kind == "safe" else b"POST"
            path = f"/{kind}/{request_id}"
            is_measured = time.monotonic() >= since
            response = await exchange(
                entry.host, CALLER_PORT, method, path, headers, b"", 1.5
            )
            if response is not None and response.status in REFUSALS:
                self.refused.add(request_id)
            if is_measured:
                results.append(response is not None and response.status == 200)
            await curio.sleep(0.02)
        return results

    async def drain_backend(self) -> None:
        """Drain a backend server; after the limit it must receive no requests."""
        backend = self.rng.choice([b for b in self.backends if not b.is_leaving])
        backend.is_leaving = True
        fields = backend.announcement()
        path = f"/-/instances/{backend.name}"
        put = await self.send_control_request(b"PUT", path, fields)
        if put is None or put.status != 200:
            self.add_violation(
                f"{backend.name}: draining was not acknowledged in a calm phase"
            )
            return
        await curio.sleep(DRAIN_LIMIT_S)
        n_before = backend.n_requests
        await curio.sleep(1.0)
        if backend.n_requests > n_before:
            self.add_violation(
                f"{backend.name}: requests {DRAIN_LIMIT_S} s after it left"
            )
        await backend.start_new_incarnation()

    async def zone_out_and_in(self) -> None:
        """Evacuate a zone, check that its requests stop, and return it to service."""
        zone = self.rng.choice(ZONES)
        out = await self.send_control_request(b"POST", f"/-/evacuations/{zone}")
        if out is None or out.status != 200:
            self.add_violation(
                f"zone {zone} evacuation was not acknowledged in a calm phase"
            )
            return
        await curio.sleep(ZONE_LIMIT_S - 1.5)
        backends = [b for b in self.backends if b.zone == zone]
        n_before = sum(b.n_requests for b in backends)
        await curio.sleep(1.0)
        if sum(b.n_requests for b in backends) > n_before:
            self.add_violation(
                f"zone {zone}: requests {ZONE_LIMIT_S - 1.5} s after its evacuation"
            )
        await self.send_control_request(b"DELETE", f"/-/evacuations/{zone}")

    # The run

    async def run(self) -> None:
        for program in self.controls + self.entries:
            program.start(self.seeds, True)
        for backend in self.backends:
            await backend.start(self.seeds, CONTROL_PORT)
        await self.put_configuration()
        if not self.acknowledged:
            self.add_violation("the first configuration was not acknowledged")
        callers = [await curio.spawn(self.run_caller, k) for k in range(8)]
        await curio.sleep(2.0)
        for number in range(self.n_cycles):
            await self._cycle(number)
        await self._recover()
        self.is_over = True
        for caller in callers:
            await caller.join()
        self._check_executions()

    async def _cycle(self, number: int) -> None:
        deadline = time.monotonic() + 3.0
        tasks = []
        limits_task = await curio.spawn(self.vary_limits, daemon=True)
        for programs in (self.entries, self.controls):
            rng = self.early_rngs[programs[0].role]
            lives = end_lives_early(self, programs, rng, deadline)
            tasks.append(await curio.spawn(lives))
        while time.monotonic() < deadline:
            tasks.append(await curio.spawn(self.inject_fault))
            if self.rng.random() < 0.5:
                tasks.append(await curio.spawn(self.put_configuration))
            await curio.sleep(self.rng.uniform(0.2, 0.9))
        for task in tasks:
            await task.join()
        await limits_task.cancel()
        self.end_limits()
        await curio.sleep(CALM_BEFORE_COMMANDS_S)
        await self.put_configuration()
        self.is_disk_lost = False
        drain_task = await curio.spawn(self.drain_backend)
        limit_task = await curio.spawn(self.declare_limit)
        deadly_task = await curio.spawn(self.send_deadly_request, number)
        await self.zone_out_and_in()
        await deadly_task.join()
        await drain_task.join()
        await limit_task.join()
        await self.cut_entry(number)

    async def _recover(self) -> None:
        """Kill all processes; acknowledged configuration and service must recover."""
        for program in self.controls + self.entries:
            program.kill()
        for program in self.controls + self.entries:
            program.start(self.seeds, False)
        self.record_fault_time()
        got = await self.send_control_request(
            b"GET", "/-/config", wait_s=RECOVERY_LIMIT_S
        )
        recovered_version = 0 if got is None else json.loads(got.body)["version"]
        if not self.acknowledged <= recovered_version <= self.version:
            self.add_violation(
                f"config: {recovered_version} after the restart of all, "
                f"{self.acknowledged} was acknowledged"
            )
        deadline = time.monotonic() + RECOVERY_LIMIT_S
        n_before = self.n_served
        while self.n_served < n_before + 20 and time.monotonic() < deadline:
            await curio.sleep(0.1)
        if self.n_served < n_before + 20:
            self.add_violation("requests are not served within the recovery limit")

    def _check_executions(self) -> None:
        runs: dict[str, int] = {}
        for backend in self.backends:
            for request_id, n in backend.executions.items():
                runs[request_id] = runs.get(request_id, 0) + n
        for request_id, n in runs.items():
            if n > 1 and request_id.startswith("unsafe"):
                self.add_violation(f"{request_id} was executed {n} times")
            if request_id in self.refused and request_id.startswith("unsafe"):
                self.add_violation(f"{request_id} was refused and executed")
        if self.n_served < self.n_sent / 4:
            self.add_violation(f"only {self.n_served} of {self.n_sent} requests served")

    def stop(self) -> None:
        for program in self.controls + self.entries:
            program.kill()
            for line in program.socket_violations():
                self.add_violation(f"{program.name}: {line}")


async def exchange(
    host: str,
    port: int,
    method: bytes,
    path: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    timeout_s: float,
) -> Response | None:
    """Send one request on a new connection; return None without a response."""
    try:
        async with curio.timeout_after(timeout_s):
            connection = await HttpConnection.open(host, port)
            try:
                all_headers = headers
                if find_header(headers, b"host") is None:
                    all_headers = [(b"host", host.encode()), *headers]
                result = await connection.exchange(
                    method, path.encode(), all_headers, body
                )
            finally:
                await connection.close()
    except (OSError, curio.TaskTimeout):
        return None
    return result.ok if result.is_ok() else None


def run_seed(
    seed: int, n_cycles: int, keep: Path | None = None, root: Path = ROOT
) -> list[str]:
    """Run the soak test with one seed and return the violations.

    The logs of a failed run are copied to ``keep``. ``root`` is the folder with the
    version of the program that is run.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, folder, n_cycles)
    soak.set_root(root)
    try:
        curio.run(soak.run)
    finally:
        soak.stop()
        if soak.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    print(f"seed={seed} asked={soak.n_sent} served={soak.n_served}", flush=True)
    return soak.violations


def main() -> int:
    """Run the soak test with the given seeds; the exit status is 1 if one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="for example 1-50 or 7,9")
    parser.add_argument("--cycles", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    arguments = parser.parse_args()
    seeds: list[int] = []
    for part in arguments.seeds.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    if arguments.jobs == 1:
        broken = []
        for seed in seeds:
            broken += run_seed(seed, arguments.cycles, arguments.keep, arguments.root)
        print("\n".join(broken) or "no broken promise")
        return 1 if broken else 0
    return run_parallel(seeds, arguments)


def run_parallel(seeds: list[int], arguments: argparse.Namespace) -> int:
    """Run one process of the soak test per seed, at most ``--jobs`` at a time."""
    waiting = list(seeds)
    running: list[subprocess.Popen[bytes]] = []
    n_failed = 0
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            command = [sys.executable, "-m", "benchmarks.soak"]
            command += ["--seeds", str(waiting.pop(0))]
            command += ["--cycles", str(arguments.cycles)]
            command += ["--root", str(arguments.root)]
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
