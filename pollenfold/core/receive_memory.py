"""How much the kernel may hold for a process in bytes that it hasn't read yet.

They count towards the memory of the process, so the receive buffers of all its sockets
together get a share of its limit. Half of the share is divided among all descriptors.
The other half is for connections on which a long body, document or stream arrives: a
buffer large enough for the throughput that they need, for as many as it permits.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_MEMORY_BYTES = 300 << 20
DEFAULT_N_DESCRIPTORS = 4_100

KERNEL_SHARE = 1 / 3
"""The share of the memory limit that unread bytes of all sockets may take."""

LONG_BYTES = 128 << 10
"""The buffer of a connection that receives much. Linux offers half to three quarters of
it as the window: with a delay of 8 ms, 64 KB a round trip are 8 MB/s."""

MIN_SOCKET_BYTES = 8 << 10
"""The kernel needs room for two full packets with their overhead."""

MAX_SOCKET_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class ReceiveMemory:
    """The sizes of receive buffers, in bytes with the kernel's overhead.

    ``socket_bytes`` is for each socket, ``long_bytes`` for those that receive much, of
    which there may be ``n_long`` at once. ``total_bytes`` bounds all together.
    """

    socket_bytes: int
    long_bytes: int
    n_long: int
    total_bytes: int


def receive_memory(memory_bytes: int, n_descriptors: int) -> ReceiveMemory:
    """Return the sizes that follow from the limits of a process.

    With 300 MB and 4,100 descriptors each socket has 12.5 KB, and 400 have 128 KB. With
    too little memory for ``MIN_SOCKET_BYTES`` a descriptor, the total is larger than
    the share.
    """
    half_bytes = int(memory_bytes * KERNEL_SHARE) // 2
    fair_bytes = half_bytes // max(1, n_descriptors)
    socket_bytes = min(max(fair_bytes, MIN_SOCKET_BYTES), MAX_SOCKET_BYTES)
    n_long = max(1, half_bytes // LONG_BYTES)
    total_bytes = n_descriptors * socket_bytes + n_long * LONG_BYTES
    return ReceiveMemory(socket_bytes, LONG_BYTES, n_long, total_bytes)
