"""Requests that come late in the notice of an entry's planned stop."""

from dataclasses import replace

import curio

from pollenfold.core.registry import Announcement
from pollenfold.core.routes import (
    BackendService,
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.gateway import daemon
from pollenfold.observe.clock import system_clock
from pollenfold.observe.signals import StopRequest
from pollenfold.tests.gateway.conftest import Backend

GRACE_MS = 6_000.0
LATEST_REQUEST_MS = 3_000.0
"""How long after the signal a request may be sent that is ended when the grace period
is over while its endpoint still works."""

CONNECTED_AFTER_MS = (2_600.0, 2_850.0, 2_900.0, 2_950.0)
SEND_PAUSE_MS = 200.0

ENDPOINT = Announcement("i-1", "s", "127.0.0.1", 80, "a", 4, False, 0.0, 1, 1)
ROUTE = Route("r1", "/x/", False, (WeightedService("s", 1.0),), 20_000.0, 10_000.0, 2)
CONFIGURATION = RoutingConfiguration(
    1,
    {"h": sorted_routes([ROUTE])},
    {"s": BackendService("s", "/healthz", 260, 3000.0, 18.0)},
)
REQUEST = (
    b"POST /x/1 HTTP/1.1\r\nhost: h\r\nx-request-id: q1\r\n"
    b"x-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n"
)


async def send_after_connect(address, pause_ms):
    """Connect, pause, send a request; return when it was sent and its status or end."""
    try:
        sock = await curio.open_connection(*address)
        async with sock:
            await curio.sleep(pause_ms / 1000)
            sent_at = system_clock()
            await sock.sendall(REQUEST)
            data = await sock.recv(65536)
            return sent_at, data.split(b" ")[1] if data else b"closed"
    except OSError:
        return system_clock(), b"reset"


def test_no_request_is_accepted_that_may_outlast_the_grace_period(gateway, run):
    """Guards against a request on a connection that is accepted at the end of the
    notice, is sent later, and whose endpoint is still at work when the drain ends."""
    gateway.settings = replace(gateway.settings, grace_ms=GRACE_MS)

    async def main():
        backend = Backend("i-1", delay_ms=30_000.0)
        await backend.start()
        gateway.view.configuration = CONFIGURATION
        endpoint = replace(ENDPOINT, port=backend.port)
        gateway.view.apply_announcements([(endpoint.encode(), 0.0)])
        await gateway.caller_server.start_on(gateway.settings.caller_listener)
        address = gateway.settings.caller_listener.getsockname()
        signal_at = system_clock()
        stop = await curio.spawn(
            daemon._drain, gateway, StopRequest("SIGTERM", signal_at)
        )
        calls = []
        for after_ms in CONNECTED_AFTER_MS:
            await curio.sleep((signal_at + after_ms - system_clock()) / 1000)
            calls.append(await curio.spawn(send_after_connect, address, SEND_PAUSE_MS))
        await stop.join()
        results = [await call.join() for call in calls]
        late = [status for at, status in results if at - signal_at > LATEST_REQUEST_MS]
        assert b"504" not in late, results

    run(main)
