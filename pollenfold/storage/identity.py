"""The identity of a replica, kept in its data folder."""

from __future__ import annotations

import json
import secrets
from dataclasses import dataclass
from pathlib import Path

from .journal import Journal

FILE_NAME = "identity"


@dataclass(frozen=True, slots=True)
class Identity:
    """A replica and one incarnation of its disk.

    ``incarnation`` is generated for every empty data folder, so peers can distinguish
    a replica that lost its disk from its earlier incarnation. ``is_blank`` is true
    until ``mark_joined`` has been called for this folder: a blank replica must not
    vote.
    """

    replica_id: str
    incarnation: str
    is_blank: bool


def load_identity(folder: Path, replica_id: str) -> Identity:
    """Read the identity of the folder, or generate a new blank one and store it.

    Raise ValueError if the folder belongs to another replica, and OSError if it
    can't be written.
    """
    journal, entries = Journal.open(folder / FILE_NAME)
    if not entries:
        identity = Identity(replica_id, secrets.token_hex(8), True)
        _store(journal, identity)
        return identity
    journal.close()
    fields = json.loads(entries[-1])
    if fields["replica_id"] != replica_id:
        raise ValueError(
            f"expected a data folder of replica {replica_id}, "
            f"got one of replica {fields['replica_id']}"
        )
    return Identity(replica_id, fields["incarnation"], fields["is_blank"])


def mark_joined(folder: Path, identity: Identity) -> Identity:
    """Record durably that the replica of this folder may vote."""
    joined = Identity(identity.replica_id, identity.incarnation, False)
    journal, _ = Journal.open(folder / FILE_NAME)
    _store(journal, joined)
    return joined


def _store(journal: Journal, identity: Identity) -> None:
    fields = {
        "replica_id": identity.replica_id,
        "incarnation": identity.incarnation,
        "is_blank": identity.is_blank,
    }
    result = journal.append([json.dumps(fields).encode()])
    journal.close()
    if result.is_error():
        raise OSError(result.error.detail)
