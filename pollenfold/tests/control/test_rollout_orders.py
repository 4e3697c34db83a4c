"""Orders of roll-outs at control replicas, sent twice, late, wrongly or in conflict."""

import json

import curio
import pytest

from pollenfold.core.clock import ManualClock
from pollenfold.core.command_encoding import encode_command
from pollenfold.core.errors import ErrorKind
from pollenfold.core.replicated_state import (
    AdvanceRollout,
    ReplicatedState,
    StartRollout,
)
from pollenfold.core.rollouts.order_age import OrderAges
from pollenfold.core.rollouts.state import RolloutStage, start_rollout
from pollenfold.http.messages import Request
from pollenfold.platform.documents import DocumentError
from pollenfold.platform.rollout_documents import decode_rollout_order
from pollenfold.tests.control.test_cluster import follower
from pollenfold.tests.platform.test_documents import CONFIGURATION

PATH = "/-/rollouts"
ORDER = {"service": "booking", "targetVersion": "v2", "durationS": 12}


async def configure(cluster):
    put = await cluster.call(cluster.leader(), b"PUT", "/-/config", CONFIGURATION)
    assert put.status == 200


async def post(cluster, number, **changes):
    response = await cluster.call(number, b"POST", PATH, {**ORDER, **changes})
    return response.status


async def get(cluster, number, service="booking"):
    response = await cluster.call(number, b"GET", f"{PATH}/{service}")
    return response.status, json.loads(response.body)


async def advance(cluster, *stages):
    """Commit stages of the roll-out, as the leader does."""
    state = cluster.running[cluster.leader()].node.cluster_state
    for stage in stages:
        index = state.replicated_state.rollouts["booking"].order_index
        command = encode_command(AdvanceRollout("booking", index, stage, 0.5))
        assert (await state.commands.propose(command, 2_000.0)).is_ok()


def rollouts(cluster):
    state = cluster.running[cluster.leader()].node.cluster_state.replicated_state
    return state.rollouts


def test_order_is_in_force_on_every_replica(with_cluster):
    """Guards against a replica that answers from an older state."""

    async def body(cluster):
        await configure(cluster)
        assert (await get(cluster, follower(cluster)))[0] == 404
        assert await post(cluster, follower(cluster)) == 200
        for number in cluster.running:
            expected = (200, {"state": "running", "targetVersion": "v2"})
            assert await get(cluster, number) == expected
        assert (await get(cluster, cluster.leader(), "workshop"))[0] == 404

    with_cluster(body)


def test_order_sent_again_is_acknowledged_and_starts_nothing(with_cluster):
    """Guards against a second roll-out, in progress and after the end."""

    async def body(cluster):
        await configure(cluster)
        assert await post(cluster, follower(cluster)) == 200
        before = rollouts(cluster)["booking"]
        for number in cluster.running:
            assert await post(cluster, number) == 200
        assert rollouts(cluster)["booking"] == before
        await advance(cluster, RolloutStage.REVERTING, RolloutStage.ROLLED_BACK)
        for number in cluster.running:
            assert await post(cluster, number) == 200
        assert rollouts(cluster)["booking"].state == "rolled_back"
        assert rollouts(cluster)["booking"].order_index == before.order_index

    with_cluster(body)


def test_order_received_by_all_replicas_at_once_starts_one_roll_out(with_cluster):
    """Guards against a copy that is refused, or starts a roll-out of its own."""

    async def body(cluster):
        await configure(cluster)
        tasks = [
            await curio.spawn(post, cluster, number)
            for number in [*cluster.running, *cluster.running]
        ]
        assert [await task.join() for task in tasks] == [200] * len(tasks)
        state = cluster.running[cluster.leader()].node.cluster_state
        assert len(state.replicated_state.rollouts) == 1
        expected = (200, {"state": "running", "targetVersion": "v2"})
        assert await get(cluster, follower(cluster)) == expected

    with_cluster(body)


def test_conflicting_orders_at_once_start_one_roll_out(with_cluster):
    """Guards against two targets that are both acknowledged."""

    async def body(cluster):
        await configure(cluster)
        tasks = [await curio.spawn(post, cluster, number) for number in cluster.running]
        tasks += [
            await curio.spawn(lambda n=number: post(cluster, n, targetVersion="v3"))
            for number in cluster.running
        ]
        statuses = [await task.join() for task in tasks]
        target = rollouts(cluster)["booking"].target_version
        expected = [200] * 3 + [409] * 3
        assert statuses == (expected if target == "v2" else expected[::-1])

    with_cluster(body)


def test_other_target_gets_409_until_the_roll_out_ends(with_cluster):
    """Guards against a second target while a roll-out is in progress."""

    async def body(cluster):
        await configure(cluster)
        assert await post(cluster, cluster.leader()) == 200
        for number in cluster.running:
            assert await post(cluster, number, targetVersion="v3") == 409
        assert await post(cluster, follower(cluster), service="workshop") == 200
        await advance(cluster, RolloutStage.FULL, RolloutStage.COMPLETED)
        assert await post(cluster, follower(cluster), targetVersion="v3") == 200
        assert rollouts(cluster)["booking"].target_version == "v3"

    with_cluster(body)


def test_order_of_a_sender_that_left_starts_nothing(with_cluster):
    """Guards against a delayed copy of an order that starts a second roll-out."""

    async def body(cluster):
        await configure(cluster)
        order = StartRollout("booking", "v2", 12_000, 1_780_000_000_000)

        async def gone():
            return False

        async def known(state, service):
            return True

        for number in cluster.running:
            orders = cluster.running[number].node.rollout_orders
            result = await orders.submit(order, known, 900.0, gone)
            assert result.error is ErrorKind.ABANDONED
        assert not rollouts(cluster)

    with_cluster(body)


def test_delayed_order_of_the_previous_version_starts_nothing(with_cluster):
    """Guards against a copy that is paused after the check of its sender and arrives
    when the next roll-out has been ordered."""

    async def body(cluster):
        await configure(cluster)
        n_checks = 0

        async def leaves_after_the_check():
            nonlocal n_checks
            n_checks += 1
            if n_checks == 1:
                assert await post(cluster, cluster.leader(), targetVersion="v3") == 200
                await advance(cluster, RolloutStage.FULL, RolloutStage.COMPLETED)
            return n_checks == 1

        async def known(state, service):
            return True

        order = StartRollout("booking", "v2", 12_000, 1_780_000_000_000)
        orders = cluster.running[follower(cluster)].node.rollout_orders
        late = await orders.submit(order, known, 2_000.0, leaves_after_the_check)
        assert late.error is ErrorKind.ABANDONED
        assert rollouts(cluster)["booking"].target_version == "v3"

    with_cluster(body)


def test_unknown_service_is_refused_with_the_name_of_the_field(with_cluster):
    """Guards against a roll-out of a service that doesn't exist."""

    async def body(cluster):
        response = await cluster.call(cluster.leader(), b"POST", PATH, ORDER)
        assert response.status == 400
        await configure(cluster)
        for number in cluster.running:
            document = {**ORDER, "service": "nowhere"}
            response = await cluster.call(number, b"POST", PATH, document)
            assert response.status == 400
            assert "service" in json.loads(response.body)["detail"]
        assert not rollouts(cluster)

    with_cluster(body)


def test_service_of_a_configuration_that_is_not_applied_yet_is_known(with_cluster):
    """Guards against a 400 from a replica that lags behind."""

    async def body(cluster):
        await configure(cluster)
        number = follower(cluster)
        state = cluster.running[number].node.cluster_state
        document = {**CONFIGURATION, "version": 8}
        document["services"] = [
            *CONFIGURATION["services"],
            {**CONFIGURATION["services"][0], "name": "new"},
        ]
        put = await cluster.call(cluster.leader(), b"PUT", "/-/config", document)
        assert put.status == 200
        assert await post(cluster, number, service="new") == 200
        assert state.replicated_state.version == 8

    with_cluster(body)


def test_replica_without_a_majority_answers_503(with_cluster):
    """Guards against answers from a state that may be outdated, and against an order
    that is acknowledged or refused without the others."""

    async def body(cluster):
        await configure(cluster)
        assert await post(cluster, cluster.leader()) == 200
        last, *others = sorted(cluster.running, key=lambda k: k == cluster.leader())
        for number in others:
            await cluster.stop(number)
        assert (await get(cluster, last))[0] == 503
        assert (await get(cluster, last, "workshop"))[0] == 503
        for service in ("booking", "workshop", "nowhere"):
            assert await post(cluster, last, service=service) == 503

    with_cluster(body)


BAD_ORDERS = [
    ({k: v for k, v in ORDER.items() if k != "service"}, "service"),
    ({k: v for k, v in ORDER.items() if k != "targetVersion"}, "targetVersion"),
    ({k: v for k, v in ORDER.items() if k != "durationS"}, "durationS"),
    ({**ORDER, "service": ""}, "service"),
    ({**ORDER, "service": ["booking"]}, "service"),
    ({**ORDER, "service": "\ud800"}, "service"),
    ({**ORDER, "service": "s" * 129}, "service"),
    ({**ORDER, "targetVersion": 2}, "targetVersion"),
    ({**ORDER, "targetVersion": ""}, "targetVersion"),
    ({**ORDER, "targetVersion": "v\n2"}, "targetVersion"),
    ({**ORDER, "targetVersion": None}, "targetVersion"),
    ({**ORDER, "durationS": "12"}, "durationS"),
    ({**ORDER, "durationS": 0}, "durationS"),
    ({**ORDER, "durationS": -1}, "durationS"),
    ({**ORDER, "durationS": True}, "durationS"),
    ({**ORDER, "durationS": 1e300}, "durationS"),
    ({**ORDER, "durationS": float("nan")}, "durationS"),
    ({**ORDER, "durationS": float("inf")}, "durationS"),
    ({**ORDER, "durationS": {}}, "durationS"),
]


@pytest.mark.parametrize(("document", "field"), BAD_ORDERS)
def test_malformed_order_names_the_field(document, field):
    """Guards against an order that is read differently from what was meant."""
    with pytest.raises(DocumentError, match=f"^{field}: "):
        decode_rollout_order(json.dumps(document).encode())


@pytest.mark.parametrize(
    "body", [b"", b"{", b"\xff", b"[]", b"null", b"[" * 100_000, b'"v2"', b"7"]
)
def test_unreadable_order_is_refused(body):
    """Guards against a body that ends the handling of a request with an error."""
    with pytest.raises(DocumentError):
        decode_rollout_order(body)


def test_malformed_order_changes_nothing(with_cluster):
    """Guards against a response other than 400, and a roll-out of a bad order."""

    async def body(cluster):
        await configure(cluster)
        api = cluster.running[follower(cluster)].api
        for document, field in BAD_ORDERS:
            body = json.dumps(document).encode()
            response = await api.handle(Request(b"POST", PATH.encode(), [], body))
            assert response.status == 400
            assert json.loads(response.body)["detail"].startswith(field)
        assert not rollouts(cluster)

    with_cluster(body)


# The age of an order


NOW_MS = 1_780_000_000_000.0
ROLLOUT = start_rollout(None, "s", "v2", 12_000, int(NOW_MS), 1)


def steady_ages(clock):
    ages = OrderAges()
    for _ in range(30):
        ages.record_contact(True, clock())
        clock.advance(100.0)
    return ages


def test_age_of_an_order_ignores_the_time_of_day():
    """Guards against a roll-out that ends early or late after a jump of the time."""
    clock = ManualClock(5_000.0)
    ages = steady_ages(clock)
    ages.record_order(ROLLOUT, clock(), NOW_MS + 60_000.0)
    clock.advance(3_000.0)
    assert ages.elapsed_ms(ROLLOUT, clock(), NOW_MS - 1e9) == 3_000.0


@pytest.mark.parametrize(
    ("age_ms", "expected_ms"),
    [(4_000.0, 4_000.0), (-90_000.0, 0.0), (90_000.0, 12_000.0)],
)
def test_age_after_a_restart_is_within_the_duration(age_ms, expected_ms):
    """Guards against an age that a jump of the time makes negative or endless."""
    clock = ManualClock(5_000.0)
    ages = OrderAges()
    ages.record_order(ROLLOUT, clock(), NOW_MS + age_ms)
    assert ages.elapsed_ms(ROLLOUT, clock(), NOW_MS) == expected_ms
    clock.advance(500.0)
    assert ages.elapsed_ms(ROLLOUT, clock(), NOW_MS) == expected_ms + 500.0


def test_order_applied_after_a_pause_is_old():
    """Guards against a replica that was paused or isolated, applies an order late and
    takes it for a new one."""
    clock = ManualClock(5_000.0)
    ages = steady_ages(clock)
    clock.advance(4_000.0)
    ages.record_order(ROLLOUT, clock(), NOW_MS + 4_000.0)
    assert ages.elapsed_ms(ROLLOUT, clock(), NOW_MS) == 4_000.0
    ages = steady_ages(clock)
    ages.record_contact(False, clock())
    ages.record_contact(True, clock())
    ages.record_order(ROLLOUT, clock(), NOW_MS + 3_000.0)
    assert ages.elapsed_ms(ROLLOUT, clock(), NOW_MS) == 3_000.0


def test_state_starts_without_roll_outs():
    """Guards against a shared default of the roll-outs of two states."""
    state = ReplicatedState()
    state.rollouts["s"] = ROLLOUT
    assert not ReplicatedState().rollouts
