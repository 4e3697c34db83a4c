"""Responses to subscribers that request the replicated state."""

from __future__ import annotations

from typing import Any

from ..core.input_limits import is_whole_number
from ..core.replicated_state import ReplicatedState
from .document_history import DocumentHistory

REQUEST_TRANSFER = "transfer"
"""The field of a request by which a subscriber says that it understands transfers."""


class StateResponses:
    """Builds the responses of one replica.

    ``record`` must be called after each change of the replicated state.
    """

    def __init__(self) -> None:
        self._history = DocumentHistory()

    def record(self, state: ReplicatedState) -> None:
        """Record the document of a state, as a base of later differences."""
        self._history.record(state.version, state.document)

    def encode(self, state: ReplicatedState, request: dict[str, Any]) -> dict[str, Any]:
        """Return the state without the parts that the subscriber already has.

        Subscribers of earlier versions get the whole document.
        """
        index, version = (
            request[name] if is_whole_number(request.get(name)) else 0
            for name in ("index", "version")
        )
        fields = state.encode_since(index, version) if index else state.encode()
        if "document" in fields and REQUEST_TRANSFER in request:
            self.record(state)
            del fields["document"]
            fields["transfer"] = self._history.transfer(version)
        return fields
