"""One request on its way through an entry, and what is kept for each route."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core.allowances import RetryAllowance
from ..core.clock import Instant, add_ms
from ..core.outcomes import AttemptOutcome
from ..core.overload import CallerAge, WorkEstimate
from ..core.routes import Route, RoutingConfiguration, WeightedSplit
from ..http.messages import HOP_HEADERS, Headers, Request, Response
from .dialect import Dialect

MAX_WAIT_MS = 60_000.0
"""How long a request without a deadline on a route without a timeout is kept."""

MAX_DEADLINE_DIGITS = 9

NEVER_RAN = frozenset((AttemptOutcome.NOT_STARTED, AttemptOutcome.UNREACHABLE))
"""Outcomes after which it is certain that the endpoint didn't run the request."""


@dataclass(slots=True)
class Attempt:
    """One send of a request, for the log."""

    endpoint_id: str
    slowdown: float
    outcome: AttemptOutcome
    elapsed_ms: float


@dataclass(slots=True)
class Call:
    """One request on its way, with all that was decided on it."""

    request: Request
    request_id: bytes
    route: Route
    service: str
    started_at: Instant
    deadline: Instant
    target: Instant
    age_ms: float
    work: WorkEstimate
    allowance: RetryAllowance
    headers: Headers
    tried: set[str] = field(default_factory=set)
    attempts: list[Attempt] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    last_response: Response | None = None
    may_have_run: bool = False
    sent_at: Instant = Instant(0.0)
    """When the last attempt had sent the whole request."""

    rest_ms: float | None = None
    """How long all endpoints of the service still want no work, if they do."""

    is_rest_taken: bool = False
    """Whether a part of a long body was passed on that isn't kept here."""

    def ran_before(self) -> bool:
        """Return whether an earlier attempt may have run."""
        return any(attempt.outcome not in NEVER_RAN for attempt in self.attempts)

    def describe_attempts(self) -> str:
        """Return the attempts for the log, for example ``i-1:responded:1.60:84ms``."""
        return ";".join(
            f"{a.endpoint_id}:{a.outcome.value}:{a.slowdown:.2f}:{a.elapsed_ms:.0f}ms"
            for a in self.attempts
        )


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The extra sends that a service may get from all entries in a window."""

    ratio: float
    n_extra: float
    window_ms: float


class CallBook:
    """Makes the calls of an entry and keeps what it learnt of routes and services.

    What belongs to a route or service that the configuration no longer has is
    forgotten, so that an entry doesn't grow with each change.
    """

    def __init__(self, dialect: Dialect, retry_limits: RetryLimits) -> None:
        self._dialect = dialect
        self._retry_limits = retry_limits
        self._version = 0
        self._split = WeightedSplit()
        self._ages: dict[str, CallerAge] = {}
        self._works: dict[str, WorkEstimate] = {}
        self._allowances: dict[str, RetryAllowance] = {}
        self._dropped = frozenset(
            (*HOP_HEADERS, dialect.deadline_ms, dialect.expected_instance)
        )

    def call(
        self, request: Request, request_id: bytes, route: Route, started_at: Instant
    ) -> Call | None:
        """Return the call of a request; None when its deadline can't be read."""
        value = request.header(self._dialect.deadline_ms)
        if value is not None and not _is_count(value):
            return None
        limits_ms = [] if route.timeout_ms is None else [route.timeout_ms]
        age_ms = 0.0
        if value is not None:
            limits_ms.append(float(value))
            age = self._ages.setdefault(route.name, CallerAge())
            age_ms = age.observe(float(value), started_at)
        service = self._split.next_service(route)
        return Call(
            request=request,
            request_id=request_id,
            route=route,
            service=service,
            started_at=started_at,
            deadline=add_ms(started_at, min(limits_ms, default=MAX_WAIT_MS)),
            target=add_ms(started_at, route.target_latency_ms - age_ms),
            age_ms=age_ms,
            work=self._work(route),
            allowance=self._allowance(service),
            headers=[h for h in request.headers if h[0] not in self._dropped],
        )

    def _work(self, route: Route) -> WorkEstimate:
        work = self._works.get(route.name)
        if work is None:
            work = self._works[route.name] = WorkEstimate(route.target_latency_ms)
        return work

    def _allowance(self, service: str) -> RetryAllowance:
        allowance = self._allowances.get(service)
        if allowance is None:
            limits = self._retry_limits
            allowance = RetryAllowance(limits.ratio, limits.n_extra, limits.window_ms)
            self._allowances[service] = allowance
        return allowance

    def retain(self, configuration: RoutingConfiguration) -> None:
        """Forget the routes and services that a new configuration doesn't have."""
        if configuration.version == self._version:
            return
        self._version = configuration.version
        routes = {r.name for host in configuration.hosts.values() for r in host}
        services = configuration.services
        self._split.retain(routes)
        self._ages = {k: v for k, v in self._ages.items() if k in routes}
        self._works = {k: v for k, v in self._works.items() if k in routes}
        self._allowances = {k: v for k, v in self._allowances.items() if k in services}


def _is_count(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS
