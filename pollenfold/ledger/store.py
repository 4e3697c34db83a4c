"""The registers of one replica in memory and in its journal, with group sync."""

from __future__ import annotations

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
"""Keys handled before other tasks run; about 4 ms of decoding."""

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
    Registers are kept encoded as in the journal, which takes much less memory.
    """

    def __init__(self, folder: Path, n_replicas: int, wall_clock: Clock) -> None:
        self._wall_clock = wall_clock
        self._registers: dict[str, bytes] = {}
        self._pending: dict[str, bytes] = {}
        self._pending_other: list[bytes] = []
        self._batch: curio.Event | None = None
        self._failure: Failure | None = None
        self.epochs: Epochs = (0,) * n_replicas
        self.founders: tuple[str, ...] = ()
        self.n_syncs = 0
        self._journal, entries = Journal.open(folder / FILE_NAME)
        self._n_entries = len(entries)
        for entry in entries:
            self._load(entry)
        self._drop_expired(list(self._registers))

    def __len__(self) -> int:
        return len(self._registers)

    def get(self, key: str) -> Register:
        """Return the register of a key, blank when there is none or it expired.

        A replica that was suspended must not answer from an expired register.
        """
        data = self._registers.get(key)
        if data is None:
            return BLANK_REGISTER
        _, register = decode_entry(data)
        is_expired = is_droppable(register, self._wall_clock())
        return BLANK_REGISTER if is_expired else register

    def keys(self) -> list[str]:
        """Return all keys."""
        return list(self._registers)

    def put(self, key: str, register: Register) -> None:
        """Store a register; the next sync makes it durable."""
        self._registers[key] = self._pending[key] = encode_register_entry(key, register)

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
        self._registers = {
            key: encode_register_entry(key, register)
            for key, register in registers.items()
        }
        self._pending, self._pending_other = {}, []
        self.epochs, self.founders = epochs, founders
        self.compact()

    async def drop_expired(self) -> None:
        """Drop registers by age, some at a time."""
        keys = self.keys()
        for start in range(0, len(keys), CHUNK_KEYS):
            self._drop_expired(keys[start : start + CHUNK_KEYS])
            await curio.sleep(0)

    def compact_if_needed(self) -> None:
        """Rewrite the journal when most of its entries are old."""
        if self._n_entries > MIN_COMPACTION_ENTRIES + 2 * len(self._registers):
            self.compact()

    def compact(self) -> None:
        """Rewrite the journal with the live registers; raise StorageError if not.

        Changes that no sync covered yet are written early, which does no harm.
        """
        head = [encode_epochs_entry(self.epochs), encode_founders_entry(self.founders)]
        result = self._journal.rewrite([*head, *self._registers.values()])
        self._n_entries = len(self._registers)
        if result.is_error():
            self._fail(result.error)
        self.check()

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()

    def _load(self, entry: bytes) -> None:
        match decode_entry(entry):
            case list() as founders:
                self.founders = tuple(founders)
            case (str() as key, Register()):
                self._registers[key] = entry
            case epochs:
                self.epochs = epochs

    def _drop_expired(self, keys: list[str]) -> None:
        for key in keys:
            if key not in self._pending and self.get(key) is BLANK_REGISTER:
                self._registers.pop(key, None)

    def _write(self) -> None:
        entries = [*self._pending.values(), *self._pending_other]
        self._pending, self._pending_other = {}, []
        result = self._journal.append(entries)
        self._n_entries += len(entries)
        self.n_syncs += 1
        if result.is_error():
            self._fail(result.error)

    def _fail(self, failure: Failure) -> None:
        self._failure = failure
        logger.error("event=storage_failed detail={!r}", failure.detail)
