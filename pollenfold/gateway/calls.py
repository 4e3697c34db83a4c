"""The state of a request on its way through an entry, and of routes."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core.clock import Instant, add_ms
from ..core.outcomes import AttemptOutcome
from ..core.overload import CallerAge, WorkEstimate
from ..core.routes import Route, RoutingConfiguration, WeightedSplit
from ..http.messages import HOP_HEADERS, Headers, Request, Response
from .dialect import Dialect

DEFAULT_TIMEOUT_MS = 60_000.0
"""Applies to a request without a deadline on a route without a timeout."""

MAX_DEADLINE_DIGITS = 9

CHECKS_PER_REQUEST = 32
"""How many routes with state are compared with a new configuration per request."""

NOT_EXECUTED_OUTCOMES = frozenset(
    (AttemptOutcome.NOT_STARTED, AttemptOutcome.UNREACHABLE)
)
"""Outcomes after which the endpoint certainly didn't execute the request."""


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request, as it is logged."""

    endpoint_id: str
    slowdown: float
    outcome: AttemptOutcome
    elapsed_ms: float


@dataclass(slots=True, eq=False)
class Call:
    """One request in progress, with the decisions made for it so far."""

    request: Request
    request_id: bytes
    route: Route
    service: str
    started_at: Instant
    deadline: Instant
    target_at: Instant
    age_ms: float
    work_estimate: WorkEstimate
    headers: Headers
    tried_endpoint_ids: set[str] = field(default_factory=set)
    attempts: list[Attempt] = field(default_factory=list)
    decision_trace: list[str] = field(default_factory=list)
    last_response: Response | None = None
    may_have_executed: bool = False
    """Whether an endpoint may have executed the request, in any attempt so far."""

    sent_at: Instant = Instant(0.0)
    """When the last attempt finished sending the request."""

    backoff_ms: float | None = None
    """The time until the first endpoint may get a request, if all back off or are at
    the limit that they declared."""

    is_body_streamed: bool = False
    """Whether the rest of a long body was read, to be forwarded: the request can't be
    sent again, since that part isn't kept in memory."""

    digest: str = ""
    """Identifies the same request in other attempts of callers; computed only once an
    attempt was lost."""

    def may_have_executed_before(self) -> bool:
        """Return whether an earlier attempt may have executed the request.

        Unlike ``may_have_executed`` this leaves out the attempt in progress, which
        isn't in ``attempts`` yet.
        """
        return any(
            attempt.outcome not in NOT_EXECUTED_OUTCOMES for attempt in self.attempts
        )

    def describe_attempts(self) -> str:
        """Return the attempts as text, for example ``i-1:responded:1.60:84ms``."""
        return ";".join(
            f"{a.endpoint_id}:{a.outcome.value}:{a.slowdown:.2f}:{a.elapsed_ms:.0f}ms"
            for a in self.attempts
        )


class CallFactory:
    """Creates the calls of an entry and holds its statistics of routes.

    The state of routes that are no longer in the configuration is dropped, so that the
    memory of an entry doesn't grow with each change.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._version = 0
        self._unchecked_names: list[str] = []
        self._split = WeightedSplit()
        self._caller_ages: dict[str, CallerAge] = {}
        self._work_estimates: dict[str, WorkEstimate] = {}
        self._dropped_headers = frozenset(
            (*HOP_HEADERS, dialect.deadline_ms, dialect.expected_instance)
        )

    def create_call(
        self, request: Request, request_id: bytes, route: Route, started_at: Instant
    ) -> Call | None:
        """Return the call of a request, or None if its deadline is malformed."""
        value = request.header(self._dialect.deadline_ms)
        if value is not None and not _is_decimal(value):
            return None
        limits_ms = [] if route.timeout_ms is None else [route.timeout_ms]
        age_ms = 0.0
        if value is not None:
            limits_ms.append(float(value))
            age = self._caller_ages.setdefault(route.name, CallerAge())
            age_ms = age.observe(float(value), started_at)
        service = self._split.next_service(route)
        return Call(
            request=request,
            request_id=request_id,
            route=route,
            service=service,
            started_at=started_at,
            deadline=add_ms(started_at, min(limits_ms, default=DEFAULT_TIMEOUT_MS)),
            target_at=add_ms(started_at, route.target_latency_ms - age_ms),
            age_ms=age_ms,
            work_estimate=self._work_estimate(route),
            headers=[h for h in request.headers if h[0] not in self._dropped_headers],
        )

    def _work_estimate(self, route: Route) -> WorkEstimate:
        estimate = self._work_estimates.get(route.name)
        if estimate is None:
            estimate = self._work_estimates[route.name] = WorkEstimate(
                route.target_latency_ms
            )
        return estimate

    def retain(self, configuration: RoutingConfiguration) -> None:
        """Drop the state of routes that a new configuration lacks.

        Each call checks a few routes, since a request waits for it.
        """
        if configuration.version != self._version:
            self._version = configuration.version
            self._unchecked_names = [
                *self._split.route_names(),
                *self._caller_ages,
                *self._work_estimates,
            ]
        for _ in range(min(CHECKS_PER_REQUEST, len(self._unchecked_names))):
            name = self._unchecked_names.pop()
            if name not in configuration.route_names:
                self._split.discard(name)
                self._caller_ages.pop(name, None)
                self._work_estimates.pop(name, None)


def _is_decimal(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS
