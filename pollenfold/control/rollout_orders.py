"""Commits orders to roll out a version, and reads the state of roll-outs.

``core/orders.py`` says how an order is protected against delayed copies of itself.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from ..core.clock import Clock
from ..core.errors import ErrorKind
from ..core.replicated_state import ReplicatedState, StartRollout
from ..core.rollouts.order_age import OrderAges
from ..core.rollouts.state import REPEAT_MS, Rollout
from ..observe.events import EventLog
from .cluster_state import ClusterState
from .orders import IsWaiting

KnowsService = Callable[[ReplicatedState, str], Awaitable[bool]]
"""Returns whether the configuration of a state has a service."""

TimeOfDay = Callable[[], int]
"""Returns the time in ms since 1970, which may jump."""


class RolloutOrders:
    """Submits orders of roll-outs on any replica."""

    def __init__(
        self,
        cluster_state: ClusterState,
        ages: OrderAges,
        clock: Clock,
        time_of_day: TimeOfDay,
        log: EventLog,
    ) -> None:
        self._cluster_state = cluster_state
        self._ages = ages
        self._clock = clock
        self._time_of_day = time_of_day
        self._log = log

    async def submit(
        self,
        order: StartRollout,
        knows_service: KnowsService,
        timeout_ms: float,
        is_waiting: IsWaiting,
    ) -> Result[int, ErrorKind]:
        """Commit an order while its sender waits; return its index.

        A repeated order gets the index of the first one. ``ROLLOUT_CONFLICT`` and
        ``UNKNOWN_SERVICE`` mean that it isn't committed.

        Of two copies that arrive at two replicas at once, the leader appends one. The
        other copy is superseded, starts over, and repeats the first one.
        """

        async def inspect() -> Result[int, ErrorKind] | None:
            state = self._cluster_state.replicated_state
            known = state.rollouts.get(order.service)
            if known is not None and self._is_repeated(known, order):
                self._log.state(
                    "rollout_order_repeated",
                    service=order.service,
                    target=order.target_version,
                    order_index=known.order_index,
                    stage=known.stage.value,
                )
                return Ok(known.order_index)
            if known is not None and not known.is_final:
                return Error(ErrorKind.ROLLOUT_CONFLICT)
            if not await knows_service(state, order.service):
                return Error(ErrorKind.UNKNOWN_SERVICE)
            return None

        return await self._cluster_state.orders.submit(
            order, timeout_ms, is_waiting, inspect
        )

    def _is_repeated(self, known: Rollout, order: StartRollout) -> bool:
        """Return whether an order is that of the newest roll-out again.

        The clocks of two replicas may differ, so the time since this process applied
        the order counts as well as its time of day.
        """
        if known.is_repeated_by(order.target_version, order.ordered_at_ms):
            return True
        if order.target_version != known.target_version:
            return False
        elapsed_ms = self._ages.elapsed_ms(known, self._clock(), self._time_of_day())
        return elapsed_ms <= REPEAT_MS

    async def find(
        self, service: str, timeout_ms: float
    ) -> Result[Rollout | None, ErrorKind]:
        """Return the newest roll-out of a service, or None if there was none.

        It includes every command that was acknowledged before the call.
        """
        confirmed = await self._cluster_state.confirm(timeout_ms)
        if confirmed.is_error():
            return Error(confirmed.error)
        return Ok(self._cluster_state.replicated_state.rollouts.get(service))
