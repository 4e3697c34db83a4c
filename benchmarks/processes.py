"""Starts and stops the processes of benchmarks, the demo and tests.

This is the only module that builds command lines of the daemons.
"""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import curio

from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Response

ROOT = Path(__file__).resolve().parent.parent

PROGRAM = [sys.executable, "-m", "pollenfold"]


@dataclass(frozen=True, slots=True)
class ControlReplica:
    """Addresses and folder of one control replica."""

    replica_id: str
    zone: str
    host: str
    peer_port: int
    operator_port: int
    data_folder: Path


@dataclass(frozen=True, slots=True)
class LedgerReplica:
    """Address and folder of one ledger replica."""

    replica_id: str
    host: str
    peer_port: int
    data_folder: Path


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Identity and addresses of one entry."""

    entry_id: str
    zone: str
    host: str
    caller_port: int
    platform_port: int
    peer_port: int

    @property
    def platform(self) -> str:
        """The address that backend servers send announcements to."""
        return f"{self.host}:{self.platform_port}"


def _peers(replicas: list[ControlReplica] | list[LedgerReplica]) -> str:
    return ",".join(f"{r.replica_id}={r.host}:{r.peer_port}" for r in replicas)


def control_command(
    replica: ControlReplica,
    replicas: list[ControlReplica],
    ledger: list[LedgerReplica],
    token: str,
) -> list[str]:
    """Return the command line of a control replica."""
    return [
        *PROGRAM,
        "control",
        f"--replica-id={replica.replica_id}",
        f"--zone={replica.zone}",
        f"--host={replica.host}",
        f"--peers={_peers(replicas)}",
        f"--operator-port={replica.operator_port}",
        f"--data-folder={replica.data_folder}",
        f"--ledger={_peers(ledger)}",
        f"--token={token}",
    ]


def ledger_command(replica: LedgerReplica, replicas: list[LedgerReplica]) -> list[str]:
    """Return the command line of a ledger replica."""
    return [
        *PROGRAM,
        "ledger",
        f"--replica-id={replica.replica_id}",
        f"--host={replica.host}",
        f"--peers={_peers(replicas)}",
        f"--data-folder={replica.data_folder}",
    ]


def entry_command(
    entry: EntryAddress,
    control: list[ControlReplica],
    ledger: list[LedgerReplica],
    token: str,
) -> list[str]:
    """Return the command line of an entry."""
    return [
        *PROGRAM,
        "entry",
        f"--entry-id={entry.entry_id}",
        f"--zone={entry.zone}",
        f"--host={entry.host}",
        f"--caller-port={entry.caller_port}",
        f"--platform-port={entry.platform_port}",
        f"--peer-port={entry.peer_port}",
        f"--control={_peers(control)}",
        f"--ledger={_peers(ledger)}",
        f"--token={token}",
    ]


def operator_command(
    arguments: list[str], control: list[ControlReplica], token: str
) -> list[str]:
    """Return the command line of an operator command, such as ``zone out a``."""
    addresses = ",".join(f"{r.host}:{r.operator_port}" for r in control)
    return [*PROGRAM, *arguments, f"--operator={addresses}", f"--token={token}"]


def backend_command(**flags: object) -> list[str]:
    """Return the command line of a fake backend server."""
    pairs = [f"--{name.replace('_', '-')}={value}" for name, value in flags.items()]
    return [sys.executable, "-m", "pollenfold.testing.backend_server", *pairs]


def forwarder_command(**flags: object) -> list[str]:
    """Return the command line of the baseline forwarder."""
    pairs = [f"--{name.replace('_', '-')}={value}" for name, value in flags.items()]
    return [sys.executable, "-m", "benchmarks.forwarder", *pairs]


def daemons_exist() -> bool:
    """Return whether the ``pollenfold`` program has the daemon commands."""
    return all(
        run_command([*PROGRAM, role, "--help"], 10)[0] == 0
        for role in ("control", "ledger", "entry")
    )


def free_ports(host: str, n_ports: int) -> list[int]:
    """Return free ports of the address, assigned by the kernel.

    Each process should have its own loopback address other than 127.0.0.1. Outgoing
    connections use ports of 127.0.0.1, so they can't collide with these.
    """
    sockets = []
    try:
        for _ in range(n_ports):
            sock = socket.socket()
            sockets.append(sock)
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


@dataclass(slots=True)
class Process:
    """One process, signalled by its id; its output goes to the file ``log``."""

    name: str
    command: list[str]
    log: Path
    popen: subprocess.Popen[bytes]

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self._signal(signal.SIGKILL)
        self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP until ``resume``."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a planned stop with SIGTERM."""
        self._signal(signal.SIGTERM)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, or None if the process still runs at the timeout."""
        async with curio.ignore_after(timeout_s):
            while self.is_running:
                await curio.sleep(0.02)
        return self.popen.poll()

    def log_tail(self, n_lines: int = 20) -> str:
        """Return the last lines of the output."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-n_lines:])

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            os.kill(self.popen.pid, number)


@dataclass(slots=True)
class ProcessGroup:
    """Processes with their logs in one folder; all are killed on exit.

    For example ``with ProcessGroup(folder) as group: group.start("b1", command)``.
    """

    folder: Path
    processes: dict[str, Process] = field(default_factory=dict)

    def __enter__(self) -> ProcessGroup:
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *details: object) -> None:
        self.end_all()

    def start(self, name: str, command: list[str]) -> Process:
        """Start a process; a restart under the same name appends to its log."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
            )
        self.processes[name] = Process(name, command, log, popen)
        return self.processes[name]

    def restart(self, name: str) -> Process:
        """Start an exited process again with the same command."""
        return self.start(name, self.processes[name].command)

    def end_all(self) -> None:
        """Kill the processes that still run."""
        for process in self.processes.values():
            process.kill()

    def remove_folder(self) -> None:
        """Delete the logs and data folders."""
        shutil.rmtree(self.folder, ignore_errors=True)


def run_command(command: list[str], timeout_s: float) -> tuple[int, str]:
    """Run a short command; return its exit status and output."""
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=timeout_s
    )
    return completed.returncode, completed.stdout + completed.stderr


async def request(
    host: str, port: int, method: str, path: str, body: bytes = b""
) -> Response | None:
    """Return the response to one request, or None without a complete response."""
    headers = [(b"host", f"{host}:{port}".encode()), (b"connection", b"close")]
    try:
        async with curio.timeout_after(2):
            connection = await HttpConnection.open(host, port)
            try:
                result = await connection.exchange(
                    method.encode(), path.encode(), headers, body
                )
            finally:
                await connection.close()
    except (OSError, curio.TaskTimeout):
        return None
    return result.ok if result.is_ok() else None


async def wait_until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, expected: str
) -> None:
    """Poll until the check returns True; raise TimeoutError at the timeout."""
    try:
        async with curio.timeout_after(timeout_s):
            while not await check():
                await curio.sleep(0.05)
    except curio.TaskTimeout as error:
        raise TimeoutError(f"expected {expected} within {timeout_s} s") from error


async def wait_healthy(host: str, port: int, timeout_s: float = 10) -> None:
    """Wait until the health check of the address returns 200."""

    async def is_healthy() -> bool:
        response = await request(host, port, "GET", "/healthz")
        return response is not None and response.status == 200

    await wait_until(is_healthy, timeout_s, f"{host}:{port} healthy")


async def wait_listening(host: str, port: int, timeout_s: float = 10) -> None:
    """Wait until the address accepts connections."""

    async def is_listening() -> bool:
        try:
            sock = await curio.open_connection(host, port)
        except OSError:
            return False
        await sock.close()
        return True

    await wait_until(is_listening, timeout_s, f"{host}:{port} listening")
