"""Fixtures of the gateway's tests: a fake backend server and an entry's call path."""

import json
import random
import re
from dataclasses import dataclass, field

import curio
import pytest
from curio import socket

from pollenfold.core.clock import add_ms
from pollenfold.core.link import Link
from pollenfold.core.registry import Announcement, versions_by_id
from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.retry_budget import RetryBudget, RetryLimits
from pollenfold.core.routes import (
    BackendService,
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.core.slices import in_one_step
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.gateway.balancer import Balancer
from pollenfold.gateway.daemon import Gateway, GatewaySettings
from pollenfold.gateway.forward import Forwarder
from pollenfold.gateway.peer_port import PeerPort
from pollenfold.gateway.quotas.gate import QuotaGate
from pollenfold.gateway.reach_monitor import ReachMonitor
from pollenfold.gateway.relay.client import RelayClient
from pollenfold.gateway.settings import BalancerSettings
from pollenfold.gateway.view import FleetView
from pollenfold.http.listener import open_listener
from pollenfold.http.memory import MemoryBudget
from pollenfold.http.messages import Request
from pollenfold.http.request_reader import ServerLimits
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.platform.headers import DIALECT

HEALTHY = (
    b"HTTP/1.1 200 OK\r\nx-instance-id: %s\r\nx-server-load: %s\r\n"
    b"%scontent-length: 0\r\n\r\n"
)


def signed_response(status=200, body=b"whole", request_id=b"q1", *headers):
    """Return a signed response as bytes."""
    lines = [b"HTTP/1.1 %d X" % status, b"x-request-id: " + request_id]
    lines += [b"x-response-signature: s", b"content-length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def is_complete(data):
    """Return whether the bytes are a request with its complete body."""
    head, end, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head)
    return bool(end) and (length is None or len(body) >= int(length[1]))


@dataclass
class Backend:
    """A fake backend server on a loopback address.

    ``respond`` gets the request bytes and returns the bytes to write, or None to reset
    the connection without a response. With ``closes_after_response`` the server closes
    each connection after a response. ``health`` returns the bytes of a health response
    in place of the healthy one. ``before_health`` is written before each health
    response. ``check_delay_ms`` is how long a health response takes. ``requests`` holds
    the received requests without the health checks. All responses declare the
    ``limit``, if there is one. The server ends when a request contains ``ends_at``.
    ``arrived_ms`` has the arrivals of requests and health
    checks.
    """

    name: str
    respond: object = None
    health: object = None
    load: bytes = b"0,0,6,100"
    warmup: bytes = b""
    limit: bytes = b""
    instance: str = ""
    delay_ms: float = 0.0
    check_delay_ms: float = 0.0
    closes_after_response: bool = False
    requests: list = field(default_factory=list)
    arrived_ms: list = field(default_factory=list)
    n_checks: int = 0
    n_closed: int = 0
    n_ended: int = 0
    port: int = 0
    arrived_at: float = 0.0
    before_health: bytes = b""
    ends_at: bytes = b""
    clients: list = field(default_factory=list)
    connections: set = field(default_factory=set)

    async def send_to_all(self, data):
        """Write bytes on every open connection that carried a request."""
        for client in self.clients:
            await client.sendall(data)

    async def start(self):
        sock = curio.tcp_server_socket("127.0.0.1", self.port)
        self.port = sock.getsockname()[1]
        self.task = await curio.spawn(self._accept, sock, daemon=True)

    async def end(self):
        """Close the listener and reset all connections, as a process that dies."""
        self.n_ended += 1
        await self.task.cancel()
        for client in list(self.connections):
            client._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            client._socket.shutdown(socket.SHUT_RD)

    async def _accept(self, sock):
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client):
        self.connections.add(client)
        try:
            await self._serve_requests(client)
        finally:
            self.connections.discard(client)

    async def _serve_requests(self, client):
        n_ended = self.n_ended
        async with client:
            buffer = b""
            while self.n_ended == n_ended:
                try:
                    data = await client.recv(65536)
                except OSError:
                    data = b""
                if not data:
                    self.n_closed += 1
                    return
                buffer += data
                if not is_complete(buffer):
                    continue
                request, buffer = buffer, b""
                self.arrived_ms.append(system_clock())
                if request.startswith(b"GET /healthz"):
                    self.n_checks += 1
                    await curio.sleep(self.check_delay_ms / 1000)
                    name = (self.instance or self.name).encode()
                    extra = self.warmup + self._limit_header()
                    healthy = HEALTHY % (name, self.load, extra)
                    if self.health is not None:
                        healthy = self.health()
                    await client.sendall(self.before_health + healthy)
                    continue
                self.requests.append(request)
                self.arrived_at = system_clock()
                self.clients.append(client)
                await curio.sleep(self.delay_ms / 1000)
                if self.ends_at and self.ends_at in request:
                    await self.end()
                if self.n_ended != n_ended:
                    return
                data = self._respond(request)
                if data is None:
                    client._socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                    )
                    return
                try:
                    await client.sendall(data)
                except OSError:
                    return
                if self.closes_after_response:
                    return

    def _limit_header(self):
        return b"server-limit: %s\r\n" % self.limit if self.limit else b""

    def _respond(self, request):
        if self.respond is not None:
            return self.respond(request)
        header = self._limit_header().strip()
        return signed_response(200, b"whole", b"q1", *([header] if header else []))


def settled_retry_budget(view, entry_id):
    """Return the budget of an entry that has had its share for a whole window."""
    limits = RetryLimits(0.2, 64, 10_000.0)
    started_at = add_ms(system_clock(), -2 * limits.window_ms)
    budget = RetryBudget(limits, entry_id, started_at)
    budget.update_share(view.fleet, view.entry_ids, started_at)
    return budget


class CallPath:
    """The call path of one of several entries from a request to fake backend servers.

    ``entry_ids`` are the entries that this one knows, itself among them. It has run
    for long unless ``started_at`` says when it started. ``hedge_ratio`` may be changed
    at any time.
    """

    def __init__(
        self,
        backends,
        zone="a",
        link=None,
        entry_id="e1",
        entry_ids=("e1",),
        started_at=None,
        host="127.0.0.1",
        relay_port=0,
        hedge_ratio=0.0,
        **route_changes,
    ):
        clock = system_clock
        self.hedge_ratio = hedge_ratio
        self.entry_id, self.zone, self.host = entry_id, zone, host
        self.relay_port = relay_port
        self.lines = []
        self.log = EventLog("e1", clock, write=self._write)
        self.metrics = Metrics()
        self.view = FleetView(
            in_one_step(lambda text: RoutingConfiguration()), clock, self.log
        )
        route = {
            "name": "r1",
            "path_prefix": "/x/",
            "is_idempotent": True,
            "weighted_services": (WeightedService("s", 1.0),),
            "timeout_ms": 800.0,
            "target_latency_ms": 200.0,
            "max_attempts": 2,
        }
        route = Route(**{**route, **route_changes})
        self.view.configuration = RoutingConfiguration(
            1,
            {"h.example": sorted_routes([route])},
            {"s": BackendService("s", "/healthz", 260, 3000.0, 18.0)},
        )
        self.view.replicated_state = ReplicatedState(index=1, version=1)
        self.confirm()
        self.view.fleet.report(len(entry_ids), clock())
        self.view.entry_ids = frozenset(entry_ids)
        for number, backend in enumerate(backends):
            self.announce(backend, sequence=number + 1)
        if started_at is None:
            started_at = add_ms(clock(), -60_000.0)
        settings = BalancerSettings(entry_id, zone, 1000.0, 1.5, 5.0, started_at)
        rng = random.Random(7)
        self.link = link = link or Link()
        self.relay_client = RelayClient(
            DIALECT,
            self.view,
            relay_port,
            host,
            clock,
            self.log,
            self.metrics,
            rng,
            link,
        )
        self.monitor = ReachMonitor(
            self.view,
            DIALECT,
            zone,
            self.relay_client,
            clock,
            self.log,
            self.metrics,
            rng,
            link,
        )
        self.balancer = Balancer(
            self.view,
            DIALECT,
            settings,
            clock,
            self.metrics,
            rng,
            link,
            self.monitor,
            self.log,
        )
        self.leader = None
        self.quotas = QuotaGate(
            QuotaLimits(),
            entry_id,
            lambda: self.leader,
            self.view,
            clock,
            self.log,
            self.metrics,
        )
        self.forwarder = Forwarder(
            self.view,
            self.balancer,
            DIALECT,
            settled_retry_budget(self.view, entry_id),
            clock,
            self.log,
            self.metrics,
            rng,
            link,
            self.monitor,
            self.relay_client,
            self.quotas,
            lambda: self.hedge_ratio,
        )
        self.peer_port = PeerPort(
            self.forwarder,
            self.view.peer_directory,
            self.monitor,
            lambda: 0,
            ServerLimits,
            lambda kind, detail, peer: None,
            lambda request, reason: None,
            MemoryBudget(1 << 20),
            clock,
            self.log,
            self.metrics,
        )

    async def connect_peers(self, paths):
        """Take requests of other entries, and know how to reach them."""
        zones = {}
        for path in paths:
            zones.setdefault(path.zone, {})[path.entry_id] = path.host
        self.view.peer_directory.apply(zones, self.entry_id)
        await self.peer_port.server.start(self.host, self.relay_port)

    def _write(self, data):
        self.lines += data.decode().splitlines()
        return len(data)

    def confirm(self, index=1):
        """Let a majority of the control replicas confirm an index."""
        confirmations = self.view.confirmations
        confirmations.record(confirmations.begin(system_clock()), index)

    def announce(self, backend, sequence=1, **changes):
        fields = {
            "endpoint_id": backend.name,
            "service": "s",
            "host": "127.0.0.1",
            "port": backend.port,
            "zone": "a",
            "slots": 6,
            "is_leaving": False,
            "warmup_left_ms": 0.0,
            "born_ms": 1000,
            "sequence": sequence,
        }
        announcement = Announcement(**{**fields, **changes})
        versions = versions_by_id([announcement])
        self.view.apply_announcements([(announcement.encode(), 0.0)], versions)

    async def get(
        self,
        method=b"GET",
        deadline=b"1500",
        body=b"",
        descriptor=-1,
        target=b"/x/1",
    ):
        request = Request(
            method,
            target,
            [
                (b"host", b"h.example"),
                (b"x-request-id", b"q1"),
                (b"x-deadline-ms", deadline),
            ],
            body,
            descriptor=descriptor,
        )
        return await self.forwarder.handle(request)


@pytest.fixture
def with_path(run):
    """Return a function that runs ``body(path, *backends)`` on a call path."""

    def run_body(body, *backends, **route_changes):
        async def main():
            for backend in backends:
                await backend.start()
            path = CallPath(backends, **route_changes)
            await body(path, *backends)
            # A check that goes on would open connections while the test ends.
            await path.monitor.stop()

        run(main)

    return run_body


@pytest.fixture
def gateway():
    """Return a gateway that isn't started and whose settings fail to reload."""

    def reload():
        raise ValueError("settings.json: expected a table")

    settings = GatewaySettings(
        entry_id="e1",
        zone="a",
        host="127.0.0.1",
        caller_listener=open_listener("127.0.0.1", 0),
        ready_listener=open_listener("127.0.0.1", 0),
        ready_path="/ready",
        feed_port=1,
        metrics_port=0,
        seeds=lambda: ["10.0.0.1"],
        reload=reload,
        grace_ms=6_000.0,
        retry_limits=RetryLimits(0.2, 64, 10_000.0),
        probes_per_s=10.0,
        cold_burst_factor=1.5,
        cold_slack=5.0,
    )
    yield Gateway(settings, DIALECT, json.loads)
    settings.caller_listener.close()
    settings.ready_listener.close()
