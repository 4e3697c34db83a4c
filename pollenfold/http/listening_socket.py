"""A listening socket that survives failed accepts."""

from __future__ import annotations

import errno
import logging
import socket as sockets
from typing import Any

import curio

from ..wire.sockets import Socket

ACCEPT_PAUSE_MS = 50.0
"""How long a listener pauses after it failed to accept a connection."""

CLOSED_ERRORS = (errno.EBADF, errno.EINVAL)


class ListeningSocket(Socket):
    """A listening socket that goes on after it failed to accept a connection.

    A caller may have reset the connection, or no descriptor may be left for a moment.
    Without this the task that accepts would end, and connections would wait for ever.
    """

    __slots__ = ("_has_failed",)

    def __init__(self, raw: sockets.socket) -> None:
        super().__init__(raw)
        self._has_failed = False

    async def accept(self) -> tuple[Socket, Any]:
        """Return the next connection; raise OSError if this socket is closed."""
        while True:
            try:
                accepted = await super().accept()
            except OSError as error:
                if error.errno in CLOSED_ERRORS:
                    raise
                await self._pause(error)
                continue
            self._has_failed = False
            return accepted

    async def _pause(self, error: OSError) -> None:
        """Log the first of several failures, and wait."""
        if not self._has_failed:
            self._has_failed = True
            text = "event=accept_failed detail=%r"
            logging.getLogger(__name__).warning(text, error.strerror)
        await curio.sleep(ACCEPT_PAUSE_MS / 1000)
