"""One open feed of a control replica, as its reader sees it."""

from __future__ import annotations

from typing import Any

import curio
from curio import socket

from ..core.clock import Instant, add_ms
from ..wire.lines import encode_line

SEND_TIMEOUT_MS = 600.0
CUT_OFF_AFTER_MS = 2_000.0
"""How long a replica hears no majority before others are asked for news.

After a restart of all replicas each hears the others one by one."""


class Feed:
    """One open feed.

    ``asked_index`` is the highest index asked for. ``zone`` is that of the
    replica, once its first line was read, and ``n_endpoints`` how many endpoints it
    knew then, None when it doesn't say. ``alone_since`` is since when it hears no
    majority of the replicas, ``complete_since`` since when it hears all others.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._lock = curio.Lock()
        self.asked_index = 0
        self.is_new = True
        self.zone = ""
        self.n_endpoints: int | None = None
        self.alone_since: Instant | None = None
        self.complete_since: Instant | None = None

    def take_n_peers(self, n_peers: int, n_replicas: int, now: Instant) -> None:
        """Take how many other replicas the sender hears, of all ``n_replicas``."""
        has_majority = 2 * (n_peers + 1) > n_replicas
        if has_majority:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now

    def is_cut_off(self, now: Instant) -> bool:
        """Return whether the replica heard too few others for some time."""
        since = self.alone_since
        return since is not None and now >= add_ms(since, CUT_OFF_AFTER_MS)

    async def send(self, message: dict[str, Any]) -> None:
        """Send one line; raise OSError or TaskTimeout when that fails."""
        async with curio.timeout_after(SEND_TIMEOUT_MS / 1000), self._lock:
            await self._sock.sendall(encode_line(message))
