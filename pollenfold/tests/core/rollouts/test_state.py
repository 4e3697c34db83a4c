"""The state of roll-outs in the replicated log, and which versions get requests."""

import pytest

from pollenfold.core.replicated_state import (
    MAX_ROLLOUTS,
    AdvanceRollout,
    Configure,
    ReplicatedState,
    StartRollout,
    decode_replicated_state,
)
from pollenfold.core.rollouts.state import (
    CANARY_SHARE,
    REPEAT_MS,
    RolloutStage,
    decode_rollout,
)

NOW_MS = 1_780_000_000_000
ORDER = StartRollout("s", "v2", 12_000, NOW_MS)


def started(order=ORDER, *stages):
    """Return a state with a roll-out that went through some stages."""
    state = ReplicatedState()
    state.apply(1, order)
    for n, stage in enumerate(stages):
        assert state.apply(2 + n, AdvanceRollout("s", 1, stage, 0.5))
    return state


def test_order_starts_with_the_share_of_the_canary():
    """Guards against a roll-out that waits for a leader before it collects evidence."""
    rollout = started().rollouts["s"]
    assert (rollout.stage, rollout.share) == (RolloutStage.CANARY, CANARY_SHARE)
    assert (rollout.order_index, rollout.stage_index, rollout.state) == (
        1,
        1,
        "running",
    )


def test_repeated_and_conflicting_orders_change_nothing():
    """Guards against an order that restarts or replaces a roll-out in progress."""
    state = started()
    before = state.rollouts["s"]
    assert not state.apply(2, ORDER)
    assert not state.apply(3, StartRollout("s", "v3", 12_000, NOW_MS + 60_000))
    assert state.rollouts["s"] == before


@pytest.mark.parametrize("end", ["completed", "rolled_back"])
def test_order_repeated_after_the_end_changes_nothing(end):
    """Guards against a repeated order that starts a second roll-out."""
    stages = {
        "completed": (RolloutStage.FULL, RolloutStage.COMPLETED),
        "rolled_back": (RolloutStage.REVERTING, RolloutStage.ROLLED_BACK),
    }[end]
    state = started(ORDER, *stages)
    assert not state.apply(9, StartRollout("s", "v2", 12_000, NOW_MS + REPEAT_MS))
    assert state.rollouts["s"].state == end


def test_rejected_version_may_be_ordered_again():
    """Guards against a version that can never be rolled out after a failed attempt."""
    state = started(ORDER, RolloutStage.REVERTING, RolloutStage.ROLLED_BACK)
    assert state.apply(9, StartRollout("s", "v2", 12_000, NOW_MS + REPEAT_MS + 1))
    assert state.rollouts["s"].order_index == 9
    assert state.rollouts["s"].rejected_versions == ()


def test_later_roll_out_keeps_the_rejected_versions():
    """Guards against requests to a version that was rolled back earlier."""
    state = started(ORDER, RolloutStage.REVERTING, RolloutStage.ROLLED_BACK)
    assert state.apply(9, StartRollout("s", "v3", 12_000, NOW_MS))
    rollout = state.rollouts["s"]
    assert rollout.rejected_versions == ("v2",)
    assert not rollout.uses("v2", False)
    assert not rollout.uses("v2", True)


ALLOWED = {
    RolloutStage.CANARY: {"canary", "ramp", "full", "reverting"},
    RolloutStage.RAMP: {"ramp", "full", "reverting"},
    RolloutStage.FULL: {"completed", "reverting"},
    RolloutStage.REVERTING: {"rolled_back"},
    RolloutStage.COMPLETED: set(),
    RolloutStage.ROLLED_BACK: set(),
}


@pytest.mark.parametrize("stage", RolloutStage)
def test_stage_of_a_deposed_leader_does_not_undo_that_of_its_successor(stage):
    """Guards against a stage that is committed late, after a later one."""
    paths = {
        RolloutStage.CANARY: (),
        RolloutStage.COMPLETED: (RolloutStage.FULL, RolloutStage.COMPLETED),
        RolloutStage.ROLLED_BACK: (RolloutStage.REVERTING, RolloutStage.ROLLED_BACK),
    }
    for following in RolloutStage:
        state = started(ORDER, *paths.get(stage, (stage,)))
        is_applied = state.apply(9, AdvanceRollout("s", 1, following, 0.2))
        assert is_applied == (following.value in ALLOWED[stage])


def test_stage_of_another_roll_out_is_ignored():
    """Guards against a late stage that ends the next roll-out of the service."""
    state = started()
    assert not state.apply(2, AdvanceRollout("s", 7, RolloutStage.REVERTING, 0.0))
    assert not state.apply(3, AdvanceRollout("t", 1, RolloutStage.REVERTING, 0.0))


@pytest.mark.parametrize(
    ("stages", "used_by_old", "used_by_target"),
    [
        ((), {"", "v1"}, {"v2"}),
        ((RolloutStage.RAMP,), {"", "v1"}, {"v2"}),
        ((RolloutStage.FULL,), set(), {"v2"}),
        ((RolloutStage.REVERTING,), {"", "v1"}, set()),
        ((RolloutStage.REVERTING, RolloutStage.ROLLED_BACK), {"", "v1"}, set()),
    ],
)
def test_versions_used_in_each_stage(stages, used_by_old, used_by_target):
    """Guards against requests to the version that a stage excludes."""
    rollout = started(ORDER, *stages).rollouts["s"]
    versions = {"", "v1", "v2"}
    assert {v for v in versions if rollout.uses(v, False)} == used_by_old
    assert {v for v in versions if rollout.uses(v, True)} == used_by_target


def test_versions_used_after_the_end():
    """Guards against requests to endpoints that are being stopped.

    A version that appears later without an order is treated like the others.
    """
    state = started(ORDER, RolloutStage.FULL)
    state.apply(9, AdvanceRollout("s", 1, RolloutStage.COMPLETED, 1.0, ("v1", "v2")))
    rollout = state.rollouts["s"]
    used = {v for v in ("", "v1", "v2", "v3") if rollout.uses(v, True)}
    assert used == {"", "v2", "v3"}


def test_side_that_takes_over_without_usable_endpoints():
    """Guards against attempts at the version that is being phased out."""
    canary = started().rollouts["s"]
    assert canary.fallback(is_target=True) is False
    assert canary.fallback(is_target=False) is None
    full = started(ORDER, RolloutStage.FULL).rollouts["s"]
    assert full.fallback(is_target=True) is None
    assert full.fallback(is_target=False) is True


def test_share_decides_the_version_of_an_attempt():
    """Guards against attempts at a target whose share is 0, or at an old version."""
    assert not started(ORDER, RolloutStage.REVERTING).rollouts["s"].draws_target(0.0)
    assert started(ORDER, RolloutStage.FULL).rollouts["s"].draws_target(0.999)
    assert started().rollouts["s"].draws_target(0.0)
    assert not started().rollouts["s"].draws_target(CANARY_SHARE)


def test_snapshot_keeps_roll_outs():
    """Guards against a roll-out that is lost with the log before a snapshot."""
    state = started(ORDER, RolloutStage.FULL)
    state.apply(9, AdvanceRollout("s", 1, RolloutStage.COMPLETED, 1.0, ("v1",)))
    assert decode_replicated_state(state.encode()) == state


def test_state_without_roll_outs_is_encoded_as_by_earlier_versions():
    """Guards against a key that processes of an earlier version don't know."""
    state = ReplicatedState()
    state.apply(1, Configure(1, "{}"))
    assert "rollouts" not in state.encode()
    assert "rollouts" not in state.encode_since(0, 0)


def test_subscriber_receives_each_change_of_a_roll_out():
    """Guards against an entry that misses a stage in a difference."""
    state, held = ReplicatedState(), ReplicatedState()
    commands = [
        Configure(1, "{}"),
        ORDER,
        StartRollout("t", "v9", 5_000, NOW_MS),
        AdvanceRollout("s", 2, RolloutStage.RAMP, 0.25),
        Configure(2, "{ }"),
        AdvanceRollout("s", 2, RolloutStage.FULL, 1.0),
    ]
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
        held = held.merged(state.encode_since(held.index, held.version))
        assert held == state


def test_sender_of_an_earlier_version_removes_no_roll_out():
    """Guards against an entry that forgets a stage during an upgrade of control."""
    held = started()
    fields = ReplicatedState(index=5).encode()
    assert held.merged(fields).rollouts == held.rollouts


def test_malformed_roll_out_is_left_out():
    """Guards against one malformed roll-out that hides the others."""
    state = started()
    fields = state.encode()
    fields["rollouts"] = [["x"], *fields["rollouts"], None]
    problems = []
    assert decode_replicated_state(fields, problems.append) == state
    assert len(problems) == 2


@pytest.mark.parametrize("position", range(10))
def test_malformed_field_of_a_roll_out_is_rejected(position):
    """Guards against a field of a wrong type in the state of an entry."""
    fields = started().rollouts["s"].encode()
    fields[position] = {"x": 1}
    with pytest.raises(ValueError, match="roll-out"):
        decode_rollout(fields)


def test_roll_outs_are_bounded():
    """Guards against a state that grows with each service that ever had a roll-out."""
    state = ReplicatedState()
    n_services = MAX_ROLLOUTS + 10
    for n in range(n_services):
        index = 3 * n + 1
        service = f"s-{n}"
        state.apply(index, StartRollout(service, "v2", 1_000, NOW_MS))
        for k, stage in enumerate((RolloutStage.FULL, RolloutStage.COMPLETED), 1):
            state.apply(index + k, AdvanceRollout(service, index, stage, 1.0))
    assert len(state.rollouts) == MAX_ROLLOUTS
    assert f"s-{n_services - 1}" in state.rollouts
