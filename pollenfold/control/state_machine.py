"""Applies the committed entries of a replica, and takes snapshots of the result."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ..core.agreement.members import decode_members, unwrap_snapshot, wrap_snapshot

ENTRIES_PER_SNAPSHOT = 256
LOG_BYTES_PER_SNAPSHOT = 8 << 20
"""A snapshot replaces the entries applied so far after this many, or after this many
bytes of commands, since each configuration supersedes the previous one."""


class StateMachine:
    """What a replica has applied: commands, and the voters if they are in the log.

    ``apply`` is called with each committed command and its index, in order;
    ``snapshot`` returns the state as bytes, and ``restore`` replaces it.
    """

    def __init__(
        self,
        apply: Callable[[int, bytes], None],
        snapshot: Callable[[], bytes],
        restore: Callable[[bytes], None],
        has_members: bool,
    ) -> None:
        self._apply = apply
        self._snapshot = snapshot
        self._restore = restore
        self._has_members = has_members
        self._voters: frozenset[str] = frozenset()
        self.index = 0
        """The index of the last entry that was applied."""

        self._n_bytes = 0
        """The bytes of the commands applied since the last snapshot."""

    def apply(self, index: int, command: bytes) -> None:
        """Apply a committed entry.

        After the data folder was reopened, entries that this process has already
        applied are committed again.
        """
        if index <= self.index:
            return
        voters = decode_members(command)
        if voters is not None:
            self._set_voters(voters, index)
        elif command:
            self._apply(index, command)
        self.index = index
        self._n_bytes += len(command)

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state with a snapshot that covers the log up to an index."""
        if index <= self.index:
            return
        if self._has_members:
            voters, data = unwrap_snapshot(data)
            self._set_voters(voters, index)
        self._restore(data)
        self.index = index

    def _set_voters(self, voters: frozenset[str], index: int) -> None:
        self._voters = voters
        logger.info(
            "event=members_changed index={} voters={}", index, ",".join(sorted(voters))
        )

    def is_snapshot_due(self, snapshot_index: int) -> bool:
        """Return whether the log since its last snapshot has grown too long."""
        return (
            self.index - snapshot_index >= ENTRIES_PER_SNAPSHOT
            or self._n_bytes >= LOG_BYTES_PER_SNAPSHOT
        )

    def take_snapshot(self) -> bytes:
        """Return a snapshot of the state that replaces the entries applied so far."""
        self._n_bytes = 0
        return self._snapshot_data()

    def take_smaller_snapshot(self) -> bytes | None:
        """Return a snapshot if it has fewer bytes than the entries that it replaces."""
        data = self._snapshot_data()
        if self._n_bytes <= len(data):
            return None
        self._n_bytes = 0
        return data

    def _snapshot_data(self) -> bytes:
        data = self._snapshot()
        return wrap_snapshot(self._voters, data) if self._has_members else data
