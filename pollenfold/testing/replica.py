"""Replica of the log without consensus, which commits commands immediately."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
from expression import Error, Ok, Result

from ..core.clock import Clock, Instant
from ..core.errors import ErrorKind


class FakeReplica:
    """Replaces ``control.replica.Replica``; it is leader until ``follow`` is called.

    ``loses_confirmations`` makes ``propose`` return ``NO_QUORUM`` although the command
    is applied, as for a leader whose confirmations are lost.
    """

    def __init__(
        self,
        replica_id: str,
        peers: dict[str, tuple[str, int]],
        data_folder: Path,
        apply: Callable[[int, bytes], None],
        snapshot: Callable[[], bytes],
        restore: Callable[[bytes], None],
        clock: Clock,
        seed: int,
    ) -> None:
        self.replica_id = replica_id
        self.commands: list[bytes] = []
        self.loses_confirmations = False
        self._apply = apply
        self._clock = clock
        self._leader_id: str | None = replica_id
        self._since: Instant | None = clock()

    def lead(self) -> None:
        """Become leader with a new ``leader_since``."""
        self._leader_id = self.replica_id
        self._since = self._clock()

    def follow(self, leader_id: str | None) -> None:
        """Become a follower of another leader, or of an unknown one."""
        self._leader_id = leader_id
        self._since = None

    async def handle(self, payload: bytes) -> bytes:
        """Return an empty response, as a fake replica has no peers."""
        return b""

    async def run(self) -> None:
        """Wait until cancelled, as a fake replica has no timers."""
        await curio.Event().wait()

    async def propose(
        self, command: bytes, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        """Commit and apply the command immediately.

        Raise ValueError for an empty command, as the real replica does.
        """
        if not command:
            raise ValueError("expected a command of at least 1 byte")
        if not self.is_leader():
            return Error(ErrorKind.NOT_LEADER)
        self.commands.append(command)
        self._apply(len(self.commands), command)
        if self.loses_confirmations:
            return Error(ErrorKind.NO_QUORUM)
        return Ok(len(self.commands))

    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return self._leader_id == self.replica_id

    def leader_id(self) -> str | None:
        """Return the id of the leader, if known."""
        return self._leader_id

    def leader_since(self) -> Instant | None:
        """Return when this replica became leader."""
        return self._since

    def applied_index(self) -> int:
        """Return the index of the last applied command."""
        return len(self.commands)

    def status(self) -> dict[str, Any]:
        """Return the status fields for operators."""
        return {"term": 1, "applied_index": self.applied_index()}
