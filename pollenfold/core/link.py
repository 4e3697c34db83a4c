"""What the link of this VM has queued, worked out from what went over it.

A long body fills a slow link for a while, and whatever else is sent waits behind it. So
long bodies are written in pieces at a pace below the rate of the link, and silence is
held against a server only when the link had time to carry its answer.
"""

from __future__ import annotations

from .clock import Instant, add_ms, remaining_ms

PACE_SHARE = 0.75
"""The share of the rate that long bodies may take; the rest is for short messages."""

SHORT_BYTES = 8 * 1024
"""Up to this length a message is written at once."""

PIECE_MS = 16.0
"""How long the link takes for one piece of a long body."""

MIN_PIECE_BYTES = 4 * 1024


class Link:
    """The link of this VM in both directions.

    ``bytes_per_ms`` is its rate, 0 when it isn't known; then nothing is taken to be
    queued and nothing is paced. For example, at 256 bytes a millisecond a body of
    60 KB takes 240 ms, and a piece is 4096 bytes long.
    """

    def __init__(self, bytes_per_ms: float = 0.0) -> None:
        self._bytes_per_ms = bytes_per_ms
        self._sent_until = Instant(0.0)
        self._received_until = Instant(0.0)
        self._next_piece_at = Instant(0.0)
        piece_bytes = max(MIN_PIECE_BYTES, int(PIECE_MS * bytes_per_ms))
        self.piece_bytes = piece_bytes if bytes_per_ms else 0
        """The length of a piece, 0 for all at once."""

    def transfer_ms(self, n_bytes: int) -> float:
        """Return how long the link takes for so many bytes."""
        return n_bytes / self._bytes_per_ms if self._bytes_per_ms else 0.0

    def note_received(self, n_bytes: int, since: Instant) -> None:
        """Take that bytes arrived which began to do so at ``since``.

        The end of a message can be read before the link is free again.
        """
        start = max(self._received_until, since)
        self._received_until = add_ms(start, self.transfer_ms(n_bytes))

    def note_sent(self, n_bytes: int, now: Instant) -> None:
        """Take that bytes were written."""
        start = max(self._sent_until, now)
        self._sent_until = add_ms(start, self.transfer_ms(n_bytes))

    def backlog_ms(self, now: Instant) -> float:
        """Return how long the link is busy with what was sent and received."""
        return remaining_ms(max(self._sent_until, self._received_until), now)

    def reserve_piece(self, n_bytes: int, now: Instant) -> float:
        """Reserve the turn of one piece of a long body; return the ms until it.

        Turns come in the order of the calls, so bodies that are sent at the same time
        share the pace.
        """
        turn_at = max(self._next_piece_at, now)
        pace_ms = self.transfer_ms(n_bytes) / PACE_SHARE
        self._next_piece_at = add_ms(turn_at, pace_ms)
        return remaining_ms(turn_at, now)
