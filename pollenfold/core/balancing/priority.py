"""Holds back lower priorities on a service while a higher one lacks capacity.

Admission alone favours requests with wide latency targets: they accept slower
endpoints, and so fill the queues until no endpoint is fast enough for the others.

Each search for an endpoint shows the load that requests of all priorities would have
found at that moment, so a few requests a second are enough to know how well each
priority is served.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from ..clock import Instant, add_ms
from .selection import ServerLoad

STEP_SHARES = (math.inf, 1.0, 0.75, 0.5, 0.0)
"""By step, the limit on the slowdown of lower priorities, as a share of the slowdown
that the higher priority accepts. In the last step only idle servers take them."""

LAST_STEP = len(STEP_SHARES) - 1

HOLD_MISS_SHARE = 0.1
"""A priority that misses this share of searches holds back the lower ones further."""

RELEASE_MISS_SHARE = 0.03
"""A priority that misses less than this share releases the lower ones by a step."""

MISS_WINDOW_MS = 2_000.0
"""The time constant with which earlier searches count less. An entry makes a few
searches in this time."""

MIN_SEARCHES = 2.0
"""With fewer recent searches, after their decay, no step is taken."""

HOLD_INTERVAL_MS = 250.0
RELEASE_INTERVAL_MS = 1_000.0
"""The times from one step to the next. The load follows a step within the duration of
a request, so a release needs more evidence than a hold."""

REFUSAL_MEMORY_MS = 15_000.0
"""How long after its last refusal a priority holds back others. An entry may see one
request of a rare priority in this time."""

N_KEPT_LIMITS = 8
"""How many of its last requests stand for what a priority accepts."""

MAX_PRIORITIES = 8
"""How many priorities of a service are kept; the one seen least recently is dropped."""

MIN_LIMIT = 1.0
"""A request that accepts less can't be in time on an idle server, so that its refusal
shows no lack of capacity."""


@dataclass(slots=True, eq=False)
class _PriorityState:
    """How well one priority is served, and how far it holds back the lower ones."""

    limits: deque[float] = field(default_factory=lambda: deque(maxlen=N_KEPT_LIMITS))
    """The slowdowns that its last requests accepted."""

    n_searches: float = 0.0
    n_missed: float = 0.0
    updated_at: Instant = Instant(0.0)
    seen_at: Instant = Instant(0.0)
    refused_at: Instant = Instant(-math.inf)
    step: int = 0
    stepped_at: Instant = Instant(-math.inf)

    def add_search(self, miss_share: float, now: Instant) -> None:
        """Count a search, which a share of the recent requests would have missed."""
        decay = math.exp(-max(0.0, now - self.updated_at) / MISS_WINDOW_MS)
        self.updated_at = now
        self.n_searches = self.n_searches * decay + 1.0
        self.n_missed = self.n_missed * decay + miss_share

    def update_step(self, now: Instant) -> None:
        """Hold back further or release, unless the last step was too recent."""
        if self.n_searches < MIN_SEARCHES:
            return
        miss_share = self.n_missed / self.n_searches
        is_refused = now < add_ms(self.refused_at, REFUSAL_MEMORY_MS)
        elapsed_ms = now - self.stepped_at
        if is_refused and miss_share >= HOLD_MISS_SHARE:
            if self.step < LAST_STEP and elapsed_ms >= HOLD_INTERVAL_MS:
                self.step, self.stepped_at = self.step + 1, now
        elif miss_share < RELEASE_MISS_SHARE or not is_refused:
            if self.step and elapsed_ms >= RELEASE_INTERVAL_MS:
                self.step, self.stepped_at = self.step - 1, now


class ServicePriorities:
    """The priorities of the requests of one entry for one service."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[int, _PriorityState] = {}

    def record_search(
        self, priority: int, limit: float, slowdown: float, now: Instant
    ) -> None:
        """Record the least slowdown that the search of a first attempt found.

        ``limit`` is the slowdown that the request accepts to be in time.
        """
        if limit >= MIN_LIMIT:
            state = self._state_of(priority, now)
            state.limits.append(limit)
            if slowdown > min(limit, self.limit(priority)):
                state.refused_at = now
        for other, state in self._states.items():
            cap = self.limit(other)
            n_missed = sum(slowdown > min(kept, cap) for kept in state.limits)
            state.add_search(n_missed / len(state.limits), now)
            state.update_step(now)

    def _state_of(self, priority: int, now: Instant) -> _PriorityState:
        state = self._states.get(priority)
        if state is None:
            if len(self._states) >= MAX_PRIORITIES:
                least_recent = min(
                    self._states, key=lambda key: self._states[key].seen_at
                )
                del self._states[least_recent]
            state = self._states[priority] = _PriorityState()
        state.seen_at = now
        return state

    def limit(self, priority: int) -> float:
        """Return the slowdown up to which higher priorities admit this one."""
        return min(
            (
                STEP_SHARES[state.step] * min(state.limits)
                for higher, state in self._states.items()
                if higher < priority and state.step
            ),
            default=math.inf,
        )

    def step(self, priority: int) -> int:
        """Return how far a priority is held back, from 0 for not at all."""
        states = self._states.items()
        return max((s.step for p, s in states if p < priority), default=0)

    def holds_back(self, priority: int, slowdown: float, load: ServerLoad) -> bool:
        """Return whether a request must leave the selected server to higher ones."""
        if load.n_running + load.n_waiting == 0:
            return False
        return slowdown > self.limit(priority)
