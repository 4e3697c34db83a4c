"""Measures what the callers of a server have yet to take, and closes the slowest.

The decisions are in ``core/send_memory.py``. A connection is looked at from its first
response on until nothing is left to take, so idle connections cost nothing.
"""

from __future__ import annotations

import contextlib
import socket as sockets
import struct
from collections.abc import Callable
from dataclasses import dataclass

import curio

from ..core.clock import Clock, Instant, add_ms
from ..core.send_memory import (
    LONG_SEND_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    OutputMeter,
    PendingOutput,
    chosen_for_room,
    chosen_for_waiting,
    stalled,
)
from ..observe.clock import system_clock
from ..wire.sockets import Socket
from .socket_state import n_unacknowledged_bytes

PASS_INTERVAL_MS = 200.0
RELIEF_INTERVAL_MS = 200.0
"""The least time between two connections that are closed for long responses that wait.
Callers that are closed reconnect at once, and many together would delay others."""

KERNEL_FACTOR = 2
"""Linux doubles the size set by ``SO_SNDBUF``, to leave room for its overhead."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a time of 0: closing the socket sends a reset."""

NO_LINGER = struct.pack("ii", 0, 0)
"""``SO_LINGER`` as it is at first: what is unsent is sent after the close."""


@dataclass(frozen=True, slots=True)
class ClosedOutput:
    """A connection that was closed for what its caller had yet to take."""

    reason: str
    peer: str
    pending: PendingOutput


OnClosed = Callable[[ClosedOutput], None]
"""Called with each connection that was closed."""


def _ignore_closed(closed: ClosedOutput) -> None:
    """Ignore a closed connection; stands for a missing ``on_closed``."""


class CallerOutput:
    """The responses of one connection that its caller has yet to take."""

    __slots__ = (
        "_outputs",
        "_client",
        "peer",
        "pending",
        "_meter",
        "_n_long",
        "_buffer_bytes",
        "end",
    )

    def __init__(self, outputs: CallerOutputs, client: Socket, peer: str) -> None:
        self._outputs = outputs
        self._client = client
        self.peer = peer
        self.pending = PendingOutput()
        self._meter: OutputMeter | None = None
        self._n_long = 0
        self._buffer_bytes = SEND_BUFFER_BYTES
        self.end = ""
        """Why the connection was closed, if it was."""

    def hold(self, n_bytes: int, is_long: bool) -> None:
        """Count a finished response until ``release`` is called for it."""
        if is_long:
            self._n_long += 1
            self.pending.is_long = True
            # Only what the kernel takes of it will count.
            n_bytes = self._buffer_bytes
        else:
            self.pending.n_held_bytes += n_bytes
        self._outputs.grow(self, n_bytes)

    def release(self, n_bytes: int, is_long: bool) -> None:
        """Stop counting a response that was written, or given up."""
        if is_long:
            self._n_long -= 1
            self.pending.is_long = self._n_long > 0
        else:
            self.pending.n_held_bytes -= n_bytes

    def grow_buffer(self) -> None:
        """Let the kernel take more of a response that is longer than its buffer."""
        self._outputs.grow(self, LONG_SEND_BUFFER_BYTES - self._buffer_bytes)
        self.set_buffer(LONG_SEND_BUFFER_BYTES)

    def set_buffer(self, n_bytes: int = SEND_BUFFER_BYTES) -> None:
        """Set how much the kernel takes, with its overhead."""
        if not self._outputs.is_bounded:
            return
        self._buffer_bytes = n_bytes
        with contextlib.suppress(OSError):
            # A simulated network may refuse the option.
            size_bytes = n_bytes // KERNEL_FACTOR
            self._client.setsockopt(sockets.SOL_SOCKET, sockets.SO_SNDBUF, size_bytes)

    def measure(self, now: Instant) -> bool:
        """Look at what the caller has taken; return whether something is left."""
        pending = self.pending
        try:
            n_unsent = n_unacknowledged_bytes(self._client.fileno())
        except OSError:
            n_unsent = 0
        if self._meter is None:
            self._meter = OutputMeter(now)
        n_taken = self._client.n_written_bytes - n_unsent
        self._meter.measure(n_taken, n_unsent, now)
        pending.n_unsent_bytes = n_unsent
        pending.rate_per_s = self._meter.rate_per_s
        pending.stalled_ms = self._meter.stalled_ms(now)
        if pending.n_bytes or pending.is_long:
            return True
        self._meter = None
        return False

    def close(self, reason: str) -> None:
        """Reset the connection, which ends the waits of all its tasks.

        The kernel drops what is unsent when the last of them has ended. Until then the
        descriptor stays open, since they use its number.
        """
        self.end = reason
        with contextlib.suppress(OSError):
            self._client.setsockopt(
                sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE
            )
            self._client.shutdown_nowait(sockets.SHUT_RDWR)

    async def wait_until_taken(self) -> None:
        """Wait until nothing is unsent, or the connection was reset or closed.

        The kernel would keep what is unsent of a closed connection, and nothing would
        bound it.
        """
        while not self.end and self._outputs.is_bounded:
            if not self.measure(self._outputs.clock()):
                return
            self._outputs.grow(self, 0)
            await curio.sleep(PASS_INTERVAL_MS / 1000)

    def forget(self) -> None:
        """Stop looking at a connection that has ended."""
        self._outputs.discard(self)


class CallerOutputs:
    """The outputs of all connections of a server.

    Without ``max_bytes`` nothing is measured or closed. ``stall_ms`` returns for how
    long a caller may take no byte. ``on_closed`` is called for each closed connection.
    """

    def __init__(
        self,
        max_bytes: int | None = None,
        stall_ms: Callable[[], float] = lambda: float("inf"),
        on_closed: OnClosed = _ignore_closed,
        clock: Clock = system_clock,
    ) -> None:
        self._max_bytes = max_bytes
        self._stall_ms = stall_ms
        self._on_closed = on_closed
        self.clock = clock
        self._busy: set[CallerOutput] = set()
        self._n_bytes_bound = 0
        """No less than ``n_bytes``: the sum at the last pass and what came since."""

        self._next_relief_at = Instant(0.0)

    @property
    def is_bounded(self) -> bool:
        """Whether there is a bound."""
        return self._max_bytes is not None

    @property
    def n_bytes(self) -> int:
        """What the callers had yet to take at the last pass, in bytes."""
        return sum(output.pending.n_bytes for output in self._busy)

    def open(self, client: Socket, peer: str) -> CallerOutput:
        """Return the output of a new connection, and size its buffer."""
        output = CallerOutput(self, client, peer)
        output.set_buffer()
        return output

    def grow(self, output: CallerOutput, n_bytes: int) -> None:
        """Look at a connection whose caller has more to take, and make room."""
        if self._max_bytes is None or output.end:
            return
        self._busy.add(output)
        self._n_bytes_bound += n_bytes
        if self._n_bytes_bound > self._max_bytes:
            self.run_pass()

    def discard(self, output: CallerOutput) -> None:
        """Forget a connection that has ended."""
        self._busy.discard(output)

    async def run(self) -> None:
        """Measure and close until cancelled."""
        while True:
            await curio.sleep(PASS_INTERVAL_MS / 1000)
            if self._busy:
                self.run_pass()

    def run_pass(self) -> None:
        """Measure all connections, and close those that have to be."""
        if self._max_bytes is None:
            return
        outputs = self._measure()
        self._close(outputs, stalled(self._pending(outputs), self._stall_ms()), "stall")
        outputs = [output for output in outputs if not output.end]
        chosen = chosen_for_room(self._pending(outputs), self._max_bytes)
        self._close(outputs, chosen, "memory")
        self._n_bytes_bound = self.n_bytes

    def relieve(self) -> None:
        """Close the slowest connection for long responses that wait for memory."""
        now = self.clock()
        if now < self._next_relief_at or not self.is_bounded:
            return
        self._next_relief_at = add_ms(now, RELIEF_INTERVAL_MS)
        outputs = self._measure()
        chosen = chosen_for_waiting(self._pending(outputs))
        if chosen is not None:
            self._close(outputs, [chosen], "slow")

    def _measure(self) -> list[CallerOutput]:
        now = self.clock()
        self._busy = {output for output in self._busy if output.measure(now)}
        return list(self._busy)

    @staticmethod
    def _pending(outputs: list[CallerOutput]) -> list[PendingOutput]:
        return [output.pending for output in outputs]

    def _close(
        self, outputs: list[CallerOutput], chosen: list[int], reason: str
    ) -> None:
        for position in chosen:
            output = outputs[position]
            output.close(reason)
            self._busy.discard(output)
            self._on_closed(ClosedOutput(reason, output.peer, output.pending))
