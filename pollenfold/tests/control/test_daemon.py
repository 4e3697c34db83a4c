"""The control daemon with a fake log: starts, answers operators, stops."""

import os
import signal
import socket

import curio

from pollenfold.cli.client import OperatorClient
from pollenfold.control.daemon import serve_control
from pollenfold.observe.clock import system_clock
from pollenfold.settings import ControlSettings, load_settings
from pollenfold.testing.replica import FakeReplica


def unused_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def test_daemon_answers_until_it_is_stopped(run, tmp_path):
    """Guards against a daemon that doesn't listen, or ignores its stop signal."""
    port, operator_port = unused_port(), unused_port()
    flags = {
        "replica_id": "c1",
        "zone": "a",
        "host": "127.0.0.1",
        "peers": f"c1=127.0.0.1:{port}",
        "operator_port": str(operator_port),
        "data_folder": str(tmp_path),
        "token": "secret",
    }
    settings = load_settings(ControlSettings, flags).ok
    assert "secret" not in repr(settings)

    async def main():
        daemon = await curio.spawn(serve_control, settings, FakeReplica)
        address = [("127.0.0.1", operator_port)]
        client = OperatorClient(address, "secret", system_clock, 5000)
        reply = (await client.get("/v1/status?leader=true")).ok
        assert reply.body["leader"] == f"127.0.0.1:{operator_port}"
        os.kill(os.getpid(), signal.SIGTERM)
        await daemon.join()
        client = OperatorClient(address, "secret", system_clock, 0)
        assert (await client.get("/v1/status")).is_error()

    before = signal.getsignal(signal.SIGTERM)
    run(main)
    assert signal.getsignal(signal.SIGTERM) is before
