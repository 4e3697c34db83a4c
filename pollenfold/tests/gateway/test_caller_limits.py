"""What callers of an entry are told when a request exceeds the limits that it knows."""

import json
from dataclasses import replace

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.core.confirmation import Confirmations
from pollenfold.core.registry import Announcement
from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.routes import (
    BackendService,
    CallerLimits,
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend

POST = b"POST /x/1 HTTP/1.1\r\nhost: h\r\nx-request-id: q1\r\n"
SMALL = POST + b"content-length: 0\r\n\r\n"
CHUNK = b"10000\r\n" + b"y" * 65_536 + b"\r\n"
REQUESTS = {
    "declared body": (POST + b"content-length: 2000000\r\n\r\n", 413),
    "chunked body": (POST + b"transfer-encoding: chunked\r\n\r\n" + CHUNK * 31, 413),
    "whole head": (POST + b"x: " + b"y" * 20_000 + b"\r\n\r\n", 431),
    "incomplete head": (POST + b"x: " + b"y" * 20_000, 431),
}
LIMITS = CallerLimits(body_bytes=100_000)
RAISED = CallerLimits(head_bytes=32_768, body_bytes=4_000_000)


def confirm(gateway, index):
    """Let a majority of the control replicas confirm an index."""
    confirmations = gateway.view.confirmations
    confirmations.record(confirmations.begin(system_clock()), index)


def configure(gateway, index=1, limits=None):
    """Put a configuration without routes in force, as a state that is confirmed."""
    configuration = RoutingConfiguration(index, limits=limits or LIMITS)
    gateway.view.configuration = configuration
    gateway.view.replicated_state = ReplicatedState(index=index, version=index)
    confirm(gateway, index)


async def send(sock, data):
    """Send a request; return status, fields and error kind of the response."""
    sender = await curio.spawn(sock.sendall, data, daemon=True)
    received = b""
    async with curio.timeout_after(3):
        while b"\r\n\r\n" not in received:
            received += await sock.recv(65536)
        head, body = received.split(b"\r\n\r\n", 1)
        fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
        while len(body) < int(fields[b"content-length"]):
            body += await sock.recv(65536)
    await sender.cancel()
    return int(head.split(b" ")[1]), fields, json.loads(body)["error"]


@pytest.fixture
def with_connections(gateway, run):
    """Return a function that runs ``body(connect)`` with a gateway that serves."""

    def run_body(body):
        async def main():
            # Requests aren't held for a first configuration.
            gateway.started_at = add_ms(gateway.started_at, -10_000.0)
            listener = gateway.settings.caller_listener
            port = await gateway.caller_server.start_on(listener)
            await body(lambda: curio.open_connection("127.0.0.1", port))

        run(main)

    return run_body


@pytest.mark.parametrize("name", REQUESTS)
def test_entry_without_a_configuration_claims_no_size_limit(
    gateway, with_connections, name
):
    """Guards against 413 and 431 by limits that no configuration has."""

    async def body(connect):
        status, fields, kind = await send(await connect(), REQUESTS[name][0])
        assert (status, kind) == (503, "not_ready")
        assert fields[b"pollenfold-run-state"] == b"did_not_run"
        assert fields[b"retry-after"] == b"0.15"
        assert fields[b"connection"] == b"close"

    with_connections(body)


@pytest.mark.parametrize("reason", ["announced", "unconfirmed"])
@pytest.mark.parametrize("name", REQUESTS)
def test_size_limit_of_a_state_that_may_be_old_is_not_claimed(
    gateway, with_connections, name, reason
):
    """Guards against 413 and 431 for requests that the configuration in force allows
    while it is on its way to this entry, or while no majority confirms the one held."""

    async def body(connect):
        configure(gateway)
        kept = await connect()
        assert (await send(kept, SMALL))[0] == 404
        if reason == "announced":
            gateway.view.announced_index = 2
        else:
            gateway.view.confirmations = Confirmations()
        for sock in (kept, await connect()):
            status, fields, kind = await send(sock, REQUESTS[name][0])
            assert (status, kind) == (503, "not_confirmed")
            assert fields[b"pollenfold-run-state"] == b"did_not_run"
            assert fields[b"retry-after"] == b"0.25"
            assert fields[b"connection"] == b"close"

    with_connections(body)


@pytest.mark.parametrize("name", REQUESTS)
def test_size_limit_of_a_confirmed_state_is_final(gateway, with_connections, name):
    """Guards against requests that callers repeat without end although no
    configuration allows them."""
    data, expected = REQUESTS[name]

    async def body(connect):
        idle = await connect()
        await curio.sleep(0.02)
        configure(gateway)
        for sock in (idle, await connect()):
            assert (await send(sock, data))[0] == expected

    with_connections(body)


@pytest.mark.parametrize("name", ["declared body", "whole head"])
@pytest.mark.parametrize("n_earlier", [0, 1])
def test_raised_limit_of_a_version_counts_on_open_connections(
    gateway, with_connections, name, n_earlier
):
    """Guards against 413 and 431 on connections that are older than the version that
    raised the limit; 404 shows that the size was accepted."""

    async def body(connect):
        configure(gateway)
        kept = await connect()
        for _ in range(n_earlier):
            assert (await send(kept, SMALL))[0] == 404
        await curio.sleep(0.02)
        configure(gateway, 2, RAISED)
        data = REQUESTS[name][0]
        if name == "declared body":
            data += b"y" * 2_000_000
        assert (await send(kept, data))[::2] == (404, "no_route")

    with_connections(body)


@pytest.mark.parametrize(
    ("is_current", "expected"),
    [(True, (413, "body_too_large")), (False, (503, "not_confirmed"))],
)
def test_upload_that_passes_the_limit_on_the_way(
    gateway, with_connections, is_current, expected
):
    """Guards against 413 by an old limit, and against ``did_not_run`` when part of the
    body has reached a backend server."""
    route = Route("r1", "/x/", False, (WeightedService("s", 1.0),), 800.0, 200.0, 1)
    services = {"s": BackendService("s", "/healthz", 260, 3000.0, 18.0)}

    async def body(connect):
        backend = Backend("i-1", delay_ms=2_000.0)
        await backend.start()
        announcement = Announcement(
            "i-1", "s", "127.0.0.1", backend.port, "a", 4, False, 0.0, 1, 1
        )
        configure(gateway, limits=CallerLimits(body_bytes=1_000_000))
        gateway.view.configuration = replace(
            gateway.view.configuration,
            hosts={"h": sorted_routes([route])},
            services=services,
            indexes={},
            route_names=set(),
        )
        gateway.view.apply_announcements([(announcement.encode(), 0.0)])
        if not is_current:
            gateway.view.announced_index = 2
        head = POST + b"x-deadline-ms: 3000\r\ntransfer-encoding: chunked\r\n\r\n"
        status, fields, kind = await send(await connect(), head + CHUNK * 31)
        assert (status, kind) == expected
        assert fields[b"pollenfold-run-state"] == b"outcome_unknown"

    with_connections(body)
