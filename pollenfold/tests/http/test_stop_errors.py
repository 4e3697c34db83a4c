"""Planned stops while one socket or task raises an error.

What one connection raises must cost no other connection its response.
"""

import errno
import os
from functools import partial

import curio
import pytest

from pollenfold.http import caller, server
from pollenfold.tests.http.test_pipeline import GET, Service, wait_until
from pollenfold.tests.http.test_stop_cases import connect_kept, read_response

ERROR_NUMBERS = (
    errno.ENOTCONN,
    errno.ECONNRESET,
    errno.EPIPE,
    errno.EBADF,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ETIMEDOUT,
)
ERRORS = [
    *(partial(OSError, number, os.strerror(number)) for number in ERROR_NUMBERS),
    partial(ValueError, "file descriptor cannot be a negative integer (-1)"),
    partial(RuntimeError, "failed"),
    partial(curio.TaskCancelled, "a task that was waited for"),
]
"""Each test makes its own error: a raised one keeps the frames that it passed, and with
them all that they hold."""


def name_of(make_error):
    error = make_error()
    return errno.errorcode[error.errno] if isinstance(error, OSError) else repr(error)


SYNCHRONOUS_ERRORS = ERRORS[:-1]
"""What calls may raise that no task waits for, so that none can be cancelled there."""

every_synchronous_error = pytest.mark.parametrize(
    "error", SYNCHRONOUS_ERRORS, indirect=True, ids=name_of
)
every_error = pytest.mark.parametrize("error", ERRORS, indirect=True, ids=name_of)


class FailingOnce:
    """A function that raises an error at its first call, and then does its work."""

    def __init__(self, function, error):
        self.function = function
        self.error = error

    def __call__(self, *args, **kwargs):
        if self.error is not None:
            error, self.error = self.error, None
            raise error
        return self.function(*args, **kwargs)


class FailingListener:
    """A listening socket of which one method raises an error at its first call."""

    def __init__(self, listener, method, error):
        self._listener = listener
        self._failing = FailingOnce(getattr(listener, method), error)
        self._method = method

    def __getattr__(self, name):
        return self._failing if name == self._method else getattr(self._listener, name)


def fail_on_connection(service, monkeypatch, call, error):
    """Let a call of a stop raise the error for the connection of the lowest age."""
    failing = sorted(service.server._connections, key=lambda c: c._client.fileno())[0]
    if call == "is_readable":
        descriptor, look = failing._client.fileno(), caller.is_readable

        def look_or_fail(looked_at):
            if looked_at == descriptor:
                raise error
            return look(looked_at)

        monkeypatch.setattr(caller, "is_readable", look_or_fail)
        return
    method = getattr(server.CallerConnection, call)

    async def call_or_fail(connection):
        if connection is failing:
            raise error
        await method(connection)

    monkeypatch.setattr(server.CallerConnection, call, call_or_fail)


@every_error
@pytest.mark.parametrize("call", ["is_readable", "close_if_idle", "cancel"])
def test_error_of_one_connection_costs_no_other_its_response(
    run, monkeypatch, call, error
):
    """Guards against a stop that the error of one idle connection ends, with requests
    in flight on others and connections that nobody closes."""
    # The idle connection that can't be closed delays the stop for no longer.
    monkeypatch.setattr(server, "PARTIAL_REQUEST_WAIT_MS", 100.0)

    async def main():
        service = Service()
        service.hold("busy", "cut")
        first = await connect_kept(service)
        busy = await service.connect()
        await busy.sendall(GET % b"busy")
        cut_off = await service.connect()
        await cut_off.sendall(GET % b"cut")
        idle = await connect_kept(service)
        await wait_until(lambda: len(service.started) == 4)
        fail_on_connection(service, monkeypatch, call, error)
        await service.server.stop()
        # An orderly end, or a reset, of a connection on which nothing was sent.
        assert await idle.recv(100) == b""
        await service.gates["busy"].set()
        assert (await read_response(busy)).endswith(b"busy")
        async with curio.ignore_after(0.2):
            await service.server.wait_idle()
        await service.server.close_all()
        assert [reason for _, reason in service.unanswered] == ["connection_ended"]
        assert service.server.n_in_flight == 0
        for sock in (first, busy, cut_off, idle):
            await sock.close()

    run(main)


@every_synchronous_error
@pytest.mark.parametrize("call", ["accept", "close"])
def test_error_of_the_listener_costs_no_queued_connection_its_response(
    run, monkeypatch, call, error
):
    """Guards against a stop that an error of the listener ends: the connections behind
    a failed accept are reset, and those that are open are never closed."""

    async def main():
        service = Service()
        service.hold("busy")
        busy = await service.connect()
        await busy.sendall(GET % b"busy")
        await wait_until(lambda: service.started == ["busy"])
        idle = await connect_kept(service)
        await service.server._accept_task.cancel()
        queued = await curio.open_connection("127.0.0.1", service.port)
        await queued.sendall(GET % b"queued")
        listener = service.server._listening_socket
        service.server._listening_socket = FailingListener(listener, call, error)
        await service.server.stop()
        assert await idle.recv(100) == b""
        await service.gates["busy"].set()
        assert (await read_response(busy)).endswith(b"busy")
        if not (call == "accept" and is_closed(error)):
            assert (await read_response(queued)).endswith(b"queued")
        await service.server.wait_idle()
        listener.close()
        for sock in (busy, idle, queued):
            await sock.close()

    run(main)


def is_closed(error):
    """Return whether an accept raises the error on a socket that is closed."""
    is_bad_descriptor = isinstance(error, OSError) and error.errno == errno.EBADF
    return is_bad_descriptor or isinstance(error, ValueError)


@every_synchronous_error
def test_error_of_a_queued_connection_costs_no_other_its_response(
    run, monkeypatch, error
):
    """Guards against a stop that an accepted connection ends which can't be set up."""

    async def main():
        service = Service()
        service.hold("busy")
        busy = await service.connect()
        await busy.sendall(GET % b"busy")
        await wait_until(lambda: service.started == ["busy"])
        await service.server._accept_task.cancel()
        queued = [await curio.open_connection("127.0.0.1", service.port) for _ in "ab"]
        for sock in queued:
            await sock.sendall(GET % b"queued")
        monkeypatch.setattr(server, "Socket", FailingOnce(server.Socket, error))
        await service.server.stop()
        assert (await read_response(queued[1])).endswith(b"queued")
        await service.gates["busy"].set()
        assert (await read_response(busy)).endswith(b"busy")
        await service.server.wait_idle()
        for sock in (busy, *queued):
            await sock.close()

    run(main)


@every_synchronous_error
def test_request_whose_loss_cannot_be_reported_is_taken_off(run, error):
    """Guards against a stop that waits for a request that has ended, and requests
    behind it that are never cancelled, since the report of it failed."""

    async def main():
        service = Service()
        service.hold("a", "b")
        service.server._shared.on_unanswered = FailingOnce(lambda *_: None, error)
        sock = await service.connect()
        await sock.sendall(GET % b"a" + GET % b"b")
        await wait_until(lambda: service.started == ["a", "b"])
        await service.server.stop()
        await service.server.close_all()
        assert service.server.n_in_flight == 0
        assert service.finished == ["a", "b"]
        await sock.close()

    run(main)


@every_synchronous_error
def test_error_of_a_look_for_the_next_request_ends_the_connection(
    run, monkeypatch, error
):
    """Guards against a response that is never sent and a request that stays in flight
    until the end of the grace period: the task of a request in parallel with others
    ended unnoticed."""

    async def main():
        service = Service()
        service.hold("a")
        sock = await service.connect()
        await sock.sendall(GET % b"a")
        await wait_until(lambda: service.started == ["a"])
        await service.server.stop()
        looks = FailingOnce(caller.is_readable, error)
        monkeypatch.setattr(caller, "is_readable", looks)
        await service.gates["a"].set()
        async with curio.timeout_after(2):
            await service.server.wait_idle()
        assert service.server.n_in_flight == 0
        await sock.close()

    run(main)


@every_error
def test_request_whose_handler_raises_is_answered(run, error):
    """Guards against a request that is read and gets no response, since its handler
    raised the end of another task or timeout, which is no subclass of Exception."""

    async def main():
        service = Service()

        async def fail(request):
            raise error

        service.server._shared.handler = fail
        async with await service.connect() as sock:
            await sock.sendall(GET % b"a")
            assert (await read_response(sock)).startswith(b"HTTP/1.1 500")
        assert service.server.n_in_flight == 0

    run(main)
