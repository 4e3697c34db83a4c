"""The last documents of a control replica, and the differences between them."""

from __future__ import annotations

import sys
from typing import Any

from ..wire.document_transfer import encode_transfer

MAX_HISTORY_BYTES = 8 << 20
"""Older documents are dropped beyond this size in memory."""


class DocumentHistory:
    """Keeps documents by version and encodes each transfer once for all subscribers.

    The history is empty after a restart, and a version may be missing after a snapshot
    was restored; subscribers that hold such a version get the whole document.
    """

    def __init__(self) -> None:
        self._documents: dict[int, str] = {}
        self._current = 0
        self._transfers: dict[int, dict[str, Any]] = {}
        """Transfers of the current document, by the version of the base."""

    def record(self, version: int, document: str) -> None:
        """Record the current document."""
        if version == self._current and self._documents.get(version) == document:
            return
        self._current = version
        self._documents.pop(version, None)
        self._documents[version] = document
        self._transfers = {}
        while len(self._documents) > 1 and self._n_bytes() > MAX_HISTORY_BYTES:
            del self._documents[next(iter(self._documents))]

    def _n_bytes(self) -> int:
        return sum(sys.getsizeof(document) for document in self._documents.values())

    def transfer(self, held_version: int) -> dict[str, Any]:
        """Return the current document for a subscriber that holds a version.

        The whole document is sent if the version isn't known.
        """
        if held_version not in self._documents:
            held_version = 0
        transfer = self._transfers.get(held_version)
        if transfer is None:
            base = self._documents[held_version] if held_version else ""
            target = self._documents.get(self._current, "")
            transfer = encode_transfer(held_version, base, target)
            self._transfers[held_version] = transfer
        return transfer
