"""What a caller is told when no whole response of a backend server came."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.errors import ErrorKind, RunState
from ..http.messages import Response, error_response


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer without a whole response of a backend server.

    ``run_state`` and ``retry_after_s`` replace those of the error table where more is
    known.
    """

    kind: ErrorKind
    run_state: RunState | None = None
    retry_after_s: int | None = None

    def response(self) -> Response:
        """Return what the caller is told."""
        state = self.run_state.value if self.run_state else None
        return error_response(
            self.kind, run_state=state, retry_after_s=self.retry_after_s
        )
