"""A cache of the endpoints that a control replica knew, used after a restart.

Endpoints repeat their announcements only every second or two. Until then, a group of
which all replicas restarted would direct all requests to the few endpoints that
announced themselves first. The file is only a hint: the endpoints' own responses
verify its content, and state that must not be lost (departures) is in the replicated
log.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

from ..core.input_limits import MAX_ENTRIES, is_whole_number
from .journal import sync_folder

FILE_NAME = "endpoints.json"


def write_endpoint_cache(
    folder: Path,
    announcements: list[list[object]],
    n_entries: int,
    versions: dict[str, str] | None = None,
) -> None:
    """Replace the file atomically; raise OSError if that fails.

    ``versions`` are those of the endpoints, by id. They are apart from the
    announcements, so that an earlier version of this process reads the file.
    """
    fields: dict[str, object] = {
        "announcements": announcements,
        "n_entries": n_entries,
    }
    if versions:
        fields["versions"] = versions
    temporary = folder / f"{FILE_NAME}.new"
    with temporary.open("w") as file:
        json.dump(fields, file)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, folder / FILE_NAME)
    sync_folder(folder)


def read_endpoint_cache(folder: Path) -> tuple[list[object], int, object]:
    """Return the announcements, the number of entries and the versions.

    Without a valid file they are empty. The announcements and versions aren't decoded.
    A malformed number of entries counts as 0.
    """
    try:
        fields = json.loads((folder / FILE_NAME).read_text())
        n_entries = fields["n_entries"]
        is_valid = is_whole_number(n_entries, MAX_ENTRIES)
        announcements = list(fields["announcements"])
        return announcements, n_entries if is_valid else 0, fields.get("versions")
    except (OSError, ValueError, KeyError, TypeError, RecursionError):
        return [], 0, None
