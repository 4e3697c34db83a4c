"""Versions that appeared, but may be the target of an order that isn't known here."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet

from ...core.clock import Clock, Instant
from ...core.rollouts.state import Rollout
from ..endpoint import Endpoint
from .version_load import VersionKey

IsConfirmedSince = Callable[[Instant], bool]
"""Returns whether a majority confirmed the state in force at an instant or later."""


class NewVersions:
    """Holds endpoints of a new version back until the state is confirmed.

    Endpoints of a target version start after the order was acknowledged. So a state
    that was confirmed after such an endpoint appeared contains the order, and without
    one the endpoint is treated like the others. An entry that is cut off from control,
    or that was stopped for a while, may learn of the endpoints without the order; they
    would get a full share of its requests.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: set[VersionKey] = set()
        self._held: dict[VersionKey, Instant] = {}

    @property
    def is_holding(self) -> bool:
        """Whether endpoints of a version are held back."""
        return bool(self._held)

    def usable(
        self,
        by_service: dict[str, list[Endpoint]],
        present: AbstractSet[VersionKey],
        rollouts: Mapping[str, Rollout],
        is_confirmed_since: IsConfirmedSince,
    ) -> dict[str, list[Endpoint]]:
        """Return the endpoints of each service without those that are held back.

        ``present`` are the versions of all endpoints, usable or not. While a roll-out
        of a service isn't final, its stage decides instead. A service whose other
        endpoints are gone uses all that it has.
        """
        known_services = {service for service, _ in self._known}
        known = self._known & present
        if not self._held and known == present:
            self._known = known
            return by_service
        held: dict[VersionKey, Instant] = {}
        usable: dict[str, list[Endpoint]] = {}
        for service, endpoints in by_service.items():
            versions = {(service, e.announcement.version) for e in endpoints}
            new = versions - known
            rollout = rollouts.get(service)
            is_ordered = rollout is not None and not rollout.is_final
            if new and (service not in known_services or is_ordered or new == versions):
                new = set()
            for key in new:
                since = self._held.get(key, self._clock())
                if not is_confirmed_since(since):
                    held[key] = since
            known |= versions - held.keys()
            is_any_held = bool(new & held.keys())
            usable[service] = _without(endpoints, held) if is_any_held else endpoints
        self._held, self._known = held, known
        return usable


def _without(
    endpoints: list[Endpoint], held: Mapping[VersionKey, Instant]
) -> list[Endpoint]:
    """Return the endpoints without those of versions that are held back."""
    return [
        endpoint
        for endpoint in endpoints
        if (endpoint.announcement.service, endpoint.announcement.version) not in held
    ]
