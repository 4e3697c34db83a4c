"""The gateway daemon: reload, requests during the start, pipelined requests."""

import json
import socket
from dataclasses import replace

import curio
import pytest

from pollenfold.core.registry import Announcement
from pollenfold.core.routes import (
    BackendService,
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.gateway import daemon
from pollenfold.http.listener import open_listener
from pollenfold.http.messages import Request, Response
from pollenfold.observe.clock import system_clock
from pollenfold.observe.signals import Signals, StopRequest
from pollenfold.platform.headers import DIALECT
from pollenfold.tests.gateway.conftest import Backend


def test_invalid_settings_are_reported(gateway):
    """Guards against a reload that fails without a log line."""
    lines = []
    gateway.log._write = lambda data: lines.append(data.decode()) or len(data)
    gateway.reload()
    gateway.log.flush()
    text = "".join(lines)
    assert "event=settings_rejected" in text
    assert "expected a table" in text
    assert "settings_reloaded" not in text


REQUEST = Request(b"GET", b"/x/1", [(b"host", b"h"), (b"x-request-id", b"q1")], b"")
ENDPOINT = Announcement("i-1", "s", "10.0.0.1", 80, "a", 4, False, 0.0, 1, 1)


def test_request_just_after_the_start_waits_for_the_first_configuration(gateway, run):
    """Guards against refused requests that arrive while an entry starts."""

    async def configure():
        await curio.sleep(0.05)
        gateway.view.configuration = RoutingConfiguration(1)
        confirmations = gateway.view.confirmations
        confirmations.record(confirmations.begin(system_clock()), 0)
        gateway.view.apply_announcements([(ENDPOINT.encode(), 0.0)])

    async def main():
        await curio.spawn(configure, daemon=True)
        # 404 shows that the request waited: only the configuration, which has no
        # route for it, leads to this status.
        assert (await gateway.handle_caller(REQUEST)).status == 404

    run(main)


def test_request_without_a_configuration_is_refused_after_a_wait(gateway, run):
    """Guards against requests that an isolated entry holds without end."""

    async def main():
        assert (await gateway.handle_caller(REQUEST)).status == 503
        waited_from = system_clock()
        assert (await gateway.handle_caller(REQUEST)).status == 503
        # Requests wait only during the first moments after the start.
        assert system_clock() - waited_from < 200.0

    run(main)


def test_connections_wait_while_the_process_loads():
    """Guards against connections refused while a process starts."""
    with open_listener("127.0.0.1", 0) as listener:
        address = listener.getsockname()
        with socket.create_connection(address, timeout=5) as caller:
            caller.sendall(b"early")
            client, _ = listener.accept()
            with client:
                assert client.recv(10) == b"early"


@pytest.mark.parametrize(("is_idempotent", "max_concurrent"), [(True, 2), (False, 1)])
def test_idempotent_requests_of_one_connection_are_executed_concurrently(
    gateway, run, is_idempotent, max_concurrent
):
    """Guards against an idempotent request that waits for the one before it, and
    against a non-idempotent one that is executed concurrently with another or after a
    response that closes the connection."""
    route = Route(
        "r1", "/x/", is_idempotent, (WeightedService("s", 1.0),), 800.0, 200.0, 2
    )
    configuration = RoutingConfiguration(1, {"h": sorted_routes([route])}, {})
    running = []

    async def handle(request):
        running.append(1)
        n_running = len(running)
        await curio.sleep(0.1)
        running.pop()
        return Response(200, [], b"%d" % n_running)

    async def main():
        gateway.view.configuration = configuration
        gateway.view.apply_announcements([(ENDPOINT.encode(), 0.0)])
        gateway.forwarder.handle = handle
        port = await gateway.caller_server.start_on(gateway.settings.caller_listener)
        sock = await curio.open_connection("127.0.0.1", port)
        async with sock:
            await sock.sendall(b"GET /x/1 HTTP/1.1\r\nhost: h\r\n\r\n" * 2)
            data = b""
            while data.count(b"HTTP/1.1 200") < 2:
                data += await sock.recv(65536)
        assert data.endswith(b"%d" % max_concurrent)

    run(main)


@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_stop_answers_a_request_whose_server_does_not_respond_in_time(
    gateway, run, monkeypatch, method
):
    """Guards against requests that are cut off without a response at the end of the
    grace period of a planned stop."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 300.0)
    gateway.settings = replace(gateway.settings, grace_ms=1_500.0)
    services = (WeightedService("s", 1.0),)
    route = Route("r1", "/x/", method == b"GET", services, 20_000.0, 10_000.0, 2)
    request = (
        method + b" /x/1 HTTP/1.1\r\nhost: h\r\nx-request-id: q1\r\n"
        b"x-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n"
    )

    async def main():
        backend = Backend("i-1", delay_ms=30_000.0)
        await backend.start()
        gateway.view.configuration = RoutingConfiguration(
            1,
            {"h": sorted_routes([route])},
            {"s": BackendService("s", "/healthz", 260, 3000.0, 18.0)},
        )
        endpoint = replace(ENDPOINT, host="127.0.0.1", port=backend.port)
        gateway.view.apply_announcements([(endpoint.encode(), 0.0)])
        port = await gateway.caller_server.start_on(gateway.settings.caller_listener)
        early = await curio.open_connection("127.0.0.1", port)
        await early.sendall(request)
        while not backend.requests:
            await curio.sleep(0.005)
        request_to_stop = StopRequest("SIGTERM", system_clock())
        stop = await curio.spawn(daemon._drain, gateway, request_to_stop)
        await curio.sleep(0.1)
        late = await curio.open_connection("127.0.0.1", port)
        await late.sendall(request)
        await stop.join()
        for sock in (early, late):
            async with curio.timeout_after(1):
                response = await sock.recv(65536)
            assert response.split(b" ")[1] == b"504"
            assert b"pollenfold-run-state: outcome_unknown" in response

    run(main)


@pytest.mark.parametrize("fails_at", ["start", "later"])
def test_failed_task_cuts_off_no_request(gateway, run, monkeypatch, fails_at):
    """Guards against an entry that resets the requests in flight, and those in the
    kernel's accept queue, when one of its tasks fails."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 300.0)
    failure = KeyError("no such endpoint")

    async def fail(self):
        if fails_at == "later":
            await curio.sleep(0.3)
        raise failure

    monkeypatch.setattr(daemon.Balancer, "run_maintenance", fail)

    async def serve():
        with Signals() as signals:
            settings = replace(gateway.settings, metrics_port=None, grace_ms=2_000.0)
            with pytest.raises(KeyError) as raised:
                await daemon.serve_gateway(settings, DIALECT, json.loads, signals)
            assert raised.value is failure

    async def call():
        address = gateway.settings.caller_listener.getsockname()
        async with await curio.open_connection(*address) as sock:
            await sock.sendall(b"GET /x/1 HTTP/1.1\r\nhost: h\r\n\r\n")
            async with curio.timeout_after(5):
                return await sock.recv(65536)

    async def main():
        caller = await curio.spawn(call)
        await curio.sleep(0.05)
        # The first requests wait 400 ms for a configuration, so this one is in flight.
        await serve()
        # The process ends now.
        assert caller.terminated
        assert caller.result.startswith(b"HTTP/1.1 503 ")

    run(main)


def test_request_that_a_stop_cuts_off_stands_in_the_log(gateway, run, monkeypatch):
    """Guards against a stop that ends a request without a response, and says nothing:
    connections were closed after the last line of the log."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 0.0)
    gateway.settings = replace(gateway.settings, grace_ms=600.0)
    lines = []
    gateway.log._write = lambda data: lines.append(data.decode()) or len(data)
    is_handling = curio.Event()

    async def handle(request):
        await is_handling.set()
        await curio.sleep(20)

    async def main():
        gateway.forwarder.handle = handle
        gateway.answer_by = system_clock()
        port = await gateway.caller_server.start_on(gateway.settings.caller_listener)
        async with await curio.open_connection("127.0.0.1", port) as sock:
            await sock.sendall(
                b"GET /x/1 HTTP/1.1\r\nhost: h\r\nx-request-id: q7\r\n\r\n"
            )
            await is_handling.wait()
            await daemon._drain(gateway, StopRequest("SIGTERM", system_clock()))
            gateway.log.flush()

    run(main)
    text = "".join(lines)
    assert "event=request_unanswered request=q7 reason=connection_ended" in text
    assert "n_requests=1 n_unanswered=1" in text
