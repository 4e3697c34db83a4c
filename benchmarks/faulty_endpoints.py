"""Entries beside endpoints that send bytes without end, on real processes.

    python -m benchmarks.faulty_endpoints --seeds 1-3 --fault length
    python -m benchmarks.faulty_endpoints --seeds 1-10 --busy 6 --root /tmp/earlier \\
        --fault length,no_length --entries 2 --callers 400 --no-baseline

The service ``sound`` has sound endpoints only, the service ``mixed`` some faulty ones.
Endpoints and callers have processes of their own, so that neither makes the other late.
No process may end, no entry may exceed its memory with the bytes that it hasn't read,
each request gets the head of a response by the timeout of its route, and the callers of
``sound`` are served as in the same run without a fault. The exit status is 1 otherwise.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import curio

from benchmarks.disk_losses import draw_network
from benchmarks.faulty_outcome import MEMORY_LIMIT_MB, Outcome, Plan, describe
from benchmarks.faulty_responses import FAULTS, PACES
from benchmarks.impatient_callers import GIVE_UP_S, ROUTE_TIMEOUT_MS
from benchmarks.lost_requests import copy_logs
from benchmarks.memory_samples import MemorySampler
from benchmarks.soak import CALLER_PORT, CONTROL_PORT, ROOT, ZONES, Program, exchange

LIMITS = f"""
[self.limits]
cpuCores = 1
memoryMb = {MEMORY_LIMIT_MB}
maxFds = 4100
"""
N_CONTROLS = 3
FIRST_HOSTS = {"entry": 50, "sound": 100, "mixed": 120, "faulty": 160}
MAX_CONNECTIONS = 1000
INTERVALS_S = {"sound": 0.5, "mixed": 0.1}
"""How often a caller sends a request. Those of ``sound`` send so seldom that the number
of their requests doesn't follow from how fast the machine is at the moment."""

SAMPLE_INTERVAL_S = 0.075
START_LIMIT_S = 30.0
SETTLE_S = 1.5
"""Time between the first response of each entry and the measured time."""

END_S = 1.0
"""Memory and ends are still watched for so long after the callers."""

N_LAST_LINES = 3
_ERROR = re.compile(r"^[\w.]*Error\b.*|^pollenfold.*|event=process_failed.*")
"""The last line of a traceback, or what a process writes before it ends by itself."""


class Run:
    """The processes of one run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.outcome = Outcome(plan)
        self.network = draw_network()
        self.controls = [
            self._program("control", number + 1, f"core-{number}")
            for number in range(N_CONTROLS)
        ]
        self.entries = [
            self._program("entry", FIRST_HOSTS["entry"] + number, f"front-{number}")
            for number in range(plan.n_entries)
        ]
        self.seeds = [program.host for program in self.controls]
        self.helpers: list[subprocess.Popen[bytes]] = []

    def _program(self, role: str, last_octet: int, name: str) -> Program:
        home = self.folder / name
        home.mkdir(parents=True)
        zone = ZONES[last_octet % len(ZONES)]
        host = f"{self.network}.{last_octet}"
        program = Program(name, role, host, zone, home, root=self.plan.root)
        program.more_settings = LIMITS
        return program

    # Processes

    def start(self) -> None:
        """Start the system and the endpoints."""
        for program in self.controls + self.entries:
            program.start(self.seeds, True)
        plan = self.plan
        self._start_endpoints("sound", "sound", plan.n_endpoints // 2)
        self._start_endpoints("mixed", "mixed", plan.n_endpoints - plan.n_faulty)
        flags = []
        if plan.fault is not None:
            flags = [f"--fault={plan.fault}", f"--pace={plan.pace}"]
            flags += ["--health"] if plan.is_in_health else []
        self._start_endpoints("mixed", "faulty", plan.n_faulty, *flags)

    def _start_endpoints(
        self, service: str, name: str, n_endpoints: int, *flags: str
    ) -> None:
        """Start endpoints in two processes."""
        first = FIRST_HOSTS[name]
        hosts = [f"{self.network}.{first + number}" for number in range(n_endpoints)]
        for number in range(2):
            if part := hosts[number::2]:
                command = [f"--service={service}", f"--hosts={','.join(part)}"]
                command += [f"--seeds={','.join(self.seeds)}", *flags]
                self._start_helper("faulty_backend", f"{name}-{number}", command)

    def _start_helper(
        self, module: str, name: str, flags: list[str]
    ) -> subprocess.Popen[bytes]:
        """Start a program of the benchmarks; its output is the log ``name``."""
        home = self.folder / name
        home.mkdir()
        with (home / "log").open("wb") as log, (home / "output").open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", f"benchmarks.{module}", *flags],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
            )
        self.helpers.append(process)
        return process

    def _start_callers(self, service: str, n: int) -> subprocess.Popen[bytes]:
        hosts = ",".join(entry.host for entry in self.entries)
        flags = [f"--service={service}", f"--entries={hosts}", f"--callers={n}"]
        flags += [f"--seconds={self.plan.seconds}", f"--seed={self.plan.seed}"]
        flags.append(f"--interval={INTERVALS_S[service]}")
        if service == "sound" or self.plan.is_patient:
            flags.append("--patient")
        return self._start_helper("impatient_callers", f"callers-{service}", flags)

    def stop(self) -> None:
        """Kill all processes."""
        for program in self.controls + self.entries:
            program.kill()
        for process in self.helpers:
            process.kill()
            process.wait()

    # The run

    async def play(self) -> None:
        """Run the system beside the endpoints, and record what was seen."""
        self.start()
        if not await self._wait_until_served():
            self.outcome.failure = f"nothing was served within {START_LIMIT_S:.0f} s"
            return
        await curio.sleep(SETTLE_S)
        numbers = {"sound": self.plan.n_sound_callers, "mixed": self.plan.n_callers}
        endpoints = list(self.helpers)
        callers = {name: self._start_callers(name, n) for name, n in numbers.items()}
        await self._watch(list(callers.values()))
        if any(process.poll() is not None for process in endpoints):
            self.outcome.failure = "a process of endpoints ended"
            return
        for service, process in callers.items():
            output = (self.folder / f"callers-{service}" / "output").read_text()
            if process.returncode != 0 or not output:
                self.outcome.failure = f"the callers of {service} failed"
                return
            self.outcome.counts[service] = json.loads(output)
        self.outcome.ended = self._ended()

    async def _wait_until_served(self) -> bool:
        """Configure the system; return whether each entry serves ``sound`` in time."""
        deadline = time.monotonic() + START_LIMIT_S
        body = json.dumps(configuration()).encode()
        while time.monotonic() < deadline:
            host = self.seeds[int(time.monotonic() * 10) % len(self.seeds)]
            put = await exchange(host, CONTROL_PORT, b"PUT", "/-/config", [], body, 1.2)
            if put is not None and put.status == 200:
                break
            await curio.sleep(0.05)
        waiting = list(self.entries)
        while waiting and time.monotonic() < deadline and self._helpers_run():
            if await self._is_served(waiting[-1].host):
                waiting.pop()
            await curio.sleep(0.05)
        return not waiting

    def _helpers_run(self) -> bool:
        return all(process.poll() is None for process in self.helpers)

    async def _is_served(self, host: str) -> bool:
        headers = [(b"host", b"h.example"), (b"x-request-id", b"first")]
        headers.append((b"x-deadline-ms", b"1000"))
        path = "/sound-safe/first"
        response = await exchange(host, CALLER_PORT, b"GET", path, headers, b"", 1.2)
        return response is not None and response.status == 200

    async def _watch(self, callers: list[subprocess.Popen[bytes]]) -> None:
        """Sample the memory of the entries until the callers have ended."""
        names = {e.process.pid: e.name for e in self.entries if e.process is not None}
        sampler = MemorySampler(names)
        limit_s = self.plan.seconds + 4 * GIVE_UP_S
        deadline = time.monotonic() + limit_s
        ends_at = float("inf")
        while time.monotonic() < min(deadline, ends_at):
            sampler.sample()
            has_ended = all(process.poll() is not None for process in callers)
            if has_ended and ends_at == float("inf"):
                ends_at = time.monotonic() + END_S
            await curio.sleep(SAMPLE_INTERVAL_S)
        self.outcome.peaks = {names[pid]: p for pid, p in sampler.peaks.items()}

    def _ended(self) -> list[str]:
        """Return the processes of the system that ended, with their last lines."""
        return [
            describe_end(program)
            for program in self.controls + self.entries
            if program.process is None or program.process.poll() is not None
        ]


def describe_end(program: Program) -> str:
    """Return the exit status of an ended process and the errors that it wrote.

    An error of the event loop is followed by others while the loop shuts down, so all
    are given in their order; without any, the last lines of the log.
    """
    status = None if program.process is None else program.process.returncode
    log = (program.folder / "log").read_text(errors="replace")
    lines = log.splitlines()
    errors = [found[0] for line in lines if (found := _ERROR.search(line))]
    last = " | ".join(line.strip() for line in errors or lines[-N_LAST_LINES:])
    return f"{program.name} ended with status {status}: {last}"


def configuration() -> dict[str, Any]:
    """Return a configuration with two services, each with routes of both kinds."""
    services = []
    paths = []
    for service in ("sound", "mixed"):
        services.append(
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": MAX_CONNECTIONS,
                "warmupS": 0.0,
                "warmupPerS": 50.0,
            }
        )
        for kind in ("safe", "unsafe"):
            paths.append(
                {
                    "name": f"{service}-{kind}",
                    "pathPrefix": f"/{service}-{kind}/",
                    "kind": kind,
                    "timeoutMs": ROUTE_TIMEOUT_MS,
                    "targetLatencyMs": 200,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                }
            )
    return {
        "version": 1,
        "services": services,
        "limits": {"idleMs": 15000, "headerMs": 3000},
        "hosts": [{"host": "h.example", "paths": paths}],
    }


def play(plan: Plan, keep: Path | None = None) -> Outcome:
    """Play a run and return what was seen; keep the logs if something is broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"faulty-{plan.seed}-"))
    run = Run(plan, folder)
    try:
        curio.run(run.play)
    finally:
        run.stop()
        broken = run.outcome.violations()
        if keep is not None and broken:
            name = f"{plan.fault}-{plan.pace}-{plan.seed}"
            copy_logs(folder, keep / name, broken)
        shutil.rmtree(folder, ignore_errors=True)
    return run.outcome


def run_seed(
    plan: Plan, faults: Sequence[str], has_baseline: bool, keep: Path | None
) -> list[str]:
    """Play the faults with one seed, print a line for each and return what is broken.

    The run without a fault is played first, unless there is no baseline.
    """
    baseline = None
    broken = []
    if has_baseline:
        baseline = play(plan.without_fault(), keep)
        broken += _report(baseline, None)
    for fault in faults:
        outcome = play(replace(plan, fault=fault), keep)
        broken += _report(outcome, baseline)
    return broken


def _report(outcome: Outcome, baseline: Outcome | None) -> list[str]:
    """Print the line of a run and what is broken; return the latter."""
    print(describe(outcome, baseline), flush=True)
    violations = outcome.violations(baseline)
    for text in violations:
        print(f"  {text}", flush=True)
    return violations


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="for example 1-5")
    parser.add_argument(
        "--fault", default="length", help=f"some of {','.join(FAULTS)}; or all"
    )
    parser.add_argument("--pace", choices=PACES, default="64k")
    parser.add_argument("--health", action="store_true", help="in health responses too")
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--callers", type=int, default=160, help="of the mixed service")
    parser.add_argument("--sound-callers", type=int, default=60)
    parser.add_argument("--endpoints", type=int, default=12)
    parser.add_argument("--faulty", type=int, default=6, help="of the endpoints")
    parser.add_argument("--patient", action="store_true", help="no slow callers")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--busy", type=int, default=0, help="number of busy processes")
    parser.add_argument(
        "--no-baseline", action="store_true", help="skip the run without a fault"
    )
    parser.add_argument("--keep", type=Path, help="folder for logs of broken runs")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    arguments = parser.parse_args()
    if arguments.fault == "all":
        arguments.fault = ",".join(FAULTS)
    for fault in arguments.fault.split(","):
        if fault not in FAULTS:
            parser.error(f"unknown fault {fault}")
    return arguments


def main() -> int:
    """Play the given seeds; the exit status is 1 if something is broken."""
    arguments = _parse_arguments()
    first, _, last = arguments.seeds.partition("-")
    busy = [
        subprocess.Popen([sys.executable, "-c", "while True: pass"])
        for _ in range(arguments.busy)
    ]
    broken = []
    try:
        for seed in range(int(first), int(last or first) + 1):
            plan = Plan(
                seed=seed,
                pace=arguments.pace,
                is_in_health=arguments.health,
                n_entries=arguments.entries,
                n_callers=arguments.callers,
                n_sound_callers=arguments.sound_callers,
                n_endpoints=arguments.endpoints,
                n_faulty=arguments.faulty,
                is_patient=arguments.patient,
                seconds=arguments.seconds,
                root=arguments.root.resolve(),
            )
            faults = arguments.fault.split(",")
            has_baseline = not arguments.no_baseline
            broken += run_seed(plan, faults, has_baseline, arguments.keep)
    finally:
        for process in busy:
            process.kill()
            process.wait()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
