"""An entry's requests to confirm that its replicated state is current."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import curio

from ..core.clock import Clock
from ..core.confirmation import Confirmations
from ..observe.events import EventLog
from .feed import Feed

REQUEST_INTERVAL_SHARE = 0.6
"""The time between two requests as a share of the validity of a confirmation."""

FIRST_INTERVALS_MS = (100.0, 200.0, 400.0)
"""The first intervals while nothing is confirmed. They grow, so that entries without a
quorum don't load the replicas that are left."""


class ConfirmationRequests:
    """Asks one control replica after another until the state is confirmed.

    ``feeds`` returns the open feeds, the preferred one first. ``is_current`` returns
    whether the state held is known to be current.
    """

    def __init__(
        self,
        confirmations: Confirmations,
        feeds: Callable[[], list[Feed]],
        is_current: Callable[[], bool],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._confirmations = confirmations
        self._feeds = feeds
        self._is_current = is_current
        self._clock = clock
        self._log = log
        self._was_current = False
        self._n_unconfirmed = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._send_request()
            await curio.sleep(self._interval_ms() / 1000)
            self._update()

    async def _send_request(self) -> None:
        feeds = self._feeds()
        if not feeds:
            return
        feed = feeds[self._n_unconfirmed % len(feeds)]
        request_id = self._confirmations.begin(self._clock())
        # The task that reads the feed detects a broken connection.
        with contextlib.suppress(OSError, curio.TaskTimeout):
            await feed.send({"confirm": request_id})

    def _interval_ms(self) -> float:
        if self._was_current or self._n_unconfirmed >= len(FIRST_INTERVALS_MS):
            return REQUEST_INTERVAL_SHARE * self._confirmations.validity_ms
        return FIRST_INTERVALS_MS[self._n_unconfirmed]

    def _update(self) -> None:
        """Count requests without a response, and log a change."""
        is_current = self._is_current()
        if is_current:
            self._n_unconfirmed = 0
        elif self._feeds():
            self._n_unconfirmed += 1
        if is_current != self._was_current:
            self._was_current = is_current
            self._log.state("state_confirmed", current=is_current)
