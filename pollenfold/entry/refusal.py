"""Error responses for requests without a complete backend server response."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.errors import ErrorKind, RunState
from ..http.messages import Response, error_response


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final result of a request without a complete backend server response.

    ``run_state`` and ``retry_after_s`` override the defaults of the error table if the
    values for this request are known.
    """

    kind: ErrorKind
    run_state: RunState | None = None
    retry_after_s: int | None = None

    def response(self) -> Response:
        """Return the error response for the caller."""
        state = self.run_state.value if self.run_state else None
        return error_response(
            self.kind, run_state=state, retry_after_s=self.retry_after_s
        )
