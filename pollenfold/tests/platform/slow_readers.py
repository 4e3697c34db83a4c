"""Real processes with a low memory limit, and a crowd of callers that read slowly."""

import os
import resource
import subprocess
import sys
import time
from dataclasses import dataclass, field
from random import SystemRandom

import curio
from curio import socket

from benchmarks import soak
from benchmarks.soak import CALLER_PORT, CONTROL_PORT, ROOT, Soak
from benchmarks.soak_backends import SoakBackend

MEMORY_MB = 60
"""About 35 MB more than an idle entry takes."""

MAX_DESCRIPTORS = 600
N_ENDPOINTS = 4
LOAD = "14,0,20,100"
"""What all endpoints report. It slows no request, but late ones are refused."""

SERVED = b"HTTP/1.1 200"

TIMEOUT_MS = 60_000
TARGET_LATENCY_MS = 600
RECEIVE_BUFFER_BYTES = 4_096
READ_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 0.1
ORDINARY_DEADLINE_MS = 3_000
ORDINARY_BYTES = 200
START_LIMIT_S = 15.0
LISTEN_STATE = "0A"

LIMITS = f"""
[self.limits]
memoryMb = {MEMORY_MB}
maxFds = {MAX_DESCRIPTORS}
[network]
"""

REQUEST = (
    "GET /safe/{size} HTTP/1.1\r\nhost: h.example\r\n"
    "x-request-id: {request_id}\r\nx-deadline-ms: {deadline_ms}\r\n\r\n"
)


@dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that ask for responses and read ``read_bytes`` each half second.

    Each sends ``n_pipelined`` requests at once on one connection. When it is closed, or
    the first response is a refusal, the caller opens another one after a pause.
    """

    n_callers: int
    response_bytes: int
    read_bytes: int
    deadline_ms: int
    n_pipelined: int = 1
    seconds: float = 8.0


@dataclass(slots=True)
class Usage:
    """What one process takes, in bytes and descriptors."""

    n_resident_bytes: int = 0
    n_unread_bytes: int = 0
    n_unsent_bytes: int = 0
    n_descriptors: int = 0

    @property
    def n_bytes(self):
        """Resident, unread and unsent bytes together."""
        return self.n_resident_bytes + self.n_unread_bytes + self.n_unsent_bytes


def _inodes_of_sockets(process_id):
    inodes = set()
    for name in os.listdir(f"/proc/{process_id}/fd"):
        try:
            target = os.readlink(f"/proc/{process_id}/fd/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes


def _socket_queues(program):
    """Return unsent and unread bytes of all connections of a process.

    Those that it has closed, which are found by its address, count while they have
    bytes to send.
    """
    octets = reversed(program.host.split("."))
    address = "".join(f"{int(octet):02X}" for octet in octets)
    inodes = _inodes_of_sockets(program.process.pid)
    n_unsent = n_unread = 0
    with open("/proc/net/tcp") as file:
        for line in list(file)[1:]:
            fields = line.split()
            is_own = fields[1].startswith(address) or fields[9] in inodes
            if is_own and fields[3] != LISTEN_STATE:
                unsent, unread = fields[4].split(":")
                n_unsent += int(unsent, 16)
                n_unread += int(unread, 16)
    return n_unsent, n_unread


def measure(program):
    """Return the usage of a process."""
    process_id = program.process.pid
    with open(f"/proc/{process_id}/statm") as file:
        n_resident = int(file.read().split()[1]) * resource.getpagesize()
    n_unsent, n_unread = _socket_queues(program)
    n_descriptors = len(os.listdir(f"/proc/{process_id}/fd"))
    return Usage(n_resident, n_unread, n_unsent, n_descriptors)


class SharedBackend(SoakBackend):
    """Announces one of the endpoints of a process."""

    async def start(self, seeds, control_port):
        self._seeds, self._control_port = seeds, control_port
        await curio.spawn(self._announce, daemon=True)


class PatientSoak(Soak):
    """A system whose routes permit long responses."""

    def configuration_document(self, version):
        document = super().configuration_document(version)
        for host in document["hosts"]:
            for path in host["paths"]:
                path["timeoutMs"] = TIMEOUT_MS
                path["targetLatencyMs"] = TARGET_LATENCY_MS
        return document


@dataclass
class System:
    """One control replica, two entries and the endpoints."""

    soak: Soak
    backends: list[SoakBackend]
    endpoints: subprocess.Popen | None = None
    peaks: dict[str, Usage] = field(default_factory=dict)

    @property
    def entries(self):
        return self.soak.entries

    async def start(self):
        for program in (*self.soak.controls, *self.entries):
            program.start(self.soak.seeds, True)
        names = [backend.name for backend in self.backends]
        arguments = ["benchmarks.body_endpoint", self.backends[0].host, *names]
        arguments += ["--load", LOAD]
        self.endpoints = subprocess.Popen(
            [sys.executable, "-m", *arguments], cwd=ROOT, stdout=subprocess.PIPE
        )
        for backend in self.backends:
            backend.link.port = int(self.endpoints.stdout.readline())
            await backend.start(self.soak.seeds, CONTROL_PORT)
        await self.soak.put_configuration()
        for entry in self.entries:
            async with curio.timeout_after(START_LIMIT_S):
                while await ordinary_status(entry) != 200:
                    await curio.sleep(0.1)
            for _ in range(20):
                await ordinary_status(entry)

    def stop(self):
        for program in (*self.soak.controls, *self.entries):
            program.kill()
        if self.endpoints is not None:
            self.endpoints.kill()
            self.endpoints.wait()

    async def sample(self):
        """Keep the peak of each figure until cancelled; memory as the largest sum."""
        while True:
            for entry in self.entries:
                if entry.process.poll() is None:
                    self._keep_peak(entry.name, measure(entry))
            await curio.sleep(SAMPLE_INTERVAL_S)

    def _keep_peak(self, name, usage):
        peak = self.peaks.setdefault(name, usage)
        n_descriptors = max(peak.n_descriptors, usage.n_descriptors)
        if usage.n_bytes > peak.n_bytes:
            self.peaks[name] = peak = usage
        peak.n_descriptors = n_descriptors


def make_system(folder, monkeypatch):
    """Return a system that isn't started, on addresses of its own."""
    settings = soak.SETTINGS.replace("machines = 1", "machines = 0")
    monkeypatch.setattr(soak, "SETTINGS", settings.replace("[network]\n", LIMITS, 1))
    rng = SystemRandom()
    system = PatientSoak(rng.randrange(1 << 20), folder, 1)
    network = f"127.{rng.randrange(20, 250)}.{rng.randrange(250)}"
    for number, program in enumerate((*system.controls, *system.entries), 1):
        program.host = f"{network}.{number}"
        program.module = ("pollenfold.platform",)
    system.controls = system.controls[:1]
    system.entries = system.entries[:2]
    system.seeds = [system.controls[0].host]
    backends = [
        SharedBackend(f"i-{k}", f"{network}.100", "a") for k in range(N_ENDPOINTS)
    ]
    return System(system, backends)


async def ordinary_status(entry):
    """Return the status of one ordinary request, 0 without a response."""
    response = await soak.exchange(
        entry.host,
        CALLER_PORT,
        b"GET",
        f"/safe/{ORDINARY_BYTES}",
        [
            (b"host", b"h.example"),
            (b"x-request-id", os.urandom(6).hex().encode()),
            (b"x-deadline-ms", b"%d" % ORDINARY_DEADLINE_MS),
        ],
        b"",
        ORDINARY_DEADLINE_MS / 1000,
    )
    return 0 if response is None else response.status


async def _call(entry, crowd):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await sock.connect((entry.host, CALLER_PORT))
        requests = "".join(
            REQUEST.format(
                size=crowd.response_bytes,
                request_id=os.urandom(6).hex(),
                deadline_ms=crowd.deadline_ms,
            )
            for _ in range(crowd.n_pipelined)
        )
        await sock.sendall(requests.encode())
        # The first response is looked at without being taken from the buffer.
        if await sock.recv(len(SERVED), socket.MSG_PEEK) != SERVED:
            return
        while True:
            await curio.sleep(READ_INTERVAL_S)
            if crowd.read_bytes and not await sock.recv(crowd.read_bytes):
                return


async def run_caller(entry, crowd):
    """Call again and again until cancelled."""
    while True:
        try:
            await _call(entry, crowd)
        except OSError:
            pass
        await curio.sleep(READ_INTERVAL_S)


async def run_crowd(system, crowd):
    """Run a crowd at each entry for its time; return the statuses of one ordinary
    request at each entry, sent while the crowd still waits."""
    sampler = await curio.spawn(system.sample, daemon=True)
    for entry in system.entries:
        for _ in range(crowd.n_callers // len(system.entries)):
            await curio.spawn(run_caller, entry, crowd, daemon=True)
    until = time.monotonic() + crowd.seconds
    while time.monotonic() < until:
        await curio.sleep(SAMPLE_INTERVAL_S)
    statuses = [await ordinary_status(entry) for entry in system.entries]
    await sampler.cancel()
    return statuses
