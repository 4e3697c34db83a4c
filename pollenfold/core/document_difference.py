"""Differences between two versions of a document, as runs to copy and to insert.

The document is opaque text. It is split at closing braces, so that a change of one
object of a JSON text replaces one short piece. The cost is linear in the lengths; it is
small where long parts are equal and in the same order.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

Operation = str | list[int]
"""Text to insert, or the start and the end of a run of the base to copy."""

MAX_PIECE_CHARS = 4_096
"""Text without braces is split at this length, which bounds the cost of a piece."""

_FIRST_COMPARED_CHARS = 64
_NOT_UNIQUE = -1


def document_digest(document: str) -> str:
    """Return a digest of a document, as hexadecimal text."""
    data = document.encode("utf-8", "surrogatepass")
    return str(xxhash.xxh3_128_hexdigest(data))


def difference(base: str, target: str) -> list[Operation]:
    """Return the operations that make the target from the base.

    For example, ``[[0, 40], "new", [43, 90]]`` replaces three characters.
    """
    if not base:
        return [target]
    operations: list[Operation] = []
    search = _Search(base)
    position = inserted_from = 0
    while position < len(target):
        piece = target[position : _piece_end(target, position)]
        start = search.find(piece)
        if start is None:
            position += len(piece)
            continue
        if inserted_from < position:
            operations.append(target[inserted_from:position])
        length = _common_length(base, start, target, position)
        end = position + length
        if end < len(target):
            # The rest must be whole pieces, or it wouldn't be found.
            end = max(target.rfind("}", position, end) + 1, position + len(piece))
        operations.append([start, start + end - position])
        search.move_to(start + end - position)
        position = inserted_from = end
    if inserted_from < position:
        operations.append(target[inserted_from:position])
    return operations


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


def _common_length(base: str, start: int, target: str, position: int) -> int:
    """Return how many characters from the two positions on are equal."""
    limit = min(len(base) - start, len(target) - position)

    def is_equal(begin: int, end: int) -> bool:
        of_base = base[start + begin : start + end]
        return end <= limit and of_base == target[position + begin : position + end]

    length, step = 0, _FIRST_COMPARED_CHARS
    while is_equal(length, length + step):
        length += step
        step *= 2
    while step := step // 2:
        if is_equal(length, length + step):
            length += step
    return length


def apply_difference(base: str, operations: Iterable[object], max_chars: int) -> str:
    """Return the target.

    Raise ValueError if an operation is malformed or the target longer than allowed.
    """
    parts: list[str] = []
    n_chars = 0
    for operation in operations:
        match operation:
            case str(text):
                parts.append(text)
            case [int(start), int(end)] if 0 <= start <= end <= len(base):
                parts.append(base[start:end])
            case _:
                raise ValueError(f"expected a text or a run, got {operation!r:.60}")
        n_chars += len(parts[-1])
        if n_chars > max_chars:
            raise ValueError(f"expected a target of at most {max_chars} characters")
    return "".join(parts)
