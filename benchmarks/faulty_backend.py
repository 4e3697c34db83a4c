"""Endpoints in a process of their own, which may send bytes without end.

    python -m benchmarks.faulty_backend --service mixed --hosts 127.20.1.100 \\
        --seeds 127.20.1.1 --fault length

They announce themselves to the control replicas. Without a fault they are sound.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import json
import time
from dataclasses import dataclass

import curio
import h11
from curio import socket

from benchmarks.faulty_responses import (
    FAULTS,
    PACES,
    Fault,
    Moment,
    Pace,
    sound_response,
)
from benchmarks.soak import CONTROL_PORT, ZONES, exchange
from benchmarks.soak_backends import HEARTBEAT_S

READ_BYTES = 64 * 1024
HEALTH_PATH = b"/healthz"
N_SLOTS = 60
WORK_S = 0.01
IDLE_S = 0.2
"""How long after a complete response ``Moment.IDLE`` begins."""


@dataclass(frozen=True, slots=True)
class Misbehaviour:
    """Which bytes without end an endpoint sends, how fast and in which responses."""

    fault: Fault
    pace: Pace
    is_in_health: bool
    """Whether health responses are like the others."""


class Endpoint:
    """One endpoint; each of its connections is served by one task."""

    def __init__(
        self, name: str, host: str, service: str, misbehaviour: Misbehaviour | None
    ) -> None:
        self.name = name
        self.zone = ZONES[int(host.rpartition(".")[2]) % len(ZONES)]
        self.host = host
        self._service = service
        self._misbehaviour = misbehaviour
        self._address = ""
        self._incarnation_ms = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._n_running = 0

    async def listen(self, port: int = 0) -> int:
        """Accept connections at a port, by default a free one; return the port."""
        sock = curio.tcp_server_socket(self.host, port, backlog=1024)
        port = sock.getsockname()[1]
        self._address = f"{self.host}:{port}"
        await curio.spawn(self._accept, sock, daemon=True)
        return port

    async def announce(self, seeds: list[str]) -> None:
        """Send announcements to the control replicas in turn, for good."""
        path = f"/-/instances/{self.name}"
        for host in itertools.cycle(seeds):
            body = json.dumps(self._announcement()).encode()
            await exchange(host, CONTROL_PORT, b"PUT", path, [], body, 1.0)
            await curio.sleep(HEARTBEAT_S)

    def _announcement(self) -> dict[str, object]:
        return {
            "address": self._address,
            "born": self._incarnation_ms,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": self.zone,
                "slots": N_SLOTS,
            },
            "status": {
                "state": "ready",
                "sequence": next(self._sequence),
                "warmupLeftMs": 0,
            },
        }

    async def _accept(self, sock: socket.socket) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: socket.socket) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            async with client:
                if self._begins_at(Moment.CONNECT):
                    await self._send_without_end(client, b"")
                parser = h11.Connection(h11.SERVER)
                while (request := await _read_request(client, parser)) is not None:
                    await self._respond(client, request)
                    parser = h11.Connection(h11.SERVER)

    def _begins_at(self, moment: Moment) -> bool:
        bad = self._misbehaviour
        return bad is not None and bad.fault.moment is moment

    async def _respond(self, client: socket.socket, request: h11.Request) -> None:
        """Send a response, and the bytes without end if the endpoint is faulty."""
        request_id = dict(request.headers).get(b"x-request-id", b"")
        is_health = request.target == HEALTH_PATH
        bad = self._misbehaviour
        is_sound = bad is None or (is_health and not bad.is_in_health)
        if not is_sound and self._begins_at(Moment.REQUEST):
            await self._send_without_end(client, request_id)
        if not is_health:
            await self._work()
        load = b"%d,0,%d,100" % (self._n_running, N_SLOTS)
        await client.sendall(sound_response(request_id, self.name.encode(), load))
        if is_sound:
            return
        if self._begins_at(Moment.IDLE):
            await curio.sleep(IDLE_S)
        await self._send_without_end(client, request_id)

    async def _work(self) -> None:
        self._n_running += 1
        try:
            await curio.sleep(WORK_S)
        finally:
            self._n_running -= 1

    async def _send_without_end(self, client: socket.socket, request_id: bytes) -> None:
        """Send the bytes of the fault until the caller closes; raise OSError then."""
        bad = self._misbehaviour
        assert bad is not None
        start, pace = b"", bad.pace
        if bad.fault.moment is Moment.REQUEST:
            start = bad.fault.start(request_id, self.name.encode())
        block = bad.fault.block()
        for data in itertools.chain([start], itertools.repeat(block)):
            for at in range(0, len(data), pace.n_bytes):
                await client.sendall(data[at : at + pace.n_bytes])
                await curio.sleep(pace.pause_s)


async def _read_request(
    client: socket.socket, parser: h11.Connection
) -> h11.Request | None:
    """Return the head of the next request after its body, None at the end."""
    request = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await client.recv(READ_BYTES))
        elif type(event) is h11.Request:
            request = event
        elif type(event) is h11.EndOfMessage:
            return request
        elif type(event) is not h11.Data:
            return None


async def serve(endpoints: list[Endpoint], seeds: list[str]) -> None:
    """Serve endpoints until the process is killed."""
    async with curio.TaskGroup() as group:
        for endpoint in endpoints:
            await endpoint.listen()
            await group.spawn(endpoint.announce, seeds)


def main() -> None:
    """Serve one endpoint on each of the given hosts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--hosts", required=True, help="separated by commas")
    parser.add_argument("--seeds", required=True, help="hosts of control replicas")
    parser.add_argument("--fault", choices=FAULTS)
    parser.add_argument("--pace", choices=PACES, default="64k")
    parser.add_argument("--health", action="store_true", help="in health responses too")
    arguments = parser.parse_args()
    misbehaviour = None
    if arguments.fault is not None:
        misbehaviour = Misbehaviour(
            FAULTS[arguments.fault], PACES[arguments.pace], arguments.health
        )
    endpoints = [
        Endpoint(f"i-{host.rpartition('.')[2]}", host, arguments.service, misbehaviour)
        for host in arguments.hosts.split(",")
    ]
    curio.run(serve, endpoints, arguments.seeds.split(","))


if __name__ == "__main__":
    main()
