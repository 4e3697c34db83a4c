"""Measures the CPU cost of the proxy per call, without sockets and HTTP.

A proxy with 20 warm endpoints serves one idempotent request after another over a
connection that responds immediately. The minimum over several rounds is printed,
because other work on the machine can only increase the time.

    python -m benchmarks.decision_cost
"""

from __future__ import annotations

import time

import curio

import pollenfold.entry.backends as backends
from pollenfold.core.balancing.warmup import Directory
from pollenfold.core.clock import Instant
from pollenfold.core.configuration import ConfigurationView
from pollenfold.core.endpoints import WarmState
from pollenfold.core.records import RequestClass, Rule, ServiceSpec
from pollenfold.entry.health import EndpointHealth
from pollenfold.entry.proxy import Proxy
from pollenfold.entry.services import ServiceTable
from pollenfold.http.messages import Request, Response
from pollenfold.observe.clock import system_clock
from pollenfold.observe.histograms import Histograms
from pollenfold.testing.endpoints import make_endpoint

N_ROUNDS = 12
N_CALLS = 1000
N_ENDPOINTS = 20

RESPONSE_HEADERS = [
    (b"content-type", b"application/json"),
    (b"pollenfold-load", b"in_flight=0;slots=6;cold=0"),
    (b"content-length", b"3"),
]


class InstantConnection:
    """A connection whose response is available immediately."""

    is_reusable = True
    n_exchanges = 0

    async def send(self, *parts: object) -> None:
        """Count the request and discard it."""
        self.n_exchanges += 1

    async def receive_response(self, timeout_ms: float) -> Response:
        """Return the response."""
        return Response(200, list(RESPONSE_HEADERS), b"abc")


class InstantPool:
    """A connection pool with a single ``InstantConnection``."""

    def __init__(self, host: str, port: int, limit: int) -> None:
        self.limit = limit
        self._connection = InstantConnection()

    async def acquire(self, connect_timeout_ms: float) -> InstantConnection:
        """Return the connection."""
        return self._connection

    async def release(self, connection: InstantConnection) -> None:
        """Do nothing; the connection is shared."""

    async def close(self) -> None:
        """Do nothing."""


async def make_proxy() -> Proxy:
    """Return a proxy with one service and its endpoints."""
    rule = Rule(("GET",), "/", RequestClass.IDEMPOTENT)
    spec = ServiceSpec(
        name="pearl-market",
        tenant="namib",
        path_prefix="/pearl-market",
        timeout_ms=1000,
        rules=(rule,),
        slots_per_endpoint=6,
        connections_per_endpoint=260,
        queue_limit=100,
        max_body_bytes=1 << 20,
        probes_per_s=20,
        probe_bytes_per_s=20_000,
        cold_slots=1,
        retry_ratio=0.1,
        hedge_ratio=0.02,
    )
    view = ConfigurationView(1, (spec,))
    directory = Directory(1, Instant(0.0), ("e1",))
    health = EndpointHealth(
        "e1", 2000.0, lambda: directory, lambda: view, lambda change: None, system_clock
    )
    services = ServiceTable("a", 1, system_clock, health)
    services.apply([spec])
    endpoints = tuple(
        make_endpoint(
            service=spec.name,
            host=f"10.0.0.{n + 1}",
            zone="abc"[n % 3],
            warm=WarmState(1, True, 0),
        )
        for n in range(N_ENDPOINTS)
    )
    await services.runtimes[0].sync(endpoints, view)
    histograms = Histograms()
    return Proxy(services, None, None, lambda: True, system_clock, histograms.record)


def make_request() -> Request:
    """Return a request as a caller sends it."""
    headers = [(b"host", b"a"), (b"user-agent", b"x"), (b"accept", b"*/*")]
    return Request(b"GET", b"/pearl-market/stock", headers, b"")


async def run() -> None:
    """Print the cost of a call in microseconds."""
    backends.Pool = InstantPool
    proxy = await make_proxy()
    best_us = float("inf")
    for _ in range(N_ROUNDS):
        start = time.perf_counter()
        for _ in range(N_CALLS):
            response = await proxy.handle(make_request())
            assert response is not None and response.status == 200
        best_us = min(best_us, (time.perf_counter() - start) / N_CALLS * 1e6)
    print(f"decision.cost_us={best_us:.1f}")


if __name__ == "__main__":
    curio.run(run)
