"""Warm-up of cold endpoints: ownership, concurrency ramp, and cold detection.

While an endpoint is cold, only its warm-up owner sends requests to it. All entries
with the same directory agree on the owner, and a new owner waits until the previous
one must have stopped.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace
from enum import Enum
from math import ceil

from ..clock import Instant
from ..endpoints import Endpoint, EndpointKey, WarmState
from ..ownership import Directory as Directory
from ..ownership import DirectoryHistory, Ownership
from ..ownership import warmup_owner as warmup_owner
from ..records import ServiceSpec

SUCCESSES_PER_SLOT = 4
"""Successful responses per slot of the current limit before the limit is raised."""

N_HIGH_LATENCIES = 5
"""Consecutive responses far above the baseline that count as a sudden rise. At the
largest size, five in a row at the 99th percentile occur by chance a few times a day;
three in a row would occur every few seconds."""

N_SHEDS = 3
"""Consecutive refusals by a warm endpoint that indicate that it is cold."""

MIN_BASELINE_SAMPLES = 20

RISE_FACTOR = 3.0
RISE_MS = 2.0
"""A latency is high if it exceeds ``RISE_FACTOR`` times the baseline plus ``RISE_MS``;
the constant filters out scheduling noise of servers with sub-millisecond latency."""

BASELINE_WEIGHT = 0.02

MAX_SUSPECT_SHARE = 1 / 3
"""Share of a service's endpoints that may be detected as cold by latency or shedding
at the same time. A larger share means that the service is overloaded, and removing
capacity would make that worse."""

SUSPICION_WINDOW_MS = 1000.0

WARM_SHARE_FACTOR = 2.0
MIN_WARM_SHARE = 2
"""An entry may use twice its share of a warm endpoint's slots, and at least two,
because the platform's load balancer distributes connections, not requests, over the
entries."""


class WarmReason(Enum):
    """Why the warm state of an endpoint changed."""

    RAMP_DONE = "ramp_done"
    REPORTED = "reported"
    SHEDDING = "shedding"
    LATENCY = "latency"


@dataclass(frozen=True, slots=True)
class WarmChange:
    """An endpoint with a new warm state, to merge into the table and push to peers."""

    endpoint: Endpoint
    reason: WarmReason


class LatencyBaseline:
    """A moving average of latencies, and the number of successive high latencies."""

    __slots__ = ("mean_ms", "n_samples", "n_high_latencies")

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self.n_samples = 0
        self.n_high_latencies = 0

    def add(self, latency_ms: float) -> bool:
        """Add a latency; return whether a sudden rise has been detected."""
        self.n_samples += 1
        is_learning = self.n_samples <= MIN_BASELINE_SAMPLES
        if not is_learning and latency_ms > RISE_FACTOR * self.mean_ms + RISE_MS:
            self.n_high_latencies += 1
        else:
            self.n_high_latencies = 0
        weight = 1 / self.n_samples if is_learning else BASELINE_WEIGHT
        self.mean_ms += weight * (latency_ms - self.mean_ms)
        return self.n_high_latencies >= N_HIGH_LATENCIES


def _is_same_warm_up(left: Endpoint, right: Endpoint) -> bool:
    return left.incarnation == right.incarnation and left.warm == right.warm


class _EndpointState:
    """The warm-up state of one endpoint on this entry."""

    __slots__ = (
        "endpoint",
        "spec",
        "zone_version",
        "directory",
        "ownership",
        "limit",
        "ready_at",
        "ramp_limit",
        "n_successes",
        "n_sheds",
        "baseline",
        "suspected_at",
    )

    def __init__(self, endpoint: Endpoint, spec: ServiceSpec) -> None:
        self.endpoint = endpoint
        self.spec = spec
        self.zone_version = -1
        self.directory: Directory | None = None
        self.ownership = Ownership()
        self.limit = 0
        self.ready_at = 0.0
        self.suspected_at = float("-inf")
        self.start_ramp()

    @property
    def is_warm(self) -> bool:
        warm = self.endpoint.warm
        return warm.is_warm and warm.zone_version >= self.zone_version

    @property
    def is_detected_cold(self) -> bool:
        """Whether an entry detected that the endpoint became cold after being warm."""
        warm = self.endpoint.warm
        is_marked_cold = not warm.is_warm and warm.epoch > 0
        return is_marked_cold and warm.zone_version >= self.zone_version

    @property
    def slots(self) -> int:
        return max(1, min(self.endpoint.slots, self.spec.slots_per_endpoint))

    def start_ramp(self) -> None:
        self.ramp_limit = self._initial_limit()
        self.n_successes = 0
        self.n_sheds = 0
        self.baseline = LatencyBaseline()

    def halve_ramp(self) -> None:
        """Halve the ramp limit, but not below its initial value."""
        self.ramp_limit = max(self._initial_limit(), self.ramp_limit // 2)
        self.n_successes = 0
        self.baseline = LatencyBaseline()

    def _initial_limit(self) -> int:
        return max(1, min(self.spec.cold_slots, self.slots))

    def with_warm(self, is_warm: bool) -> Endpoint:
        warm = self.endpoint.warm
        zone_version = max(self.zone_version, warm.zone_version)
        return replace(
            self.endpoint, warm=WarmState(warm.epoch + 1, is_warm, zone_version)
        )


class WarmupController:
    """Limits what this entry sends to each endpoint while it is cold.

    ``limit`` returns how many concurrent requests the entry may send to an endpoint,
    and ``record_result`` must be called with the result of each request.
    ``observe_directory`` should be called with every new directory, so that none is
    missed between two calls of ``limit``.
    """

    def __init__(self, entry_id: str, lease_ms: float) -> None:
        self._lease_ms = lease_ms
        self._services: dict[str, dict[EndpointKey, _EndpointState]] = {}
        self._by_id: dict[int, _EndpointState] = {}
        self._history = DirectoryHistory(entry_id)

    def limit(
        self,
        endpoint: Endpoint,
        service_spec: ServiceSpec,
        zone_version: int,
        directory: Directory,
        now: Instant,
    ) -> int:
        """Return how many concurrent requests this entry may send to the endpoint.

        ``zone_version`` is the record version at which the zone last entered service.
        """
        state = self._by_id.get(id(endpoint))
        if (
            state is None
            or state.endpoint is not endpoint
            or state.directory is not directory
            or state.zone_version != zone_version
            or state.spec is not service_spec
        ):
            state = self._refresh(endpoint, service_spec, zone_version, directory)
        return state.limit if now >= state.ready_at else 0

    def record_result(
        self,
        endpoint: Endpoint,
        service_spec: ServiceSpec,
        latency_ms: float,
        was_shed: bool,
        reported_cold: bool,
        now: Instant,
    ) -> WarmChange | None:
        """Record the result of one request; return a change of the warm state, if any.

        ``endpoint`` is the object with which the request was sent. A result from
        before the current incarnation or warm state is ignored. A request that
        failed or timed out counts as shed. The entry merges a returned change into
        its table and pushes it to its peers.
        """
        state = self._by_id.get(id(endpoint))
        if state is None or state.endpoint is not endpoint:
            state = self._services.get(endpoint.service, {}).get(endpoint.key)
            if state is None or not _is_same_warm_up(state.endpoint, endpoint):
                return None
        if state.is_warm:
            return self._record_warm(state, latency_ms, was_shed, reported_cold, now)
        if state.ownership.owned_since is None:
            return None
        return self._record_ramp(state, latency_ms, was_shed, reported_cold)

    def observe_directory(self, directory: Directory) -> None:
        """Add a new directory to the ownership history."""
        self._history.observe(directory)

    def retain(self, service: str, keys: Container[EndpointKey]) -> None:
        """Remove the state of a service's endpoints that are not in ``keys``."""
        states = self._services.get(service, {})
        for key in [key for key in states if key not in keys]:
            self._by_id.pop(id(states.pop(key).endpoint), None)

    def _refresh(
        self,
        endpoint: Endpoint,
        spec: ServiceSpec,
        zone_version: int,
        directory: Directory,
    ) -> _EndpointState:
        states = self._services.setdefault(endpoint.service, {})
        key = endpoint.key
        state = states.get(key)
        if state is None:
            state = states[key] = _EndpointState(endpoint, spec)
        before = state.endpoint
        if (
            endpoint.incarnation == before.incarnation
            and endpoint.warm.merge_key() < before.warm.merge_key()
        ):
            # ``record_result`` returned a warm state that the table has not merged yet.
            endpoint = before
        self._by_id.pop(id(before), None)
        is_same = _is_same_warm_up(endpoint, before)
        is_restart = not is_same or zone_version != state.zone_version
        state.endpoint = endpoint
        state.spec = spec
        state.zone_version = zone_version
        if is_restart:
            state.start_ramp()
        if state.directory is not directory:
            state.directory = directory
            self._history.observe(directory)
            if self._history.update(state.ownership, key) and not state.is_warm:
                state.start_ramp()
        self._by_id[id(endpoint)] = state
        self._update_limit(state)
        return state

    def _update_limit(self, state: _EndpointState) -> None:
        """Compute the limit that ``limit`` returns until the state changes."""
        state.ready_at = float("-inf")
        if state.endpoint.is_leaving:
            state.limit = 0
        elif state.is_warm:
            n_entries = len(state.directory.entry_ids) if state.directory else 1
            share = ceil(WARM_SHARE_FACTOR * state.slots / max(1, n_entries))
            state.limit = min(state.slots, max(MIN_WARM_SHARE, share))
        elif state.ownership.owned_since is None:
            state.limit = 0
        else:
            state.limit = min(state.ramp_limit, state.slots)
            # The previous owner may send until its lease ends, and its last request may
            # take ``timeout_ms``.
            wait_ms = self._lease_ms + state.spec.timeout_ms
            state.ready_at = state.ownership.owned_since + wait_ms

    def _record_ramp(
        self,
        state: _EndpointState,
        latency_ms: float,
        was_shed: bool,
        reported_cold: bool,
    ) -> WarmChange | None:
        if was_shed or state.baseline.add(latency_ms):
            state.halve_ramp()
        elif not reported_cold:
            state.n_successes += 1
            if state.n_successes >= SUCCESSES_PER_SLOT * state.ramp_limit:
                state.n_successes = 0
                if state.ramp_limit >= state.slots:
                    return self._set_warm(state, True, WarmReason.RAMP_DONE)
                state.ramp_limit += 1
        self._update_limit(state)
        return None

    def _record_warm(
        self,
        state: _EndpointState,
        latency_ms: float,
        was_shed: bool,
        reported_cold: bool,
        now: Instant,
    ) -> WarmChange | None:
        if reported_cold:
            return self._set_warm(state, False, WarmReason.REPORTED)
        if was_shed:
            state.n_sheds += 1
            if state.n_sheds < N_SHEDS:
                return None
            state.n_sheds = 0
            reason = WarmReason.SHEDDING
        else:
            state.n_sheds = 0
            if not state.baseline.add(latency_ms):
                return None
            state.baseline.n_high_latencies = 0
            reason = WarmReason.LATENCY
        state.suspected_at = now
        if self._is_overload_suspected(state, now):
            return None
        return self._set_warm(state, False, reason)

    def _is_overload_suspected(self, state: _EndpointState, now: Instant) -> bool:
        states = self._services[state.endpoint.service].values()
        n_suspects = sum(
            other.is_detected_cold or now - other.suspected_at <= SUSPICION_WINDOW_MS
            for other in states
        )
        return n_suspects > max(1, int(MAX_SUSPECT_SHARE * len(states)))

    def _set_warm(
        self, state: _EndpointState, is_warm: bool, reason: WarmReason
    ) -> WarmChange:
        """Apply the new warm state locally before the table has merged it."""
        endpoint = state.with_warm(is_warm)
        self._by_id.pop(id(state.endpoint), None)
        state.endpoint = endpoint
        state.start_ramp()
        self._by_id[id(endpoint)] = state
        self._update_limit(state)
        return WarmChange(endpoint, reason)
