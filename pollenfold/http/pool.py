"""Idle connections to one backend server, under a limit."""

from __future__ import annotations

import curio

from .client import HttpConnection


class Pool:
    """Connections to one address.

    ``limit`` bounds the open connections, idle and busy. ``acquire`` returns an idle
    one or opens one; it raises OSError when the server can't be reached, and
    returns None when the limit is reached.
    """

    def __init__(self, host: str, port: int, limit: int) -> None:
        self.host = host
        self.port = port
        self.limit = limit
        self.n_open = 0
        self._idle: list[HttpConnection] = []

    async def acquire(self, connect_timeout_ms: float) -> HttpConnection | None:
        """Return a connection for one exchange."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            self.n_open -= 1
            await connection.close()
        if self.n_open >= self.limit:
            return None
        self.n_open += 1
        try:
            async with curio.timeout_after(connect_timeout_ms / 1000):
                return await HttpConnection.open(self.host, self.port)
        except curio.TaskTimeout as error:
            self.n_open -= 1
            raise OSError(f"no connection after {connect_timeout_ms} ms") from error
        except BaseException:
            self.n_open -= 1
            raise

    async def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if it isn't reusable."""
        if connection.is_reusable:
            self._idle.append(connection)
            return
        self.n_open -= 1
        await connection.close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self.n_open -= 1
            await self._idle.pop().close()
