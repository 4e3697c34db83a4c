"""Waits for the signal that stops a daemon."""

from __future__ import annotations

import signal
import socket as sockets
from collections.abc import Callable
from types import FrameType

from curio import io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


def _ignore(number: int, frame: FrameType | None) -> None:
    """Do nothing: the wake-up socket carries the signal number."""


def ignore_stop_signals() -> None:
    """Let a planned stop take its time when it is asked for again, or to reload."""
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, signal.SIG_IGN)


async def wait_for_stop(on_reload: Callable[[], None] | None = None) -> str:
    """Return the name of the signal when the process is told to stop.

    From then on signals to stop or to reload are ignored, so that a planned stop which
    is asked for twice isn't cut off. ``on_reload`` is called at each SIGHUP; without it
    that signal keeps its effect.

    The interpreter writes the number of each signal to a socket, so the event loop
    wakes at once and no handler runs in the middle of other code.
    """
    receiver, sender = sockets.socketpair()
    sender.setblocking(False)
    previous = signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    numbers = STOP_SIGNALS if on_reload is None else (*STOP_SIGNALS, RELOAD_SIGNAL)
    handlers = {number: signal.signal(number, _ignore) for number in numbers}
    is_stopping = False
    try:
        async with io.Socket(receiver) as reader:
            while True:
                for number in await reader.recv(16):
                    if number in STOP_SIGNALS:
                        is_stopping = True
                        return signal.Signals(number).name
                    if number == RELOAD_SIGNAL and on_reload is not None:
                        on_reload()
    finally:
        if is_stopping:
            # Before anything else runs: the default would end the process at once.
            ignore_stop_signals()
        else:
            for number, handler in handlers.items():
                signal.signal(number, handler)
        signal.set_wakeup_fd(previous)
        sender.close()
