"""Handles the signals that stop a daemon or reload its settings."""

from __future__ import annotations

import signal
import socket as sockets
from collections.abc import Callable
from types import FrameType

from curio import io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


def _ignore(number: int, frame: FrameType | None) -> None:
    """Do nothing: the wakeup socket carries the signal number."""


def ignore_stop_signals() -> None:
    """Ignore further stop and reload signals, so that a planned stop can complete."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, signal.SIG_IGN)


async def wait_for_stop(on_reload: Callable[[], None] | None = None) -> str:
    """Wait for a signal to stop and return its name.

    From then on, stop and reload signals are ignored, so that a repeated signal doesn't
    abort a planned stop. ``on_reload`` is called at each SIGHUP; without it, that
    signal keeps its previous handler.

    The interpreter writes the number of each signal to a socket, so the event loop
    wakes immediately and no handler interrupts other code.
    """
    receiver, sender = sockets.socketpair()
    sender.setblocking(False)
    previous = signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    numbers = STOP_SIGNALS if on_reload is None else (*STOP_SIGNALS, RELOAD_SIGNAL)
    handlers = {number: signal.signal(number, _ignore) for number in numbers}
    is_stopping = False
    try:
        async with io.Socket(receiver) as wakeup_socket:
            while True:
                for number in await wakeup_socket.recv(16):
                    if number in STOP_SIGNALS:
                        is_stopping = True
                        return signal.Signals(number).name
                    if number == RELOAD_SIGNAL and on_reload is not None:
                        on_reload()
    finally:
        if is_stopping:
            # Set before any other code runs: with the default handlers, a second signal
            # would end the process immediately.
            ignore_stop_signals()
        else:
            for number, handler in handlers.items():
                signal.signal(number, handler)
        signal.set_wakeup_fd(previous)
        sender.close()
