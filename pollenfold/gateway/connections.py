"""The connections of an entry to all endpoints, within its share of their limits."""

from __future__ import annotations

import errno

import curio

from ..core.clock import Clock, Instant, remaining_ms
from ..core.link import Link
from ..core.reach import Contact
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .backend import BackendConnection
from .endpoint import Endpoint
from .pool import ConnectionPool
from .pool_report import PoolReport
from .reach_monitor import ReachMonitor
from .view import FleetView

CONNECT_TIMEOUT_MS = 250.0

SLOW_CONNECT_MS = 80.0
"""After this time a connection that doesn't open is reason to check the path."""

END_CHECK_TIMEOUT_MS = 50.0
"""How long a lost request waits to learn whether its endpoint ended. The VM of a
process that ended refuses a connection at once."""

CONNECTION_SHARE = 0.8

CONNECTION_MARGIN = 4

IDLE_CLOSE_MS = 9_000.0


class Connections:
    """Opens, keeps and closes the connections to endpoints."""

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        metrics: Metrics,
        link: Link,
        monitor: ReachMonitor,
        log: EventLog,
    ) -> None:
        self._report = PoolReport(log, metrics)
        self._link = link
        self._monitor = monitor
        monitor.on_change = self._reset_paths
        self._view = view
        self._clock = clock
        self._metrics = metrics
        self._pools: dict[str, ConnectionPool] = {}

    def pool(self, endpoint: Endpoint) -> ConnectionPool:
        """Return the pool of an endpoint, limited to this entry's share."""
        announcement = endpoint.announcement
        pool = self._pools.get(announcement.endpoint_id)
        address = (announcement.host, announcement.port)
        if pool is None or (pool.host, pool.port) != address:
            pool = ConnectionPool(*address, 1, self._clock, self._link)
            self._pools[announcement.endpoint_id] = pool
        pool.limit = self._connection_limit(announcement.service)
        return pool

    def _connection_limit(self, service: str) -> int:
        configuration = self._view.configuration
        if configuration is None or service not in configuration.services:
            return 1
        n_entries = self._view.fleet.get(self._clock())
        n_all = configuration.services[service].max_connections
        return max(2, int(CONNECTION_SHARE * n_all / n_entries) - CONNECTION_MARGIN)

    def has_idle(self, endpoint_id: str) -> bool:
        """Return whether there is an idle connection to an endpoint."""
        pool = self._pools.get(endpoint_id)
        return pool is not None and pool.n_idle > 0

    async def acquire(self, endpoint: Endpoint) -> BackendConnection | None:
        """Return an open or opening connection, or None if there can be none."""
        try:
            return await self.pool(endpoint).acquire()
        except OSError:
            endpoint.health.mark_unreachable(self._clock())
            await self._monitor.observe_failure(endpoint, Contact.UNOPENED)
            return None

    async def connect(
        self, endpoint: Endpoint, deadline: Instant
    ) -> BackendConnection | None:
        """Return an open connection to an endpoint, or None if none can be opened."""
        connection = await self.acquire(endpoint)
        if connection is None:
            return None
        left_ms = min(remaining_ms(deadline, self._clock()), CONNECT_TIMEOUT_MS)
        try:
            await self._wait_until_connected(endpoint, connection, left_ms)
            return connection
        except (OSError, curio.TaskTimeout):
            await self.record_failure(endpoint, connection)
            return None

    async def _wait_until_connected(
        self, endpoint: Endpoint, connection: BackendConnection, left_ms: float
    ) -> None:
        """Wait for a connection; raise TaskTimeout after the time, or in a cut."""
        while left_ms > SLOW_CONNECT_MS:
            async with curio.ignore_after(SLOW_CONNECT_MS / 1000):
                await connection.wait_until_connected()
            if connection.is_connected:
                return
            await self._monitor.observe_failure(endpoint, Contact.UNOPENED)
            if self._monitor.is_cut:
                raise curio.TaskTimeout
            left_ms -= SLOW_CONNECT_MS
        async with curio.timeout_after(left_ms / 1000):
            await connection.wait_until_connected()

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint refuses a connection: its process has ended.

        A VM or a link that is down answers nothing, which shows no end of a process.
        """
        return await self._try_opening(endpoint) == errno.ECONNREFUSED

    async def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint accepts a connection."""
        return await self._try_opening(endpoint) == 0

    async def _try_opening(self, endpoint: Endpoint) -> int:
        """Open a connection and close it; return the error code, 0 if it was opened."""
        announcement = endpoint.announcement
        try:
            connection = BackendConnection(
                announcement.host, announcement.port, self._link
            )
        except OSError as error:
            return error.errno or errno.EIO
        try:
            async with curio.timeout_after(END_CHECK_TIMEOUT_MS / 1000):
                await connection.wait_until_connected()
        except curio.TaskTimeout:
            return errno.ETIMEDOUT
        except OSError as error:
            return error.errno or errno.EIO
        finally:
            await connection.close()
        return 0

    async def record_failure(
        self, endpoint: Endpoint, connection: BackendConnection
    ) -> None:
        """Close the connection and record the failure in the endpoint's health.

        The failure of a reused connection may only mean that it was stale, so the
        endpoint isn't marked unreachable then.
        """
        is_reused = connection.n_exchanges > 1
        reason = "reused" if is_reused else "fresh"
        if not connection.is_connected:
            reason = "connect"
        if connection.invalid_response:
            reason = "invalid"
        contact = Contact.UNANSWERED if connection.is_connected else Contact.UNOPENED
        self._metrics.count("probe_failures_total", reason=reason)
        await self.discard(endpoint, connection)
        now = self._clock()
        if is_reused:
            endpoint.health.add_penalty(0.5, now)
        else:
            endpoint.health.mark_unreachable(now)
        await self._monitor.observe_failure(endpoint, contact)

    async def _reset_paths(self) -> None:
        """Close all idle connections and forget which endpoints were unreachable.

        An idle connection that lived through a cut may hang, and so may one that the
        endpoint has closed meanwhile. Failures of a cut say nothing about an endpoint.
        """
        for pool in list(self._pools.values()):
            await pool.close_idle(0.0)
        for endpoint in self._view.endpoints.values():
            endpoint.health.mark_reachable()

    async def release(self, endpoint: Endpoint, connection: BackendConnection) -> None:
        """Return a connection to the pool of its endpoint, or close it."""
        await self.pool(endpoint).release(connection)

    async def discard(self, endpoint: Endpoint, connection: BackendConnection) -> None:
        """Close a connection and remove it from the pool of its endpoint."""
        await self.pool(endpoint).discard(connection)

    async def maintain(self) -> None:
        """Close connections that were idle for long, and report the pools.

        All idle connections to endpoints that are leaving or gone are closed.
        """
        await self.close_idle()
        self._report.update(
            (endpoint, pool)
            for endpoint_id, pool in self._pools.items()
            if (endpoint := self._view.endpoints.get(endpoint_id)) is not None
        )

    async def close_idle(self) -> None:
        """Close connections that were idle for long, and forget unused pools."""
        for endpoint_id, pool in list(self._pools.items()):
            endpoint = self._view.endpoints.get(endpoint_id)
            is_used = endpoint is not None and not self._view.is_leaving(endpoint)
            await pool.close_idle(IDLE_CLOSE_MS if is_used else 0.0)
            if endpoint is None and not pool.n_open:
                del self._pools[endpoint_id]
