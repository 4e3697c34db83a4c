"""Probes the load and health endpoints of backend servers within a budget."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import curio
from loguru import logger

from ..core.clock import Clock
from ..core.measurement import (
    MAX_PROBE_BYTES,
    LoadReport,
    MeasurementBudget,
    parse_load_body,
)
from ..core.membership import Endpoint
from ..http.client import HttpConnection
from ..http.messages import Response
from ..wire.connections import open_connection
from ..wire.sockets import Socket

LOAD_PATH = b"/load"
HEALTH_PATH = b"/healthz"

INTERVAL_MS = 20.0
"""Interval at which probes are started if the budgets allow them."""

TIMEOUT_MS = 500.0

MAX_IN_FLIGHT = 32
"""Limit on concurrent probes, so that hanging servers don't accumulate tasks."""

LOAD_PROBES_PER_HEALTH_PROBE = 4
"""A successful load probe also shows that the server is healthy. The health endpoint is
still probed, less often, because it alone can fail before a server drains."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe; ``report`` is None without a valid load report."""

    endpoint: Endpoint
    is_failure: bool
    latency_ms: float
    n_bytes: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A service with its endpoints and this entry's budget for it."""

    service: str
    endpoints: tuple[Endpoint, ...]
    budget: MeasurementBudget


class CountingSocket:
    """Counts the bytes of an exchange and limits the length of its response."""

    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self.n_bytes = 0
        self.n_received_bytes = 0

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return int(self._sock.fileno())

    async def send(self, data: bytes) -> int:
        """Send and count data; return the number of bytes written."""
        n_sent_bytes = int(await self._sock.send(data))
        self.n_bytes += n_sent_bytes
        return n_sent_bytes

    async def recv(self, max_bytes: int) -> bytes:
        """Receive and count data; raise OSError for a response over the limit."""
        left = MAX_PROBE_BYTES - self.n_received_bytes
        if left <= 0:
            raise OSError(f"probe response exceeds {MAX_PROBE_BYTES} bytes")
        data = bytes(await self._sock.recv(min(max_bytes, left)))
        self.n_bytes += len(data)
        self.n_received_bytes += len(data)
        return data

    def reset_counts(self) -> None:
        """Reset the counters for the next exchange."""
        self.n_bytes = 0
        self.n_received_bytes = 0

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()


class Prober:
    """Probes the load and health of endpoints as often as the budgets allow.

    ``targets`` returns the current services with their endpoints; ``on_result`` is
    called with each result. Every round probes each endpoint of a service once, in a
    seeded random order.
    """

    def __init__(
        self,
        targets: Callable[[], Iterable[ProbeTarget]],
        on_result: Callable[[ProbeResult], None],
        clock: Clock,
        seed: int,
    ) -> None:
        self._targets = targets
        self._on_result = on_result
        self._clock = clock
        self._random = random.Random(seed)
        self._probe_orders: dict[str, list[Endpoint]] = {}
        self._connections: dict[str, tuple[CountingSocket, HttpConnection]] = {}
        self._n_probes = 0
        self._n_in_flight = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.probe_once()
            await curio.sleep(INTERVAL_MS / 1000)

    async def probe_once(self) -> None:
        """Start the probes that the budgets allow now."""
        names: set[str] = set()
        for target in self._targets():
            names.update(endpoint.name for endpoint in target.endpoints)
            while (
                target.endpoints
                and self._n_in_flight < MAX_IN_FLIGHT
                and target.budget.try_probe(self._clock())
            ):
                endpoint = self._next_endpoint(target)
                self._n_in_flight += 1
                await curio.spawn(self._probe, target.budget, endpoint, daemon=True)
        for name in [name for name in self._connections if name not in names]:
            await self._connections.pop(name)[1].close()

    def _next_endpoint(self, target: ProbeTarget) -> Endpoint:
        current = set(target.endpoints)
        order = [e for e in self._probe_orders.get(target.service, []) if e in current]
        if not order:
            order = list(target.endpoints)
            self._random.shuffle(order)
        endpoint = order.pop()
        self._probe_orders[target.service] = order
        return endpoint

    async def _probe(self, budget: MeasurementBudget, endpoint: Endpoint) -> None:
        self._n_probes += 1
        is_health = self._n_probes % (LOAD_PROBES_PER_HEALTH_PROBE + 1) == 0
        try:
            result = await self._exchange(endpoint, is_health)
            budget.finish_probe(result.n_bytes, self._clock())
        finally:
            self._n_in_flight -= 1
        logger.debug(
            "event=probe service={} endpoint={} is_failure={} latency_ms={:.3f}",
            endpoint.service,
            endpoint.name,
            result.is_failure,
            result.latency_ms,
        )
        self._on_result(result)

    async def _exchange(self, endpoint: Endpoint, is_health: bool) -> ProbeResult:
        start = self._clock()
        path = HEALTH_PATH if is_health else LOAD_PATH
        sock: CountingSocket | None = None
        connection: HttpConnection | None = None
        response: Response | None = None
        try:
            async with curio.timeout_after(TIMEOUT_MS / 1000):
                sock, connection = await self._connect(endpoint)
                headers = [(b"host", endpoint.name.encode())]
                exchanged = await connection.exchange(b"GET", path, headers, b"")
                response = exchanged.ok if exchanged.is_ok() else None
        except (OSError, curio.TaskTimeout):
            response = None
        if sock is not None and connection is not None:
            await self._release_connection(endpoint, sock, connection)
        now = self._clock()
        report = None
        if response is not None and response.status == 200 and not is_health:
            report = parse_load_body(response.body, now)
        is_failure = response is None or response.status != 200
        n_bytes = 0 if sock is None else sock.n_bytes
        return ProbeResult(endpoint, is_failure, now - start, n_bytes, report)

    async def _connect(
        self, endpoint: Endpoint
    ) -> tuple[CountingSocket, HttpConnection]:
        idle = self._connections.pop(endpoint.name, None)
        if idle is not None:
            idle[0].reset_counts()
            return idle
        sock = CountingSocket(await open_connection(endpoint.host, endpoint.port))
        return sock, HttpConnection(sock)

    async def _release_connection(
        self, endpoint: Endpoint, sock: CountingSocket, connection: HttpConnection
    ) -> None:
        if connection.is_reusable and endpoint.name not in self._connections:
            self._connections[endpoint.name] = (sock, connection)
        else:
            await connection.close()
