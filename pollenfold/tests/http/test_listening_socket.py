"""Listeners go on after they failed to accept a connection."""

import errno
import os

import curio
import pytest

from pollenfold.http.client import HttpConnection
from pollenfold.http.listener import open_listener
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcClient, RpcServer
from pollenfold.wire.sockets import Socket

FAILURES = [errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS]


@pytest.fixture(params=FAILURES, ids=lambda number: errno.errorcode[number])
def failures(request, monkeypatch):
    """Let accepts fail while the returned list has items, which are removed."""
    remaining = [request.param] * 3
    accept = Socket.accept

    async def failing_accept(self):
        if remaining:
            number = remaining.pop()
            raise OSError(number, os.strerror(number))
        return await accept(self)

    monkeypatch.setattr(Socket, "accept", failing_accept)
    return remaining


async def respond(request):
    return Response(200, [], b"ok")


def test_server_accepts_after_failures(run, failures):
    """Guards against an entry that accepts no connection any more after one moment
    without descriptors, and says that it is ready."""

    async def main():
        server = HttpServer(respond)
        port = await server.start("127.0.0.1", 0)
        connection = await HttpConnection.open("127.0.0.1", port)
        result = await connection.exchange(b"GET", b"/", [(b"host", b"t")], b"", 2_000)
        assert result.ok.status == 200
        assert not failures
        await server.stop()

    run(main)


def test_peer_port_accepts_after_failures(run, failures):
    """Guards against a control replica that ends since an accept failed."""

    async def echo(payload):
        return payload

    async def main():
        listener = open_listener("127.0.0.1", 0)
        server = RpcServer({Protocol.OPERATOR: echo})
        task = await curio.spawn(server.serve_on, listener, daemon=True)
        client = RpcClient("127.0.0.1", listener.getsockname()[1])
        assert (await client.call(Protocol.OPERATOR, b"x", 2_000)).ok == b"x"
        assert not failures
        await client.close()
        await task.cancel()

    run(main)


def test_server_stops_accepting_when_it_is_stopped(run):
    """Guards against a closed listener whose task goes on."""

    async def main():
        server = HttpServer(respond)
        port = await server.start("127.0.0.1", 0)
        await server.stop()
        with pytest.raises(OSError):
            await HttpConnection.open("127.0.0.1", port)

    run(main)


def test_server_accepts_after_an_error_of_one_connection(run):
    """Guards against a server that accepts nothing any more, though its socket listens,
    since the start of one connection failed."""
    failing = [MemoryError]

    def is_permitted(host):
        if failing:
            raise failing.pop()
        return True

    async def main():
        server = HttpServer(respond, is_permitted=is_permitted)
        port = await server.start("127.0.0.1", 0)
        first = await HttpConnection.open("127.0.0.1", port)
        headers = [(b"host", b"t")]
        assert (await first.exchange(b"GET", b"/", headers, b"", 2_000)).is_error()
        second = await HttpConnection.open("127.0.0.1", port)
        result = await second.exchange(b"GET", b"/", headers, b"", 2_000)
        assert result.ok.status == 200
        await server.stop()

    run(main)


def test_aborted_connection_does_not_hide_those_behind_it(run):
    """Guards against connections that a stop leaves in the accept queue, since one
    before them was reset by its caller."""

    class Listener:
        def __init__(self, listener):
            self.listener = listener
            self.failing = [errno.ECONNABORTED]

        def accept(self):
            if self.failing:
                raise OSError(self.failing.pop(), "aborted")
            return self.listener.accept()

    async def main():
        server = HttpServer(respond)
        with open_listener("127.0.0.1", 0) as listener:
            port = listener.getsockname()[1]
            connection = await HttpConnection.open("127.0.0.1", port)
            await server._accept_queued(Listener(listener))
        headers = [(b"host", b"t")]
        result = await connection.exchange(b"GET", b"/", headers, b"", 2_000)
        assert result.ok.status == 200

    run(main)


def test_stop_waits_for_connections_that_it_has_just_accepted(run):
    """Guards against a server that seems idle right after it has emptied its accept
    queue, so that its process ends and resets them."""

    async def main():
        server = HttpServer(respond)
        with open_listener("127.0.0.1", 0) as listener:
            port = listener.getsockname()[1]
            connection = await HttpConnection.open("127.0.0.1", port)
            await server._accept_queued(listener)
            assert server.n_connections == 1
        await connection.close()
        async with curio.timeout_after(1):
            await server.wait_idle()

    run(main)
