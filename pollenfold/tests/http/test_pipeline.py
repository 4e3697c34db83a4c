"""Pipelined requests on one connection, and planned stops."""

import curio
import pytest

from pollenfold.core.errors import ErrorKind
from pollenfold.http.caller import MAX_PIPELINED_REQUESTS
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer

GET = b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n"
POST = b"POST /%s HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab"


class Service:
    """A server that handles GET requests concurrently; gates hold requests by name."""

    def __init__(self):
        self.started = []
        self.finished = []
        self.max_concurrent = 0
        self.gates = {}
        self.closes_after = set()
        self.failing = set()
        self.rejected = []
        self.unanswered = []
        self.server = HttpServer(
            self.handle,
            on_rejected=lambda *rejection: self.rejected.append(rejection),
            on_unanswered=lambda *request: self.unanswered.append(request),
            allows_concurrency=lambda request: request.method == b"GET",
        )

    async def handle(self, request):
        name = request.path[1:]
        self.started.append(name)
        running = len(self.started) - len(self.finished)
        self.max_concurrent = max(self.max_concurrent, running)
        try:
            if name in self.gates:
                await self.gates[name].wait()
            if name in self.failing:
                raise KeyError(name)
        finally:
            self.finished.append(name)
        return Response(200, [], name.encode(), name in self.closes_after)

    def hold(self, *names):
        self.gates |= {name: curio.Event() for name in names}

    async def connect(self):
        if not hasattr(self, "port"):
            self.port = await self.server.start("127.0.0.1", 0)
        return await curio.open_connection("127.0.0.1", self.port)


async def wait_until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.005)


async def read_all(sock):
    """Read to the end of the stream; return the response bodies and the raw bytes."""
    data = b""
    async with curio.timeout_after(5):
        while piece := await sock.recv(65536):
            data += piece
    parts = data.split(b"HTTP/1.1 ")[1:]
    return [part.split(b"\r\n\r\n", 1)[1].decode() for part in parts], data


def test_concurrent_requests_get_their_responses_in_order(run):
    """Guards against a fast request that waits for a slow one to complete, and against
    responses that are sent in another order than their requests."""

    async def main():
        service = Service()
        service.hold("a", "c")
        sock = await service.connect()
        await sock.sendall(b"".join(GET % name for name in (b"a", b"b", b"c")))
        await wait_until(lambda: service.started == ["a", "b", "c"])
        await service.gates["c"].set()
        await wait_until(lambda: set(service.finished) == {"b", "c"})
        await service.gates["a"].set()
        await sock.shutdown(curio.socket.SHUT_WR)
        assert (await read_all(sock))[0] == ["a", "b", "c"]

    run(main)


def test_non_idempotent_request_runs_alone(run):
    """Guards against a non-idempotent request that runs before an earlier request is
    complete, or after a response that closes the connection."""

    async def main():
        service = Service()
        service.hold("a")
        service.closes_after = {"b"}
        sock = await service.connect()
        await sock.sendall(GET % b"a" + POST % b"b" + POST % b"c" + GET % b"d")
        await wait_until(lambda: service.started == ["a"])
        await curio.sleep(0.05)
        assert service.started == ["a"]
        await service.gates["a"].set()
        assert (await read_all(sock))[0] == ["a", "b"]
        assert service.started == ["a", "b"]

    run(main)


def test_requests_after_a_closing_response_are_cancelled(run):
    """Guards against work on requests that the caller retries elsewhere."""

    async def main():
        service = Service()
        service.hold("b")
        service.closes_after = {"a"}
        sock = await service.connect()
        await sock.sendall(GET % b"a" + GET % b"b")
        bodies, data = await read_all(sock)
        assert bodies == ["a"]
        assert b"connection: close" in data.lower()
        await wait_until(lambda: service.server.n_in_flight == 0)

    run(main)


def test_pipelined_requests_are_bounded(run):
    """Guards against a caller that exhausts the memory with one connection."""

    async def main():
        service = Service()
        names = [b"n%d" % n for n in range(4 * MAX_PIPELINED_REQUESTS)]
        service.hold(*(name.decode() for name in names))
        sock = await service.connect()
        await sock.sendall(b"".join(GET % name for name in names))
        await wait_until(lambda: len(service.started) >= MAX_PIPELINED_REQUESTS)
        await curio.sleep(0.05)
        assert service.max_concurrent <= MAX_PIPELINED_REQUESTS
        for name in names:
            await service.gates[name.decode()].set()
        await sock.shutdown(curio.socket.SHUT_WR)
        assert (await read_all(sock))[0] == [name.decode() for name in names]

    run(main)


def test_stop_completes_read_requests_and_marks_the_last_response(run):
    """Guards against a planned stop that aborts pipelined requests."""

    async def main():
        service = Service()
        service.hold("a", "b")
        sock = await service.connect()
        await sock.sendall(GET % b"a" + GET % b"b")
        await wait_until(lambda: service.started == ["a", "b"])
        service.server.announce_stop()
        stop = await curio.spawn(service.server.stop)
        await service.gates["b"].set()
        await service.gates["a"].set()
        bodies, data = await read_all(sock)
        assert bodies == ["a", "b"]
        assert data.lower().count(b"connection: close") == 1
        assert data.lower().rindex(b"connection: close") > data.index(b"\r\n\r\na")
        await stop.join()

    run(main)


def test_stop_serves_a_connection_that_was_just_accepted(run):
    """Guards against a planned stop that resets connections in the kernel's accept
    queue, or connections whose first request is in transit."""

    async def main():
        service = Service()
        first = await service.connect()
        sock = curio.socket.socket()
        sock.setblocking(False)
        # No task of the server runs between this connect and the stop.
        sock._socket.connect_ex(("127.0.0.1", service.port))
        stop = await curio.spawn(service.server.stop)
        await curio.sleep(0.05)
        await sock.sendall(POST % b"late")
        assert (await read_all(sock))[0] == ["late"]
        await stop.join()
        await service.server.wait_idle()
        assert service.finished == ["late"]
        await first.close()

    run(main)


@pytest.mark.parametrize("late", [GET, POST])
def test_request_that_comes_after_the_stop_is_refused(run, late):
    """Guards against a request that is accepted late in the grace period of a planned
    stop, and cut off without a response at its end."""

    async def main():
        service = Service()
        service.hold("a")
        sock = await service.connect()
        await sock.sendall(GET % b"a")
        await wait_until(lambda: service.started == ["a"])
        await service.server.stop()
        await sock.sendall(late % b"late")
        await curio.sleep(0.05)
        await service.gates["a"].set()
        _, data = await read_all(sock)
        assert service.started == ["a"]
        assert data.index(b"HTTP/1.1 200") < data.index(b"HTTP/1.1 503")
        assert b"pollenfold-run-state: did_not_run" in data
        assert b'"error": "stopping"' in data
        await service.server.wait_idle()

    run(main)


def test_response_arrives_while_the_caller_still_sends(run):
    """Guards against a reset that precedes the response to a rejected request."""

    async def main():
        service = Service()
        sock = await service.connect()
        head = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n"
        await sock.sendall(head + b"x" * 100_000)
        await curio.sleep(0.05)
        await sock.sendall(b"x" * 100_000)
        _, data = await read_all(sock)
        assert data.startswith(b"HTTP/1.1 413")

    run(main)


def test_last_response_of_a_stop_arrives_while_the_caller_sends_more(run):
    """Guards against a reset that precedes the last response of a planned stop."""

    async def main():
        for _ in range(20):
            service = Service()
            service.hold("a")
            sock = await service.connect()
            await sock.sendall(GET % b"a")
            await wait_until(lambda: service.started == ["a"])  # noqa: B023
            service.server.announce_stop()
            await service.gates["a"].set()
            # The caller hasn't received the closing response yet.
            for _ in range(3):
                await sock.sendall(GET % b"late")
                await curio.sleep(0.005)
            bodies, _ = await read_all(sock)
            assert bodies[0] == "a"
            # A late request either gets no response or was really handled.
            assert "late" not in bodies[1:] or service.finished.count("late")
            await service.server.stop()

    run(main)


@pytest.mark.parametrize("method", [GET, POST])
def test_unexpected_handler_error_gets_a_response_and_is_counted(run, method):
    """Guards against a request whose task ended with an error, so that its caller never
    gets a response and a planned stop waits for its entire grace period."""

    async def main():
        service = Service()
        service.failing.add("b")
        sock = await service.connect()
        async with sock:
            await sock.sendall(GET % b"a" + method % b"b" + POST % b"c")
            bodies, data = await read_all(sock)
            assert bodies[0] == "a"
            assert data.count(b"HTTP/1.1 500") == 1
            assert b"outcome_unknown" in data
            assert "c" not in service.started
        assert service.server.n_in_flight == 0
        assert [kind for kind, _, _ in service.rejected] == [ErrorKind.INTERNAL_ERROR]
        async with curio.timeout_after(1):
            await service.server.wait_idle()

    run(main)


def test_requests_without_a_response_are_counted_with_their_reason(run):
    """Guards against a request that is lost without a trace: neither the log nor the
    counts at a stop could tell it from one that was never read."""

    async def main():
        service = Service()
        service.hold("a", "b")
        service.closes_after = {"a"}
        sock = await service.connect()
        await sock.sendall(GET % b"a" + GET % b"b")
        await wait_until(lambda: service.started == ["a", "b"])
        await service.gates["a"].set()
        assert (await read_all(sock))[0] == ["a"]
        [(request, reason)] = service.unanswered
        assert (request.path, reason) == ("/b", "behind_last_response")
        counts = service.server.counts
        assert (counts.n_accepted, counts.n_requests) == (1, 2)
        assert counts.n_unanswered == 1

    run(main)
