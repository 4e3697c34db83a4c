"""Measures what counts towards the memory limit of this process."""

from __future__ import annotations

import errno
import os
import resource
import stat
import struct

MAX_CLOSED_RUN = 256
"""The kernel assigns the lowest free descriptor, so after so many closed ones hardly
any is open."""

_UNSET = struct.pack("i", 0)


def resident_bytes() -> int:
    """Return the resident memory, or its peak where the current one can't be read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def unread_bytes(n_descriptors: int) -> int:
    """Return the bytes that have arrived on all sockets and weren't read.

    Descriptors from ``n_descriptors`` on aren't looked at.
    """
    # Imported here since a process measures only while it serves.
    import fcntl
    import termios

    total_bytes = n_closed = 0
    for descriptor in range(n_descriptors):
        try:
            answer = fcntl.ioctl(descriptor, termios.FIONREAD, _UNSET)
        except OSError as error:
            n_closed = n_closed + 1 if error.errno == errno.EBADF else 0
            if n_closed == MAX_CLOSED_RUN:
                break
            continue
        n_closed = 0
        n_bytes = struct.unpack("i", answer)[0]
        if n_bytes > 0 and stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            total_bytes += n_bytes
    return total_bytes
