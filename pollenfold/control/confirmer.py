"""Confirms to the entries of one control replica which state is the newest."""

from __future__ import annotations

from collections.abc import Callable

import curio

from ..observe.events import EventLog
from .cluster_state import ClusterState

CONFIRM_TIMEOUT_MS = 600.0
MIN_ROUND_INTERVAL_MS = 50.0
"""The least time between the starts of two rounds, so that entries that start together
share a few of them."""

Respond = Callable[[int, int], None]
"""Sends a subscriber the id of its request and the confirmed index."""


class Confirmer:
    """Answers requests for a confirmation, all that wait with one round.

    Each round asks a majority of the replicas once, however many entries wait. Without
    a majority nothing is answered; entries repeat their request.
    """

    def __init__(self, cluster_state: ClusterState, log: EventLog) -> None:
        self._cluster_state = cluster_state
        self._log = log
        self._waiting: dict[str, tuple[int, Respond]] = {}
        self._has_waiting = curio.Event()
        self._has_failed = False
        self.n_rounds = 0

    async def request(self, subscriber: str, request_id: int, respond: Respond) -> None:
        """Queue a request; it replaces an earlier one of the same subscriber."""
        self._waiting[subscriber] = (request_id, respond)
        await self._has_waiting.set()

    async def run(self) -> None:
        """Answer the requests until cancelled."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            waiting, self._waiting = self._waiting, {}
            self.n_rounds += 1
            result = await self._cluster_state.confirm(CONFIRM_TIMEOUT_MS)
            if result.is_error() != self._has_failed:
                self._has_failed = result.is_error()
                detail = result.error.value if result.is_error() else "none"
                self._log.state("confirmation", ok=result.is_ok(), reason=detail)
            if result.is_ok():
                for request_id, respond in waiting.values():
                    respond(request_id, result.ok)
            await curio.sleep(MIN_ROUND_INTERVAL_MS / 1000)
