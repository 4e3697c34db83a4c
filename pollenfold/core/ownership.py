"""Which entry warms an endpoint up, and since when, over successive directories."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from .clock import Instant
from .endpoints import EndpointKey

_MAX_HISTORY = 64


@dataclass(frozen=True, slots=True)
class Directory:
    """The live entries of one revision, and when this entry first saw it.

    The revisions of one control leader count up by one; a gap means that this entry
    missed some. A new leader must start more than one above the last revision, since
    it does not know whom the previous one had listed.
    """

    revision: int
    first_seen: Instant
    entry_ids: tuple[str, ...]


def warmup_owner(entry_ids: tuple[str, ...], key: EndpointKey) -> str | None:
    """Return the entry that warms the endpoint up, by rendezvous hash.

    Only endpoints of an entry that leaves, and those that an added entry wins, change
    their owner.
    """
    name = f"\0{key.service}\0{key.host}\0{key.port}"
    return max(
        entry_ids,
        key=lambda entry_id: (
            xxhash.xxh3_64_intdigest((entry_id + name).encode()),
            entry_id,
        ),
        default=None,
    )


class Ownership:
    """Since when this entry owns the warm-up of one endpoint; None when it does not."""

    __slots__ = ("since", "revision", "generation")

    def __init__(self) -> None:
        self.since: Instant | None = None
        self.revision = -1
        self.generation = -1


class DirectoryHistory:
    """The directories that one entry saw without a gap.

    ``generation`` changes with every gap, because an entry in between may have been
    the owner and may have started.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._seen: list[Directory] = []
        self._generation = 0

    def observe(self, directory: Directory) -> None:
        """Append a directory; one that does not follow the last one starts anew."""
        if self._seen:
            last = self._seen[-1]
            is_same = directory.entry_ids == last.entry_ids
            if directory.revision == last.revision and is_same:
                return
            if directory.revision != last.revision + 1:
                self._seen.clear()
                self._generation += 1
        self._seen.append(directory)
        if len(self._seen) > _MAX_HISTORY:
            del self._seen[0]

    def update(self, ownership: Ownership, key: EndpointKey) -> bool:
        """Bring an ownership up to the last directory; return whether it changed."""
        before = ownership.since
        is_continued = ownership.generation == self._generation
        if not is_continued or self._seen[0].revision > ownership.revision + 1:
            ownership.since = None
            ownership.revision = -1
        for directory in self._seen:
            if directory.revision <= ownership.revision:
                continue
            if warmup_owner(directory.entry_ids, key) != self._entry_id:
                ownership.since = None
            elif ownership.since is None:
                ownership.since = directory.first_seen
        ownership.generation = self._generation
        ownership.revision = self._seen[-1].revision
        return ownership.since != before
