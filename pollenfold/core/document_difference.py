"""Differences between two versions of a document, as runs to copy and to insert.

The document is opaque text. It is split at closing braces, so that a change of one
object of a JSON text replaces one short piece. The cost is linear in the lengths; it is
small where long parts are equal and in the same order.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

Operation = str | list[int]
"""Text to insert, or a run of the base to copy: how many characters it starts behind
the end of the previous run (negative if before it), and its length.

Changes that recur at regular distances give equal operations, which compress well."""

MAX_PIECE_CHARS = 4_096
"""Text without braces is split at this length, which bounds the cost of a piece."""

MIN_RUN_CHARS = 64
"""Shorter runs are inserted: a run costs more bytes than text that recurs, once the
operations are compressed."""

MAX_CHANGED_PIECES = 4_000
"""With more of them the whole target is inserted. That bounds the time of both sides,
some 25 us for each piece, and a compressed document isn't much larger then."""

_FIRST_COMPARED_CHARS = 64
_NOT_UNIQUE = -1


class _Run(NamedTuple):
    """Equal text in the base and the target."""

    base_start: int
    start: int
    length: int

    @property
    def base_end(self) -> int:
        return self.base_start + self.length

    @property
    def end(self) -> int:
        return self.start + self.length


def document_digest(document: str) -> str:
    """Return a digest of a document, as hexadecimal text."""
    data = document.encode("utf-8", "surrogatepass")
    return str(xxhash.xxh3_128_hexdigest(data))


def difference(base: str, target: str) -> list[Operation]:
    """Return the operations that make the target from the base.

    For example, ``[[0, 100], "new", [3, 200]]`` replaces three characters.
    """
    pieces = _runs(base, target) if base else None
    if pieces is None:
        return [target]
    runs = _extended_runs(base, target, pieces)
    operations: list[Operation] = []
    end = base_end = 0
    for run in runs:
        if run.length < MIN_RUN_CHARS:
            continue
        if end < run.start:
            operations.append(target[end : run.start])
        operations.append([run.base_start - base_end, run.length])
        end, base_end = run.end, run.base_end
    if end < len(target):
        operations.append(target[end:])
    return operations


def _runs(base: str, target: str) -> list[_Run] | None:
    """Return runs of whole pieces of the target that the base has too.

    Return None if too many pieces were changed.
    """
    runs: list[_Run] = []
    search = _Search(base)
    position = n_changed = 0
    while position < len(target):
        piece = target[position : _piece_end(target, position)]
        base_start = search.find(piece)
        if base_start is None:
            position += len(piece)
            n_changed += 1
            if n_changed > MAX_CHANGED_PIECES:
                return None
            continue
        end = position + _common_length(base, base_start, target, position)
        if end < len(target):
            # The rest must be whole pieces, or it wouldn't be found.
            end = max(target.rfind("}", position, end) + 1, position + len(piece))
        run = _Run(base_start, position, end - position)
        search.move_to(run.base_end)
        runs.append(run)
        position = end
    return runs


def _extended_runs(base: str, target: str, runs: list[_Run]) -> list[_Run]:
    """Return the runs extended into the pieces between them as far as text is equal."""
    extended: list[_Run] = []
    previous = _Run(0, 0, 0)
    for base_start, start, length in [*runs, _Run(len(base), len(target), 0)]:
        gap = start - previous.end
        n_more = _common_length(base, previous.base_end, target, previous.end, gap)
        extended.append(previous._replace(length=previous.length + n_more))
        gap -= n_more
        n_more = _common_length_before(base, base_start, target, start, gap)
        previous = _Run(base_start - n_more, start - n_more, length + n_more)
    return [*extended, previous]


def _piece_end(text: str, start: int) -> int:
    """Return the end of the piece that starts at a position."""
    limit = min(start + MAX_PIECE_CHARS, len(text))
    brace = text.find("}", start, limit)
    return limit if brace < 0 else brace + 1


class _Search:
    """Finds the pieces of the target in the base."""

    def __init__(self, base: str) -> None:
        self._base = base
        self._cursor = 0
        """The end of the last copy."""

        self._replaced_end = 0
        """As many pieces behind the cursor as were not found since the last copy."""

        self._unique = _unique_positions(base)

    def move_to(self, end: int) -> None:
        """Continue after a copy that ends there."""
        self._cursor = self._replaced_end = end

    def find(self, piece: str) -> int | None:
        """Return where the base has a piece, or None.

        The end of the last copy comes first, then the only place of the piece, then
        the position behind as many pieces as were not found since. A piece that occurs
        elsewhere several times isn't found, since a copy of it would lead away from
        what follows.
        """
        if self._base.startswith(piece, self._cursor):
            return self._cursor
        position = self._unique.get(piece.removesuffix("}"), _NOT_UNIQUE)
        if position != _NOT_UNIQUE and self._base.startswith(piece, position):
            return position
        if self._base.startswith(piece, self._replaced_end):
            return self._replaced_end
        if self._replaced_end < len(self._base):
            self._replaced_end = _piece_end(self._base, self._replaced_end)
        return None


def _unique_positions(text: str) -> dict[str, int]:
    """Return where each piece of the text is, or _NOT_UNIQUE if there are several.

    The keys are the pieces without their closing braces.
    """
    positions: dict[str, int] = {}
    start = 0
    for piece in text.split("}"):
        key = piece[:MAX_PIECE_CHARS]
        positions[key] = _NOT_UNIQUE if key in positions else start
        start += len(piece) + 1
    return positions


def _common_length(
    base: str, base_start: int, target: str, start: int, limit: int | None = None
) -> int:
    """Return how many characters from the two positions on are equal."""
    longest = min(len(base) - base_start, len(target) - start)
    if limit is not None:
        longest = min(longest, limit)
    length, step = 0, _FIRST_COMPARED_CHARS
    is_growing = True
    while step:
        end = length + step
        if (
            end <= longest
            and base[base_start + length : base_start + end]
            == target[start + length : start + end]
        ):
            length = end
        else:
            is_growing = False
        step = step * 2 if is_growing else step // 2
    return length


def _common_length_before(
    base: str, base_end: int, target: str, end: int, limit: int
) -> int:
    """Return how many characters before the two positions are equal."""
    longest = min(base_end, end, limit)
    length = 0
    while length < longest and base[base_end - length - 1] == target[end - length - 1]:
        length += 1
    return length


def apply_difference(base: str, operations: Iterable[object], max_chars: int) -> str:
    """Return the target.

    Raise ValueError if an operation is malformed or the target longer than allowed.
    """
    parts: list[str] = []
    n_chars = base_end = 0
    for operation in operations:
        if isinstance(operation, str):
            part = operation
        else:
            skip, length = _decode_run(operation)
            start, base_end = base_end + skip, base_end + skip + length
            if not 0 <= start <= base_end <= len(base):
                raise ValueError(f"run {start}:{base_end} of {len(base)} characters")
            part = base[start:base_end]
        parts.append(part)
        n_chars += len(part)
        if n_chars > max_chars:
            raise ValueError(f"expected a target of at most {max_chars} characters")
    return "".join(parts)


def _decode_run(operation: object) -> tuple[int, int]:
    if isinstance(operation, list) and len(operation) == 2:
        skip, length = operation
        if isinstance(skip, int) and isinstance(length, int):
            return skip, length
    raise ValueError(f"expected a text or a run, got a {type(operation).__name__}")
