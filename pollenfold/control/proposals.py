"""The commands that a leader has appended and whose results are awaited."""

from __future__ import annotations

import curio
from expression import Error, Ok, Result

from ..core.errors import ErrorKind


class Proposal:
    """A command that waits to be applied; its result is set exactly once."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.result: Result[int, ErrorKind] | None = None
        self.event = curio.Event()


class Proposals:
    """The proposals of one replica by the index of their entry.

    Results are set by code that can't wake the waiting tasks, so ``wake`` does it
    later.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Proposal] = {}
        self._resolved: list[Proposal] = []

    def add(self, index: int, term: int) -> Proposal:
        """Return a new proposal for the entry at an index."""
        proposal = self._waiting[index] = Proposal(term)
        return proposal

    def discard(self, proposal: Proposal) -> None:
        """Forget a proposal that nobody waits for any more."""
        self._waiting = {k: v for k, v in self._waiting.items() if v is not proposal}

    def resolve_applied(self, index: int, term: int) -> None:
        """Set the result for an index whose entry, of a term, was applied."""
        proposal = self._waiting.get(index)
        if proposal is not None:
            is_same = proposal.term == term
            self._resolve(index, Ok(index) if is_same else Error(ErrorKind.NOT_LEADER))

    def fail_all(self, kind: ErrorKind) -> None:
        """Set an error as the result of all proposals."""
        for index in list(self._waiting):
            self._resolve(index, Error(kind))

    def _resolve(self, index: int, result: Result[int, ErrorKind]) -> None:
        proposal = self._waiting.pop(index)
        proposal.result = result
        self._resolved.append(proposal)

    async def wake(self) -> None:
        """Wake the tasks whose results were set."""
        resolved, self._resolved = self._resolved, []
        for proposal in resolved:
            await proposal.event.set()
