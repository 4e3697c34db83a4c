"""The data folder of a log replica: its identity, votes, entries and snapshot."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from ..core.agreement.log import Entry, Log, Snapshot
from ..core.agreement.messages import (
    Persist,
    PersistEntries,
    PersistJoined,
    PersistLog,
    PersistState,
)
from ..core.errors import ErrorKind, Failure
from ..wire.agreement import decode_founders, entry_fields, founder_fields
from ..wire.schemas import MAX_TRAVERSAL_WORDS, load_schema
from .identity import load_identity, mark_joined
from .journal import Journal

FILE_NAME = "log"
_CHUNK_BYTES = 1 << 20

OpenJournal = Callable[[Path], tuple[Journal, list[bytes]]]


class AgreementStorage:
    """Stores the persist actions of one replica in one journal.

    The snapshot and the entries after it are in one file, which ``Journal.rewrite``
    replaces atomically, so a crash never leaves the entries of one log with the
    snapshot of another.
    """

    def __init__(
        self,
        folder: Path,
        replica_id: str,
        open_journal: OpenJournal = Journal.open,
    ) -> None:
        """Open the folder; raise OSError if it can't be written.

        The file is rewritten, because after a failed sync the old one may hold
        entries that can be read but never became durable.
        """
        self._folder = folder
        self.identity = load_identity(folder, replica_id)
        self._journal, records = open_journal(folder / FILE_NAME)
        self.stored_state, self.log = _read_records(records)
        if self.stored_state is None and not self.identity.is_blank:
            raise OSError(
                f"expected the log of a replica that has joined in {folder}, got none"
            )
        result = self.persist(PersistLog(self.log)) if records else Ok(None)
        if result.is_error():
            self._journal.close()
            raise OSError(result.error.detail)

    def persist(self, action: Persist) -> Result[None, Failure]:
        """Perform one action durably; return ``STORAGE_FAILED`` if that fails."""
        match action:
            case PersistState():
                self.stored_state = action
                return self._journal.append([_vote_record(action)])
            case PersistEntries(entries):
                return self._journal.append([_entry_record(entry) for entry in entries])
            case PersistLog(log):
                vote_records = (
                    []
                    if self.stored_state is None
                    else [_vote_record(self.stored_state)]
                )
                entry_records = [_entry_record(entry) for entry in log.entries]
                snapshot_records = _snapshot_records(log.snapshot)
                return self._journal.rewrite(
                    [*vote_records, *snapshot_records, *entry_records]
                )
            case PersistJoined():
                return self._mark_joined()

    def _mark_joined(self) -> Result[None, Failure]:
        try:
            self.identity = mark_joined(self._folder, self.identity)
        except OSError as error:
            return Error(Failure(ErrorKind.STORAGE_FAILED, str(error)))
        return Ok(None)

    def close(self) -> None:
        self._journal.close()


def _record(**fields: Any) -> bytes:
    return load_schema("agreement").Record.new_message(**fields).to_bytes()


def _vote_record(state: PersistState) -> bytes:
    return _record(
        vote={
            "term": state.term,
            "hasVote": state.vote is not None,
            "vote": state.vote or "",
            "voteFloor": state.vote_floor,
            "founders": founder_fields(state.founders),
        }
    )


def _entry_record(entry: Entry) -> bytes:
    return _record(entry=entry_fields(entry))


def _snapshot_records(snapshot: Snapshot) -> list[bytes]:
    """Return the snapshot in chunks, since the journal limits the size of an entry."""
    return [
        _record(
            snapshot={
                "index": snapshot.index,
                "term": snapshot.term,
                "nTotalBytes": len(snapshot.data),
                "data": snapshot.data[offset : offset + _CHUNK_BYTES],
            }
        )
        for offset in range(0, max(1, len(snapshot.data)), _CHUNK_BYTES)
        if snapshot.index
    ]


def _read_records(records: list[bytes]) -> tuple[PersistState | None, Log]:
    stored = None
    log = Log()
    data = b""
    for record in records:
        with load_schema("agreement").Record.from_bytes(
            record, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as reader:
            match str(reader.which()):
                case "vote":
                    stored = _read_vote(reader.vote)
                case "entry":
                    entry = reader.entry
                    stored_entry = Entry(entry.index, entry.term, bytes(entry.command))
                    log = log.with_entries((stored_entry,))
                case _:
                    chunk = reader.snapshot
                    data += bytes(chunk.data)
                    if len(data) == chunk.nTotalBytes:
                        log = Log(Snapshot(chunk.index, chunk.term, data))
    return stored, log


def _read_vote(vote: Any) -> PersistState:
    return PersistState(
        vote.term,
        vote.vote if vote.hasVote else None,
        vote.voteFloor,
        decode_founders(vote.founders),
    )
