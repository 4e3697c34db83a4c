"""Fault table of the fake backend server, which selects the faults of each request."""

from __future__ import annotations

import random
from enum import Enum

from pydantic import BaseModel, ConfigDict, Field


class FaultKind(Enum):
    """Fault of a request, a response, a load report or the health check."""

    SLOW = "slow"
    """The service time is multiplied by ``factor`` and increased by ``delay_ms``."""

    FAIL_FAST = "fail_fast"
    """Responds 500 immediately; the request isn't executed."""

    SHED = "shed"
    """Responds 503 immediately, marked as not started."""

    HANG = "hang"
    """The request is executed and gets no response; the connection stays open."""

    CLOSE_BEFORE_RUN = "close_before_run"
    """The server closes the connection without executing the request."""

    CLOSE_AFTER_RUN = "close_after_run"
    """The server executes the request, then closes the connection; no response."""

    LATE_ANSWER = "late_answer"
    """The complete response is sent ``delay_ms`` after the execution ended."""

    TRUNCATED_ANSWER = "truncated_answer"
    """The connection is closed after half of the response body."""

    OVERLONG_ANSWER = "overlong_answer"
    """Surplus bytes follow the complete response."""

    DUPLICATED_ANSWER = "duplicated_answer"
    """The complete response is sent twice, the second time ``delay_ms`` later."""

    MISLEADING_LOAD = "misleading_load"
    """Load reports show ``value`` requests in flight and a warm server."""

    STALE_LOAD = "stale_load"
    """Load reports show the load of ``delay_ms`` ago."""

    UNHEALTHY = "unhealthy"
    """The health check responds 503 although requests are accepted."""


class Action(Enum):
    """Change of the server's own state."""

    TURN_COLD = "turn_cold"
    DRAIN = "drain"
    SERVE = "serve"
    """Serve again after a drain, cold and with a higher incarnation."""


class FaultRule(BaseModel):
    """One rule of the fault table.

    ``share`` is the fraction of matching requests that get the fault, ``n_requests``
    the maximum number of such requests (None for no limit).
    """

    model_config = ConfigDict(extra="forbid")

    kind: FaultKind
    share: float = Field(default=1.0, ge=0, le=1)
    n_requests: int | None = Field(default=None, ge=0)
    path_prefix: str = "/"
    delay_ms: float = Field(default=0.0, ge=0)
    factor: float = Field(default=1.0, gt=0)
    value: int = Field(default=0, ge=0)


class FaultUpdate(BaseModel):
    """Body of ``POST /stand-in/faults``: a new fault table, actions, or both."""

    model_config = ConfigDict(extra="forbid")

    seed: int = 1
    faults: list[FaultRule] | None = None
    actions: list[Action] = Field(default_factory=list)


class FaultTable:
    """Selects the faults of each request from the rules and a seed.

    Each rule has its own random generator, so the n-th matching request gets the same
    faults in every test run with the same seed.
    """

    def __init__(self, rules: list[FaultRule], seed: int) -> None:
        self._rows = [
            (rule, random.Random(f"{seed}:{index}:{rule.kind.value}"))
            for index, rule in enumerate(rules)
        ]
        self._n_left = [rule.n_requests for rule in rules]
        self._rules_by_kind = {rule.kind: rule for rule in rules}

    def faults_of_next_request(self, path: str) -> dict[FaultKind, FaultRule]:
        """Return the faults of the next request with this path."""
        selected = {}
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
            selected[rule.kind] = rule
        return selected

    def report_rule(self, kind: FaultKind) -> FaultRule | None:
        """Return the rule of a kind that affects reports instead of single requests."""
        return self._rules_by_kind.get(kind)
