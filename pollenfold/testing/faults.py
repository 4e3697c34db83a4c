"""The fault table of the fake backend server: which request meets which fault."""

from __future__ import annotations

import random
from enum import Enum

from pydantic import BaseModel, ConfigDict, Field


class FaultKind(Enum):
    """What goes wrong with a request, an answer or a load report."""

    SLOW = "slow"
    """The work takes ``factor`` times as long, and ``delay_ms`` more."""

    FAIL_FAST = "fail_fast"
    """500 at once; the request does not run."""

    SHED = "shed"
    """503 at once, marked as not started."""

    HANG = "hang"
    """The request runs and no answer comes while the connection is open."""

    CLOSE_BEFORE_RUN = "close_before_run"
    """The connection closes under the request, which does not run."""

    CLOSE_AFTER_RUN = "close_after_run"
    """The request runs, then the connection closes without an answer."""

    LATE_ANSWER = "late_answer"
    """The whole answer is written ``delay_ms`` after the work ended."""

    TRUNCATED_ANSWER = "truncated_answer"
    """The connection closes after half of the body."""

    OVERLONG_ANSWER = "overlong_answer"
    """Surplus bytes follow the whole answer."""

    DUPLICATED_ANSWER = "duplicated_answer"
    """The whole answer is written twice, the second ``delay_ms`` later."""

    MISLEADING_LOAD = "misleading_load"
    """Load reports state ``value`` requests in flight and a warm server."""

    STALE_LOAD = "stale_load"
    """Load reports state the load of ``delay_ms`` ago."""

    UNHEALTHY = "unhealthy"
    """The health check answers 503 although work is accepted."""


class Action(Enum):
    """A change of the server's own state."""

    TURN_COLD = "turn_cold"
    DRAIN = "drain"
    SERVE = "serve"
    """Serve again after a drain, cold and with a higher incarnation."""


class FaultRule(BaseModel):
    """One row of the fault table.

    ``share`` is the share of matching requests that meet the fault, ``n_requests``
    the greatest number that do (None for no limit).
    """

    model_config = ConfigDict(extra="forbid")

    kind: FaultKind
    share: float = Field(default=1.0, ge=0, le=1)
    n_requests: int | None = Field(default=None, ge=0)
    path_prefix: str = "/"
    delay_ms: float = Field(default=0.0, ge=0)
    factor: float = Field(default=1.0, gt=0)
    value: int = Field(default=0, ge=0)


class FaultOrder(BaseModel):
    """Body of ``POST /stand-in/faults``: a new table, actions, or both."""

    model_config = ConfigDict(extra="forbid")

    seed: int = 1
    faults: list[FaultRule] | None = None
    actions: list[Action] = Field(default_factory=list)


class FaultTable:
    """Decides by rule and seed which faults a request meets.

    Each rule draws from its own generator, so the n-th matching request meets the
    same faults in every run with the same seed.
    """

    def __init__(self, rules: list[FaultRule], seed: int) -> None:
        self._rows = [
            (rule, random.Random(f"{seed}:{index}:{rule.kind.value}"))
            for index, rule in enumerate(rules)
        ]
        self._n_left = [rule.n_requests for rule in rules]
        self._standing = {rule.kind: rule for rule in rules}

    def pick(self, path: str) -> dict[FaultKind, FaultRule]:
        """Return the faults that the next request with this path meets."""
        met = {}
        for index, (rule, rng) in enumerate(self._rows):
            if not path.startswith(rule.path_prefix):
                continue
            if rng.random() >= rule.share:
                continue
            n_left = self._n_left[index]
            if n_left is not None:
                if n_left == 0:
                    continue
                self._n_left[index] = n_left - 1
            met[rule.kind] = rule
        return met

    def standing(self, kind: FaultKind) -> FaultRule | None:
        """Return the rule of a kind that concerns reports, not single requests."""
        return self._standing.get(kind)
