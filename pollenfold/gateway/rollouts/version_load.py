"""The exchanges in flight at each version of a service."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from dataclasses import dataclass

VersionKey = tuple[str, str]
"""A service and one of its versions."""


@dataclass(slots=True)
class VersionLoad:
    """The exchanges of this entry in flight at one version of a service."""

    n_in_flight: int = 0


class VersionLoads:
    """The loads of all versions, which outlive the endpoints known here.

    They are counted without a roll-out as well: a request that was sent before the
    order may still be in flight when the roll-out ends.
    """

    def __init__(self) -> None:
        self._loads: dict[VersionKey, VersionLoad] = {}

    def get(self, service: str, version: str) -> VersionLoad:
        """Return the load of a version, which all of its endpoints share."""
        return self._loads.setdefault((service, version), VersionLoad())

    def n_in_flight(self, service: str, target_version: str) -> tuple[int, int]:
        """Return the exchanges in flight at all other versions, and at the target."""
        n_old = n_target = 0
        for (other_service, version), load in self._loads.items():
            if other_service != service:
                continue
            if version == target_version:
                n_target += load.n_in_flight
            else:
                n_old += load.n_in_flight
        return n_old, n_target

    def retain(self, known: AbstractSet[VersionKey]) -> None:
        """Drop the loads of versions without endpoints and without exchanges."""
        self._loads = {
            key: load
            for key, load in self._loads.items()
            if key in known or load.n_in_flight
        }
