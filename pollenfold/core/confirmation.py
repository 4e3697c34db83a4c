"""Whether the replicated state that an entry holds is known to be current.

A control replica may lack the last changes, for example because it is cut off from the
others. So an entry asks for a confirmation: a majority of the replicas then confirms
which index was the last when the entry asked.
"""

from __future__ import annotations

from collections import deque

from .clock import Instant, add_ms

VALIDITY_SHARE = 0.75
"""The validity of a confirmation as a share of the time within which an accepted
change must be in force everywhere. What was confirmed before that time must not deny
a route afterwards."""

DEFAULT_VALIDITY_MS = 1_500.0

MAX_CONFIRMATIONS = 16


class Confirmations:
    """The confirmations that an entry received, and the requests that are pending.

    Times are those of the entry's own clock when it sent the request: however long the
    response takes, changes accepted before the request are covered by it.

    For example, after ``request_id = confirmations.begin(now)`` and
    ``confirmations.record(request_id, 7)`` the state at index 7 is current until
    ``validity_ms`` after ``now``, and the one at index 6 isn't.
    """

    def __init__(self, validity_ms: float = DEFAULT_VALIDITY_MS) -> None:
        self.validity_ms = validity_ms
        self._next_id = 1
        self._pending: dict[int, Instant] = {}
        self._confirmed: deque[tuple[Instant, int]] = deque(maxlen=MAX_CONFIRMATIONS)

    def begin(self, now: Instant) -> int:
        """Return the id of a request that is sent now."""
        request_id = self._next_id
        self._next_id += 1
        self._pending[request_id] = now
        while len(self._pending) > MAX_CONFIRMATIONS:
            del self._pending[next(iter(self._pending))]
        return request_id

    def record(self, request_id: int, index: int) -> None:
        """Record the index that was confirmed; a late duplicate changes nothing."""
        requested_at = self._pending.pop(request_id, None)
        if requested_at is not None:
            self._confirmed.append((requested_at, index))

    def is_current(self, index: int, now: Instant) -> bool:
        """Return whether the state at ``index`` has all changes accepted until lately.

        A state that is newer than a valid confirmation is current as well.
        """
        return self.is_confirmed_since(index, add_ms(now, -self.validity_ms))

    def is_confirmed_since(self, index: int, oldest: Instant) -> bool:
        """Return whether the state at ``index`` had all changes at ``oldest`` or later.

        Only the last ``MAX_CONFIRMATIONS`` confirmations are known.
        """
        return any(
            requested_at >= oldest and confirmed_index <= index
            for requested_at, confirmed_index in self._confirmed
        )
