"""The journal keeps acknowledged entries through a crash at any byte."""

import os

import pytest
from loguru import logger

from pollenfold.core.errors import ErrorKind
from pollenfold.storage.journal import MAX_ENTRY_BYTES, Journal

ENTRIES = [b"first", b"", b"third" * 100]


def append_entries(path, entries):
    journal, _ = Journal.open(path)
    assert journal.append(entries).is_ok()
    journal.close()


def test_entries_survive_reopening(tmp_path):
    """Guards against entries that are lost or reordered by a restart."""
    path = tmp_path / "log"
    append_entries(path, ENTRIES[:1])
    append_entries(path, ENTRIES[1:])
    assert Journal.open(path)[1] == ENTRIES


@pytest.mark.parametrize("n_lost_bytes", [1, 4, 12, 300, 505])
def test_torn_last_entry_is_truncated(tmp_path, n_lost_bytes):
    """Guards against a torn last entry that hides or corrupts the earlier ones."""
    path = tmp_path / "log"
    append_entries(path, ENTRIES)
    os.truncate(path, path.stat().st_size - n_lost_bytes)
    journal, entries = Journal.open(path)
    assert entries == ENTRIES[:2]
    assert journal.append([b"next"]).is_ok()
    assert Journal.open(path)[1] == [*ENTRIES[:2], b"next"]


def test_corrupt_byte_ends_the_entries(tmp_path):
    """Guards against a corrupt entry that is read as if it were valid."""
    path = tmp_path / "log"
    append_entries(path, ENTRIES)
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(bytes(data))
    assert Journal.open(path)[1] == ENTRIES[:2]


@pytest.mark.parametrize(
    ("damaged_at", "n_following"), [(12, 2), (-1, 0)], ids=["middle", "end"]
)
def test_dropped_entries_are_reported(tmp_path, damaged_at, n_following):
    """Guards against a damaged disk that drops acknowledged entries unnoticed, as if a
    crash had cut off a write at the end."""
    path = tmp_path / "log"
    append_entries(path, ENTRIES)
    data = bytearray(path.read_bytes())
    data[damaged_at] ^= 1
    path.write_bytes(bytes(data))
    lines = []
    handler = logger.add(lines.append, format="{message}")
    journal, entries = Journal.open(path)
    logger.remove(handler)
    journal.close()
    (line,) = lines
    assert line.startswith("event=journal_truncated ")
    n_dropped_bytes = len(data) - sum(12 + len(entry) for entry in entries)
    assert f" n_dropped_bytes={n_dropped_bytes} n_following={n_following}" in line


def test_intact_file_is_opened_without_a_report(tmp_path):
    """Guards against reports of damage that operators learn to ignore."""
    append_entries(tmp_path / "log", ENTRIES)
    lines = []
    handler = logger.add(lines.append, format="{message}")
    journal, _ = Journal.open(tmp_path / "log")
    logger.remove(handler)
    journal.close()
    assert lines == []


def test_failed_write_refuses_further_appends(tmp_path):
    """Guards against an acknowledgement after a sync that failed."""
    journal, _ = Journal.open(tmp_path / "log")
    journal.close()
    assert journal.append([b"a"]).error.kind is ErrorKind.STORAGE_FAILED
    assert journal.append([b"b"]).error.kind is ErrorKind.STORAGE_FAILED


def test_rewrite_replaces_all_entries(tmp_path):
    """Guards against a compaction that mixes old and new entries."""
    path = tmp_path / "log"
    journal, _ = Journal.open(path)
    journal.append(ENTRIES)
    assert journal.rewrite([b"snapshot"]).is_ok()
    assert journal.append([b"after"]).is_ok()
    assert Journal.open(path)[1] == [b"snapshot", b"after"]


def test_failed_rewrite_closes_its_file(tmp_path, monkeypatch):
    """Guards against a file descriptor leak when rewrites fail on a full disk."""
    journal, _ = Journal.open(tmp_path / "log")
    n_open = len(os.listdir("/proc/self/fd"))

    def fail_fsync(descriptor):
        raise OSError("no space left")

    monkeypatch.setattr(os, "fsync", fail_fsync)
    assert journal.rewrite(ENTRIES).error.kind is ErrorKind.STORAGE_FAILED
    assert len(os.listdir("/proc/self/fd")) == n_open


@pytest.mark.parametrize("write", [Journal.append, Journal.rewrite])
def test_oversized_entry_is_refused_and_loses_nothing(tmp_path, write):
    """Guards against an entry that is acknowledged although the next opening of the
    file takes it for corruption and drops it with all entries after it."""
    path = tmp_path / "log"
    journal, _ = Journal.open(path)
    assert journal.append([b"before"]).is_ok()
    result = write(journal, [b"first", b"x" * (MAX_ENTRY_BYTES + 1)])
    assert result.error.kind is ErrorKind.STORAGE_FAILED
    assert journal.append([b"x" * MAX_ENTRY_BYTES, b"after"]).is_ok()
    assert Journal.open(path)[1] == [b"before", b"x" * MAX_ENTRY_BYTES, b"after"]
