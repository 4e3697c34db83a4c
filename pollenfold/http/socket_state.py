"""Checks of a socket's state without reading from it."""

from __future__ import annotations

import errno
import select
import struct


def is_readable(descriptor: int) -> bool:
    """Return whether bytes, an end of stream or an error are pending on the socket.

    True for -1, the descriptor of a closed socket.

    An idle client connection for which this is true can't be reused: the server closed
    it, or sent bytes that belong to no request.
    """
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def readable_descriptors(descriptors: list[int]) -> set[int]:
    """Return those for which ``is_readable`` is true, by one system call.

    Negative ones, those of closed sockets, are left out.
    """
    poll = select.poll()
    for descriptor in descriptors:
        if descriptor >= 0:
            poll.register(descriptor, select.POLLIN)
    return {descriptor for descriptor, _ in poll.poll(0)}


def is_closed_by_peer(descriptor: int) -> bool:
    """Return whether the peer closed the connection or at least its sending half.

    True for -1, the descriptor of a closed socket.
    """
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))


def n_unacknowledged_bytes(descriptor: int) -> int:
    """Return how many written bytes the peer's VM hasn't acknowledged yet.

    Raise OSError if the socket is closed.
    """
    # Only control replicas need these modules, and entries have little memory.
    import fcntl
    import termios

    if descriptor < 0:
        raise OSError(errno.EBADF, "the socket is closed")
    unset = struct.pack("i", 0)
    return int(struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, unset))[0])
