"""Callers that read slowly, at a server with a bound on what they have yet to take."""

import curio
import pytest
from curio import socket

from pollenfold.core.send_memory import SEND_BUFFER_BYTES
from pollenfold.http.caller_outputs import CallerOutputs
from pollenfold.http.messages import BodySource, Response
from pollenfold.http.server import HttpServer

GET = b"GET /%d HTTP/1.1\r\nhost: x\r\n%s\r\n"
MAX_BYTES = 1 << 19
N_CALLERS = 60
LONG_BYTES = 400_000


class LongService:
    """A server whose responses are as long as their path says."""

    def __init__(self, max_bytes=MAX_BYTES, stall_ms=60_000.0):
        self.closed = []
        self.unanswered = []
        self.outputs = CallerOutputs(max_bytes, lambda: stall_ms, self.closed.append)
        self.server = HttpServer(
            self.handle,
            allows_concurrency=lambda request: True,
            on_unanswered=lambda request, reason: self.unanswered.append(reason),
            outputs=self.outputs,
        )
        self.n_closed_bodies = 0

    async def handle(self, request):
        n_bytes = int(request.path[1:])
        if n_bytes < LONG_BYTES:
            return Response(200, [], b"x" * n_bytes)
        left = [n_bytes]

        async def read():
            piece = b"x" * min(left[0], 65_536)
            left[0] -= len(piece)
            return piece

        async def close():
            self.n_closed_bodies += 1

        return Response(200, [], remaining_body=BodySource(read, close, n_bytes))

    async def start(self):
        self.port = await self.server.start("127.0.0.1", 0)
        await curio.spawn(self.outputs.run, daemon=True)

    async def connect(self, *sizes, header=b""):
        """Return a connection of a caller with a small buffer, after its requests."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await sock.connect(("127.0.0.1", self.port))
        await sock.sendall(b"".join(GET % (size, header) for size in sizes))
        return sock

    def n_unsent_bytes(self):
        """Return what the kernel has for all callers, of closed connections too."""
        n_bytes = 0
        with open("/proc/net/tcp") as file:
            for line in list(file)[1:]:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == self.port and fields[3] != "0A":
                    n_bytes += int(fields[4].split(":")[0], 16)
        return n_bytes


def run_limited(main):
    async def limited():
        async with curio.timeout_after(20):
            await main()

    curio.run(limited)


async def read_all(sock, n_bytes=65_536, pause_s=0.0):
    """Return what comes until the connection ends, and whether it was reset."""
    data = bytearray()
    try:
        while piece := await sock.recv(n_bytes):
            data += piece
            await curio.sleep(pause_s)
    except ConnectionResetError:
        return bytes(data), True
    return bytes(data), False


@pytest.mark.parametrize("header", [b"", b"connection: close\r\n"])
@pytest.mark.parametrize("sizes", [(LONG_BYTES,), (16_000,) * 8, (200_000,)])
def test_bytes_for_callers_that_read_nothing_are_bounded(sizes, header):
    """Guards against megabytes that the kernel keeps for each connection whose caller
    reads nothing, also after the connection was closed."""
    if header:
        sizes = sizes[:1]

    async def main():
        service = LongService()
        await service.start()
        callers = [
            await service.connect(*sizes, header=header) for _ in range(N_CALLERS)
        ]
        peak = 0
        for _ in range(20):
            await curio.sleep(0.05)
            peak = max(peak, service.n_unsent_bytes())
        # What is written between two passes comes on top of the bound.
        assert peak <= MAX_BYTES + 8 * SEND_BUFFER_BYTES
        assert service.closed
        assert set(service.unanswered) <= {"caller_stalled", "behind_last_response"}
        ordinary = await service.connect(200, header=b"connection: close\r\n")
        data, was_reset = await read_all(ordinary)
        assert not was_reset
        assert data.endswith(b"x" * 200)
        for caller in callers:
            await caller.close()

    run_limited(main)


def test_slow_caller_gets_all_while_there_is_room():
    """Guards against limits that cut a caller on a slow link which harms nobody."""

    async def main():
        service = LongService(stall_ms=1_000.0)
        await service.start()
        caller = await service.connect(40_000, header=b"connection: close\r\n")
        data, was_reset = await read_all(caller, 1_000, 0.05)
        assert not was_reset
        assert data.endswith(b"x" * 40_000)
        assert service.closed == []

    run_limited(main)


def test_caller_that_takes_no_byte_is_closed():
    """Guards against a response, and its connection to the endpoint, that are held for
    a caller which reads nothing, and against a cut response that looks complete."""

    async def main():
        service = LongService(stall_ms=500.0)
        await service.start()
        caller = await service.connect(LONG_BYTES)
        while not service.closed:
            await curio.sleep(0.05)
        assert service.closed[0].reason == "stall"
        data, was_reset = await read_all(caller)
        assert was_reset
        assert len(data) < LONG_BYTES
        await curio.sleep(0.1)
        assert service.n_closed_bodies == 1
        assert service.unanswered == ["caller_stalled"]
        assert service.server.n_connections == service.server.n_in_flight == 0
        assert service.n_unsent_bytes() == 0

    run_limited(main)


def test_caller_whose_response_arrives_slowly_is_not_stalled():
    """Guards against a caller that is closed for a slow endpoint."""

    async def main():
        service = LongService(stall_ms=300.0)

        async def handle(request):
            pieces = [b"x" * 10] * 4 + [b""]

            async def read():
                await curio.sleep(0.4)
                return pieces.pop(0)

            async def close():
                pass

            return Response(200, [], remaining_body=BodySource(read, close, 40))

        service.server._shared.handler = handle
        await service.start()
        caller = await service.connect(1, header=b"connection: close\r\n")
        data, was_reset = await read_all(caller)
        assert not was_reset
        assert data.endswith(b"x" * 40)
        assert service.closed == []

    run_limited(main)


def test_stop_does_not_wait_for_a_caller_that_has_its_response_in_the_kernel():
    """Guards against a planned stop that slow readers delay."""

    async def main():
        service = LongService()
        await service.start()
        caller = await service.connect(30_000, header=b"connection: close\r\n")
        while service.server.n_in_flight or not service.server.counts.n_requests:
            await curio.sleep(0.01)
        await curio.sleep(0.6)
        await service.server.stop()
        async with curio.timeout_after(3):
            await service.server.wait_idle()
        await service.server.close_all()
        data, was_reset = await read_all(caller)
        assert not was_reset
        assert data.endswith(b"x" * 30_000)

    run_limited(main)
