"""Fake backend servers of the soak test, behind a proxy that injects link faults."""

from __future__ import annotations

import contextlib
import hashlib
import json
import time
from collections import deque
from enum import Enum
from pathlib import Path

import curio
from curio import socket

from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Request, Response, find_header
from pollenfold.http.server import HttpServer

HEARTBEAT_S = 0.8
WORK_S = 0.01
DOWN_S = 1.5
"""How long a server is down that ended running a deadly request."""

CLOSED_PORT = 1
"""Nothing listens there."""

DEADLY = "deadly"
"""Part of the path of a request that ends each server which runs it."""


class Link(Enum):
    """How a proxy treats the bytes between an entry and a backend server.

    ``DELAY`` delays the bytes of both directions. ``SILENT`` holds back the bytes of
    both directions until the mode changes, ``ONE_WAY`` only those of responses.
    ``RESET`` closes new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class LinkProxy:
    """Forwards connections to another address, with the link fault of its mode."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._target: tuple[str, int] = ("", 0)
        self._socks: dict[socket.socket, str] = {}
        self._accept_task: curio.Task | None = None
        self.mode = Link.PASS
        self.host_modes: dict[str, Link] = {}
        """Modes of the connections that come from some hosts only."""

        self.port = 0

    async def start(self, target: tuple[str, int]) -> None:
        """Listen on a free port and forward connections to the target."""
        self._target = target
        await self.listen()

    async def listen(self) -> None:
        """Listen on a free port, or again on the same one."""
        sock = curio.tcp_server_socket(self.host, self.port)
        self.port = sock.getsockname()[1]
        self._accept_task = await curio.spawn(self._accept, sock, daemon=True)

    async def end(self) -> None:
        """Refuse connections and close the open ones, as if the process had ended."""
        if self._accept_task is not None:
            await self._accept_task.cancel()
        self.close_connections()

    def close_connections(self, client_host: str = "") -> None:
        """Shut down all connections, like a reset at the end of a network partition.

        With ``client_host``, only those that come from there.
        """
        for sock, host in list(self._socks.items()):
            if client_host not in ("", host):
                continue
            try:
                sock._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    async def _accept(self, sock: socket.socket) -> None:
        async with sock:
            while True:
                client, address = await sock.accept()
                await curio.spawn(self._serve, client, address[0], daemon=True)

    def _mode_for(self, client_host: str) -> Link:
        return self.host_modes.get(client_host, self.mode)

    async def _serve(self, client: socket.socket, client_host: str) -> None:
        if self._mode_for(client_host) is Link.RESET:
            await client.close()
            return
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socks |= {client: client_host, server: client_host}
        try:
            async with client, server:
                await server.connect(self._target)
                async with curio.TaskGroup(wait=any) as group:
                    await group.spawn(self._copy, client, server, False, client_host)
                    await group.spawn(self._copy, server, client, True, client_host)
        except OSError:
            return
        finally:
            del self._socks[client], self._socks[server]

    async def _copy(
        self,
        source: socket.socket,
        target: socket.socket,
        is_response: bool,
        client_host: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.recv(65536):
                if self._mode_for(client_host) is Link.DELAY:
                    await curio.sleep(0.15)
                while self._is_blocked(is_response, client_host):
                    await curio.sleep(0.05)
                await target.sendall(data)

    def _is_blocked(self, is_response: bool, client_host: str) -> bool:
        """Return whether the mode blocks the bytes of a direction."""
        mode = self._mode_for(client_host)
        if mode is Link.ONE_WAY:
            return is_response
        return mode is Link.SILENT


class Cut(Enum):
    """How an entry is cut off from all backend servers.

    ``REFUSE`` closes open connections and refuses new ones, ``REFUSE_NEW`` only refuses
    new ones. ``HANG`` carries no byte on any connection, ``RESET`` closes them all.
    """

    REFUSE = "refuse"
    REFUSE_NEW = "refuse_new"
    HANG = "hang"
    RESET = "reset"


class EntryLinks:
    """The links of one entry to all backend servers.

    The entry runs with redirects (``pollenfold/testing/redirects.py``), and connects
    from its own host, by which the backend servers' proxies know it.
    """

    def __init__(self, host: str, redirects: Path) -> None:
        self._host = host
        self._redirects = redirects
        self._write_redirects([])

    def _write_redirects(self, refused: list[LinkProxy]) -> None:
        """Redirect connections to these proxies to a port that refuses them."""
        fields = {"source": self._host}
        fields |= {f"{p.host}:{p.port}": f"{p.host}:{CLOSED_PORT}" for p in refused}
        # A process that reads the file must not see a part of it.
        partial = self._redirects.with_suffix(".partial")
        partial.write_text(json.dumps(fields))
        partial.replace(self._redirects)

    def cut(self, how: Cut, backends: list[SoakBackend]) -> None:
        """Cut the entry off from all backend servers."""
        links = [backend.link for backend in backends]
        if how in (Cut.REFUSE, Cut.REFUSE_NEW):
            self._write_redirects(links)
        for link in links:
            if how in (Cut.HANG, Cut.RESET):
                is_hang = how is Cut.HANG
                link.host_modes[self._host] = Link.SILENT if is_hang else Link.RESET
            if how in (Cut.REFUSE, Cut.RESET):
                link.close_connections(self._host)

    def restore(self, backends: list[SoakBackend]) -> None:
        """End a cut."""
        self._write_redirects([])
        for backend in backends:
            if backend.link.host_modes.pop(self._host, None) is Link.SILENT:
                backend.link.close_connections(self._host)


class SoakBackend:
    """A backend server that counts the executions of requests and announces itself."""

    def __init__(self, name: str, host: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.link = LinkProxy(host)
        self.fault = ""
        self.limit = ""
        """The limit on requests per second that all responses declare, if any."""

        self.arrived_s: deque[float] = deque(maxlen=10_000)
        """When requests and health checks arrived."""

        self.deadly_arrived_s: list[float] = []
        """When deadly requests arrived, of which each ends the server."""

        self.is_leaving = False
        self.executions: dict[str, int] = {}
        self.n_requests = 0
        self._n_running = 0
        self._sequence = 0
        self._incarnation_ms = int(time.time() * 1000)
        self._seeds: list[str] = []
        self._control_port = 0

    async def start(self, seeds: list[str], control_port: int) -> None:
        """Start to listen and to send announcements."""
        self._seeds, self._control_port = seeds, control_port
        server = HttpServer(self._handle)
        port = await server.start(self.host, 0)
        await self.link.start((self.host, port))
        await curio.spawn(self._announce, daemon=True)

    async def start_new_incarnation(self) -> None:
        """Start a new incarnation with the same id and address."""
        self._incarnation_ms = int(time.time() * 1000)
        self._sequence = 0
        self.is_leaving = False

    async def _end_and_start_again(self) -> None:
        await self.link.end()
        await curio.sleep(DOWN_S)
        # A leaving server comes back only after the check of its departure: the next
        # incarnation may receive requests, which would look like those of this one.
        while self.is_leaving:
            await curio.sleep(0.05)
        await self.start_new_incarnation()
        await self.link.listen()

    def announcement(self) -> dict[str, object]:
        """Return the next announcement."""
        self._sequence += 1
        state = "draining" if self.is_leaving else "ready"
        return {
            "address": f"{self.host}:{self.link.port}",
            "born": self._incarnation_ms,
            "info": {"service": "s", "version": "v1", "zone": self.zone, "slots": 6},
            "status": {
                "state": state,
                "sequence": self._sequence,
                "warmupLeftMs": 0,
            },
        }

    async def _announce(self) -> None:
        number = hash(self.name)
        while True:
            number += 1
            host = self._seeds[number % len(self._seeds)]
            body = json.dumps(self.announcement()).encode()
            try:
                async with curio.timeout_after(1.0):
                    connection = await HttpConnection.open(host, self._control_port)
                    target = f"/-/instances/{self.name}".encode()
                    headers = [(b"host", b"x")]
                    await connection.exchange(b"PUT", target, headers, body)
                    await connection.close()
            except (OSError, curio.TaskTimeout):
                continue
            finally:
                await curio.sleep(HEARTBEAT_S)

    async def _handle(self, request: Request) -> Response | None:
        load = f"{self._n_running},0,6,100".encode()
        common_headers = [
            (b"x-instance-id", self.name.encode()),
            (b"x-server-load", load),
        ]
        if self.is_leaving:
            common_headers.append((b"server-leaving", b"1"))
        if self.limit:
            common_headers.append((b"server-limit", self.limit.encode()))
        self.arrived_s.append(time.monotonic())
        if request.path == "/healthz":
            return Response(503 if self.is_leaving else 200, common_headers)
        expected = request.header(b"x-expected-instance")
        if expected not in (None, self.name.encode()):
            return Response(421, [*common_headers, (b"x-not-executed", b"1")])
        request_id = find_header(request.headers, b"x-request-id") or b""
        self.n_requests += 1
        if DEADLY in request.path:
            self.deadly_arrived_s.append(time.monotonic())
            await curio.sleep(WORK_S)
            await curio.spawn(self._end_and_start_again, daemon=True)
            return None
        if self.fault == "shed":
            refused = [
                *common_headers,
                (b"x-request-id", request_id),
                (b"x-not-executed", b"1"),
            ]
            if self.zone == "a":
                # The servers of one zone request a back-off. A separate kind of fault
                # would change the faults drawn by the seeds kept as regression tests.
                refused.append((b"retry-after", b"0.7"))
            return Response(503, refused)
        name = request_id.decode()
        self.executions[name] = self.executions.get(name, 0) + 1
        self._n_running += 1
        try:
            await curio.sleep(0.3 if self.fault == "late" else WORK_S)
        finally:
            self._n_running -= 1
        if self.fault == "reset":
            return None
        signature = hashlib.sha256(request_id).hexdigest().encode()
        headers = [
            *common_headers,
            (b"x-request-id", request_id),
            (b"x-response-signature", signature),
        ]
        if self.fault == "cut":
            del headers[-1]
        return Response(200, headers, signature * 3)
