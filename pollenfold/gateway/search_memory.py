"""What the last searches for endpoints found, by service or version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .pick import EndpointSubset
from .probes import ServiceProbeState

if TYPE_CHECKING:
    from .view import FleetView


class SearchMemory:
    """The probe state of each service, and of both versions during a roll-out.

    The load of one version says nothing about the other. The state of the version that
    was searched last is that of the service.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._by_service: dict[str, ServiceProbeState] = {}
        self._by_version: dict[tuple[str, int, bool], ServiceProbeState] = {}

    def get(
        self, service: str, subset: EndpointSubset | None = None
    ) -> ServiceProbeState:
        """Return the state of a service, or of the version of a subset."""
        if subset is None:
            return self._by_service.setdefault(service, ServiceProbeState())
        state = self._by_version.setdefault(subset.probe_key, ServiceProbeState())
        self._by_service[service] = state
        return state

    def is_unreached(self, service: str) -> bool:
        """Return whether no endpoint responded that the last search contacted."""
        state = self._by_service.get(service)
        return state is not None and state.is_unreached

    def forget_ended(self) -> None:
        """Drop the states of versions of earlier roll-outs."""
        rollouts = self._view.replicated_state.rollouts
        current = {(k, rollout.order_index) for k, rollout in rollouts.items()}
        self._by_version = {
            k: v for k, v in self._by_version.items() if k[:2] in current
        }
