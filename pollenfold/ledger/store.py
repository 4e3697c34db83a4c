"""The registers of one replica, in memory and in a journal with group commit."""

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
KEYS_PER_CHUNK = 256
"""Keys processed before other tasks may run; takes about 4 ms of decoding."""

MIN_COMPACTION_ENTRIES = 10_000
"""A shorter journal is not compacted, since it loads in well under a second."""


class StorageError(Exception):
    """Writing the journal failed; the replica must not respond any more."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value}: {failure.detail}")
        self.failure = failure


class RegisterStore:
    """Registers by key; changes are durable once ``wait_until_synced`` has returned.

    ``put`` changes the copy in memory immediately. No response may show a change
    before ``wait_until_synced`` has returned, or a restart could revoke what the
    replica reported. ``wall_clock`` is used for ages because they must survive a
    restart, unlike the monotonic clock. Registers are held in memory in the encoding
    of the journal, which takes much less memory than decoded ones.
    ``founders`` holds the incarnations of the replicas that formed the cluster.
    """

    def __init__(self, folder: Path, n_replicas: int, wall_clock: Clock) -> None:
        self._wall_clock = wall_clock
        self._registers: dict[str, bytes] = {}
        self._pending_registers: dict[str, bytes] = {}
        self._pending_epochs: list[bytes] = []
        self._batch: curio.Event | None = None
        self._failure: Failure | None = None
        self.epochs: Epochs = (0,) * n_replicas
        self.founders: tuple[str, ...] = ()
        self.n_syncs = 0
        self._journal, entries = Journal.open(folder / FILE_NAME)
        self._n_entries = len(entries)
        for entry in entries:
            self._load_entry(entry)
        self._drop_expired(list(self._registers))

    def __len__(self) -> int:
        return len(self._registers)

    def get(self, key: str) -> Register:
        """Return the register of a key, or a blank one if it is missing or expired.

        The age is checked on every read because a replica that was suspended must
        not use a register that expired meanwhile.
        """
        data = self._registers.get(key)
        if data is None:
            return BLANK_REGISTER
        _, register = decode_entry(data)
        is_expired = is_droppable(register, self._wall_clock())
        return BLANK_REGISTER if is_expired else register

    def keys(self) -> list[str]:
        """Return the keys of all stored registers, also of expired ones."""
        return list(self._registers)

    def put(self, key: str, register: Register) -> None:
        """Store a register; the next sync makes it durable."""
        self._registers[key] = self._pending_registers[key] = encode_register_entry(
            key, register
        )

    def put_epochs(self, epochs: Epochs) -> None:
        """Store the known epochs; the next sync makes them durable."""
        self.epochs = epochs
        self._pending_epochs.append(encode_epochs_entry(epochs))

    def raise_if_failed(self) -> None:
        """Raise StorageError if a write has failed."""
        if self._failure is not None:
            raise StorageError(self._failure)

    async def wait_until_synced(self) -> None:
        """Wait until all previous changes are durable; raise StorageError on failure.

        The first caller in an iteration of the event loop writes for all callers of
        that iteration. Requests that arrive during the sync, which blocks the event
        loop, form the next batch.
        """
        self.raise_if_failed()
        if self._batch is not None:
            await self._batch.wait()
        elif self._pending_registers or self._pending_epochs:
            # The cancellation of one caller must not block the others of its batch.
            async with curio.disable_cancellation():
                self._batch = batch = curio.Event()
                await curio.sleep(0)
                self._batch = None
                self._write_pending()
                await batch.set()
        self.raise_if_failed()

    def replace_all(
        self, registers: dict[str, Register], epochs: Epochs, founders: tuple[str, ...]
    ) -> None:
        """Replace the complete content durably; raise StorageError on failure."""
        self._registers = {
            key: encode_register_entry(key, register)
            for key, register in registers.items()
        }
        self._pending_registers, self._pending_epochs = {}, []
        self.epochs, self.founders = epochs, founders
        self.compact()

    async def drop_expired(self) -> None:
        """Drop expired registers in chunks, so that other tasks can run."""
        keys = self.keys()
        for start in range(0, len(keys), KEYS_PER_CHUNK):
            self._drop_expired(keys[start : start + KEYS_PER_CHUNK])
            await curio.sleep(0)

    def compact_if_needed(self) -> None:
        """Rewrite the journal when most of its entries are obsolete."""
        if self._n_entries > MIN_COMPACTION_ENTRIES + 2 * len(self._registers):
            self.compact()

    def compact(self) -> None:
        """Rewrite the journal from memory; raise StorageError on failure.

        This includes changes that are not synced yet; to write them early is safe.
        """
        metadata = [
            encode_epochs_entry(self.epochs),
            encode_founders_entry(self.founders),
        ]
        result = self._journal.rewrite([*metadata, *self._registers.values()])
        self._n_entries = len(self._registers)
        if result.is_error():
            self._record_failure(result.error)
        self.raise_if_failed()

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()

    def _load_entry(self, entry: bytes) -> None:
        match decode_entry(entry):
            case list() as founders:
                self.founders = tuple(founders)
            case (str() as key, Register()):
                self._registers[key] = entry
            case epochs:
                self.epochs = epochs

    def _drop_expired(self, keys: list[str]) -> None:
        for key in keys:
            if key not in self._pending_registers and self.get(key) is BLANK_REGISTER:
                self._registers.pop(key, None)

    def _write_pending(self) -> None:
        entries = [*self._pending_registers.values(), *self._pending_epochs]
        self._pending_registers, self._pending_epochs = {}, []
        result = self._journal.append(entries)
        self._n_entries += len(entries)
        self.n_syncs += 1
        if result.is_error():
            self._record_failure(result.error)

    def _record_failure(self, failure: Failure) -> None:
        self._failure = failure
        logger.error("event=storage_failed detail={!r}", failure.detail)
