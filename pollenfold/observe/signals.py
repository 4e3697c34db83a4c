"""Handles the signals that stop a daemon or reload its settings.

Signals are kept from the first line of a process on. A daemon accepts connections
before its event loop runs, and a stop signal in between must end in a planned stop as
well: ending the process would reset the connections in the kernel's accept queue.
"""

from __future__ import annotations

import signal
import socket as sockets
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType

from ..core.clock import Instant
from .clock import system_clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
MAX_WAKEUP_BYTES = 4096


class StoppedBeforeStart(Exception):
    """A stop was requested before the process accepted any connection."""


@dataclass(frozen=True, slots=True)
class StopRequest:
    """A signal to stop; the grace period counts from ``received_at``.

    The interpreter notes a signal that comes during a blocking call, such as a sync of
    a slow disk, only after that call.
    """

    signal_name: str
    received_at: Instant


def ignore_stop_signals() -> None:
    """Ignore further stop and reload signals, so that a planned stop can complete."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, signal.SIG_IGN)


class Signals:
    """Keeps the signals of a process until its event loop handles them.

    The interpreter writes the number of each signal to a socket, which holds them while
    no loop runs and wakes the loop otherwise. No handler interrupts other code for
    longer than it takes to note the time. Leaving the context restores the previous
    handlers, but not after a stop signal: a repeated one is ignored until the end.

    For example, a daemon enters ``with Signals() as signals`` before it opens its first
    listening socket, and awaits ``signals.wait_for_stop(reload)`` in its loop.
    """

    def __init__(self) -> None:
        """Set the handlers; raise ValueError outside the main thread."""
        self.stop_request: StopRequest | None = None
        """The first signal to stop, if one has arrived."""

        self._receiver, self._sender = sockets.socketpair()
        self._sender.setblocking(False)
        self._previous_fd = signal.set_wakeup_fd(
            self._sender.fileno(), warn_on_full_buffer=False
        )
        self._previous_handlers = {
            number: signal.signal(number, self._note)
            for number in (*STOP_SIGNALS, RELOAD_SIGNAL)
        }

    def _note(self, number: int, frame: FrameType | None) -> None:
        if number in STOP_SIGNALS and self.stop_request is None:
            name = signal.Signals(number).name
            self.stop_request = StopRequest(name, system_clock())

    def __enter__(self) -> Signals:
        return self

    def __exit__(self, *error: object) -> None:
        if self.stop_request is None:
            for number, handler in self._previous_handlers.items():
                signal.signal(number, handler)
        else:
            ignore_stop_signals()
        signal.set_wakeup_fd(self._previous_fd)
        self._sender.close()
        self._receiver.close()

    def check_not_stopped(self) -> None:
        """Raise StoppedBeforeStart if a stop signal has arrived.

        For a process that has no listening socket yet, and so may just end.
        """
        if self.stop_request is not None:
            raise StoppedBeforeStart

    async def wait_for_stop(
        self, on_reload: Callable[[], None] | None = None
    ) -> StopRequest:
        """Wait for a signal to stop; return at once if it has arrived before.

        From then on, stop and reload signals are ignored, so that a repeated signal
        doesn't abort a planned stop. ``on_reload`` is called after each SIGHUP, once
        for several that came together.
        """
        # Signals are kept from before curio is loaded, which takes a while.
        from ..wire.sockets import Socket

        wakeup_socket = Socket(self._receiver)
        while True:
            # The numbers only wake the loop: a full socket drops those that come later.
            if self.stop_request is None:
                numbers = await wakeup_socket.recv(MAX_WAKEUP_BYTES)
            else:
                numbers = self._read_waiting()
            if RELOAD_SIGNAL in numbers and on_reload is not None:
                on_reload()
            if self.stop_request is not None:
                # With the default handlers, a second signal would end the process.
                ignore_stop_signals()
                return self.stop_request

    def _read_waiting(self) -> bytes:
        """Return the numbers of signals that haven't been read yet."""
        try:
            return self._receiver.recv(MAX_WAKEUP_BYTES)
        except BlockingIOError:
            return b""
