"""Stand-ins for the platform, the operator, endpoints and consumers, on loopback.

Only the standard library is used. The programs are started with the ``run`` lines of
``deploy/system.toml`` and settings like those of a small deployment.
"""

from __future__ import annotations

import asyncio
import hashlib
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
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
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
HEARTBEAT_S = 1.5
OPERATOR_WAIT_S = 1.0
"""How long the operator waits for a response before it moves on to another node."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(f"{self.now():9.3f} {text}", flush=True)


class HttpResponse:
    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_response(reader: asyncio.StreamReader) -> HttpResponse:
    first, headers = await read_head(reader)
    n_bytes = int(headers.get("content-length", "0"))
    body = await reader.readexactly(n_bytes)
    return HttpResponse(int(first.split()[1]), headers, body)


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = OPERATOR_WAIT_S,
) -> HttpResponse | None:
    """Send one request on a new connection; None without a complete response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            all_headers = {"Host": address[0], **(headers or {})}
            writer.write(encode_request(method, path, all_headers, body))
            return await read_response(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Endpoint:
    """A sound endpoint: it runs requests, echoes ids, reports its load, beats."""

    def __init__(
        self, deployment: Deployment, number: int, service: str, zone: str, host: str
    ) -> None:
        self.deployment = deployment
        self.endpoint_id = f"i-{number:04d}"
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.slots = 6
        self.work_s = 0.07
        self.n_running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str]] = []
        """When each request began to run, and its id."""

        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.deployment.spawn(self._beat())

    def announcement(self, state: str = "ready") -> bytes:
        self.sequence += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": state, "sequence": self.sequence, "warmupLeftMs": 0}
        return json.dumps(
            {
                "address": f"{self.host}:{self.port}",
                "born": self.born,
                "info": info,
                "status": status,
            }
        ).encode()

    def choose_node(self) -> int:
        """Return the node that beats go to first."""
        return random.randrange(len(self.deployment.controls))

    async def _beat(self) -> None:
        nodes = self.deployment.control_addresses()
        chosen = self.choose_node()
        while True:
            path = f"/-/instances/{self.endpoint_id}"
            response = await call(nodes[chosen], "PUT", path, {}, self.announcement())
            if response is not None and response.status == 307:
                response = None
            if response is None or response.status != 200:
                chosen = (chosen + 1) % len(nodes)
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                response = await self.handle(method, path, headers, body)
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> bytes:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        load = f"{self.n_running},0,{self.slots},100"
        common = {
            "X-Instance-Id": self.endpoint_id,
            "X-Server-Load": load,
            "Keep-Alive": "timeout=10",
        }
        lines += [f"{name}: {value}" for name, value in {**common, **headers}.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        if path == "/healthz":
            return self.respond(200, {}, b"")
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        expected = headers.get("x-expected-instance")
        if expected not in (None, self.endpoint_id):
            return self.respond(421, {**echo, "X-Not-Executed": "1"}, b"")
        if self.n_running >= self.slots:
            return self.respond(503, {**echo, "X-Not-Executed": "1"}, b"")
        self.n_running += 1
        self.runs.append((self.deployment.record.now(), request_id))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.n_running -= 1
        signature = hashlib.sha256(request_id.encode()).hexdigest()
        return self.respond(
            200, {**echo, "X-Response-Signature": signature}, signature.encode() * 3
        )


class Node:
    """One machine of the system with the process of its role."""

    def __init__(
        self, deployment: Deployment, role: str, name: str, host: str, zone: str
    ) -> None:
        self.deployment = deployment
        self.role = role
        self.name = name
        self.host = host
        self.zone = zone
        self.folder = deployment.folder / name
        self.folder.mkdir(parents=True)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, bootstrap: bool) -> None:
        deployment = self.deployment
        data = self.folder / "data"
        addresses = {"ready": f"{self.host}:{deployment.ready_port}"}
        addresses["front"] = f"{self.host}:{deployment.front_port}"
        own: dict[str, Any] = {
            "nodeName": self.name,
            "ip": self.host,
            "zone": self.zone,
            "limits": {"linkMbps": 1000.0, "memoryMb": 300, "maxFds": 4100},
            "bootstrap": bootstrap,
        }
        if self.role == "control":
            data.mkdir(exist_ok=True)
            own["dataDir"] = str(data)
            addresses = {"control": f"{self.host}:{deployment.control_port}"}
        first = deployment.internal_port
        settings = {
            "self": own,
            "network": {
                "internalPorts": [first, first + 15],
                "seeds": deployment.seeds(),
                "listenAddrs": addresses,
                "zones": {zone: "region" for zone in deployment.zones},
            },
            "terms": {
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        command = deployment.run_lines[self.role].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["POLLENFOLD_BOOT"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deployment.record.write(f"start {self.name} bootstrap={bootstrap}")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.deployment.record.write(f"{signal.Signals(number).name} {self.name}")
            os.kill(self.process.pid, number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def control_address(self) -> tuple[str, int]:
        return self.host, self.deployment.control_port

    def log_text(self) -> str:
        return (self.folder / "log").read_text(errors="replace")


class Deployment:
    """Five control replicas, some entries and the endpoints of one service."""

    def __init__(
        self, record: Record, n_entries: int, endpoint_zones: list[str]
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.run_lines = {k: v["run"] for k, v in deploy["roles"].items()}
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.network = f"127.{random.randrange(100, 250)}.{random.randrange(1, 250)}"
        self.front_port = free_port(f"{self.network}.1")
        self.ready_port = free_port(f"{self.network}.1")
        self.control_port = free_port(f"{self.network}.1")
        self.internal_port = 7680
        zone_of = [self.zones[k] for k in (0, 0, 1, 1, 2)]
        self.controls = [
            Node(self, "control", f"core-{k}", f"{self.network}.{k + 1}", zone_of[k])
            for k in range(5)
        ]
        self.entries = [
            Node(
                self,
                "entry",
                f"front-{k}",
                f"{self.network}.{k + 21}",
                self.zones[k % 3],
            )
            for k in range(n_entries)
        ]
        self.endpoints = [
            Endpoint(self, k, "market", zone, f"{self.network}.{k + 101}")
            for k, zone in enumerate(endpoint_zones)
        ]
        self._tasks: set[asyncio.Task[Any]] = set()
        self.max_conns = 260
        self.kinds = {"safe": 800, "unsafe": 1000}
        """The routes: their kinds, which are their prefixes, and timeoutMs."""

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def seeds(self) -> list[str]:
        return [f"{self.controls[k].host}:{self.control_port}" for k in (0, 2, 4)]

    def control_addresses(self) -> list[tuple[str, int]]:
        return [node.control_address for node in self.controls]

    async def start(self) -> None:
        for node in self.controls + self.entries:
            node.start(bootstrap=True)
        for endpoint in self.endpoints:
            await endpoint.start()

    def configuration(self, version: int) -> bytes:
        routes = [
            {
                "name": f"r-{kind}",
                "pathPrefix": f"/{kind}/",
                "kind": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": 200,
                "priority": 1,
                "service": "market",
                "maxAttempts": 2,
            }
            for kind, timeout_ms in self.kinds.items()
        ]
        service = {
            "healthPath": "/healthz",
            "maxConns": self.max_conns,
            "protocol": "h1",
            "tls": False,
            "warmupS": 3.0,
            "warmupPerS": 18.0,
        }
        services = [{"name": name, **service} for name in ("market", "haul")]
        limits = {"headerBytes": 16384, "bodyBytes": 67108864}
        limits |= {"headerMs": 3000, "idleMs": 15000}
        return json.dumps(
            {
                "version": version,
                "services": services,
                "limits": limits,
                "hosts": [{"host": "shop.example", "paths": routes}],
            }
        ).encode()

    async def order(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        first: int | None = None,
        within_s: float = 8.0,
    ) -> float | None:
        """Send an order as the operator does; return when it was acknowledged.

        After a second without a response, a failure or a 5xx it moves on to another
        node. ``first`` is the node that it picks first.
        """
        n_nodes = len(self.controls)
        picks = random.sample(range(n_nodes), n_nodes)
        if first is not None:
            picks.remove(first)
            picks.insert(0, first)
        deadline = self.record.now() + within_s
        pause_s = 0.05
        while self.record.now() < deadline:
            node = self.controls[picks[0]]
            picks.append(picks.pop(0))
            self.record.write(f"operator sends {method} {path} to {node.name}")
            response = await call(node.control_address, method, path, {}, body)
            status = "no answer" if response is None else str(response.status)
            self.record.write(f"operator gets {status} from {node.name}")
            if response is not None and 200 <= response.status < 300:
                return self.record.now()
            if response is not None and response.status in (400, 409, 412, 413, 422):
                return None
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 1.5 * pause_s)
        return None

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until every entry says that it is ready."""
        deadline = self.record.now() + timeout_s
        waiting = list(self.entries)
        while waiting and self.record.now() < deadline:
            address = waiting[0].host, self.ready_port
            response = await call(address, "GET", "/-/readyz")
            if response is not None and response.status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.1)
        return not waiting

    def stop(self) -> None:
        for node in self.controls + self.entries:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.controls + self.entries:
                target = Path(keep) / node.name
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(node.folder / "log", target)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def run_case(folder: Path, case: Any, limit_s: float = 110.0) -> int:
    """Run ``case(record, has_trouble)`` within a time limit; return the exit status."""
    record_folder = Path(os.environ.get("RECORD_FOLDER", folder))
    record = Record(record_folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble={int(has_trouble)}")

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return int(await case(record, has_trouble))

    try:
        status = asyncio.run(limited())
    except (OSError, TimeoutError) as error:
        record.say(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    names = {BROKEN: "broken", HELD: "held", COULD_NOT_RUN: "could not run"}
    record.say(f"result: {names[status]}")
    return status


def main(folder: Path, case: Any) -> None:
    sys.exit(run_case(folder, case))
