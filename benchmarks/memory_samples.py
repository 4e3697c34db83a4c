"""Memory of a process with the bytes that have arrived for it but aren't read yet."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_QUEUES_FIELD, _INODE_FIELD = 4, 9
"""Positions in a line of ``/proc/net/tcp``."""


@dataclass(slots=True)
class Peak:
    """The largest values that were seen of one process, in bytes."""

    resident_bytes: int = 0
    unread_bytes: int = 0
    total_bytes: int = 0
    """Of both at the same time."""

    def record(self, resident_bytes: int, unread_bytes: int) -> None:
        """Take a sample into account."""
        self.resident_bytes = max(self.resident_bytes, resident_bytes)
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self.total_bytes = max(self.total_bytes, resident_bytes + unread_bytes)


class MemorySampler:
    """Samples the memory of processes by their ids."""

    def __init__(self, pids: Iterable[int]) -> None:
        self.peaks = {pid: Peak() for pid in pids}

    def sample(self) -> None:
        """Take one sample of each process that still runs."""
        unread = read_unread_bytes()
        for pid, peak in self.peaks.items():
            try:
                inodes = socket_inodes(pid)
                resident = resident_bytes(pid)
            except OSError:
                continue
            peak.record(resident, sum(unread.get(inode, 0) for inode in inodes))


def resident_bytes(pid: int) -> int:
    """Return the resident set of a process; raise OSError if it has ended."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def socket_inodes(pid: int) -> set[int]:
    """Return the inodes of a process's sockets; raise OSError if it has ended."""
    folder = f"/proc/{pid}/fd"
    inodes = set()
    for name in os.listdir(folder):
        try:
            target = os.readlink(f"{folder}/{name}")
        except OSError:
            # Closed since the folder was read.
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[len("socket:[") : -1]))
    return inodes


def read_unread_bytes() -> dict[int, int]:
    """Return the unread bytes of each TCP socket that has any, by its inode."""
    unread = {}
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            is_listening = fields[3] == "0A"
            n_bytes = int(fields[_QUEUES_FIELD].partition(":")[2], 16)
            if n_bytes and not is_listening:
                unread[int(fields[_INODE_FIELD])] = n_bytes
    return unread
