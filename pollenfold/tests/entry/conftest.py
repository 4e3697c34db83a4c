"""One or two entries with fake backend servers and a ledger, in one event loop."""

import json
from dataclasses import dataclass, field, replace

import curio
import pytest

from pollenfold.core.balancing.warmup import Directory
from pollenfold.core.configuration import ConfigurationView
from pollenfold.core.directory import LEASE_MS, LiveEntry
from pollenfold.core.endpoints import WarmState
from pollenfold.core.errors import ErrorKind
from pollenfold.core.records import FleetSpec, RequestClass, Rule
from pollenfold.entry.forwarding import Forwarder
from pollenfold.entry.health import EndpointHealth
from pollenfold.entry.non_idempotent import NonIdempotentRunner
from pollenfold.entry.platform import PlatformInterface
from pollenfold.entry.proxy import Proxy
from pollenfold.entry.services import ServiceTable
from pollenfold.entry.state import Directory as EntryDirectory
from pollenfold.http.client import HttpConnection
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock
from pollenfold.testing.backend_server import BackendServer
from pollenfold.testing.backend_settings import BackendSettings
from pollenfold.testing.endpoints import make_endpoint, make_service
from pollenfold.testing.faults import FaultRule, FaultUpdate
from pollenfold.testing.ledger import LocalLedger

HOST = "127.0.0.1"
LEDGER_TIMEOUT_MS = 150.0
"""Longer than the default: all replicas and entries share the test's event loop, so on
a busy machine a shorter timeout would make the ledger seem unreachable."""

IDEMPOTENT_RULES = (Rule(("GET", "HEAD"), "/", RequestClass.IDEMPOTENT),)


@dataclass
class Reply:
    """The response that a caller received; ``status`` is None for a lost connection."""

    status: int | None
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    elapsed_ms: float = 0.0

    @property
    def error(self):
        if not self.status or not self.body.startswith(b'{"error"'):
            return None
        return json.loads(self.body)["error"]

    @property
    def run_state(self):
        return self.headers.get("pollenfold-run-state")

    @property
    def retry_after(self):
        return self.headers.get("retry-after")


class Caller:
    """One caller with its own connection, kept open between requests."""

    def __init__(self, port):
        self.port = port
        self.connection = None

    async def send(self, method="GET", path="/market/a", key=None, body=b"", **headers):
        """Send one request; ``x_request_id="a"`` gives the header of that name."""
        if self.connection is None or self.connection.is_stale():
            await self.close()
            self.connection = await HttpConnection.open(HOST, self.port)
        pairs = [(b"host", b"entry")]
        for name, value in headers.items():
            pairs.append((name.replace("_", "-").encode(), str(value).encode()))
        if key is not None:
            pairs.append((b"idempotency-key", key.encode()))
        start = system_clock()
        result = await self.connection.exchange(
            method.encode(), path.encode(), pairs, body
        )
        elapsed_ms = system_clock() - start
        if not self.connection.is_reusable:
            await self.close()
        if result.is_error():
            return Reply(None, elapsed_ms=elapsed_ms)
        received = {}
        for name, text in result.ok.headers:
            # Joins repeated headers, so that a test detects the repetition.
            previous = [received[name.decode()]] if name.decode() in received else []
            received[name.decode()] = ", ".join([*previous, text.decode()])
        return Reply(result.ok.status, received, result.ok.body, elapsed_ms)

    async def close(self):
        if self.connection is not None:
            connection, self.connection = self.connection, None
            await connection.close()


class EntryUnderTest:
    """The call path of one entry, with the attributes of ``Entry`` that drain uses."""

    def __init__(self, path, entry_id):
        self.path = path
        self.entry_id = entry_id
        self.has_lease = True
        self.is_stopping = False
        self.port = 0
        self.health_port = 0
        self.warm_changes = []
        self.view = path.view
        self.warmup_directory = Directory(1, -1e9, (entry_id,))
        self.directory = EntryDirectory()
        self.health = EndpointHealth(
            entry_id,
            LEASE_MS,
            lambda: self.warmup_directory,
            lambda: self.view,
            self.warm_changes.append,
            system_clock,
        )
        self.services = ServiceTable("a", 1, system_clock, self.health)
        client = path.ledger.client(entry_id, call_timeout_ms=path.ledger_timeout_ms)
        self.actions = NonIdempotentRunner(client, entry_id, system_clock)
        self.proxy = Proxy(
            self.services,
            self.actions,
            Forwarder(entry_id, lambda: self.directory, 1, system_clock),
            lambda: self.has_lease,
            system_clock,
        )
        self.callers = HttpServer(self.proxy.handle, 16 << 20)
        platform = PlatformInterface(self.unhealthy_kind, None, dict, "token")
        self.platform = HttpServer(platform.handle)

    async def start(self):
        self.services.apply(list(self.view.services))
        await self.sync()
        self.port = await self.callers.start(HOST, 0)
        self.health_port = await self.platform.start(HOST, 0)

    async def sync(self):
        """Apply the endpoints and their limits, as the refresher does."""
        for runtime in self.services.runtimes:
            own = [e for e in self.path.endpoints if e.service == runtime.spec.name]
            await runtime.sync(tuple(own), self.view)

    @property
    def runtime(self):
        return self.services.runtimes[0]

    def caller(self):
        return Caller(self.port)

    async def send(self, *args, **options):
        """Send one request as a new caller."""
        caller = self.caller()
        try:
            return await caller.send(*args, **options)
        finally:
            await caller.close()

    def unhealthy_kind(self):
        return ErrorKind.STOPPING if self.is_stopping else None

    async def health_status(self):
        return (await Caller(self.health_port).send(path="/healthz")).status


class CallPath:
    """Backend servers, a ledger and entries in the event loop of one test."""

    def __init__(self, ledger, spec):
        self.ledger = ledger
        self.ledger_timeout_ms = LEDGER_TIMEOUT_MS
        self.endpoints = []
        self.servers = []
        self.entries = []
        self.tasks = []
        self.view = ConfigurationView(1, (spec,), {}, FleetSpec(1))

    async def add_server(self, *faults, zone="a", is_warm=True, **settings):
        """Start a fake backend server; each fault is a rule of its fault table."""
        settings = {"service_ms": 0, "jitter_sigma": 0, **settings}
        server = BackendServer(
            BackendSettings(zone=zone, starts_cold=False, **settings)
        )
        await server.start()
        await set_faults(server, *faults)
        self.servers.append(server)
        self.add_endpoint(server.port, zone, is_warm)
        return server

    def add_endpoint(self, port, zone="a", is_warm=True, **fields):
        warm = WarmState(epoch=1, is_warm=is_warm)
        self.endpoints.append(
            make_endpoint(host=HOST, port=port, zone=zone, warm=warm, **fields)
        )

    def add_refusing(self, zone="a"):
        """Add an endpoint at a port where nobody listens."""
        sock = curio.socket.socket()
        sock.bind((HOST, 0))
        self.add_endpoint(sock.getsockname()[1], zone)
        self.tasks.append(sock)

    async def add_scripted(self, serve, zone="a"):
        """Add an endpoint whose raw connections ``serve(client, address)`` handles."""
        sock = curio.tcp_server_socket(HOST, 0)
        self.add_endpoint(sock.getsockname()[1], zone)
        run_server = curio.network.run_server
        self.tasks.append(await curio.spawn(run_server, sock, serve, daemon=True))

    async def add_entry(self, entry_id="entry-1"):
        entry = EntryUnderTest(self, entry_id)
        self.entries.append(entry)
        await entry.start()
        return entry

    def share_directory(self):
        """Give all entries the same directory."""
        ids = tuple(entry.entry_id for entry in self.entries)
        live = tuple(
            LiveEntry(e.entry_id, 1, HOST, e.port, e.health_port, 1, "a")
            for e in self.entries
        )
        for entry in self.entries:
            entry.warmup_directory = Directory(2, -1e9, ids)
            entry.directory = EntryDirectory(2, live, -1e9)

    @property
    def n_runs(self):
        """The number of executions at all fake backend servers together."""
        return sum(server.counts.n_runs for server in self.servers)

    def check_did_not_run(self, reply, n_runs_before=0):
        """Check that no server executed a request reported as ``did_not_run``."""
        if reply.run_state == "did_not_run":
            assert self.n_runs == n_runs_before
        return reply

    async def close(self):
        for task in self.tasks:
            await (task.cancel() if isinstance(task, curio.Task) else task.close())
        for entry in self.entries:
            await entry.callers.stop()
            await entry.platform.stop()
        for server in self.servers:
            await server.stop()


async def set_faults(server, *rows):
    """Replace the fault table of a server."""
    rules = [FaultRule(**row) for row in rows]
    await server.update_faults(FaultUpdate(faults=rules))


async def wait_until(condition, timeout_s=5):
    """Wait until the condition holds."""
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.005)


@pytest.fixture
def call_path(run, tmp_path):
    """Return a function that runs ``main(path)``; options replace service fields."""

    def run_with(main, **options):
        async def start():
            fields = {"timeout_ms": 2000.0, "rules": IDEMPOTENT_RULES, **options}
            spec = replace(make_service(), **fields)
            async with LocalLedger(tmp_path, 3) as ledger:
                path = CallPath(ledger, spec)
                try:
                    return await main(path)
                finally:
                    await path.close()

        return run(start)

    return run_with
