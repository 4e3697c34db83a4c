"""Any sequence of received states and of slices keeps the order of the states."""

from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.replicated_state import (
    Configure,
    Depart,
    Evacuate,
    ReplicatedState,
)
from pollenfold.core.routes import RoutingConfiguration
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog

MAX_STEPS = 700
"""Enough for several slices: an invocation of the clock ends a slice after the least
number of steps."""

COMMANDS = st.one_of(
    st.tuples(st.integers(0, MAX_STEPS), st.booleans()),
    st.builds(Evacuate, st.sampled_from("ab"), st.booleans()),
    st.builds(Depart, st.sampled_from("xy"), st.integers(0, 3)),
)
EVENTS = st.lists(
    st.one_of(COMMANDS, st.sampled_from(["receive", "slice"])), max_size=60
)


def steps(text):
    """Decode the document ``VERSION N_STEPS IS_VALID``."""
    version, n_steps, is_valid = text.split()
    for _ in range(int(n_steps)):
        yield
    if is_valid == "False":
        raise ValueError("invalid here")
    return RoutingConfiguration(int(version))


def check(view, state_before, version_before):
    """Check what must hold after each event."""
    in_force, received = view.replicated_state, view.received_state
    assert in_force.index >= state_before.index
    assert in_force.version >= version_before
    version = 0 if view.configuration is None else view.configuration.version
    assert in_force.version == version
    assert in_force.evacuated >= received.evacuated
    for endpoint_id, born_ms in received.departures.items():
        assert in_force.has_departed(endpoint_id, born_ms)


@given(EVENTS)
def test_states_come_into_force_in_order_and_none_is_lost(events):
    """Guards against a state that is lost, applied out of order or twice, against a
    configuration that belongs to another state, and against a departure or evacuation
    that waits."""
    now = iter(range(0, 10**9, 10))
    log = EventLog("e1", system_clock, write=len)
    view = FleetView(steps, lambda: float(next(now)), log)
    state, version, valid_version = ReplicatedState(), 0, 0
    is_valid = True
    for event in [*events, "receive"]:
        before, version_before = view.replicated_state, view.replicated_state.version
        match event:
            case "slice":
                view._loader._run_next()
            case "receive":
                fields = state.encode_since(
                    view.received_state.index, view.received_state.version
                )
                is_newer = state.index > view.received_state.index
                assert view.apply_replicated_state(fields, "test") == is_newer
            case (n_steps, is_valid):
                version += 1
                document = f"{version} {n_steps} {is_valid}"
                state.apply(state.index + 1, Configure(version, document))
                valid_version = version if is_valid else valid_version
            case command:
                state.apply(state.index + 1, command)
        check(view, before, version_before)
    while view._loader._has_work():
        before, version_before = view.replicated_state, view.replicated_state.version
        view._loader._run_next()
        check(view, before, version_before)
    assert view.received_state.index == state.index
    assert view.replicated_state.evacuated == state.evacuated
    assert view.replicated_state.departures == state.departures
    if is_valid:
        assert view.replicated_state == state
    else:
        assert view.replicated_state.version <= valid_version
