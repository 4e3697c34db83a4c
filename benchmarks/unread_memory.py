"""Memory of entries with the bytes that stand unread for them in the kernel.

    python -m benchmarks.unread_memory --callers 900 --seconds 20
    python -m benchmarks.unread_memory --throughput

One control replica and two entries run as real processes beside endpoints that send
bodies without end. With ``--throughput`` the time of long bodies through one entry is
measured instead. ``--root`` runs the version of the program in another folder.
"""

from __future__ import annotations

import argparse
import os
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import curio

from benchmarks import soak
from benchmarks.body_endpoint import HEAD_END
from benchmarks.soak import CALLER_PORT, CONTROL_PORT, ROOT, Program, Soak, exchange
from benchmarks.soak_backends import SoakBackend

N_ENDPOINTS = 12
GIVE_UP_S = 3.0
SAMPLE_S = 0.25
SLOW_READ_S = 0.05
N_LOGGED_LINES = 5
MAX_LOGGED_BYTES = 300
READ_BYTES = 1 << 18
MAX_BODY_BYTES = 32 << 20
TIMEOUT_MS = 9_000
LISTEN_STATE = "0A"
LIMITS = """
[self.limits]
memoryMb = 300
maxFds = 4100
"""


class RemoteBackend(SoakBackend):
    """Announces an endpoint that runs as a process of its own."""

    process: subprocess.Popen[bytes] | None = None

    async def start(self, seeds: list[str], control_port: int) -> None:
        """Start the process and the announcements."""
        self._seeds, self._control_port = seeds, control_port
        arguments = ["benchmarks.body_endpoint", self.host, self.name]
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments], cwd=ROOT, stdout=subprocess.PIPE
        )
        assert self.process.stdout is not None
        self.link.port = int(self.process.stdout.readline())
        await curio.spawn(self._announce, daemon=True)


def _socket_inodes(process_id: int) -> set[str]:
    inodes = set()
    for name in os.listdir(f"/proc/{process_id}/fd"):
        try:
            target = os.readlink(f"/proc/{process_id}/fd/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes


def memory_mb(process_id: int) -> tuple[float, float, float]:
    """Return resident memory, unread and unsent bytes of a process in MB."""
    inodes = _socket_inodes(process_id)
    n_unread = n_unsent = 0
    with open("/proc/net/tcp") as file:
        for line in list(file)[1:]:
            fields = line.split()
            if fields[3] != LISTEN_STATE and fields[9] in inodes:
                unsent, unread = fields[4].split(":")
                n_unread += int(unread, 16)
                n_unsent += int(unsent, 16)
    with open(f"/proc/{process_id}/statm") as file:
        n_resident = int(file.read().split()[1]) * resource.getpagesize()
    return n_resident / 2**20, n_unread / 2**20, n_unsent / 2**20


class LongBodySoak(Soak):
    """A system whose configuration permits long bodies."""

    def configuration_document(self, version: int) -> dict[str, object]:
        """Return the configuration with a larger limit of the body and of the time."""
        document: dict[str, Any] = super().configuration_document(version)
        document["limits"]["bodyBytes"] = MAX_BODY_BYTES
        for host in document["hosts"]:
            for path in host["paths"]:
                path["timeoutMs"] = TIMEOUT_MS
        return document


class Run:
    """One control replica, two entries, their endpoints and callers."""

    def __init__(self, folder: Path, root: Path, n_callers: int) -> None:
        # Addresses apart from a seed, so that two runs at once don't meet.
        self.system = LongBodySoak(random.SystemRandom().randrange(1 << 20), folder, 1)
        system = self.system
        network = f"127.{random.SystemRandom().randrange(20, 250)}"
        for kind, programs in enumerate((system.controls, system.entries), 1):
            for number, program in enumerate(programs, 1):
                program.host = f"{network}.{kind}.{number}"
                program.module = ("pollenfold.platform",)
        system.set_root(root)
        system.controls = system.controls[:1]
        system.entries = system.entries[:2]
        system.seeds = [system.controls[0].host]
        self.backends = [
            RemoteBackend(f"i-{k}", f"{network}.3.{k + 1}", "a")
            for k in range(N_ENDPOINTS)
        ]
        self.n_callers = n_callers
        self.n_served = 0
        self.ends: list[str] = []
        """The last lines of the log of each entry that has ended."""

        self.peaks: dict[str, tuple[float, ...]] = {}

    async def start(self) -> None:
        """Start all processes and wait until the entries serve."""
        system = self.system
        for program in (*system.controls, *system.entries):
            program.start(system.seeds, True)
        for backend in self.backends:
            await backend.start(system.seeds, CONTROL_PORT)
        await system.put_configuration()
        for entry in system.entries:
            while not await self._get(entry, "10"):
                await curio.sleep(0.05)

    async def _get(self, entry: Program, size: str) -> bool:
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", os.urandom(6).hex().encode()),
        ]
        response = await exchange(
            entry.host, CALLER_PORT, b"GET", f"/safe/{size}", headers, b"", 1.0
        )
        return response is not None and response.status == 200

    def end(self) -> None:
        """End the processes that this run started."""
        for program in (*self.system.controls, *self.system.entries):
            program.kill()
        for backend in self.backends:
            if backend.process is not None:
                backend.process.kill()
                backend.process.wait()

    def _restart(self, entry: Program) -> None:
        """Start an entry that has ended again, as the platform does."""
        last_lines = b" | ".join(
            (entry.folder / "log").read_bytes().rstrip().split(b"\n")[-N_LOGGED_LINES:]
        )
        self.ends.append(last_lines[-MAX_LOGGED_BYTES:].decode(errors="replace"))
        entry.start(self.system.seeds, False)

    async def sample(self) -> None:
        """Keep the peaks of all entries."""
        while True:
            for entry in self.system.entries:
                assert entry.process is not None
                if entry.process.poll() is not None:
                    self._restart(entry)
                    continue
                resident_mb, unread_mb, unsent_mb = memory_mb(entry.process.pid)
                sample = (resident_mb, unread_mb, resident_mb + unread_mb, unsent_mb)
                old = self.peaks.get(entry.name, sample)
                self.peaks[entry.name] = tuple(map(max, old, sample))
            await curio.sleep(SAMPLE_S)

    async def call_endlessly(self, number: int) -> None:
        """Ask for endless bodies, read slowly or not at all, and give up."""
        entry = self.system.entries[number % 2]
        while True:
            try:
                async with curio.ignore_after(GIVE_UP_S):
                    sock = await curio.open_connection(entry.host, CALLER_PORT)
                    async with sock:
                        await sock.sendall(
                            b"GET /safe/endless HTTP/1.1\r\nhost: h.example\r\n"
                            b"x-request-id: %s\r\nx-deadline-ms: 3000\r\n\r\n"
                            % os.urandom(6).hex().encode()
                        )
                        while number % 4:
                            if not await sock.recv(65_536):
                                break
                            await curio.sleep(SLOW_READ_S)
                        await curio.sleep(GIVE_UP_S)
            except OSError:
                await curio.sleep(0.1)

    async def measure_memory(self, seconds: float) -> None:
        """Print the peaks under endless bodies."""
        await self.start()
        sampler = await curio.spawn(self.sample, daemon=True)
        for number in range(self.n_callers):
            await curio.spawn(self.call_endlessly, number, daemon=True)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.n_served += await self._get(self.system.entries[0], "10")
            await curio.sleep(0.1)
        # It would start the entries again that are ended now.
        await sampler.cancel()
        for name, peaks in self.peaks.items():
            print(
                f"memory.{name} resident_mb={peaks[0]:.0f} unread_mb={peaks[1]:.0f} "
                f"both_mb={peaks[2]:.0f} unsent_mb={peaks[3]:.0f}"
            )
        for line in self.ends:
            print(f"memory.ended last_lines={line!r}")
        print(f"memory.n_ended={len(self.ends)} short_answers={self.n_served}")

    async def measure_throughput(self) -> None:
        """Print the median time of long bodies through an entry."""
        await self.start()
        entry = self.system.entries[0]
        for name, n_bytes, n_runs in (
            ("360_kb", 360_000, 15),
            ("1_mb", 1 << 20, 15),
            ("16_mb", 16 << 20, 5),
        ):
            for method in (b"GET", b"POST"):
                times_ms = []
                for _ in range(n_runs):
                    started_at = time.monotonic()
                    await _transfer(entry, method, n_bytes)
                    times_ms.append((time.monotonic() - started_at) * 1000)
                median_ms = statistics.median(times_ms)
                print(f"body.{name}.{method.decode()} median_ms={median_ms:.1f}")


async def _transfer(entry: Program, method: bytes, n_bytes: int) -> None:
    """Download or upload a body; raise RuntimeError unless all of it arrived."""
    is_upload = method == b"POST"
    n_sent_bytes, n_left = (n_bytes, 2) if is_upload else (0, n_bytes)
    path = b"/unsafe/2" if is_upload else b"/safe/%d" % n_bytes
    sock = await curio.open_connection(entry.host, CALLER_PORT)
    async with sock:
        await sock.sendall(_request_head(method, path, n_sent_bytes))
        await sock.sendall(b"x" * n_sent_bytes)
        data = b""
        while HEAD_END not in data:
            piece = await sock.recv(READ_BYTES)
            if not piece:
                raise RuntimeError(f"connection ended after {data[:200]!r}")
            data += piece
        head, body = data.split(HEAD_END, 1)
        n_left -= len(body)
        while n_left > 0 and (piece := await sock.recv(READ_BYTES)):
            n_left -= len(piece)
        if b" 200 " not in head[:20] or n_left:
            raise RuntimeError(f"transfer failed: {head[:200]!r}, left {n_left}")


def _request_head(method: bytes, path: bytes, length: int) -> bytes:
    lines = (
        method + b" " + path + b" HTTP/1.1",
        b"host: h.example",
        b"x-request-id: " + os.urandom(6).hex().encode(),
        b"x-deadline-ms: %d" % TIMEOUT_MS,
        b"content-length: %d" % length,
        b"connection: close",
    )
    return b"\r\n".join(lines) + HEAD_END


async def main(arguments: argparse.Namespace) -> None:
    """Run one measurement."""
    if LIMITS not in soak.SETTINGS:
        soak.SETTINGS = soak.SETTINGS.replace(
            "machines = {n_tolerated}", "machines = 0"
        )
        soak.SETTINGS = soak.SETTINGS.replace("[network]\n", LIMITS + "[network]\n", 1)
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), Path(arguments.root), arguments.callers)
        try:
            if arguments.throughput:
                await run.measure_throughput()
            else:
                await run.measure_memory(arguments.seconds)
        finally:
            run.end()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--throughput", action="store_true")
    parser.add_argument("--root", default=str(ROOT))
    curio.run(main, parser.parse_args())
