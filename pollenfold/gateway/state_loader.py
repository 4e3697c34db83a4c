"""Puts received replicated states in force, with large configurations in slices.

A state comes into force in one step together with its configuration, states in the
order of their index, and never an older one. While a configuration is decoded, newer
states only add restrictions at once: departures and evacuated zones, which no endpoint
may wait for. Whatever lifts a restriction waits for the configuration. When the
configuration is decoded, the newest state received by then is next.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import curio

from ..core.clock import Clock
from ..core.replicated_state import ReplicatedState
from ..core.routes import RoutingConfiguration
from ..core.slices import MIN_STEPS, PAUSE_MS, SlicedComputation, Steps
from ..observe.error_text import error_text
from ..observe.events import EventLog

Decode = Callable[[str], Steps[RoutingConfiguration]]
"""Decodes a document in small steps; raises ValueError if it is invalid."""

PutInForce = Callable[[ReplicatedState, RoutingConfiguration | None, str], None]
"""Called with a state, with its configuration if that is new, and with the source."""


class StateLoader:
    """Decodes the configurations of received states and puts the states in force.

    ``state_in_force`` returns the state in force, which ``put_in_force`` replaces.
    """

    def __init__(
        self,
        decode: Decode,
        state_in_force: Callable[[], ReplicatedState],
        put_in_force: PutInForce,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._decode = decode
        self._state_in_force = state_in_force
        self._put_in_force = put_in_force
        self._clock = clock
        self._log = log
        self._received = ReplicatedState()
        self._source = ""
        self._decoding: tuple[ReplicatedState, str] | None = None
        self._computation: SlicedComputation[RoutingConfiguration] | None = None
        self._rejected_version: int | None = None
        self._configuration = RoutingConfiguration()
        self._releases: list[SlicedComputation[None]] = []
        self._is_running = False

    @property
    def received(self) -> ReplicatedState:
        """The newest state: the last one received, or a later one in force."""
        in_force = self._state_in_force()
        return in_force if in_force.index > self._received.index else self._received

    def receive(self, state: ReplicatedState, source: str) -> None:
        """Put a newer state in force, or begin to, if its document is large."""
        self._received = state
        self._source = source
        if self._computation is None:
            self._begin()
            self._run_slice()
        self._restrict()

    async def start(self) -> None:
        """Start a task that finishes what ``receive`` began, unless one is running."""
        if self._has_work() and not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)

    def _has_work(self) -> bool:
        return self._computation is not None or bool(self._releases)

    async def _run(self) -> None:
        try:
            while self._has_work():
                await curio.sleep(PAUSE_MS / 1000)
                self._run_next()
        finally:
            self._is_running = False

    def _run_next(self) -> None:
        """Perform the next slice of whatever is pending."""
        if not self._releases:
            self._run_slice()
        elif self._releases[0].run_slice():
            del self._releases[0]

    def _begin(self) -> None:
        """Begin to decode the configuration of the newest state, if it is new."""
        state = self._received
        if state.version == self._rejected_version:
            self._put_in_force(self._without_configuration(state), None, self._source)
        elif state.version > self._state_in_force().version:
            self._decoding = (state, self._source)
            steps = self._decode(state.document)
            self._computation = SlicedComputation(steps, self._clock)
        else:
            self._put_in_force(state, None, self._source)

    def _run_slice(self) -> None:
        if self._computation is None or self._decoding is None:
            return
        state, source = self._decoding
        try:
            if not self._computation.run_slice():
                return
        except Exception as error:
            # Whatever fails, the state must not come into force without its
            # configuration: the entry would take its former routes for the newest.
            self._reject(state, source, str(error) or error_text(error))
        else:
            if self._received.version == state.version:
                state = self._received
            configuration = self._computation.get()
            self._put_in_force(state, configuration, source)
            self._replace(configuration)
        self._computation = self._decoding = None
        if self._received.index > state.index:
            self._begin()
            self._restrict()

    def _replace(self, configuration: RoutingConfiguration) -> None:
        """Release the routes of the previous configuration in slices."""
        is_small = len(self._configuration.route_names) <= MIN_STEPS
        steps = _release_steps(self._configuration)
        next(steps)
        self._configuration = configuration
        if not is_small:
            self._releases.append(SlicedComputation(steps, self._clock))

    def _restrict(self) -> None:
        """Apply what the newest state forbids to the state in force."""
        in_force, newest = self._state_in_force(), self._received
        if newest.index <= in_force.index:
            return
        restricted = replace(
            in_force,
            evacuated=in_force.evacuated | newest.evacuated,
            departures=newest.departures,
            departure_indices=newest.departure_indices,
        )
        if restricted != in_force:
            self._put_in_force(restricted, None, self._source)

    def _reject(self, state: ReplicatedState, source: str, detail: str) -> None:
        """Keep the configuration in force, with the remaining parts of the state."""
        self._log.state(
            "configuration_rejected",
            version=state.version,
            in_force=self._state_in_force().version,
            index=state.index,
            detail=detail[:200],
        )
        self._rejected_version = state.version
        self._put_in_force(self._without_configuration(state), None, source)

    def _without_configuration(self, state: ReplicatedState) -> ReplicatedState:
        """Return the state with the index and the configuration of the one in force.

        The index stays, since the state up to a higher one includes the configuration
        that isn't in force.
        """
        in_force = self._state_in_force()
        return replace(
            state,
            index=in_force.index,
            version=in_force.version,
            document=in_force.document,
        )


def _release_steps(configuration: RoutingConfiguration) -> Steps[None]:
    """Release the thousands of objects of a configuration step by step.

    The caller drops its own reference between the first step and the second.
    """
    indexes = list(configuration.indexes.values())
    hosts = list(configuration.hosts.values())
    del configuration
    yield
    while indexes:
        indexes.pop()
        yield
    while hosts:
        routes = list(hosts.pop())
        while routes:
            routes.pop()
            yield
