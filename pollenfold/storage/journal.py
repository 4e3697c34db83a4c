"""An append-only file of entries that are durable once ``append`` returns."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import xxhash
from expression import Error, Ok, Result
from loguru import logger

from ..core.errors import ErrorKind, Failure

_HEADER = struct.Struct(">IQ")
MAX_ENTRY_BYTES = 1 << 22
"""A larger length field can only come from a corrupt file, since larger entries are
not written."""


def _frame(entry: bytes) -> bytes:
    return _HEADER.pack(len(entry), xxhash.xxh3_64_intdigest(entry)) + entry


def _check_sizes(entries: list[bytes]) -> Result[None, Failure]:
    """Return ``STORAGE_FAILED`` for an entry that couldn't be read again."""
    n_bytes = max(map(len, entries), default=0)
    if n_bytes <= MAX_ENTRY_BYTES:
        return Ok(None)
    detail = f"expected entries of at most {MAX_ENTRY_BYTES} bytes, got {n_bytes}"
    return Error(Failure(ErrorKind.STORAGE_FAILED, detail))


def _read_entries(data: bytes) -> tuple[list[bytes], int]:
    """Return the complete entries and the length in bytes of the part they fill."""
    entries = []
    offset = 0
    while offset + _HEADER.size <= len(data):
        n_bytes, checksum = _HEADER.unpack_from(data, offset)
        start = offset + _HEADER.size
        entry = data[start : start + n_bytes]
        if n_bytes > MAX_ENTRY_BYTES or len(entry) < n_bytes:
            break
        if xxhash.xxh3_64_intdigest(entry) != checksum:
            break
        entries.append(entry)
        offset = start + n_bytes
    return entries, offset


def _count_following(data: bytes, offset: int) -> int:
    """Return how many complete entries follow a damaged one, by its stated length.

    After a crash they may be the rest of the last write, whose parts reach the disk in
    any order. Otherwise the disk has damaged entries that were synced.
    """
    if offset + _HEADER.size > len(data):
        return 0
    n_bytes, _ = _HEADER.unpack_from(data, offset)
    return len(_read_entries(data[offset + _HEADER.size + n_bytes :])[0])


def sync_folder(folder: Path) -> None:
    """Make the directory entries of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class Journal:
    """Entries of bytes in one file, each with its length and checksum.

    When the file is opened, it is truncated at the first incomplete or corrupt entry,
    such as a crash during a write leaves at the end, and what is dropped is logged.
    After a failed write the journal rejects further appends, because the state of the
    file is then unknown (an ``fsync`` that failed once may report success later without
    having written the data).

    For example, ``journal, entries = Journal.open(path)`` followed by
    ``journal.append([b"a", b"b"])`` writes both entries with one sync.
    """

    def __init__(self, path: Path, descriptor: int) -> None:
        self.path = path
        self._descriptor = descriptor
        self._has_failed = False

    @classmethod
    def open(cls, path: Path) -> tuple[Journal, list[bytes]]:
        """Open or create the file and return the journal with its entries."""
        path.parent.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        data = path.read_bytes()
        entries, n_valid_bytes = _read_entries(data)
        if n_valid_bytes < len(data):
            logger.warning(
                "event=journal_truncated path={} offset={} "
                "n_dropped_bytes={} n_following={}",
                path,
                n_valid_bytes,
                len(data) - n_valid_bytes,
                _count_following(data, n_valid_bytes),
            )
            os.ftruncate(descriptor, n_valid_bytes)
            os.fsync(descriptor)
        os.lseek(descriptor, n_valid_bytes, os.SEEK_SET)
        sync_folder(path.parent)
        return cls(path, descriptor), entries

    def append(self, entries: list[bytes]) -> Result[None, Failure]:
        """Write and sync the entries; return ``STORAGE_FAILED`` if that fails.

        An entry over ``MAX_ENTRY_BYTES`` is refused, and then nothing is written.
        """
        if self._has_failed:
            return Error(Failure(ErrorKind.STORAGE_FAILED, "an earlier write failed"))
        checked = _check_sizes(entries)
        if checked.is_error():
            return checked
        data = memoryview(b"".join(_frame(entry) for entry in entries))
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
            os.fsync(self._descriptor)
        except OSError as error:
            self._has_failed = True
            return Error(Failure(ErrorKind.STORAGE_FAILED, str(error)))
        return Ok(None)

    def rewrite(self, entries: list[bytes]) -> Result[None, Failure]:
        """Replace all entries atomically; return ``STORAGE_FAILED`` if that fails.

        An entry over ``MAX_ENTRY_BYTES`` is refused, and then nothing changes.
        """
        checked = _check_sizes(entries)
        if checked.is_error():
            return checked
        temporary = self.path.with_suffix(".new")
        descriptor = None
        try:
            descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            data = memoryview(b"".join(_frame(entry) for entry in entries))
            while data:
                data = data[os.write(descriptor, data) :]
            os.fsync(descriptor)
            os.replace(temporary, self.path)
            sync_folder(self.path.parent)
        except OSError as error:
            self._has_failed = True
            if descriptor is not None:
                os.close(descriptor)
            return Error(Failure(ErrorKind.STORAGE_FAILED, str(error)))
        os.close(self._descriptor)
        self._descriptor = descriptor
        return Ok(None)

    def close(self) -> None:
        os.close(self._descriptor)
