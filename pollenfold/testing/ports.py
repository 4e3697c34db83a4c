"""Ports for tests that listen on one port of several loopback addresses."""

from __future__ import annotations

import random
import socket

PORTS = range(10_000, 32_000)
"""Below the range from which the kernel takes the ports of outgoing connections: such a
connection of another process may take a port on one of the addresses at any moment."""

MAX_TRIES = 100

_random = random.SystemRandom()


def unused_port() -> int:
    """Return a port that is free on all loopback addresses.

    Raise OSError if none is found.
    """
    for _ in range(MAX_TRIES):
        port = _random.choice(PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                continue
            return port
    raise OSError(f"found no unused port in {MAX_TRIES} tries")
