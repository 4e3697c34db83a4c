"""Stand-ins and process control for the cases 6 to 9: standard library only.

A case starts the project's own programs with the commands of the deploy file, on
loopback addresses of their own. The servers, the callers and the operator are here.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent

_ROLES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
RUN = {role: str(fields["run"]).split() for role, fields in _ROLES.items()}
"""The commands of the deploy file."""

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
N_CONTROL = 5
ZONES = ("z-a", "z-b", "z-c")

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "applyMs": 2000,
    "backMs": 250,
    "maxSkewMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "extraRetries": 64,
    "warmupBurstFactor": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "probesPerS": 60,
}


class CannotRun(Exception):
    """The case couldn't be set up; it says nothing of the rule."""


@dataclass
class Answer:
    """One response; ``status`` is 0 if the connection ended without a whole one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a whole body; raise IncompleteReadError if it is cut."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response; the status is 0 if there is no whole one."""
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return Answer(0)
            status = int(head[0].split()[1])
            if status >= 200:
                break
        return Answer(status, head[1], await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(0)


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Answer:
    """Send one request on a new connection; the status is 0 without a response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": f"{host}:{port}", **(headers or {})}
            if body or method in ("PUT", "POST"):
                fields["Content-Length"] = str(len(body))
            lines += [f"{k}: {v}" for k, v in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()


# The programs


class Program:
    """One process of the system, started as the platform starts it."""

    def __init__(self, system: System, role: str, name: str, host: str, zone: str):
        self.system = system
        self.role = role
        self.name = name
        self.host = host
        self.zone = zone
        self.popen: subprocess.Popen[bytes] | None = None

    def _settings(self, is_first: bool) -> dict[str, Any]:
        system = self.system
        is_entry = self.role == "entry"
        addresses = (
            {
                "front": f"{self.host}:{system.front_port}",
                "ready": f"{self.host}:{system.ready_port}",
            }
            if is_entry
            else {"control": f"{self.host}:{system.control_port}"}
        )
        node = {
            "nodeName": self.name,
            "ip": self.host,
            "zone": self.zone,
            "bootstrap": is_first,
            "limits": {"memoryMb": 300, "maxFds": 4096, "linkMbps": 1000.0},
        }
        if not is_entry:
            node["dataDir"] = str(system.folder / self.name)
        return {
            "self": node,
            "network": {
                "internalPorts": [system.first_port, system.first_port + 15],
                "seeds": system.seeds,
                "listenAddrs": addresses,
                "zones": dict.fromkeys(ZONES, "region"),
            },
            "terms": {
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": {**BOUNDS, **system.more_bounds},
            },
            "hedging": {"ratio": 0.0},
        }

    def start(self, is_first: bool = False) -> None:
        """Start the process with the run line of the deploy file."""
        folder = self.system.folder
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings(is_first)))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "POLLENFOLD_BOOT": str(path),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(
                RUN[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.system.record.write(f"start {self.name} at {self.host}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this case started."""
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)
            self.system.record.write(f"{number.name} to {self.name}")

    def kill(self) -> None:
        """End the process."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    @property
    def log(self) -> str:
        return (self.system.folder / f"{self.name}.log").read_text(errors="replace")


class System:
    """Five control replicas and some entries on loopback addresses of their own."""

    def __init__(self, record: Record, n_entries: int = 2) -> None:
        self.record = record
        self.more_bounds: dict[str, float] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="pollenfold-case-"))
        net = random.randrange(1, 200)
        self.entries = [
            Program(self, "entry", f"front-{n}", f"127.{net}.1.{n + 1}", ZONES[n % 3])
            for n in range(n_entries)
        ]
        self.controls = [
            Program(self, "control", f"core-{n}", f"127.{net}.2.{n + 1}", ZONES[n % 3])
            for n in range(N_CONTROL)
        ]
        self.net = net
        hosts = [p.host for p in (*self.entries, *self.controls)]
        self.first_port = _free_base(hosts)
        self.front_port = self.first_port + 20
        self.ready_port = self.first_port + 21
        self.control_port = self.first_port + 22
        self.endpoint_port = self.first_port + 23
        self.seeds = [f"{p.host}:{self.control_port}" for p in self.controls[:3]]
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        for program in (*self.controls, *self.entries):
            program.start(is_first=True)

    def spawn(self, run: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(run)
        self.tasks.append(task)
        return task

    def close(self) -> None:
        for program in (*self.entries, *self.controls):
            program.kill()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator

    async def order(
        self, method: str, target: str, body: bytes = b"", timeout_s: float = 12.0
    ) -> Answer:
        """Send an order of the operator until a node answers it clearly."""
        until = time.monotonic() + timeout_s
        answer = Answer(0)
        while time.monotonic() < until:
            node = random.choice(self.controls)
            answer = await self.order_at(node.host, method, target, body)
            if answer.status in (200, 400, 404, 409, 412, 413, 422):
                return answer
            await asyncio.sleep(0.2)
        return answer

    async def order_at(
        self, host: str, method: str, target: str, body: bytes = b""
    ) -> Answer:
        """Send a call to a control node, and follow a 307 twice."""
        answer = Answer(0)
        for _ in range(3):
            answer = await call(host, self.control_port, method, target, None, body)
            self.record.write(
                f"{method} {target} at {host}: {answer.status} {answer.body[:160]!r}"
            )
            if answer.status != 307:
                break
            host = answer.headers["location"].split("/")[2].split(":")[0]
        return answer

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until all entries say that they are ready."""
        until = time.monotonic() + timeout_s
        for entry in self.entries:
            while True:
                answer = await call(entry.host, self.ready_port, "GET", "/-/readyz")
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} isn't ready: {answer.status}")
                await asyncio.sleep(0.1)

    def endpoint_host(self, number: int) -> str:
        return f"127.{self.net}.3.{number}"


def _free_base(hosts: list[str]) -> int:
    for _ in range(100):
        base = random.randrange(15_000, 30_000)
        try:
            for host in hosts:
                for port in (*range(base, base + 4), *range(base + 20, base + 24)):
                    with socket.socket() as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        return base
    raise CannotRun("no free ports")


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    max_connections: int = 260,
    more: dict[str, Any] | None = None,
) -> bytes:
    """Return a complete configuration for the host ``shop.example``."""
    paths = [
        {
            "timeoutMs": 2000,
            "targetLatencyMs": 500,
            "priority": 1,
            "maxAttempts": 2,
            **route,
        }
        for route in routes
    ]
    fields = {
        "version": version,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": max_connections,
                "protocol": "h1",
                "tls": False,
                "warmupS": 3.0,
                "warmupPerS": 18.0,
            }
            for name in services
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 67108864,
            "headerMs": 3000,
            "idleMs": 15000,
        },
        "hosts": [{"host": "shop.example", "paths": paths}],
        **(more or {}),
    }
    return json.dumps(fields).encode()


# The servers

Work = Callable[["Endpoint", str, str, dict[str, str], bytes], Awaitable[bytes]]
"""Runs a request (method, target, headers, body) and returns the whole response."""


def response(
    status: int,
    request_id: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a signed response of an endpoint."""
    fields = {
        "X-Request-Id": request_id,
        "X-Response-Signature": f"{request_id}.{len(body):x}",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def plain_work(
    endpoint: Endpoint, method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Work for 20 ms and succeed."""
    await asyncio.sleep(0.02)
    request_id = headers.get("x-request-id", "")
    return response(200, request_id, b"done " + request_id.encode())


class Endpoint:
    """A server of a service, which announces itself with heartbeats."""

    def __init__(
        self,
        system: System,
        number: int,
        endpoint_id: str,
        service: str,
        zone: str = ZONES[0],
        work: Work = plain_work,
    ) -> None:
        self.system = system
        self.id = endpoint_id
        self.service = service
        self.zone = zone
        self.work = work
        self.host = system.endpoint_host(number)
        self.port = system.endpoint_port
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.n_running = 0
        self.arrivals: list[tuple[float, str]] = []
        """When each request reached it that it ran, and its id."""

        self.heartbeat_hosts = [c.host for c in system.controls]
        self.tells_load = True
        self.breaks_off_after_s: float | None = None
        self._light = asyncio.Event()
        self._light.set()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self, beats: bool = True) -> None:
        """Start a lifetime."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self._listen()
        self.system.record.write(f"{self.id} starts at {self.host}, born {self.born}")
        if beats:
            self._beats = self.system.spawn(self._send_beats())

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def go_dark(self) -> None:
        """Answer nothing, on open connections and on new ones, which don't open."""
        self.system.record.write(f"{self.id} is silent")
        self.stop_beats()
        self._light.clear()
        if self._server is not None:
            self._server.close()
        # The queue of new connections is full, so the opening packet is dropped.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.host, self.port))
        self._listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    async def come_back(self) -> None:
        """Answer again, in the same lifetime."""
        for sock in (*self._fillers, self._listener):
            if sock is not None:
                sock.close()
        self._fillers = []
        await self._listen()
        self._light.set()
        self._beats = self.system.spawn(self._send_beats())
        self.system.record.write(f"{self.id} answers again")

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    async def stop(self) -> None:
        """End the lifetime: the process ends, and all its connections."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        self.system.record.write(f"{self.id} ends")

    async def beat(self, host: str) -> int:
        """Send one heartbeat to a control node; return the status."""
        self.sequence += 1
        fields = {
            "address": f"{self.host}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 6,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "warmupLeftMs": 0,
            },
        }
        body = json.dumps(fields).encode()
        port = self.system.control_port
        target = f"/-/instances/{self.id}"
        answer = await call(host, port, "PUT", target, None, body)
        return answer.status

    async def _send_beats(self) -> None:
        while True:
            hosts = random.sample(self.heartbeat_hosts, len(self.heartbeat_hosts))
            for host in hosts[:3]:
                if await self.beat(host) == 200:
                    break
            await asyncio.sleep(1.5)

    def _load(self) -> str:
        return f"{self.n_running},0,6,100"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split()
                headers = head[1]
                await self._light.wait()
                body = await read_body(reader, headers)
                writer.write(await self._respond(method, target, headers, body))
                await writer.drain()
                if self.breaks_off_after_s is not None:
                    wait_s, self.breaks_off_after_s = self.breaks_off_after_s, None
                    await asyncio.sleep(wait_s)
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The end of the case cancels it; asyncio would report that as an error.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        expected = headers.get("x-expected-instance", self.id)
        request_id = headers.get("x-request-id", "")
        if expected != self.id:
            self.system.record.write(f"{request_id} gets 421 from {self.id}")
            return response(421, request_id, b"", {"X-Not-Executed": "1"})
        if target == "/healthz":
            load = f"X-Server-Load: {self._load()}\r\n" if self.tells_load else ""
            return (
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                f"X-Instance-Id: {self.id}\r\n{load}\r\n"
            ).encode()
        self.arrivals.append((self.system.record.now(), request_id))
        self.system.record.write(
            f"{request_id} ({method} {target}) is run by {self.id}"
        )
        self.n_running += 1
        try:
            return await self.work(self, method, target, headers, body)
        finally:
            self.n_running -= 1


# Callers


class Caller:
    """Sends requests on new connections, each with an id of its own."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.n_sent = 0

    def next_id(self) -> str:
        self.n_sent += 1
        return f"r{self.n_sent:05d}"

    async def send(
        self,
        entry: Program,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> tuple[str, Answer]:
        """Send one request; return its id and the response."""
        request_id = self.next_id()
        record = self.system.record
        record.write(f"{request_id} sent to {entry.name}: {method} {target}")
        fields = {
            "Host": "shop.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        answer = await call(
            entry.host,
            self.system.front_port,
            method,
            target,
            fields,
            body,
            deadline_ms / 1000 + 1.0,
        )
        record.write(
            f"{request_id} answered {answer.status}"
            f" signature {answer.headers.get('x-response-signature', 'none')}"
            f" {answer.body[:120]!r}"
        )
        return request_id, answer


# Running a case

Case = Callable[[System, bool], Awaitable[bool]]
"""Plays a case; its second argument is whether with the disruption. Returns whether the
rule was broken."""


def run_case(folder: Path, play: Case, n_entries: int = 2) -> int:
    """Run a case and return its exit status."""
    record = Record(Path(os.environ.get("RECORD", folder / "record.txt")))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if has_trouble else 'no'}")

    async def main() -> bool:
        system = System(record, n_entries)
        try:
            async with asyncio.timeout(110):
                return await play(system, has_trouble)
        finally:
            for task in system.tasks:
                task.cancel()
            system.close()

    try:
        is_broken = asyncio.run(main())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        return COULD_NOT_RUN
    text = "the rule was broken" if is_broken else "the rule held"
    record.write(text)
    print(text)
    return BROKEN if is_broken else HELD
