"""Stops of an entry of the platform while one of its steps raises an error.

No step that fails may skip the later ones or end the process: everything in flight
would be lost.
"""

import json
from dataclasses import replace

import curio
import pytest

from pollenfold.gateway import daemon
from pollenfold.http.messages import Response
from pollenfold.observe.clock import system_clock
from pollenfold.observe.signals import Signals, StopRequest
from pollenfold.platform.headers import DIALECT
from pollenfold.tests.http.test_stop_errors import every_error

STEPS = {
    "limit_deadlines": lambda gateway: (gateway.forwarder, "limit_deadlines"),
    "announce_stop": lambda gateway: (gateway.caller_server, "announce_stop"),
    "announce_to_peers": lambda gateway: (gateway.peer_port, "announce_stop"),
    "log_stop": lambda gateway: (gateway, "log_stop"),
    "stop": lambda gateway: (gateway.caller_server, "stop"),
    "stop_peers": lambda gateway: (gateway.peer_port.server, "stop"),
    "wait_idle": lambda gateway: (gateway.caller_server, "wait_idle"),
    "wait_for_peers": lambda gateway: (gateway.peer_port.server, "wait_idle"),
    "monitor": lambda gateway: (gateway.monitor, "stop"),
    "close_all": lambda gateway: (gateway.caller_server, "close_all"),
    "close_peers": lambda gateway: (gateway.peer_port.server, "close_all"),
    "flush": lambda gateway: (gateway.log, "flush"),
}


async def call(port):
    async with await curio.open_connection("127.0.0.1", port) as sock:
        await sock.sendall(b"GET /x/1 HTTP/1.1\r\nhost: h\r\n\r\n")
        return await sock.recv(65536)


@every_error
@pytest.mark.parametrize("step", STEPS)
def test_failed_step_of_a_stop_skips_no_other(gateway, run, monkeypatch, step, error):
    """Guards against an entry that ends in the middle of a planned stop, without the
    line ``stopped``, since one of its steps raised an error."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 20.0)
    gateway.settings = replace(gateway.settings, grace_ms=900.0)
    written = []
    gateway.log._write = lambda data: written.append(data) or len(data)
    done = []

    def follow(name):
        target, method = STEPS[name](gateway)
        function = getattr(target, method)

        def call(*args):
            if name == step and name not in done:
                done.append(name)
                raise error
            done.append(name)
            return function(*args)

        monkeypatch.setattr(target, method, call)

    async def handle(request):
        await curio.sleep(0.05)
        return Response(200, [], b"done")

    async def main():
        gateway.forwarder.handle = handle
        gateway.answer_by = system_clock()
        port = await gateway.caller_server.start_on(gateway.settings.caller_listener)
        caller = await curio.spawn(call, port)
        while not gateway.caller_server.n_in_flight:
            await curio.sleep(0)
        for name in STEPS:
            follow(name)
        await daemon._drain(gateway, StopRequest("SIGTERM", system_clock()))
        assert (await caller.join()).endswith(b"done")

    run(main)
    assert set(done) == set(STEPS)
    gateway.log.flush()
    text = b"".join(written).decode()
    assert text.count("event=stop_step_failed") == 1
    if step != "log_stop":
        assert "event=stopping" in text
    assert "event=stopped" in text


@every_error
def test_process_whose_stop_fails_ends_like_any_other(gateway, run, monkeypatch, error):
    """Guards against a process that a failed step of its stop ends with an error."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 20.0)
    settings = replace(gateway.settings, metrics_port=None, grace_ms=900.0)

    async def fail(self):
        raise error

    async def stop_at_once(self, on_reload):
        return StopRequest("SIGTERM", system_clock())

    monkeypatch.setattr(daemon.HttpServer, "stop", fail)
    monkeypatch.setattr(Signals, "wait_for_stop", stop_at_once)

    async def main():
        with Signals() as signals:
            await daemon.serve_gateway(settings, DIALECT, json.loads, signals)

    run(main)
