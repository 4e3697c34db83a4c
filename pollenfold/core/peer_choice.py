"""The choice of the entry to which a request is passed on.

Entries of the own zone come first, by requests in flight: the better of two random ones
that are known to reach the service. Many entries may be cut off at the same time and
rely on the few others, so an entry of another zone is used when those of the own zone
are much busier.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass

from .clock import Instant, add_ms

REPORT_LIFETIME_MS = 2_000.0
"""How long a peer counts as reaching the services that it reported."""

CUT_MEMORY_MS = 1_500.0
"""How long a peer that doesn't reach endpoints itself isn't used."""

UNREACHABLE_MEMORY_MS = 1_000.0

REMOTE_LOAD_FACTOR = 3.0
"""A peer of another zone is used if one of the own zone has this many times its load:
the request and its response cross the border between the zones."""

N_SAMPLED = 2


@dataclass(frozen=True, slots=True)
class PeerCandidate:
    """Another entry of the fleet; ``is_local`` if it is in the zone of this one."""

    entry_id: str
    is_local: bool


@dataclass(slots=True)
class _PeerState:
    services: frozenset[str] = frozenset()
    reported_at: Instant = Instant(float("-inf"))
    n_reported: int = 0
    n_relayed: int = 0
    avoided_until: Instant = Instant(float("-inf"))


class PeerTable:
    """What an entry knows of the others to which it may pass requests on."""

    def __init__(self) -> None:
        self._states: dict[str, _PeerState] = {}

    def _state(self, entry_id: str) -> _PeerState:
        return self._states.setdefault(entry_id, _PeerState())

    def record_report(
        self,
        entry_id: str,
        services: frozenset[str],
        n_in_flight: int,
        now: Instant,
    ) -> None:
        """Record which services a peer reaches, and its requests in flight."""
        state = self._state(entry_id)
        state.services = services
        state.reported_at = now
        state.n_reported = n_in_flight
        is_cut = not services
        state.avoided_until = add_ms(now, CUT_MEMORY_MS if is_cut else 0.0)

    def record_load(self, entry_id: str, n_in_flight: int) -> None:
        """Record the requests in flight that a peer named in a response."""
        self._state(entry_id).n_reported = n_in_flight

    def record_served(self, entry_id: str, service: str, now: Instant) -> None:
        """Record that a request that was passed on reached an endpoint."""
        state = self._state(entry_id)
        state.services |= {service}
        state.reported_at = now

    def record_unreached(self, entry_id: str, service: str, now: Instant) -> None:
        """Record that a peer doesn't reach the endpoints of a service."""
        state = self._state(entry_id)
        state.services -= {service}
        if not state.services:
            state.avoided_until = add_ms(now, CUT_MEMORY_MS)

    def record_unreachable(self, entry_id: str, now: Instant) -> None:
        """Record that a peer couldn't be reached, or lost a request."""
        self._state(entry_id).avoided_until = add_ms(now, UNREACHABLE_MEMORY_MS)

    def begin_relay(self, entry_id: str) -> Callable[[], None]:
        """Count a request at a peer; return the function that ends the count."""
        state = self._state(entry_id)
        state.n_relayed += 1

        def end() -> None:
            state.n_relayed -= 1

        return end

    def reaches(
        self,
        entry_id: str,
        service: str,
        now: Instant,
        since: Instant = Instant(float("-inf")),
    ) -> bool:
        """Return whether a peer recently reached the endpoints of a service.

        Only a report that came after ``since`` counts.
        """
        state = self._states.get(entry_id)
        if state is None or now < state.avoided_until:
            return False
        oldest = max(since, add_ms(now, -REPORT_LIFETIME_MS))
        is_current = state.reported_at >= oldest
        return is_current and service in state.services

    def choose(
        self,
        candidates: Sequence[PeerCandidate],
        service: str,
        excluded: Container[str],
        now: Instant,
        rng: random.Random,
    ) -> PeerCandidate | None:
        """Return the peer to use for a request, or None if none reaches its service."""
        known = [
            c
            for c in candidates
            if c.entry_id not in excluded and self.reaches(c.entry_id, service, now)
        ]
        local = [c for c in known if c.is_local]
        remote = [c for c in known if not c.is_local]
        sampled = [
            *rng.sample(local, min(N_SAMPLED, len(local))),
            *rng.sample(remote, min(N_SAMPLED, len(remote))),
        ]
        return min(sampled, key=self._cost, default=None)

    def _cost(self, candidate: PeerCandidate) -> float:
        state = self._state(candidate.entry_id)
        factor = 1.0 if candidate.is_local else REMOTE_LOAD_FACTOR
        return factor * (1 + state.n_reported + state.n_relayed)

    def choose_to_ask(
        self,
        candidates: Sequence[PeerCandidate],
        n_wanted: int,
        excluded: Container[str],
        now: Instant,
        rng: random.Random,
    ) -> list[PeerCandidate]:
        """Return peers to ask for their reach, half of them of the own zone.

        Those with the oldest reports come first, at random among those without one, and
        those that are avoided last: they are asked only if there are no others.
        """
        eligible = [c for c in candidates if c.entry_id not in excluded]
        rng.shuffle(eligible)
        eligible.sort(key=lambda c: self._state(c.entry_id).reported_at)
        usable = [c for c in eligible if now >= self._state(c.entry_id).avoided_until]
        usable = usable or eligible
        local = [c for c in usable if c.is_local]
        remote = [c for c in usable if not c.is_local]
        n_local = min(len(local), max(n_wanted - len(remote), (n_wanted + 1) // 2))
        return [*local[:n_local], *remote[: n_wanted - n_local]]

    def retain(self, entry_ids: Container[str]) -> None:
        """Drop what is known of entries that are no longer in the fleet."""
        self._states = {
            entry_id: state
            for entry_id, state in self._states.items()
            if entry_id in entry_ids or state.n_relayed
        }
