"""Connections of an entry to one backend server, under a limit."""

from __future__ import annotations

from ..core.clock import Clock, add_ms
from ..core.link import Link
from .backend import BackendConnection


class ConnectionPool:
    """Connections to one endpoint, under a limit.

    Idle connections are taken last in, first out, so that the ones that aren't needed
    grow old and are closed here before the server closes them.
    """

    __slots__ = ("host", "port", "limit", "n_open", "_idle", "_clock", "_link")

    def __init__(
        self, host: str, port: int, limit: int, clock: Clock, link: Link
    ) -> None:
        self.host = host
        self.port = port
        self.limit = limit
        self.n_open = 0
        self._idle: list[BackendConnection] = []
        self._clock = clock
        self._link = link

    @property
    def n_idle(self) -> int:
        """The number of connections that wait to be used again."""
        return len(self._idle)

    async def take(self) -> BackendConnection | None:
        """Return an idle connection, or one that connects, or None at the limit.

        Raise OSError when connecting fails at once.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_input():
                return connection
            self.n_open -= 1
            await connection.close()
        return self.open()

    def open(self) -> BackendConnection | None:
        """Return a new connection that connects, or None at the limit."""
        if self.n_open >= self.limit:
            return None
        connection = BackendConnection(self.host, self.port, self._link)
        self.n_open += 1
        return connection

    async def give_back(self, connection: BackendConnection) -> None:
        """Take a connection back; close it unless it may be used again."""
        if connection.is_clean and connection.is_connected:
            connection.used_at = self._clock()
            self._idle.append(connection)
            return
        await self.discard(connection)

    async def discard(self, connection: BackendConnection) -> None:
        """Close a connection."""
        self.n_open -= 1
        await connection.close()

    async def close_idle(self, idle_ms: float) -> None:
        """Close the connections that were idle for so long."""
        oldest = add_ms(self._clock(), -idle_ms)
        while self._idle and self._idle[0].used_at <= oldest:
            await self.discard(self._idle.pop(0))
