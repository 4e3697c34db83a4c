"""Connections that wait for a process which failed while it started."""

import socket
import threading

import pytest

from benchmarks import soak
from pollenfold.http import queued_connections
from pollenfold.http.listener import open_listener
from pollenfold.http.queued_connections import NOT_READY_RESPONSE, refuse_queued
from pollenfold.platform import __main__ as platform
from pollenfold.testing.ports import unused_port
from pollenfold.tests.observe.conftest import handlers

__all__ = ["handlers"]

REQUEST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"


def read_all(caller):
    """Return what a caller receives until its connection ends; fail at a reset."""
    data = b""
    while received := caller.recv(65536):
        data += received
    return data


def test_queued_requests_are_refused_and_not_reset(monkeypatch):
    """Guards against a reset of requests that have arrived, whole or in part, and
    against a caller that sends nothing and holds up the end."""
    monkeypatch.setattr(queued_connections, "ANSWER_WAIT_MS", 400.0)
    listener = open_listener("127.0.0.1", 0)
    address = listener.getsockname()
    callers = [socket.create_connection(address, timeout=5) for _ in range(20)]
    silent = socket.create_connection(address, timeout=5)
    for caller in callers[:-1]:
        caller.sendall(REQUEST)
    callers[-1].sendall(REQUEST[:20])
    rest = threading.Timer(0.1, callers[-1].sendall, [REQUEST[20:]])
    rest.start()
    # A caller closes its side once it has the response.
    responses = []
    reader = threading.Thread(
        target=lambda: responses.extend(read_all(c) for c in callers)
    )
    reader.start()
    refuse_queued(listener)
    reader.join(5)
    rest.join()
    assert responses == [NOT_READY_RESPONSE] * 20
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=1)
    for caller in (*callers, silent):
        caller.close()


@pytest.mark.parametrize("error", [ImportError("no curio"), MemoryError()])
def test_entry_that_fails_to_load_its_modules_resets_nothing(
    tmp_path, monkeypatch, error
):
    """Guards against an exception between the caller listener and the event loop, which
    reset what the kernel had accepted."""
    host, caller_port = "127.0.0.1", unused_port()
    names = ("control_port", "ready_port", "first_port")
    fields = {name: unused_port() for name in names}
    path = tmp_path / "settings.toml"
    path.write_text(
        soak.SETTINGS.format(
            name="e",
            host=host,
            zone="a",
            bootstrap="false",
            folder=tmp_path,
            last_port=fields["first_port"] + 9,
            seeds="",
            caller_port=caller_port,
            n_tolerated=0,
            **fields,
        )
    )
    monkeypatch.setattr(platform, "settings_path", lambda: path)
    callers = []

    def fail():
        callers.append(socket.create_connection((host, caller_port), timeout=5))
        callers[0].sendall(REQUEST)
        raise error

    monkeypatch.setattr(platform, "load_curio_subset", fail)
    with pytest.raises(type(error)):
        platform.main(["entry"])
    assert read_all(callers[0]) == NOT_READY_RESPONSE
    callers[0].close()
