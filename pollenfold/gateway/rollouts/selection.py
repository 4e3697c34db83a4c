"""Chooses the version for each attempt, and the endpoints that may take it."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...core.errors import ErrorKind
from ...core.rollouts.choice import (
    is_testing,
    may_send,
    n_tested_endpoints,
    rank_endpoints,
    sides_to_try,
)
from ...core.rollouts.state import Rollout, RolloutStage
from ..endpoint import Endpoint
from ..pick import EndpointSubset, Pick
from .contact import ControlContact

if TYPE_CHECKING:
    from ..balancer import Balancer
    from ..view import FleetView

N_CANARY_CANDIDATES = 2
"""How many of the tested endpoints an attempt chooses from in the canary stage.

The balancer prefers its own zone. Among all tested endpoints, one that is alone in its
zone would get as many requests as several of another zone together; of two endpoints
drawn at random each gets half, seen over the zones."""

FALLBACK_KINDS = (ErrorKind.NO_BACKEND_SERVER, ErrorKind.QUEUE_FULL)
"""Reasons for which another side may take an attempt that the target doesn't."""

SelectAmong = Callable[[EndpointSubset | None], Awaitable[Pick | ErrorKind | None]]
"""Selects an endpoint of a subset, of the whole service with None. It returns None if
the stage changed meanwhile, so that the endpoint may not get the attempt."""


@dataclass(frozen=True, slots=True)
class _Sides:
    """The usable endpoints of a service by side; those of the target are ranked.

    ``replaced`` are the other versions that were there during the roll-out. The leader
    that completes it names those that it knows, and it may have just restarted.
    """

    source: object
    rollout: Rollout
    old: list[Endpoint]
    target: list[Endpoint]
    replaced: frozenset[str]


class VersionSelector:
    """Chooses versions for the attempts of one entry.

    A service without a roll-out costs one look-up for each attempt.
    """

    def __init__(
        self,
        view: FleetView,
        balancer: Balancer,
        contact: ControlContact,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._contact = contact
        self._rng = rng
        self._sides: dict[str, _Sides] = {}

    async def select(
        self, service: str, is_retry: bool, select_among: SelectAmong
    ) -> Pick | ErrorKind:
        """Return an endpoint for an attempt, or the reason why there is none.

        No other task runs between the last check of the stage and the return.
        """
        while True:
            result = await self._select_in_order(service, is_retry, select_among)
            if result is not None:
                return result

    async def _select_in_order(
        self, service: str, is_retry: bool, select_among: SelectAmong
    ) -> Pick | ErrorKind | None:
        """Try one side after the other; return None if the stage changed meanwhile."""
        rollout = self._rollout(service)
        if rollout is None:
            result = await select_among(None)
            is_changed = self._rollout(service) is not None
            return None if is_changed and result in FALLBACK_KINDS else result
        sides = sides_to_try(
            rollout, self._rng.random(), is_retry, self._contact.is_lost()
        )
        result = None
        for n_tried, is_target in enumerate(sides):
            subset = self._subset(rollout, is_target, is_search_repeated=n_tried > 0)
            result = await select_among(subset)
            if result is None or isinstance(result, Pick):
                return result
            if result not in FALLBACK_KINDS:
                return result
            if self._rollout(service) != rollout:
                return None
            if not self._may_fall_back(service, subset, result):
                return result
        return result

    def _rollout(self, service: str) -> Rollout | None:
        return self._view.replicated_state.rollouts.get(service)

    def _may_fall_back(
        self, service: str, subset: EndpointSubset, kind: ErrorKind
    ) -> bool:
        """Return whether the other side may take an attempt that this one doesn't.

        The target takes one from the old version, which only happens out of contact, if
        no endpoint of that responds; being busy isn't enough.
        """
        if subset.is_target:
            return True
        is_gone = not subset.endpoints or self._balancer.is_unreached(service)
        return is_gone and kind is ErrorKind.NO_BACKEND_SERVER

    def is_in_progress(self, service: str) -> bool:
        """Return whether a roll-out of the service hasn't ended."""
        rollout = self._rollout(service)
        return rollout is not None and not rollout.is_final

    def settled_subset(self, service: str) -> EndpointSubset | None:
        """Return the endpoints that may be used after a roll-out; None for all."""
        rollout = self._rollout(service)
        if rollout is None:
            return None
        return self._subset(rollout, rollout.share >= 1.0, is_search_repeated=False)

    def may_send(self, subset: EndpointSubset | None, endpoint: Endpoint) -> bool:
        """Return whether an attempt may still be sent to the endpoint chosen for it."""
        announcement = endpoint.announcement
        rollout = self._rollout(announcement.service)
        if rollout is None:
            return True
        chosen_by = None if subset is None else subset.rollout
        is_target = subset is not None and subset.is_target
        return may_send(rollout, announcement.version, chosen_by, is_target)

    def _subset(
        self, rollout: Rollout, is_target: bool, is_search_repeated: bool
    ) -> EndpointSubset:
        """Return the endpoints of a side for one attempt."""
        sides = self._update_sides(rollout)
        endpoints = sides.target if is_target else sides.old
        if is_target and is_testing(rollout):
            n_tested = n_tested_endpoints(
                len(endpoints), rollout.share, self._rng.random()
            )
            endpoints = endpoints[:n_tested]
            if rollout.stage is RolloutStage.CANARY:
                n_candidates = min(N_CANARY_CANDIDATES, n_tested)
                endpoints = self._rng.sample(endpoints, n_candidates)
        return EndpointSubset(rollout, is_target, endpoints, is_search_repeated)

    def _update_sides(self, rollout: Rollout) -> _Sides:
        """Return the endpoints by side; they change with endpoints and stages only."""
        service = rollout.service
        source = self._view.by_service.get(service)
        sides = self._sides.get(service)
        if sides is None or sides.source is not source or sides.rollout != rollout:
            replaced: frozenset[str] = frozenset()
            if sides is not None and sides.rollout.order_index == rollout.order_index:
                replaced = sides.replaced
            sides = self._sides[service] = _divide(rollout, source, replaced)
        return sides


def _divide(
    rollout: Rollout, source: list[Endpoint] | None, replaced: frozenset[str]
) -> _Sides:
    endpoints = source or []
    if not rollout.is_final:
        versions = {e.announcement.version for e in endpoints}
        replaced |= versions - {rollout.target_version}
    by_id = {e.announcement.endpoint_id: e for e in endpoints}
    target_ids = [
        endpoint_id
        for endpoint_id, endpoint in by_id.items()
        if rollout.uses(endpoint.announcement.version, True)
        and endpoint.announcement.version not in replaced
    ]
    ranked = rank_endpoints(target_ids, f"{rollout.service} {rollout.order_index}")
    return _Sides(
        source,
        rollout,
        [e for e in endpoints if rollout.uses(e.announcement.version, False)],
        [by_id[endpoint_id] for endpoint_id in ranked],
        replaced,
    )
