"""The subscriber's side of one open feed of a control replica."""

from __future__ import annotations

from typing import Any

import curio

from ..core.clock import Instant, add_ms
from ..wire.lines import encode_line
from ..wire.sockets import Socket

SEND_TIMEOUT_MS = 600.0
ISOLATED_AFTER_MS = 2_000.0
"""How long a replica is out of contact with a majority before it counts as isolated.

After a restart of all replicas, each reconnects to the others one by one."""


class Feed:
    """One open feed.

    ``zone`` is the zone of the replica, known from its first line;
    ``n_endpoints`` is how many endpoints the replica knew at that time, or None when it
    didn't report a number. ``no_majority_since`` is when the replica lost contact
    with a majority of the replicas, or None. ``complete_since`` is when it last came
    into contact with all others, or None if one is missing. ``leads`` is whether the
    replica said that it leads the group of control replicas.
    """

    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self._lock = curio.Lock()
        self.is_new = True
        self.zone = ""
        self.n_endpoints: int | None = None
        self.no_majority_since: Instant | None = None
        self.complete_since: Instant | None = None
        self.leads = False

    def record_n_peers(self, n_peers: int, n_replicas: int, now: Instant) -> None:
        """Record that the replica receives from ``n_peers`` of the other replicas."""
        has_majority = 2 * (n_peers + 1) > n_replicas
        if has_majority:
            self.no_majority_since = None
        elif self.no_majority_since is None:
            self.no_majority_since = now

    def is_isolated(self, now: Instant) -> bool:
        """Return whether the replica has been without a majority for some time."""
        since = self.no_majority_since
        return since is not None and now >= add_ms(since, ISOLATED_AFTER_MS)

    async def send(self, message: dict[str, Any]) -> None:
        """Send one line; raise OSError or TaskTimeout when that fails."""
        async with curio.timeout_after(SEND_TIMEOUT_MS / 1000), self._lock:
            await self._sock.sendall(encode_line(message))
