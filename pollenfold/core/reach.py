"""Whether this entry is cut off from the endpoints, judged by what it observes.

An endpoint that doesn't respond may be down, and so may all endpoints of a service. An
entry is cut off if endpoints of all services that it tried failed since any endpoint
last responded, and another entry reaches at least one of these services. Failures only
raise the suspicion: a check then contacts some endpoints of each service on new
connections and asks other entries. The way back needs responses of several trials in
succession over some time, so that a path that comes and goes isn't used.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .clock import Instant, add_ms

N_SUSPICIOUS_ENDPOINTS = 2
"""How many endpoints must fail in succession, without a response of any other."""

QUIET_MS = 200.0
"""Without any response for this long, a single failed endpoint is suspicious."""

SILENT_MS = 300.0
"""Without any response for this long in a cut, the open connections count as lost."""

CHECK_PAUSE_MS = 400.0
"""The pause after a check in which an endpoint responded."""

UNCONFIRMED_PAUSE_MS = 100.0
MAX_UNCONFIRMED_PAUSE_MS = 800.0
"""The pauses after checks in which no endpoint responded here and other entries reach
none either; doubled while that goes on."""

RESPONSE_LIFETIME_MS = 2_000.0
"""How long after a response a service counts as reached."""

FRESH_RESPONSE_MS = 150.0
"""An entry reports that it reaches endpoints only with a response as recent as this.

Another entry asks for the report when it has failed for as long. Otherwise both would
take servers that all ended at the same moment for a cut of the entry that asks."""

N_HEALING_TRIALS = 4
MIN_HEALING_MS = 200.0
MAX_HEALING_MS = 2_000.0
"""How long trials must succeed before a cut is over; doubled if it returns soon."""

SILENT_ROUND_FACTOR = 2.0

STABLE_MS = 10_000.0
"""How long after its end a cut doesn't count as the return of the previous one."""


class Contact(Enum):
    """What one attempt to get a response from an endpoint showed."""

    RESPONDED = "responded"
    UNOPENED = "unopened"
    """The connection was refused, or wasn't opened in time."""

    UNANSWERED = "unanswered"
    """An open connection was reset, or no response came in time."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a check found.

    ``services`` are those of the endpoints that were contacted; ``n_contacted`` and
    ``n_responded`` count these endpoints. ``peer_services`` are the services that other
    entries reach, as the ``n_peers`` that answered reported.
    """

    services: frozenset[str]
    n_contacted: int
    n_responded: int
    peer_services: frozenset[str] = frozenset()
    n_peers: int = 0

    @property
    def shows_cut(self) -> bool:
        """Whether other entries reach a service of which no endpoint responded here."""
        return not self.n_responded and bool(self.services & self.peer_services)


@dataclass(slots=True)
class _FailedService:
    """The endpoints of a service that failed since any of them last responded."""

    since: Instant
    endpoint_ids: set[str] = field(default_factory=set)


class Reach:
    """The evidence of one entry on its path to the endpoints.

    For example, after failures of ``i-1`` and ``i-2`` without a response in between,
    ``needs_check`` is true; a check that contacts six endpoints of two services without
    a response, while another entry reaches one of the services, makes ``is_cut`` true.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self._failed: set[str] = set()
        self._failed_since = Instant(float("-inf"))
        self._failed_by_service: dict[str, _FailedService] = {}
        self._responded_at: dict[str, Instant] = {}
        self._last_response_at = Instant(float("-inf"))
        self._cut_at = Instant(float("-inf"))
        self._healed_at = Instant(float("-inf"))
        self._next_check_at = Instant(float("-inf"))
        self._unconfirmed_pause_ms = UNCONFIRMED_PAUSE_MS
        self._healing_ms = MIN_HEALING_MS
        self._healed_ms = 0.0
        """How long trials have succeeded, less what failed rounds took back."""

        self._n_healing = 0
        self._last_trial_at = Instant(float("-inf"))
        self._has_responded = False
        """When the last round of trials ended, and whether an endpoint responded."""

    # Evidence

    def observe(
        self, service: str, endpoint_id: str, contact: Contact, now: Instant
    ) -> None:
        """Record the result of a request, a probe or a connection."""
        if contact is Contact.RESPONDED:
            self._responded_at[service] = self._last_response_at = now
            self._failed.clear()
            self._failed_by_service.pop(service, None)
        else:
            self._add_failure(service, endpoint_id, now)

    def _add_failure(self, service: str, endpoint_id: str, now: Instant) -> None:
        if not self._failed:
            self._failed_since = now
        self._failed.add(endpoint_id)
        failed = self._failed_by_service.setdefault(service, _FailedService(now))
        failed.endpoint_ids.add(endpoint_id)

    def observe_waiting(
        self, service: str, endpoint_id: str, since: Instant, now: Instant
    ) -> None:
        """Record that a request has been without a response ``since`` it was sent.

        A request may take long, so it counts as a failure only if no endpoint has
        responded meanwhile.
        """
        if self._last_response_at < since and now - since >= QUIET_MS:
            self._add_failure(service, endpoint_id, now)

    def needs_check(self, now: Instant) -> bool:
        """Return whether failures give reason to check for a cut."""
        if self.is_cut or not self._failed or now < self._next_check_at:
            return False
        is_quiet = now - self._last_response_at >= QUIET_MS
        return is_quiet or len(self._failed) >= N_SUSPICIOUS_ENDPOINTS

    def is_silent(self, now: Instant) -> bool:
        """Return whether the entry is cut and its open connections are silent too."""
        return self.is_cut and now - self._last_response_at >= SILENT_MS

    def ask_at(self) -> Instant:
        """Return from when on the reports of other entries say something of a cut."""
        return add_ms(self._failed_since, FRESH_RESPONSE_MS)

    def ask_service_at(self, service: str) -> Instant:
        """Return from when on reports show that a service which fails here is up."""
        failed = self._failed_by_service.get(service)
        since = Instant(float("-inf")) if failed is None else failed.since
        return add_ms(since, FRESH_RESPONSE_MS)

    def is_stale(self, now: Instant) -> bool:
        """Return whether the last response is too old to say that endpoints respond."""
        return now - self._last_response_at > FRESH_RESPONSE_MS

    def reached_services(self, now: Instant) -> frozenset[str]:
        """Return the services whose endpoints respond to this entry."""
        if self.is_cut or self.is_stale(now):
            return frozenset()
        oldest = add_ms(now, -RESPONSE_LIFETIME_MS)
        return frozenset(
            service
            for service, at in self._responded_at.items()
            if at >= oldest and not self._is_failing(service)
        )

    def _is_failing(self, service: str) -> bool:
        failed = self._failed_by_service.get(service)
        return failed is not None and len(failed.endpoint_ids) >= N_SUSPICIOUS_ENDPOINTS

    # Decisions

    def conclude_check(
        self, check: CheckResult, started_at: Instant, now: Instant
    ) -> bool:
        """Apply the result of a check; return whether it shows a cut.

        A response to any other request since the check started rules out a cut.
        """
        if self.is_cut:
            return False
        has_response = check.n_responded > 0 or self._last_response_at >= started_at
        if has_response:
            self._failed.clear()
            self._unconfirmed_pause_ms = UNCONFIRMED_PAUSE_MS
            self._next_check_at = add_ms(now, CHECK_PAUSE_MS)
            return False
        if not check.shows_cut:
            pause_ms = self._unconfirmed_pause_ms
            self._next_check_at = add_ms(now, pause_ms)
            self._unconfirmed_pause_ms = min(2 * pause_ms, MAX_UNCONFIRMED_PAUSE_MS)
            return False
        is_return = now - self._healed_at < STABLE_MS
        doubled_ms = min(2 * self._healing_ms, MAX_HEALING_MS)
        self._healing_ms = doubled_ms if is_return else MIN_HEALING_MS
        self.is_cut = True
        self._cut_at = now
        self._unconfirmed_pause_ms = UNCONFIRMED_PAUSE_MS
        self._restart_healing()
        return True

    def observe_trials(
        self,
        n_contacted: int,
        n_responded: int,
        now: Instant,
        has_peer: bool = True,
    ) -> bool:
        """Apply a round of trials of a cut path; return whether the cut is over.

        A round without any response takes back ``SILENT_ROUND_FACTOR`` times its
        duration: it may have met endpoints that are down. Without a peer that reaches
        endpoints (``has_peer``) the first response ends the cut, since the own path is
        then the only one.
        """
        if not self.is_cut or not n_contacted:
            return False
        elapsed_ms = now - self._last_trial_at
        had_response, self._has_responded = self._has_responded, n_responded > 0
        self._last_trial_at = now
        if not n_responded:
            self._healed_ms -= SILENT_ROUND_FACTOR * elapsed_ms
            if self._healed_ms <= 0.0:
                self._restart_healing()
            return False
        if had_response:
            self._healed_ms += elapsed_ms
        self._n_healing += n_responded
        is_proven = self._healed_ms >= self._healing_ms
        if has_peer and not (is_proven and self._n_healing >= N_HEALING_TRIALS):
            return False
        self.is_cut = False
        self._healed_at = now
        self._failed.clear()
        self._failed_by_service.clear()
        self._next_check_at = now
        return True

    def cut_ms(self, now: Instant) -> float:
        """Return how long the entry has been cut off."""
        return now - self._cut_at

    def retain(self, services: frozenset[str]) -> None:
        """Drop what is known of services that are no longer configured."""
        self._responded_at = {
            s: at for s, at in self._responded_at.items() if s in services
        }
        self._failed_by_service = {
            s: failed for s, failed in self._failed_by_service.items() if s in services
        }

    def _restart_healing(self) -> None:
        self._healed_ms = 0.0
        self._n_healing = 0
        self._has_responded = False
