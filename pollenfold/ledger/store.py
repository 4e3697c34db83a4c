"""The registers of one replica in memory and in its journal, with group sync."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import curio
from loguru import logger

from ..core.clock import Clock
from ..core.errors import Failure
from ..core.register import BLANK_REGISTER, Register, is_droppable
from ..storage.journal import Journal
from ..wire.ledger import (
    Epochs,
    decode_entry,
    encode_epochs_entry,
    encode_founders_entry,
    encode_register_entry,
)

FILE_NAME = "registers"
CHUNK_KEYS = 256
"""Keys handled before other tasks run; about 2 ms of encoding."""

MIN_COMPACTION_ENTRIES = 10_000
"""A shorter journal is not rewritten, since reading it takes well under a second."""


class StorageError(Exception):
    """The journal failed; the replica must not answer any more."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value}: {failure.detail}")
        self.failure = failure


class RegisterStore:
    """Registers by key; what ``synced`` covered survives a restart.

    ``put`` changes the memory at once. No answer may show a change before
    ``synced`` returned, or a restart would take back what was said. ``wall_clock``
    gives the ages that must survive a restart, which the monotonic clock does not.
    """

    def __init__(self, folder: Path, n_replicas: int, wall_clock: Clock) -> None:
        self._wall_clock = wall_clock
        self._registers: dict[str, Register] = {}
        self._pending: dict[str, Register] = {}
        self._pending_other: list[bytes] = []
        self._batch: curio.Event | None = None
        self._changed: dict[str, Register] | None = None
        self._failure: Failure | None = None
        self.epochs: Epochs = (0,) * n_replicas
        self.founders: tuple[str, ...] = ()
        self.n_syncs = 0
        self._journal, entries = Journal.open(folder / FILE_NAME)
        self._n_entries = len(entries)
        for entry in entries:
            self._load(decode_entry(entry))
        self._drop_expired(list(self._registers))

    def __len__(self) -> int:
        return len(self._registers)

    def get(self, key: str) -> Register:
        """Return the register of a key, blank when there is none or it expired.

        A replica that was suspended must not answer from an expired register.
        """
        register = self._registers.get(key, BLANK_REGISTER)
        if is_droppable(register, self._wall_clock()):
            return BLANK_REGISTER
        return register

    def keys(self) -> list[str]:
        """Return all keys."""
        return list(self._registers)

    def put(self, key: str, register: Register) -> None:
        """Store a register; the next sync makes it durable."""
        self._registers[key] = register
        self._pending[key] = register

    def put_epochs(self, epochs: Epochs) -> None:
        """Store the known epochs; the next sync makes them durable."""
        self.epochs = epochs
        self._pending_other.append(encode_epochs_entry(epochs))

    def check(self) -> None:
        """Raise StorageError after a failed write."""
        if self._failure is not None:
            raise StorageError(self._failure)

    async def synced(self) -> None:
        """Wait until every change so far is durable; raise StorageError if not.

        The first caller of a loop turn writes for all callers of that turn. Requests
        that arrive during its sync form the next batch, as the sync blocks the loop.
        """
        self.check()
        if self._batch is not None:
            await self._batch.wait()
        elif self._pending or self._pending_other:
            # A cancelled caller must not leave the others of its batch waiting.
            async with curio.disable_cancellation():
                self._batch = batch = curio.Event()
                await curio.sleep(0)
                self._batch = None
                self._write()
                await batch.set()
        self.check()

    def replace_all(
        self, registers: dict[str, Register], epochs: Epochs, founders: tuple[str, ...]
    ) -> None:
        """Replace the whole content durably; raise StorageError on failure."""
        self._registers = registers
        self._pending, self._pending_other = {}, []
        self.epochs, self.founders = epochs, founders
        self._rewrite([*self._encode(list(registers))])

    async def maintain(self) -> None:
        """Drop registers by age, and rewrite a journal of mostly old entries."""
        keys = self.keys()
        for start in range(0, len(keys), CHUNK_KEYS):
            self._drop_expired(keys[start : start + CHUNK_KEYS])
            await curio.sleep(0)
        if self._n_entries > MIN_COMPACTION_ENTRIES + 2 * len(self._registers):
            await self.compact()

    async def compact(self) -> None:
        """Rewrite the journal with the live registers only."""
        self._changed = {}
        entries: list[bytes] = []
        keys = self.keys()
        for start in range(0, len(keys), CHUNK_KEYS):
            entries.extend(self._encode(keys[start : start + CHUNK_KEYS]))
            await curio.sleep(0)
        changed = self._changed
        self._changed = None
        entries.extend(encode_register_entry(*item) for item in changed.items())
        self._rewrite(entries)

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()

    def _load(self, entry: tuple[str, Register] | Epochs | list[str]) -> None:
        match entry:
            case list():
                self.founders = tuple(entry)
            case (str() as key, Register() as register):
                self._registers[key] = register
            case _:
                self.epochs = entry

    def _drop_expired(self, keys: list[str]) -> None:
        now = self._wall_clock()
        for key in keys:
            register = self._registers.get(key)
            if register is not None and is_droppable(register, now):
                del self._registers[key]

    def _encode(self, keys: list[str]) -> Iterator[bytes]:
        for key in keys:
            register = self._registers.get(key)
            if register is not None:
                yield encode_register_entry(key, register)

    def _write(self) -> None:
        entries = [encode_register_entry(*item) for item in self._pending.items()]
        entries += self._pending_other
        if self._changed is not None:
            self._changed.update(self._pending)
        self._pending, self._pending_other = {}, []
        result = self._journal.append(entries)
        self._n_entries += len(entries)
        self.n_syncs += 1
        if result.is_error():
            self._fail(result.error)

    def _rewrite(self, entries: list[bytes]) -> None:
        head = [encode_epochs_entry(self.epochs), encode_founders_entry(self.founders)]
        result = self._journal.rewrite(head + entries)
        self._n_entries = len(entries)
        if result.is_error():
            self._fail(result.error)
        self.check()

    def _fail(self, failure: Failure) -> None:
        self._failure = failure
        logger.error("event=storage_failed detail={!r}", failure.detail)
