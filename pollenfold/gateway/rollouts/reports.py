"""Reports of this entry on roll-outs to the control leader."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING, Any

import curio

from ...core.clock import Clock, Instant, add_ms
from ...core.rollouts.choice import is_testing
from ...core.rollouts.state import Rollout
from ...observe.error_text import error_text
from ...observe.events import EventLog
from ...observe.steps import run_step
from .outcomes import VersionOutcomes

if TYPE_CHECKING:
    from ..feed import Feed
    from ..feeds import Feeds
    from ..view import FleetView

REPORT_INTERVAL_MS = 200.0
CHECK_INTERVAL_MS = 20.0
"""How often it is checked, while a roll-out isn't final, whether a report is urgent."""

IDLE_INTERVAL_MS = 200.0
"""How often it is checked whether there is a roll-out that isn't final."""

INCARNATION_BITS = 48
"""The size of the random number by which control tells processes of an entry apart."""


class RolloutReporter:
    """Sends the control leader what this entry counted, and logs changes of stage.

    A report is sent at regular intervals, and at once to a new leader, after a change
    of stage, and when nothing is in flight any more at the version that ends.
    """

    def __init__(
        self,
        view: FleetView,
        outcomes: VersionOutcomes,
        feeds: Feeds,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._outcomes = outcomes
        self._feeds = feeds
        self._clock = clock
        self._log = log
        self._incarnation = rng.getrandbits(INCARNATION_BITS)
        self._stages: dict[str, Rollout] = {}
        self._next_report_at = Instant(0.0)
        self._last_leader: Feed | None = None
        self._last_progress: list[tuple[int, bool]] = []

    async def run(self) -> None:
        """Send reports until cancelled; no error ends this task."""
        while True:
            await run_step("report_rollouts", self._log_failure, self._check)
            is_active = any(not r.is_final for r in self._stages.values())
            pause_ms = CHECK_INTERVAL_MS if is_active else IDLE_INTERVAL_MS
            await curio.sleep(pause_ms / 1000)

    async def _check(self) -> None:
        self._log_stages()
        await self._send_if_due()

    def _log_failure(self, step: str, error: BaseException) -> None:
        self._log.state("task_failed", task=step, detail=error_text(error))

    def _log_stages(self) -> None:
        """Log each stage that came into force at this entry."""
        for service, rollout in self._view.replicated_state.rollouts.items():
            previous = self._stages.get(service)
            if rollout == previous:
                continue
            self._stages[service] = rollout
            self._log.state(
                "rollout_stage",
                service=service,
                target=rollout.target_version,
                stage=rollout.stage.value,
                before="none" if previous is None else previous.stage.value,
                share=f"{rollout.share:.3f}",
                order_index=rollout.order_index,
                stage_index=rollout.stage_index,
            )

    async def _send_if_due(self) -> None:
        progress = self._progress()
        if not progress:
            return
        leader = self._feeds.leader
        if leader is None:
            self._last_leader = None
            return
        is_urgent = leader is not self._last_leader or progress != self._last_progress
        now = self._clock()
        if now < self._next_report_at and not is_urgent:
            return
        self._last_leader, self._last_progress = leader, progress
        self._next_report_at = add_ms(now, REPORT_INTERVAL_MS)
        # The task that reads the feed detects a broken connection.
        with contextlib.suppress(OSError, curio.TaskTimeout):
            await leader.send({"rollouts": self.build_report()})

    def _progress(self) -> list[tuple[int, bool]]:
        """Return the stages, and whether nothing is in flight at what each one ends."""
        return [
            (rollout.stage_index, self._is_ending_idle(rollout))
            for rollout in self._view.replicated_state.rollouts.values()
            if not rollout.is_final
        ]

    def _is_ending_idle(self, rollout: Rollout) -> bool:
        """Return whether a version gets nothing and has nothing in flight.

        While both versions get requests, there is no such version.
        """
        if is_testing(rollout):
            return False
        n_old, n_target = self._n_in_flight(rollout)
        return not (n_old if rollout.is_towards_target else n_target)

    def _n_in_flight(self, rollout: Rollout) -> tuple[int, int]:
        return self._view.version_loads.n_in_flight(
            rollout.service, rollout.target_version
        )

    def build_report(self) -> list[Any]:
        """Return the value of the line, with all roll-outs that aren't final.

        Stage and numbers in flight are of the same moment: no task runs between.
        """
        return [
            self._incarnation,
            [
                [
                    rollout.service,
                    rollout.order_index,
                    rollout.stage_index,
                    *self._n_in_flight(rollout),
                    self._outcomes.tally(rollout).encode(),
                ]
                for rollout in self._view.replicated_state.rollouts.values()
                if not rollout.is_final
            ],
        ]
