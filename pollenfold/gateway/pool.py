"""Limited pool of the connections of an entry to one backend server."""

from __future__ import annotations

from ..core.clock import Clock, add_ms
from ..core.link import Link
from ..http.socket_state import readable_descriptors
from .backend import BackendConnection

WAITING_SHARE = 0.25
"""The share of the connections on which a response may wait for memory, so that others
are left for ordinary requests."""


class ConnectionPool:
    """A pool of at most ``limit`` connections to one endpoint.

    Idle connections are reused last in, first out, so that surplus connections stay
    idle and are closed here before the server closes them.
    """

    __slots__ = (
        "host",
        "port",
        "limit",
        "n_open",
        "_idle",
        "_clock",
        "_link",
        "_source_host",
    )

    def __init__(
        self,
        host: str,
        port: int,
        limit: int,
        clock: Clock,
        link: Link,
        source_host: str = "",
    ) -> None:
        self.host = host
        self.port = port
        self.limit = limit
        self.n_open = 0
        self._idle: list[BackendConnection] = []
        self._clock = clock
        self._link = link
        self._source_host = source_host

    @property
    def n_idle(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    async def acquire(self) -> BackendConnection | None:
        """Return an idle connection or a new one that is connecting.

        Return None at the limit, and raise OSError if connecting fails immediately.
        """
        while self._idle:
            connection = self._idle.pop()
            is_expiring = connection.is_about_to_expire(self._clock())
            if not is_expiring and not connection.has_input():
                return connection
            self.n_open -= 1
            await connection.close()
        return self.open()

    def open(self) -> BackendConnection | None:
        """Return a new connection that is connecting, or None at the limit."""
        if self.n_open >= self.limit:
            return None
        connection = BackendConnection(
            self.host, self.port, self._link, self._source_host
        )
        connection.max_waiting = max(1, int(WAITING_SHARE * self.limit))
        self.n_open += 1
        return connection

    async def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if connection.is_reusable and connection.is_connected:
            connection.last_used_at = self._clock()
            self._idle.append(connection)
            return
        await self.discard(connection)

    async def discard(self, connection: BackendConnection) -> None:
        """Close a connection and remove it from the pool."""
        self.n_open -= 1
        await connection.close()

    async def close_idle(self, idle_ms: float) -> None:
        """Close connections that are idle for ``idle_ms`` or can't be reused.

        An idle connection with input can't: the server closed it, or sent bytes that
        belong to no request, which would stand unread in the kernel.
        """
        await self._close_unusable()
        oldest = add_ms(self._clock(), -idle_ms)
        while self._idle and self._idle[0].last_used_at <= oldest:
            await self.discard(self._idle.pop(0))

    async def _close_unusable(self) -> None:
        if not self._idle:
            return
        readable = readable_descriptors([c.descriptor for c in self._idle])
        unusable = [c for c in self._idle if c.descriptor in readable]
        # No task may take one of them while another is being closed.
        self._idle = [c for c in self._idle if c.descriptor not in readable]
        for connection in unusable:
            await self.discard(connection)
