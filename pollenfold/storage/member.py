"""The id of a replica with dynamic members, one per disk."""

from __future__ import annotations

import secrets
from pathlib import Path

from .journal import Journal

FILE_NAME = "member"


def load_member_id(folder: Path, address: str) -> str:
    """Return the replica id stored in the data folder.

    An empty folder gets a new id, for example ``10.0.0.1:7660/5f0c``, so a replica
    that lost its disk isn't mistaken for its predecessor. Raise OSError if the folder
    can't be written.
    """
    journal, entries = Journal.open(folder / FILE_NAME)
    try:
        member_ids = [
            e.decode() for e in entries if e.decode().startswith(f"{address}/")
        ]
        if member_ids:
            return member_ids[-1]
        replica_id = f"{address}/{secrets.token_hex(6)}"
        result = journal.append([replica_id.encode()])
        if result.is_error():
            raise OSError(result.error.detail)
        return replica_id
    finally:
        journal.close()
