"""The state of a request on its way through an entry, and of routes."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ..core.balancing.overload import CallerAge, WorkEstimate
from ..core.clock import Instant, add_ms
from ..core.outcomes import AttemptOutcome
from ..core.routes import Route, RoutingConfiguration, WeightedSplit
from ..core.tenancy.tenants import Tenant
from ..http.messages import HOP_HEADERS, Headers, Request, Response
from .dialect import Dialect
from .relay.headers import RELAY_HEADERS, RelayedRequest
from .tenancy import WITHOUT_TENANTS, Identity

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
    n_sends: int = 1
    """How many endpoints got the request: several if a peer sent it to them."""

    born_ms: int = 0
    """When the endpoint started, by its own clock."""

    version: str = ""
    """The version of the endpoint, if its service has a roll-out."""

    def describe(self) -> str:
        """Return the attempt as text, for example ``i-1@v2:responded:1.60:84ms``."""
        target = (
            f"{self.endpoint_id}@{self.version}" if self.version else self.endpoint_id
        )
        return (
            f"{target}:{self.outcome.value}:{self.slowdown:.2f}:{self.elapsed_ms:.0f}ms"
        )


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
    last_notices: Response | None = None
    """The response to the last attempt, without its body and most headers."""

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

    max_attempts: int = 1
    """To how many endpoints the request may be sent."""

    is_relayed: bool = False
    """Whether it came from another entry, so that it isn't relayed again."""

    is_repeat: bool = False
    """Whether another entry has already sent it to an endpoint."""

    is_endpoint_response: bool = False
    """Whether the final response is one of an endpoint, not of this entry."""

    is_retry_acquired: bool = False
    """Whether the retry budget has already permitted the next attempt."""

    n_probes_left: int = 0

    is_counted: bool = False
    """Whether this entry or a peer counted the request in its retry budget."""

    version: int = 0
    """The configuration that the route is from."""

    """How many probes this entry leaves to the peer to which it relays the request."""

    relay_trace: list[str] = field(default_factory=list)
    """The peers to which the request was relayed, with the outcome of each."""

    digest: str = ""
    """Identifies the same request in other attempts of callers; computed only once an
    attempt was lost."""

    identity: Identity = WITHOUT_TENANTS
    """Who sent the request."""

    permit_until: Instant = Instant(0.0)
    """Until when the request may be sent on the permit that it has of a quota."""

    n_runs_before_permit: int = 0
    """How many attempts may have run when it got that permit."""

    @property
    def tenant(self) -> Tenant | None:
        """The tenant that sent the request, or None for an anonymous one."""
        return self.identity.tenant

    @property
    def priority(self) -> int:
        """The priority of the tenant if it has one, else that of the route."""
        tenant = self.identity.tenant
        if tenant is None or tenant.priority is None:
            return self.route.priority
        return tenant.priority

    def may_have_executed_before(self) -> bool:
        """Return whether an earlier attempt may have executed the request.

        Unlike ``may_have_executed`` this leaves out the attempt in progress, which
        isn't in ``attempts`` yet.
        """
        return any(
            attempt.outcome not in NOT_EXECUTED_OUTCOMES for attempt in self.attempts
        )

    def n_sends(self) -> int:
        """Return how many endpoints got the request, through this entry or peers."""
        return sum(
            attempt.n_sends
            for attempt in self.attempts
            if attempt.outcome is not AttemptOutcome.UNREACHABLE
        )

    def describe_attempts(self) -> str:
        """Return the attempts as text, for example ``i-1:responded:1.60:84ms``."""
        return ";".join(attempt.describe() for attempt in self.attempts)


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
            (
                *HOP_HEADERS,
                *RELAY_HEADERS,
                dialect.deadline_ms,
                dialect.expected_instance,
            )
        )

    def create_call(
        self,
        request: Request,
        request_id: bytes,
        route: Route,
        started_at: Instant,
        relayed: RelayedRequest | None = None,
        version: int = 0,
    ) -> Call | None:
        """Return the call of a request, or None if its deadline is malformed.

        ``version`` is the configuration that the route is from.

        ``relayed`` is what the passing entry says of the request, if it came from one.
        """
        value = request.header(self._dialect.deadline_ms)
        if value is not None and not _is_decimal(value):
            return None
        limits_ms = [] if route.timeout_ms is None else [route.timeout_ms]
        age_ms = 0.0
        if value is not None:
            limits_ms.append(float(value))
        if value is not None and relayed is None:
            age = self._caller_ages.setdefault(route.name, CallerAge())
            age_ms = age.observe(
                request.connection_id, float(value), started_at, route.timeout_ms
            )
        target_ms = route.target_latency_ms - age_ms
        if relayed is not None:
            target_ms = min(target_ms, relayed.target_ms)
            # The passing entry may hold another version of the route.
            is_idempotent = route.is_idempotent and relayed.is_idempotent
            route = replace(route, is_idempotent=is_idempotent)
        return Call(
            request=request,
            request_id=request_id,
            route=route,
            service=self._choose_service(route, relayed),
            started_at=started_at,
            deadline=add_ms(started_at, min(limits_ms, default=DEFAULT_TIMEOUT_MS)),
            target_at=add_ms(started_at, target_ms),
            age_ms=age_ms,
            work_estimate=self._work_estimate(route),
            headers=[h for h in request.headers if h[0] not in self._dropped_headers],
            max_attempts=_max_attempts(route, relayed),
            is_relayed=relayed is not None,
            is_repeat=relayed is not None and relayed.is_repeat,
            is_retry_acquired=relayed is not None and relayed.is_retry_acquired,
            is_counted=relayed is not None
            and (relayed.is_counted or relayed.is_repeat),
            version=version,
        )

    def _choose_service(self, route: Route, relayed: RelayedRequest | None) -> str:
        """Return the service that the passing entry chose, if the route still has it.

        Choosing again would change the shares of the services.
        """
        if relayed is not None:
            services = {part.service for part in route.weighted_services if part.weight}
            if relayed.service in services:
                return relayed.service
        return self._split.next_service(route)

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


def _max_attempts(route: Route, relayed: RelayedRequest | None) -> int:
    n_attempts = max(1, route.max_attempts)
    return n_attempts if relayed is None else min(n_attempts, relayed.max_attempts)


def _is_decimal(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS
