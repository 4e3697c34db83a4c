"""Whether this entry would learn of a change of stage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.clock import Clock, add_ms

if TYPE_CHECKING:
    from ..feeds import Feeds
    from ..view import FleetView

DEFAULT_CONTACT_MS = 2_000.0
"""Control waits as long for the report of an entry that it lost contact with, before a
version may end."""


class ControlContact:
    """Knows whether this entry is in contact with control.

    It is if the feed of the leader is open, if a majority confirmed the state within
    ``contact_ms``, or if feeds of a majority of the replicas are open: at least one of
    these replicas would announce a change. Open feeds count only if a line was read
    within ``contact_ms`` and none announced a state that wasn't received: a process
    that was stopped for a while finds its feeds open, and stages may have changed.
    Without feeds it counts as connected.
    """

    def __init__(self, view: FleetView, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._contact_ms = DEFAULT_CONTACT_MS
        self._feeds: Feeds | None = None

    def connect(self, feeds: Feeds, contact_ms: float) -> None:
        """Use these feeds; a confirmation counts for ``contact_ms``."""
        self._feeds = feeds
        self._contact_ms = contact_ms

    def is_lost(self) -> bool:
        """Return whether stages may have changed without this entry's knowledge."""
        feeds, view = self._feeds, self._view
        if feeds is None:
            return False
        oldest = add_ms(self._clock(), -self._contact_ms)
        is_up_to_date = view.received_state.index >= view.announced_index
        if feeds.heard_at >= oldest and is_up_to_date:
            has_majority = 2 * feeds.n_connected > max(1, len(view.control_hosts))
            if feeds.leader is not None or has_majority:
                return False
        index = view.replicated_state.index
        return not view.confirmations.is_confirmed_since(index, oldest)
