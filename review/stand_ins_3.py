"""Stand-ins of the third review: the platform, an operator, endpoints and consumers.

They need only the standard library. All addresses are loopback addresses.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("north-a", "north-b", "north-c")

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
    "extraRetries": 60,
    "warmupBurstFactor": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "probesPerS": 60,
}
"""The bounds of the small deployments."""

CONTROL_LIMITS = {"cpuShare": 0.86, "cpuCores": 3, "memoryMb": 296, "maxFds": 4096}
ENTRY_LIMITS = {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": 300, "maxFds": 4100}


class CannotRunError(Exception):
    """The case couldn't be set up, so it shows nothing."""


class Record:
    """The file ``record.txt`` of a case, with times since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._started
        with self._lock:
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Machine:
    """One machine of the stand-in platform, with the process of its role."""

    name: str
    role: str
    host: str
    zone: str
    settings: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def data_folder(self) -> Path:
        """The folder of its disk."""
        return self.folder / "data"


@dataclass
class Ports:
    """The ports, which are the same on all machines."""

    internal: int
    front: int
    ready: int
    control: int
    endpoint: int


@dataclass
class Platform:
    """Starts, signals and stops the processes of the deploy file."""

    record: Record
    n_control: int = 5
    n_entries: int = 2
    machines: list[Machine] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)
    """The endpoint and the request of each run, in order."""

    n_added: int = 0
    ends: dict[str, float] = field(default_factory=dict)
    """When the run of each request ended."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="r3-")))

    def __post_init__(self) -> None:
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self._free_ports()
        hosts = [self.host(10 + n) for n in range(self.n_control)]
        self.seeds = [f"{host}:{self.ports.control}" for host in hosts[:3]]
        for n, host in enumerate(hosts):
            self._add("control", n, host)
        for n in range(self.n_entries):
            self._add("entry", n, self.host(60 + n))

    def host(self, number: int) -> str:
        """Return an address of the network of this run."""
        return f"{self._net}.{number}"

    def _free_ports(self) -> Ports:
        for _ in range(50):
            base = random.randint(11_000, 28_000)
            wanted = range(base, base + 24)
            if all(self._is_free(port) for port in wanted):
                return Ports(base, base + 17, base + 18, base + 19, base + 20)
        raise CannotRunError("no free ports")

    def _is_free(self, port: int) -> bool:
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                return False
        return True

    def _add(self, role: str, number: int, host: str) -> None:
        name = f"{role}-{number}"
        folder = self.folder / name
        folder.mkdir()
        zone = ZONES[number % len(ZONES)]
        ports = self.ports
        if role == "control":
            listen = {"control": f"{host}:{ports.control}"}
        else:
            listen = {
                "front": f"{host}:{ports.front}",
                "ready": f"{host}:{ports.ready}",
            }
        limits = {
            **(CONTROL_LIMITS if role == "control" else ENTRY_LIMITS),
            "linkMbps": 1000.0,
            "diskMb": 256 if role == "control" else 0,
        }
        settings: dict[str, Any] = {
            "self": {
                "nodeName": name,
                "ip": host,
                "zone": zone,
                "limits": limits,
                "bootstrap": True,
            },
            "network": {
                "internalPorts": [ports.internal, ports.internal + 15],
                "seeds": self.seeds,
                "listenAddrs": listen,
                "zones": dict.fromkeys(ZONES, "north"),
            },
            "terms": {
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
            "hedging": {"ratio": 0.0},
        }
        machine = Machine(name, role, host, zone, settings, folder)
        if role == "control":
            settings["self"]["dataDir"] = str(machine.data_folder)
            machine.data_folder.mkdir()
        self.machines.append(machine)

    def add_control(self, is_named_by: list[Machine]) -> Machine:
        """Add an empty core machine whose settings name these machines as seeds."""
        number = 10 + self.n_added
        self.n_added += 1
        self._add("control", number, self.host(10 + number))
        machine = self.machines[-1]
        machine.settings["self"]["bootstrap"] = False
        machine.settings["network"]["seeds"] = self.addresses(is_named_by)
        return machine

    def addresses(self, machines: list[Machine]) -> list[str]:
        """Return the control addresses of core machines."""
        return [f"{machine.host}:{self.ports.control}" for machine in machines]

    def remove(self, machine: Machine) -> None:
        """Wait until a machine that got SIGTERM has ended; it doesn't come back."""
        assert machine.process is not None
        machine.process.wait(timeout=10)
        self.record.write(f"{machine.name} ended, and is gone for good")
        self.machines.remove(machine)
        shutil.rmtree(machine.data_folder, ignore_errors=True)

    def lose_disk(self, machine: Machine) -> None:
        """Empty the disk of a machine that is down, as the settings then say."""
        shutil.rmtree(machine.data_folder)
        machine.data_folder.mkdir()
        machine.settings["self"]["bootstrap"] = False
        self.record.write(f"{machine.name} lost its disk")

    def write_settings(self, machine: Machine) -> None:
        """Write the settings file of a machine, without any signal."""
        text = json.dumps(machine.settings)
        temporary = machine.folder / "settings.new"
        temporary.write_text(text)
        temporary.replace(machine.folder / "settings.json")

    def of_role(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.machines if machine.role == role]

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with its settings of this moment."""
        path = machine.folder / "settings.json"
        self.write_settings(machine)
        log = (machine.folder / "log.txt").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "POLLENFOLD_BOOT": str(path),
        }
        command = self._roles[machine.role]["run"].split()
        machine.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"platform starts {machine.name} at {machine.host}")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        assert machine.process is not None
        self.record.write(f"platform sends {number.name} to {machine.name}")
        machine.process.send_signal(number)

    def kill(self, machine: Machine) -> None:
        """End the process of a machine at once, and wait until it has ended."""
        assert machine.process is not None
        machine.process.kill()
        machine.process.wait()
        self.record.write(f"platform killed {machine.name}")

    def close(self) -> None:
        """End all processes and remove the folder."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Operator:
    """Sends orders as the pages say: to any replica, and again without an answer."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._record = platform.record
        self._next = 0

    def _hosts(self) -> list[str]:
        return [machine.host for machine in self._platform.of_role("control")]

    def call(
        self, host: str, method: str, path: str, body: bytes = b"", wait_s: float = 1.0
    ) -> tuple[int, bytes]:
        """Make one call and follow two redirects; return status 0 for no answer."""
        port = self._platform.ports.control
        for _ in range(3):
            connection = http.client.HTTPConnection(host, port, timeout=wait_s)
            try:
                headers = {"Content-Type": "application/json"} if body else {}
                connection.request(method, path, body or None, headers)
                response = connection.getresponse()
                data = response.read()
            except (OSError, http.client.HTTPException):
                return 0, b""
            finally:
                connection.close()
            if response.status != 307:
                return response.status, data
            location = response.getheader("Location", "")
            address = location.removeprefix("http://").partition("/")[0]
            host = address.partition(":")[0]
        return 0, b""

    def order(
        self, method: str, path: str, body: bytes = b"", until_s: float = 30.0
    ) -> tuple[int, float]:
        """Repeat an order until it has a clear answer; return status and seconds."""
        started = time.monotonic()
        pause_s = 0.1
        while time.monotonic() - started < until_s:
            hosts = self._hosts()
            host = hosts[self._next % len(hosts)]
            self._next += 1
            status, _ = self.call(host, method, path, body)
            self._record.write(f"operator: {method} {path} to {host}: {status or '-'}")
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, time.monotonic() - started
            time.sleep(pause_s)
            pause_s = min(0.5, pause_s * 1.5)
        return 0, time.monotonic() - started

    def note(self, text: str) -> None:
        """Write what was sent and answered to the record."""
        self._record.write(f"operator: {text}")

    def read_version(self, machine: Machine) -> int | None:
        """Return the version that one machine reads back, or None if none comes."""
        status, body = self.call(machine.host, "GET", "/-/config")
        version = int(json.loads(body)["version"]) if status == 200 else None
        self._record.write(
            f"operator reads at {machine.name}: {status or '-'} version {version}"
        )
        return version

    def read_anywhere(self, until_s: float) -> int | None:
        """Read at all machines in turn until one answers; return the version."""
        started = time.monotonic()
        while time.monotonic() - started < until_s:
            for machine in self._platform.of_role("control"):
                version = self.read_version(machine)
                if version is not None:
                    return version
            time.sleep(0.5)
        return None


def leader_host(platform: Platform, learner: Machine) -> str | None:
    """Return the host to which a machine that isn't a member sends its callers.

    It answers the heartbeat of an endpoint with a redirect, a member with 400, since
    the body is malformed.
    """
    connection = http.client.HTTPConnection(
        learner.host, platform.ports.control, timeout=1.0
    )
    try:
        headers = {"Content-Type": "application/json"}
        connection.request("PUT", "/-/instances/x", b"{}", headers)
        response = connection.getresponse()
        if response.status != 307:
            return None
        address = response.getheader("Location", "").removeprefix("http://")
        return address.partition("/")[0].partition(":")[0]
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def is_member(platform: Platform, machine: Machine) -> bool:
    """Return whether a core machine is a member of its group."""
    connection = http.client.HTTPConnection(
        machine.host, platform.ports.control, timeout=1.0
    )
    try:
        headers = {"Content-Type": "application/json"}
        connection.request("PUT", "/-/instances/x", b"{}", headers)
        return connection.getresponse().status == 400
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return one route of a configuration."""
    return {
        "name": name,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def configuration(
    version: int, services: list[str], routes: list[dict[str, Any]], **fields: Any
) -> bytes:
    """Return a complete configuration as the operator sends it."""
    return json.dumps(
        {
            "version": version,
            "services": [
                {
                    "name": name,
                    "healthPath": "/healthz",
                    "maxConns": 240,
                    "protocol": "h1",
                    "tls": False,
                    "warmupS": 3.0,
                    "warmupPerS": 9.2,
                }
                for name in services
            ],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 67108864,
                "headerMs": 3000,
                "idleMs": 15000,
            },
            "hosts": [{"host": "shop.example", "paths": routes}],
            **fields,
        }
    ).encode()


@contextlib.contextmanager
def running(folder: Path, **fields: Any) -> Iterator[tuple[Record, Platform]]:
    """Provide the record and the platform of a case, and end all processes."""
    record = Record(folder)
    try:
        platform = Platform(record, **fields)
        try:
            yield record, platform
        finally:
            platform.close()
    finally:
        record.close()


def has_trouble() -> bool:
    """Return whether the disruption of the case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass
class HttpRequest:
    """One request as an endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id that its consumer gave it."""
        return self.headers.get("x-request-id", "")


class Connection:
    """One connection, of which an endpoint reads requests."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""

    def _fill(self) -> bool:
        data = self.sock.recv(65536)
        self._buffer += data
        return bool(data)

    def read_head(self) -> HttpRequest | None:
        """Return the next head without its body, or None at the end."""
        while b"\r\n\r\n" not in self._buffer:
            if not self._fill():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return HttpRequest(method, target, headers, b"")

    def read_body(self, request: HttpRequest) -> bool:
        """Read the body of a request; return False if it ends early."""
        if request.headers.get("transfer-encoding", "").lower() == "chunked":
            return self._read_chunks(request)
        n_bytes = int(request.headers.get("content-length", "0"))
        while len(self._buffer) < n_bytes:
            if not self._fill():
                return False
        request.body, self._buffer = self._buffer[:n_bytes], self._buffer[n_bytes:]
        return True

    def _read_chunks(self, request: HttpRequest) -> bool:
        while True:
            while b"\r\n" not in self._buffer:
                if not self._fill():
                    return False
            line, _, self._buffer = self._buffer.partition(b"\r\n")
            n_bytes = int(line.partition(b";")[0], 16)
            while len(self._buffer) < n_bytes + 2:
                if not self._fill():
                    return False
            request.body += self._buffer[:n_bytes]
            self._buffer = self._buffer[n_bytes + 2 :]
            if not n_bytes:
                return True

    def is_closed(self) -> bool:
        """Return whether the peer closed the connection."""
        try:
            self.sock.setblocking(False)
            data = self.sock.recv(65536)
            self._buffer += data
            return not data
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.setblocking(True)


class Endpoint:
    """A sound endpoint: it announces itself, reports its load and runs requests.

    Subclasses override ``run``. It drops a request when its connection closes.
    """

    def __init__(
        self, platform: Platform, service: str, number: int, zone: str = ZONES[0]
    ) -> None:
        self.platform = platform
        self.record = platform.record
        self.service = service
        self.zone = zone
        self.host = platform.host(100 + number)
        self.port = platform.ports.endpoint
        self.slots = 6
        self.n_running = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.endpoint_id = f"i-{service}-{number}-{self.born % 100000}"
        self.is_open = True
        self.is_announcing = True
        self._sequence = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server((self.host, self.port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    # Announcements

    def announcement(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "address": f"{self.host}:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self._sequence,
                    "warmupLeftMs": 0,
                },
            }
        ).encode()

    def announce(self) -> bool:
        """Send a heartbeat to one replica after the other; return whether it counts."""
        operator = Operator(self.platform)
        path = f"/-/instances/{self.endpoint_id}"
        body = self.announcement()
        machines = self.platform.of_role("control")
        for machine in random.sample(machines, len(machines)):
            status, _ = operator.call(machine.host, "PUT", path, body)
            if 200 <= status < 300:
                return True
        return False

    def _announce(self) -> None:
        while self.is_open:
            if self.is_announcing:
                self.announce()
            time.sleep(1.5 if self.is_announcing else 0.05)

    # Requests

    def _accept(self) -> None:
        while self.is_open:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        connection = Connection(sock)
        try:
            while (request := connection.read_head()) is not None:
                if not self._handle(connection, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def load(self) -> str:
        """Return the value of the header that reports the load."""
        return f"{self.n_running},0,{self.slots},100"

    def respond(
        self,
        connection: Connection,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Send a complete response."""
        all_headers = {
            "X-Server-Load": self.load(),
            "Content-Length": str(len(body)),
            **headers,
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        connection.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def _handle(self, connection: Connection, request: HttpRequest) -> bool:
        if request.target == "/healthz":
            headers = {"X-Instance-Id": self.endpoint_id}
            self.respond(connection, 200, headers)
            return True
        if request.headers.get("x-expected-instance") != self.endpoint_id:
            refusal = {"X-Request-Id": request.request_id, "X-Not-Executed": "1"}
            self.respond(connection, 421, refusal)
            return False
        if not connection.read_body(request):
            return False
        with self._lock:
            self.n_running += 1
        self.platform.runs.append((self.endpoint_id, request.request_id))
        self.record.write(
            f"{self.endpoint_id} runs {request.request_id} "
            f"{request.method} {request.target}"
        )
        try:
            return self.run(connection, request)
        except OSError:
            return False
        finally:
            with self._lock:
                self.n_running -= 1
            self.platform.ends[request.request_id] = time.monotonic()
            self.record.write(f"{self.endpoint_id} ends {request.request_id}")

    def run(self, connection: Connection, request: HttpRequest) -> bool:
        """Run a request and respond; return whether the connection goes on."""
        time.sleep(0.02)
        self.answer(connection, request)
        return True

    def answer(
        self, connection: Connection, request: HttpRequest, body: bytes = b"done"
    ) -> None:
        """Send the success of a request."""
        headers = {
            "X-Request-Id": request.request_id,
            "X-Response-Signature": self.signature(request),
        }
        self.respond(connection, 200, headers, body)

    def signature(self, request: HttpRequest) -> str:
        """Return the signature of the answer to a request."""
        return f"{self.endpoint_id}.{request.request_id}"

    def close(self) -> None:
        """End the endpoint: its connections and its listener."""
        self.is_open = False
        self._listener.close()


@dataclass
class Answer:
    """What a consumer got: status 0 stands for no complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    elapsed_s: float = 0.0


def send_request(
    platform: Platform,
    entry: Machine,
    method: str,
    path: str,
    *,
    request_id: str,
    deadline_ms: int = 4000,
    body: bytes | None = None,
) -> Answer:
    """Send one request on a new connection and wait for its answer."""
    started = time.monotonic()
    connection = http.client.HTTPConnection(
        entry.host, platform.ports.front, timeout=deadline_ms / 1000 + 1.0
    )
    headers = {
        "Host": "shop.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }
    platform.record.write(
        f"consumer sends {request_id} {method} {path} to {entry.name}"
    )
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        data = response.read()
        pairs = {name.lower(): value for name, value in response.getheaders()}
        answer = Answer(response.status, pairs, data)
    except (OSError, http.client.HTTPException) as error:
        answer = Answer(0, {"error": repr(error)})
    finally:
        connection.close()
    answer.elapsed_s = time.monotonic() - started
    platform.record.write(
        f"consumer got {answer.status} for {request_id} after {answer.elapsed_s:.3f} s"
    )
    return answer


def is_ready(platform: Platform, entry: Machine) -> bool:
    """Return whether an entry says that it is ready."""
    connection = http.client.HTTPConnection(
        entry.host, platform.ports.ready, timeout=1.0
    )
    try:
        connection.request("GET", "/-/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def wait_until(condition: Any, timeout_s: float, what: str) -> None:
    """Wait for a condition; raise CannotRunError if it doesn't come."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRunError(f"not in time: {what}")


def run_case(case: Any, folder: Path, **fields: Any) -> int:
    """Run a case; return 1 if it returns True: the rule was broken. 2: can't run."""
    try:
        with running(folder, **fields) as (record, platform):
            is_broken = bool(case(record, platform))
            record.write(f"result: the rule {'was broken' if is_broken else 'held'}")
            return int(is_broken)
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        return 2
