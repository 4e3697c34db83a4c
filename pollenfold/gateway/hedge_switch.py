"""Sends requests with hedges if the settings permit any, and otherwise without.

An entry whose settings permit no hedges loads no module for them and starts no task.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import TYPE_CHECKING

from ..core.errors import ErrorKind
from ..core.outcomes import AttemptOutcome
from ..http.messages import Response
from .calls import Call
from .endpoint_attempts import EndpointAttempts
from .pick import Pick

if TYPE_CHECKING:
    from .hedges import Hedges


def no_hedges() -> float:
    """Return the ratio of an entry that sends no hedges."""
    return 0.0


class HedgeSwitch:
    """Sends requests to endpoints, with hedges while their ratio is above 0.

    ``ratio`` returns the ratio of the settings in force, which a reload may change.
    ``load`` loads the module of the hedges and returns them.
    """

    def __init__(
        self,
        ratio: Callable[[], float],
        attempts: EndpointAttempts,
        load: Callable[[], Hedges],
    ) -> None:
        self._ratio = ratio
        self._attempts = attempts
        self._load = load
        self._hedges: Hedges | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether the module of the hedges was needed."""
        return self._hedges is not None

    async def send(
        self, call: Call, pick: Pick
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request to one endpoint, and to a second one if it is slow."""
        ratio = self._ratio()
        if not ratio:
            return await self._attempts.send(call, pick)
        return await self._get().send(call, pick, ratio)

    def count_request(self, service: str) -> None:
        """Count one request of a caller for a service."""
        ratio = self._ratio()
        if ratio:
            self._get().count_request(service, ratio)

    def record_refusal(self, service: str, kind: ErrorKind) -> None:
        """Record that a request was refused before it was sent."""
        if self._hedges is not None and kind is ErrorKind.QUEUE_FULL:
            self._hedges.record_refusal(service)

    def retain(self, services: Container[str]) -> None:
        """Drop the state of services that the configuration lacks."""
        if self._hedges is not None:
            self._hedges.retain(services)

    def _get(self) -> Hedges:
        if self._hedges is None:
            self._hedges = self._load()
        return self._hedges
