"""Sizes the receive buffers of all sockets of this process.

Without a size, the kernel grows the buffer of each connection to several MB as it is
read. Descriptors and memory belong to the process, so one object serves all modules.
"""

from __future__ import annotations

import contextlib
import os
import socket
from typing import Protocol

from ..core.clock import Instant, add_ms
from ..core.receive_memory import (
    DEFAULT_MEMORY_BYTES,
    DEFAULT_N_DESCRIPTORS,
    ReceiveMemory,
    receive_memory,
)
from ..observe.clock import system_clock

KERNEL_FACTOR = 2
"""Linux doubles the size that is set, to leave room for its overhead."""

CHECK_INTERVAL_MS = 100.0
"""How often at most a connection without room checks which others were closed."""


class AnySocket(Protocol):
    """What the sockets of the standard library and of curio have in common."""

    def setsockopt(self, level: int, name: int, value: int, /) -> None:
        """Set an option."""

    def fileno(self) -> int:
        """Return the descriptor."""


class ReceiveBuffers:
    """Bounds the unread bytes of all sockets of a process together."""

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        n_descriptors: int = DEFAULT_N_DESCRIPTORS,
    ) -> None:
        self._inodes: dict[int, int] = {}
        """The inode of each connection with a large buffer, by its descriptor."""

        self._next_check_at = Instant(0.0)
        self.configure(memory_bytes, n_descriptors)

    def configure(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        n_descriptors: int = DEFAULT_N_DESCRIPTORS,
    ) -> None:
        """Set the limits of the process, before it opens any socket."""
        self.memory: ReceiveMemory = receive_memory(memory_bytes, n_descriptors)
        self.memory_bytes = memory_bytes
        self.n_descriptors = n_descriptors

    @property
    def n_long(self) -> int:
        """The number of connections with a large buffer."""
        return len(self._inodes)

    def limit(self, sock: AnySocket) -> None:
        """Size the buffer of a socket before it connects or listens.

        Connections that a listener accepts inherit its size.
        """
        _set_size(sock, self.memory.socket_bytes)

    def grow(self, sock: AnySocket) -> bool:
        """Enlarge the buffer of a connection that receives much, if there is room.

        It keeps the size until it is closed: the kernel drops what arrives beyond a
        buffer that became smaller than the window it had offered, and the sender then
        waits for its retransmission timer.
        """
        descriptor = sock.fileno()
        try:
            inode = os.fstat(descriptor).st_ino
        except OSError:
            return False
        if self._inodes.get(descriptor) == inode:
            return True
        if descriptor not in self._inodes and not self._has_room():
            return False
        if not _set_size(sock, self.memory.long_bytes):
            return False
        with contextlib.suppress(OSError):
            # Older kernels keep the window of the size that was set first.
            size_bytes = self.memory.long_bytes // KERNEL_FACTOR
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size_bytes)
        self._inodes[descriptor] = inode
        return True

    def grow_for(self, sock: AnySocket, n_bytes: int) -> bool:
        """Enlarge the buffer for a message whose size is announced or that arrived.

        A message that fits into the small buffer needs no larger one.
        """
        return n_bytes > self.memory.socket_bytes and self.grow(sock)

    def _has_room(self) -> bool:
        if self.n_long < self.memory.n_long:
            return True
        now = system_clock()
        if now < self._next_check_at:
            return False
        self._next_check_at = add_ms(now, CHECK_INTERVAL_MS)
        self.forget_closed()
        return self.n_long < self.memory.n_long

    def forget_closed(self) -> None:
        """Take back the large buffers of connections that were closed.

        A descriptor that another file has now is told apart by its inode.
        """
        for descriptor, inode in list(self._inodes.items()):
            try:
                is_open = os.fstat(descriptor).st_ino == inode
            except OSError:
                is_open = False
            if not is_open:
                del self._inodes[descriptor]


def _set_size(sock: AnySocket, n_bytes: int) -> bool:
    """Return whether the size was set; a simulated network may refuse the option."""
    size_bytes = n_bytes // KERNEL_FACTOR
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
    except OSError:
        return False
    return True


receive_buffers = ReceiveBuffers()
"""The buffers of this process."""
