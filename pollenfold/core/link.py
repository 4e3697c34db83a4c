"""A model of the queue on this VM's network link, based on the bytes transferred.

A long body fills a slow link, and all other messages queue behind it. Therefore long
bodies are written in pieces, paced below the link rate, and a server counts as
unresponsive only after the link had time to carry its response.
"""

from __future__ import annotations

from .clock import Instant, add_ms, remaining_ms

PACING_SHARE = 0.75
"""Share of the link rate for long bodies; the rest is kept for short messages."""

MAX_UNPACED_BYTES = 8 * 1024
"""Messages up to this length are written at once, without pacing."""

PIECE_MS = 16.0
"""Transfer time of one piece of a long body."""

MIN_PIECE_BYTES = 4 * 1024


class Link:
    """The link of this VM in both directions.

    ``bytes_per_ms`` is the link rate, or 0 if unknown; in that case the backlog is
    always 0 and nothing is paced. For example, at 256 bytes per millisecond a body of
    60 KB takes 240 ms, and a piece has 4096 bytes.
    """

    def __init__(self, bytes_per_ms: float = 0.0) -> None:
        self._bytes_per_ms = bytes_per_ms
        self._send_busy_until = Instant(0.0)
        self._receive_busy_until = Instant(0.0)
        self._next_piece_at = Instant(0.0)
        piece_bytes = max(MIN_PIECE_BYTES, int(PIECE_MS * bytes_per_ms))
        self.piece_bytes = piece_bytes if bytes_per_ms else 0
        """The length of a piece, or 0 to write a body at once."""

    def transfer_ms(self, n_bytes: int) -> float:
        """Return the transfer time of ``n_bytes`` on the link."""
        return n_bytes / self._bytes_per_ms if self._bytes_per_ms else 0.0

    def record_received(self, n_bytes: int, since: Instant) -> None:
        """Record received bytes, the first of which arrived at ``since``.

        The end of a message can be read before the link is idle again.
        """
        start = max(self._receive_busy_until, since)
        self._receive_busy_until = add_ms(start, self.transfer_ms(n_bytes))

    def record_sent(self, n_bytes: int, now: Instant) -> None:
        """Record bytes that were written."""
        start = max(self._send_busy_until, now)
        self._send_busy_until = add_ms(start, self.transfer_ms(n_bytes))

    def backlog_ms(self, now: Instant) -> float:
        """Return how long the link stays busy with recorded transfers."""
        return remaining_ms(max(self._send_busy_until, self._receive_busy_until), now)

    def reserve_piece(self, n_bytes: int, now: Instant) -> float:
        """Reserve a send time for one piece of a long body; return the ms until then.

        Send times follow the order of the calls, so bodies that are sent concurrently
        share the paced rate.
        """
        starts_at = max(self._next_piece_at, now)
        interval_ms = self.transfer_ms(n_bytes) / PACING_SHARE
        self._next_piece_at = add_ms(starts_at, interval_ms)
        return remaining_ms(starts_at, now)
