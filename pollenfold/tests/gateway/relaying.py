"""Entries on loopback addresses of their own, and stand-ins for their peers."""

import json
from dataclasses import dataclass, field

import curio
from curio import socket

from pollenfold.core.errors import ErrorKind
from pollenfold.core.registry import Announcement
from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.retry_budget import RetryLimits
from pollenfold.core.routes import (
    BackendService,
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.gateway.daemon import Gateway, GatewaySettings
from pollenfold.gateway.exchange import CallerGoneError
from pollenfold.gateway.peers import Peer
from pollenfold.gateway.relay.client import RelayOutcome
from pollenfold.http.listener import open_listener
from pollenfold.http.messages import BodyError, Response
from pollenfold.http.request_reader import BODY_WINDOW_BYTES
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock
from pollenfold.platform.headers import DIALECT
from pollenfold.tests.gateway.conftest import settled_retry_budget

RESET = b"\1\0\0\0\0\0\0\0"
REACH = json.dumps({"services": ["s"], "in_flight": 3}).encode()


def configuration(**route_changes):
    """Return a configuration with one route to one service."""
    route = {
        "name": "r1",
        "path_prefix": "/x/",
        "is_idempotent": False,
        "weighted_services": (WeightedService("s", 1.0),),
        "timeout_ms": 3_000.0,
        "target_latency_ms": 1_000.0,
        "max_attempts": 2,
    }
    route = Route(**{**route, **route_changes})
    return RoutingConfiguration(
        1,
        {"h.example": sorted_routes([route])},
        {"s": BackendService("s", "/healthz", 260, 3000.0, 18.0)},
    )


class Entry:
    """An entry at 127.0.0.N with its peer port and a port for callers.

    It passes each request of its callers on to the peers in turn, as an entry does that
    reaches no endpoint. ``results`` holds how the relayed requests ended, ``calls`` the
    calls of the callers' requests. ``delay_ms`` is how long a request waits before.
    With ``is_retry_acquired`` the entry counts the retries that it relays.
    """

    def __init__(self, number, relay_port, **route_changes):
        self.host = f"127.0.0.{number}"
        self.peer = Peer(f"e{number}", self.host, "a")
        self.relay_port = relay_port
        self.delay_ms = 0.0
        self.is_retry_acquired = False
        self.results = []
        self.calls = []
        self.lines = []
        settings = GatewaySettings(
            entry_id=self.peer.entry_id,
            zone="a",
            host=self.host,
            caller_listener=open_listener(self.host, 0),
            ready_listener=open_listener(self.host, 0),
            ready_path="/ready",
            feed_port=1,
            metrics_port=0,
            seeds=list,
            reload=lambda: None,
            grace_ms=6_000.0,
            retry_limits=RetryLimits(0.2, 64, 10_000.0),
            probes_per_s=1_000.0,
            cold_burst_factor=1.5,
            cold_slack=5.0,
            relay_port=relay_port,
        )
        self.gateway = Gateway(settings, DIALECT, json.loads)
        self.gateway.log._write = self._write
        view = self.view = self.gateway.view
        view.configuration = configuration(**route_changes)
        view.replicated_state = ReplicatedState(index=1, version=1)
        view.fleet.report(2, system_clock())
        view.entry_ids = frozenset(("e2", "e3"))
        # A new entry has no extra retries until it had its share for a whole window.
        budget = settled_retry_budget(view, self.peer.entry_id)
        self.gateway.forwarder._retry_budget = budget

    def _write(self, data):
        self.lines += data.decode().splitlines()
        return len(data)

    def logged(self, event):
        """Return the log lines of an event."""
        self.gateway.log.flush()
        return [line for line in self.lines if f"event={event} " in line]

    def know(self, *peers):
        """Learn of peers as from the feeds."""
        hosts = {peer.entry_id: peer.host for peer in peers}
        self.view.peer_directory.apply({"a": hosts}, self.peer.entry_id)

    def announce(self, backend):
        """Learn of an endpoint as from the feeds."""
        announcement = Announcement(
            backend.name,
            "s",
            "127.0.0.1",
            backend.port,
            "a",
            6,
            False,
            0.0,
            1000,
            1,
        )
        self.view.apply_announcements([(announcement.encode(), 0.0)])

    async def start(self):
        await self.gateway.peer_port.server.start(self.host, self.relay_port)
        self.server = HttpServer(
            self._pass_on, 64 << 20, window_bytes=BODY_WINDOW_BYTES
        )
        self.caller_port = await self.server.start(self.host, 0)

    async def connect(self):
        """Return a caller's connection."""
        return await curio.open_connection(self.host, self.caller_port)

    def relay(self, call, peer):
        """Relay a call to a peer."""
        return self.gateway.relay_client.relay(call, peer)

    async def _pass_on(self, request):
        forwarder = self.gateway.forwarder
        finals = forwarder._final_responses
        call = forwarder._create_call(request, None)
        if isinstance(call, Response):
            return call
        self.calls.append(call)
        await curio.sleep(self.delay_ms / 1000)
        kind = ErrorKind.NO_BACKEND_SERVER
        try:
            for peer in self.view.peers.values():
                call.is_retry_acquired = self.is_retry_acquired and call.n_sends() > 0
                result = await self.relay(call, peer)
                self.results.append(result)
                if result.outcome is RelayOutcome.RESPONDED:
                    return finals.relay(call, result.response)
                if result.outcome is RelayOutcome.EXPIRED:
                    kind = ErrorKind.DEADLINE_EXCEEDED
                    break
                if call.may_have_executed and not call.route.is_idempotent:
                    break
                if call.is_body_streamed:
                    break
        except CallerGoneError:
            finals.finish(call, 0, "caller_gone")
            return None
        except BodyError as error:
            return finals.end_incomplete_request(call, error.kind)
        return finals.finish_failed(call, kind)


@dataclass
class FakePeer:
    """A peer that answers questions and treats relayed requests as ``mode`` says.

    "reset" resets the connection after a request, "hang" answers nothing any more on
    any connection once a request has come, "silent" nothing on connections that were
    open when a second question or request came on them, "refuse" says that the request
    didn't run. ``answer`` is the body of the answer to a question.
    """

    number: int
    port: int
    mode: str = "reset"
    answer: bytes = REACH
    answer_status_line: bytes = b"HTTP/1.1 200 OK"
    answer_delay_ms: float = 0.0
    requests: list = field(default_factory=list)
    n_questions: int = 0
    n_connections: int = 0
    _is_hanging: bool = False

    def __post_init__(self):
        self.host = f"127.0.0.{self.number}"
        self.peer = Peer(f"e{self.number}", self.host, "a")

    async def start(self):
        sock = curio.tcp_server_socket(self.host, self.port)
        self._task = await curio.spawn(self._accept, sock, daemon=True)

    async def _accept(self, sock):
        async with sock:
            while True:
                client, _ = await sock.accept()
                self.n_connections += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client):
        async with client:
            n_messages = 0
            while data := await _receive_head(client):
                n_messages += 1
                if self.mode == "silent" and n_messages > 1:
                    await curio.sleep(60)
                if data.startswith(b"GET /reach "):
                    if self._is_hanging:
                        await curio.sleep(60)
                    self.n_questions += 1
                    await curio.sleep(self.answer_delay_ms / 1000)
                    length = b"content-length: %d\r\n\r\n" % len(self.answer)
                    head = self.answer_status_line + b"\r\n" + length
                    await client.sendall(head + self.answer)
                    continue
                self.requests.append(data)
                if self.mode == "reset":
                    client._socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET
                    )
                    return
                if self.mode == "hang":
                    self._is_hanging = True
                    await curio.sleep(60)
                await client.sendall(self.relayed_response())

    def relayed_response(self):
        """Return the answer to a relayed request with the mode "refuse"."""
        return (
            b"HTTP/1.1 503 X\r\npollenfold-run-state: did_not_run\r\n"
            b"content-length: 0\r\n\r\n"
        )


async def _receive_head(client):
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            piece = await client.recv(65536)
        except OSError:
            return b""
        if not piece:
            return b""
        data += piece
    return data
