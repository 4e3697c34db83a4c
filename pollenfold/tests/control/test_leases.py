"""Lease requests to the control leader, a follower and a new leader."""

import json

import curio
import pytest

from pollenfold.control.leases import MAX_WAIT_MS
from pollenfold.core.configuration import Change
from pollenfold.core.directory import LeaveNotice, LiveEntry
from pollenfold.core.errors import ErrorKind
from pollenfold.observe.clock import system_clock
from pollenfold.wire.frames import MAX_PAYLOAD_BYTES
from pollenfold.wire.lease import (
    AgedNotice,
    LeaseRequest,
    decode_response,
    encode_request,
)

NOTICE = AgedNotice(LeaveNotice("10.0.0.1:80", "s", 5), 10.0)


def request(name="e1", **changes):
    fields = {
        "entry": LiveEntry(name, 1, "127.0.0.1", 1, 2, 3, "a"),
        "acknowledged": 0,
        "cursor": 0,
        "directory_revision": 0,
        "epoch": 0,
        "notice_sequence": 0,
        "notices": (),
        "wait_ms": 0.0,
        "holds_lease": False,
    }
    return LeaseRequest(**{**fields, **changes})


async def request_lease(control, **changes):
    payload = await control.leases.handle(encode_request(request(**changes)))
    return decode_response(payload).ok


async def long_poll(control, **changes):
    """Send the request of an entry that is up to date, and wait for the response."""
    known = await request_lease(control)
    return await request_lease(
        control,
        cursor=known.cursor,
        directory_revision=known.directory_revision,
        epoch=known.epoch,
        notice_sequence=known.notice_sequence,
        wait_ms=MAX_WAIT_MS,
        **changes,
    )


async def put_zone_record(control, name, version=1, size=0):
    spec = {"state": "out", "note": "x" * size}
    fields = {
        "schema_version": 2,
        "kind": "zone",
        "name": name,
        "version": version,
        "spec": spec,
    }
    change = Change(f"{name}-{version}", json.dumps(fields).encode())
    result = await control.state.submit(change, 1000)
    assert result.ok.error is None


def test_update_completes_a_long_poll_immediately(control_run):
    """Guards against an evacuated zone that stays in use until a long poll ends."""

    async def main(control):
        poll = await curio.spawn(long_poll, control)
        await curio.sleep(0.05)
        started = system_clock()
        await put_zone_record(control, "b")
        response = await poll.join()
        assert system_clock() - started < MAX_WAIT_MS / 2
        assert response.error is None
        assert [json.loads(data)["name"] for _, data in response.records] == ["b"]

    control_run(main)


def test_long_poll_without_updates_completes_in_time(control_run):
    """Guards against a lease that expires during a long poll."""

    async def main(control):
        started = system_clock()
        response = await long_poll(control)
        assert response.error is None
        assert response.records == ()
        assert response.directory == ()
        assert MAX_WAIT_MS <= system_clock() - started < 2 * MAX_WAIT_MS

    control_run(main)


def test_follower_names_the_leader(control_run):
    """Guards against an entry that can't find the leader, or a lease granted by a
    follower."""

    async def main(control):
        control.peers["c2"] = ("127.0.0.1", 7777)
        poll = await curio.spawn(long_poll, control)
        await curio.sleep(0.05)
        control.replica.follow("c2")
        for response in (await poll.join(), await request_lease(control)):
            assert response.error is ErrorKind.NOT_LEADER
            assert response.leader == ("127.0.0.1", 7777)
        control.replica.follow(None)
        assert (await request_lease(control)).leader is None

    control_run(main)


def test_new_leader_grants_only_to_entries_that_hold_a_lease(control_run):
    """Guards against more leases than max_entries after a leader change."""

    async def main(control):
        first = await request_lease(control)
        control.replica.follow("c2")
        control.replica.lead()
        while control.state.leadership() is None:
            await curio.sleep(0.01)
        assert (await request_lease(control, name="e2")).error is ErrorKind.NOT_READY
        held = await request_lease(control, holds_lease=True)
        assert held.error is None
        assert held.epoch > first.epoch
        assert held.directory_revision == 0

    control_run(main)


def test_temporary_loss_of_leadership_keeps_the_directory(control_run):
    """Guards against reporting a revision in force after forgetting granted leases."""

    async def main(control):
        await request_lease(control)
        since = control.replica.leader_since()
        control.replica.follow("c1x")
        await curio.sleep(0.05)
        control.replica.lead()
        control.replica._since = since
        await put_zone_record(control, "b")
        held = control.state.leadership()
        assert held.directory.in_force_revision(1, system_clock()) == 0
        assert held.directory.entries_behind(1, system_clock()) == ["e1"]

    control_run(main)


def test_leave_notice_reaches_other_entries(control_run):
    """Guards against requests to a departed endpoint from a partitioned entry."""

    async def main(control):
        poll = await curio.spawn(long_poll, control)
        await curio.sleep(0.05)
        await request_lease(control, name="e2", notices=(NOTICE,))
        response = await poll.join()
        assert [aged.notice for aged in response.notices] == [NOTICE.notice]
        assert response.notices[0].age_ms >= NOTICE.age_ms

    control_run(main)


def test_large_configuration_comes_in_several_responses(control_run):
    """Guards against a configuration that exceeds the frame size."""

    async def main(control):
        for index in range(25):
            await put_zone_record(control, f"z{index}", size=50_000)
        names, cursor, n_responses = [], 0, 0
        while cursor < 25:
            payload = await control.leases.handle(
                encode_request(request(cursor=cursor))
            )
            assert len(payload) < MAX_PAYLOAD_BYTES
            response = decode_response(payload).ok
            assert response.cursor > cursor
            names += [json.loads(data)["name"] for _, data in response.records]
            cursor, n_responses = response.cursor, n_responses + 1
        assert names == [f"z{index}" for index in range(25)]
        assert n_responses > 1

    control_run(main)


@pytest.mark.parametrize(
    "changes",
    [
        {"acknowledged": 99, "cursor": 99},
        {"entry": LiveEntry("", 1, "127.0.0.1", 1, 2, 3, "a")},
        {"entry": LiveEntry("e", 1, "h" * 65, 1, 2, 3, "a")},
        {"notices": (AgedNotice(LeaveNotice("1.1.1.1:1", "s" * 65, 1), 0),)},
        {"notices": (NOTICE,) * 2001},
        {"wait_ms": float("nan")},
    ],
)
def test_bad_request_gets_no_lease(control_run, changes):
    """Guards against invalid or oversized values in the directory of every entry."""

    async def main(control):
        assert (await request_lease(control, **changes)).error is ErrorKind.BAD_REQUEST
        assert control.state.leadership().directory.live_entries() == ()

    control_run(main)


@pytest.mark.parametrize("garbage", [b"", b"\x00" * 7, b"\xff" * 64, b"a" * 4096])
def test_malformed_request_is_rejected(control_run, garbage):
    """Guards against a leader that stops on malformed requests."""

    async def main(control):
        response = decode_response(await control.leases.handle(garbage)).ok
        assert response.error in (ErrorKind.BAD_FRAME, ErrorKind.BAD_REQUEST)
        assert (await request_lease(control)).error is None

    control_run(main)
