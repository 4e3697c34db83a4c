"""Which connections an entry closes for what their callers have yet to take.

A caller that reads slowly holds memory of the process and of the kernel. Without
pressure it may do so as long as it takes a byte from time to time. Once the callers
together hold too much, those that read slowest are closed, so that the responses of all
others fit.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

SEND_SHARE = 0.125
"""The share of the memory of the process for bytes that callers have yet to take: those
that wait unsent in the kernel, and finished responses without a reservation."""

ROOM_SHARE = 0.9
"""How full the share may be after connections were closed, so that the next response
doesn't need another pass."""

SEND_BUFFER_BYTES = 64 << 10
"""The kernel's buffer for a caller's connection, with its overhead. At a delay of 8 ms
to the caller, 64 KB a round trip are 8 MB/s."""

LONG_SEND_BUFFER_BYTES = 256 << 10
"""The same while a response is written that doesn't fit into the smaller one. Such
responses share a quarter of the memory with two copies of each, so these buffers fit
into the share. With 64 KB, 16 MB took 5.8 s on loopback in place of 0.2 s: the kernel
of the caller delays its acknowledgement of a single large segment."""

RATE_WINDOW_MS = 1_000.0
"""The time over which the rate of a caller is measured."""

MIN_RATE_BYTES_PER_S = 16 * 1024
"""A caller that takes less is slow, and is closed while other long responses wait for
the memory that it holds. At this rate, 256 KB take 16 s."""


@dataclass(slots=True)
class PendingOutput:
    """What the caller of one connection has yet to take, as it was last measured.

    ``n_held_bytes`` are in finished responses of the process, without those that have a
    reservation; ``is_long`` tells whether there is one of these. ``rate_per_s`` is in
    bytes; it is None while the caller takes all that it is sent, or isn't measured yet.
    ``stalled_ms`` is how long it has taken no byte of what it could have.
    """

    n_unsent_bytes: int = 0
    n_held_bytes: int = 0
    is_long: bool = False
    rate_per_s: float | None = None
    stalled_ms: float = 0.0

    @property
    def n_bytes(self) -> int:
        """What counts towards the share."""
        return self.n_unsent_bytes + self.n_held_bytes


class OutputMeter:
    """Measures how fast a caller takes what it is sent."""

    __slots__ = ("_n_taken", "_progressed_at", "_marked_at", "_n_marked", "_rate")

    def __init__(self, now: float) -> None:
        self._n_taken = 0
        self._progressed_at = now
        self._marked_at = now
        self._n_marked = 0
        self._rate: float | None = None

    def measure(self, n_taken: int, n_unsent: int, now: float) -> None:
        """Record the bytes taken since the connection was opened, and those unsent."""
        if n_taken > self._n_taken or not n_unsent:
            self._progressed_at = now
        self._n_taken = n_taken
        if not n_unsent:
            # The caller keeps up; what it waits for is the server's to send.
            self._marked_at, self._n_marked, self._rate = now, n_taken, None
        elif now - self._marked_at >= RATE_WINDOW_MS:
            n_bytes = n_taken - self._n_marked
            self._rate = 1000.0 * n_bytes / (now - self._marked_at)
            self._marked_at, self._n_marked = now, n_taken

    @property
    def rate_per_s(self) -> float | None:
        """The bytes taken per second in the last window; None while it is unknown."""
        return self._rate

    def stalled_ms(self, now: float) -> float:
        """Return for how long no byte was taken although some were there."""
        return now - self._progressed_at


def stalled(outputs: Sequence[PendingOutput], stall_ms: float) -> list[int]:
    """Return the positions of those that took no byte for so long."""
    return [
        position
        for position, output in enumerate(outputs)
        if output.n_unsent_bytes and output.stalled_ms >= stall_ms
    ]


def chosen_for_room(outputs: Sequence[PendingOutput], max_bytes: int) -> list[int]:
    """Return the positions of those to close so that the others fit.

    The slowest ones come first, and of equally slow ones those that hold most. Those
    whose rate isn't known come last.
    """
    n_bytes = sum(output.n_bytes for output in outputs)
    if n_bytes <= max_bytes:
        return []
    order = sorted(range(len(outputs)), key=lambda k: _closing_order(outputs[k]))
    chosen = []
    for position in order:
        if n_bytes <= ROOM_SHARE * max_bytes:
            break
        if outputs[position].n_bytes:
            chosen.append(position)
            n_bytes -= outputs[position].n_bytes
    return chosen


def _closing_order(output: PendingOutput) -> tuple[bool, float, int]:
    rate = output.rate_per_s
    return rate is None, rate or 0.0, -output.n_bytes


def chosen_for_waiting(outputs: Sequence[PendingOutput]) -> int | None:
    """Return the position of the slowest long one, if it is slow, or None.

    It is closed for long responses that wait for memory.
    """
    slow = [
        (output.rate_per_s, position)
        for position, output in enumerate(outputs)
        if output.is_long
        and output.rate_per_s is not None
        and output.rate_per_s < MIN_RATE_BYTES_PER_S
    ]
    return min(slow)[1] if slow else None
