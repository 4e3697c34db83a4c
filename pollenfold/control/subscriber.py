"""A subscriber of the feed of one control replica."""

from __future__ import annotations

from typing import Any

from ..core.clock import Instant, add_ms
from ..core.input_limits import is_name
from ..wire.sockets import Socket

STALL_TIMEOUT_MS = 2_000.0
"""A subscriber that accepts no bytes for this long is disconnected; it reconnects."""


class Subscriber:
    """One connection that receives the feed, and what it was sent.

    ``hello`` is its first line; ``host`` the address that it comes from.
    """

    def __init__(self, client: Socket, hello: dict[str, Any], host: str, now: Instant):
        self.client = client
        self.host = host
        zone = hello.get("zone")
        self.zone = zone if is_name(zone) else ""
        self.is_peer = bool(hello.get("relay", 0))
        """Whether it takes requests from other entries."""

        self.connected_at = now
        self.n_hosts_change = 0
        """The number of the last change of entry hosts that it received."""

        self.name = str(hello.get("name", ""))
        self.role = str(hello.get("role", ""))
        self.is_entry = self.role == "entry"
        self.wants_updates = not self.is_entry or "news" not in hello
        """Whether it receives endpoints and entry names, or only the log index.

        Entries of earlier versions don't subscribe explicitly; every replica sends
        them updates."""

        self._send_buffer = bytearray()
        self._last_progress_at = now

    @property
    def has_pending(self) -> bool:
        """Whether the send buffer holds bytes that the socket didn't accept."""
        return bool(self._send_buffer)

    def enqueue(self, data: bytes) -> None:
        """Append encoded lines to the send buffer."""
        self._send_buffer += data

    def send(self, now: Instant) -> bool:
        """Write what the socket accepts; return False if it is closed or stalled."""
        try:
            while self._send_buffer:
                n_bytes = self.client.send_nowait(self._send_buffer)
                del self._send_buffer[:n_bytes]
                self._last_progress_at = now
        except (BlockingIOError, InterruptedError):
            return now < add_ms(self._last_progress_at, STALL_TIMEOUT_MS)
        except OSError:
            return False
        self._last_progress_at = now
        return True
