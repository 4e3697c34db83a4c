"""Fills the receive buffers of connections whose reader is silent."""

import fcntl
import socket
import struct
import termios
import time

FLOOD_S = 0.3
PIECE = b"x" * 65536


def n_unread_bytes(sock):
    """Return the bytes that have arrived on a socket and aren't read."""
    unset = struct.pack("i", 0)
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, unset))[0]


def flood(senders):
    """Write to sockets until none takes more."""
    for sender in senders:
        sender.setblocking(False)
    until = time.monotonic() + FLOOD_S
    while time.monotonic() < until:
        n_sent = 0
        for sender in senders:
            try:
                n_sent += sender.send(PIECE)
            except BlockingIOError:
                continue
        if not n_sent:
            time.sleep(0.02)


def connect(listener, n):
    """Return ``n`` connections to a listener as pairs of client and accepted socket."""
    pairs = []
    for _ in range(n):
        client = socket.create_connection(listener.getsockname())
        listener.setblocking(True)
        pairs.append((client, listener.accept()[0]))
    return pairs
