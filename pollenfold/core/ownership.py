"""Which entry warms up an endpoint, and since when, across directory revisions."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from .clock import Instant
from .endpoints import EndpointKey

_MAX_DIRECTORIES = 64


@dataclass(frozen=True, slots=True)
class Directory:
    """The live entries of one revision, and when this entry first received it.

    The revisions of one control leader increase by one; a gap means that this entry
    missed some. A new leader must start more than one above the last revision, since
    it does not know which entries the previous leader had listed.
    """

    revision: int
    first_seen: Instant
    entry_ids: tuple[str, ...]


def warmup_owner(entry_ids: tuple[str, ...], key: EndpointKey) -> str | None:
    """Return the entry that warms up the endpoint, by rendezvous hashing.

    When the entries change, only endpoints owned by a removed entry and those
    reassigned to an added entry change their owner.
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
    """When this entry became the warm-up owner of an endpoint; None if it is not."""

    __slots__ = ("owned_since", "revision", "generation")

    def __init__(self) -> None:
        self.owned_since: Instant | None = None
        self.revision = -1
        self.generation = -1


class DirectoryHistory:
    """The directories that one entry has received since the last gap in revisions.

    ``generation`` changes with every gap, because in a missed revision another entry
    may have been the owner and may have started the warm-up.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._directories: list[Directory] = []
        self._generation = 0

    def observe(self, directory: Directory) -> None:
        """Append a directory; a gap in the revisions clears the history first."""
        if self._directories:
            last = self._directories[-1]
            is_same = directory.entry_ids == last.entry_ids
            if directory.revision == last.revision and is_same:
                return
            if directory.revision != last.revision + 1:
                self._directories.clear()
                self._generation += 1
        self._directories.append(directory)
        if len(self._directories) > _MAX_DIRECTORIES:
            del self._directories[0]

    def update(self, ownership: Ownership, key: EndpointKey) -> bool:
        """Update an ownership to the latest directory; return whether it changed."""
        before = ownership.owned_since
        has_no_gap = ownership.generation == self._generation
        if not has_no_gap or self._directories[0].revision > ownership.revision + 1:
            ownership.owned_since = None
            ownership.revision = -1
        for directory in self._directories:
            if directory.revision <= ownership.revision:
                continue
            if warmup_owner(directory.entry_ids, key) != self._entry_id:
                ownership.owned_since = None
            elif ownership.owned_since is None:
                ownership.owned_since = directory.first_seen
        ownership.generation = self._generation
        ownership.revision = self._directories[-1].revision
        return ownership.owned_since != before
