"""The id of a replica with dynamic members: one for each disk."""

from __future__ import annotations

import secrets
from pathlib import Path

from .journal import Journal

FILE_NAME = "member"


def load_member_id(folder: Path, address: str) -> str:
    """Return the id of the data folder.

    An empty folder gets a new id, for example ``10.0.0.1:7660/5f0c``, so a replica
    that lost its disk isn't taken for the one it was. Raise OSError when the folder
    can't be written.
    """
    journal, entries = Journal.open(folder / FILE_NAME)
    try:
        known = [e.decode() for e in entries if e.decode().startswith(f"{address}/")]
        if known:
            return known[-1]
        replica_id = f"{address}/{secrets.token_hex(6)}"
        result = journal.append([replica_id.encode()])
        if result.is_error():
            raise OSError(result.error.detail)
        return replica_id
    finally:
        journal.close()
