"""The replicated log: a snapshot and the entries that follow it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MAX_COMMAND_BYTES = 3 << 18
"""The largest command of an entry. A message with one such entry stays below the limit
of 1 MiB for a frame."""

ENTRY_OVERHEAD_BYTES = 64
"""An upper bound of the bytes that the encoding of an entry adds to its command."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One command at its index in the log.

    A new leader appends an entry with an empty command, to commit in its own term;
    it isn't passed to the state machine.
    """

    index: int
    term: int
    command: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after the entry ``index``; index 0 is the initial state."""

    index: int = 0
    term: int = 0
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Log:
    """A snapshot and the consecutive entries after it.

    For example, a log with a snapshot at index 4 and two entries has the last index
    6, and ``term_at(3)`` is None because the entry was compacted.
    """

    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None when the log doesn't hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self.entries[index - self.snapshot.index - 1].term

    def between(self, first_index: int, last_index: int) -> tuple[Entry, ...]:
        """Return the entries from the first to the last index, both included."""
        base = self.snapshot.index + 1
        return self.entries[max(0, first_index - base) : max(0, last_index + 1 - base)]

    def may_have_after(self, index: int, matches: Callable[[bytes], bool]) -> bool:
        """Return whether the log may hold a matching command after an index.

        Entries that aren't committed count. If some of them were compacted, it may.
        """
        if index < self.snapshot.index:
            return True
        entries = self.between(index + 1, self.last_index)
        return any(matches(entry.command) for entry in entries)

    def batch(self, first_index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return the entries from an index on, up to the limit but at least one."""
        n_bytes = 0
        batch: list[Entry] = []
        for entry in self.between(first_index, self.last_index):
            n_bytes += len(entry.command) + ENTRY_OVERHEAD_BYTES
            if batch and n_bytes > limit_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def with_entries(self, entries: tuple[Entry, ...]) -> Log:
        """Return the log with ``entries`` in place of all from their first index on."""
        if not entries:
            return self
        kept = self.between(self.snapshot.index + 1, entries[0].index - 1)
        return Log(self.snapshot, kept + entries)

    def with_snapshot(self, snapshot: Snapshot) -> Log:
        """Return the log with a snapshot replacing the entries up to its index.

        Entries after the snapshot are kept only if this log holds the snapshot's last
        entry with the same term; otherwise they may conflict with it.
        """
        if self.term_at(snapshot.index) != snapshot.term:
            return Log(snapshot)
        return Log(snapshot, self.between(snapshot.index + 1, self.last_index))

    def new_entries(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the entries from the first one that this log doesn't hold.

        Entries that the log already holds are skipped: a delayed message must not
        remove entries that were appended after it.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()
