"""Lease renewals of an entry: direct, through a peer, or without control."""

import json
import socket
from dataclasses import replace

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.core.configuration import Change
from pollenfold.core.directory import LEASE_MS, LeaveNotice
from pollenfold.core.errors import ErrorKind
from pollenfold.entry.configuration import ConfigurationClient, EntryAddresses
from pollenfold.observe.clock import system_clock
from pollenfold.testing.control import FakeControlReplica
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.frames import Protocol
from pollenfold.wire.lease import decode_response, encode_request
from pollenfold.wire.rpc import RpcServer

ELECTION_MS = 1_500.0
"""How long there is no leader, which is less than a lease."""

NOTICE = LeaveNotice("10.0.0.1:80", "s", 1)


def client(name, control, peers=None, peer_port=1):
    addresses = EntryAddresses("127.0.0.1", 1, 2, peer_port)
    return ConfigurationClient(name, addresses, "a", control, peers, system_clock)


async def wait_until(condition):
    """Wait for the condition; the timeout of the test ends an endless wait."""
    while not condition():
        await curio.sleep(0.01)


def holds_lease(entry):
    return lambda: entry.has_lease(system_clock())


async def take_zone_out(control):
    fields = {"schema_version": 1, "kind": "zone", "name": "a", "version": 1}
    record = json.dumps({**fields, "spec": {"state": "out"}}).encode()
    assert (await control.state.submit(Change("x", record), 1000)).ok.error is None


async def start_peer(handler):
    sock = listening_socket("127.0.0.1", 0)
    server = RpcServer({Protocol.LEASE: handler})
    await curio.spawn(curio.network.run_server, sock, server.handle, daemon=True)
    return sock.getsockname()


def unused_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


@pytest.fixture
def started(run):
    """Return a function that runs ``main(control)`` with one control replica."""

    def run_with_control(main):
        async def start():
            control = FakeControlReplica()
            await control.start()
            await main(control)
            await control.stop()

        run(start)

    return run_with_control


def test_renewals_pass_through_a_peer(started):
    """Guards against an entry that loses its lease though a peer reaches the leader."""

    async def main(control):
        direct = client("e1", [control.peer_address])
        address = await start_peer(direct.forward)
        isolated = client("e2", [unused_address()], lambda: [unused_address(), address])
        for entry in (direct, isolated):
            await curio.spawn(entry.run, daemon=True)
        for entry in (direct, isolated):
            await wait_until(holds_lease(entry))
        await wait_until(lambda: len(isolated.directory().entries) == 2)
        started_at = system_clock()
        await isolated.add_leave_notice(NOTICE)
        await take_zone_out(control)
        await wait_until(lambda: not isolated.view().is_zone_in_service("a"))
        await wait_until(lambda: [n.notice for n in direct.leave_notices()] == [NOTICE])
        assert system_clock() - started_at < 3000
        held = control.state.leadership()
        await wait_until(lambda: held.directory.in_force_revision(1, system_clock()))
        assert system_clock() - started_at < 4000

    started(main)


def test_request_is_forwarded_only_once(started):
    """Guards against forwarding loops between entries."""

    async def main(control):
        direct = client("e1", [control.peer_address])
        request = direct._state.request(0.0, system_clock())
        for payload, error in [
            (encode_request(request), ErrorKind.NOT_READY),
            (
                encode_request(replace(request, is_forwarded=True)),
                ErrorKind.UNREACHABLE,
            ),
            (b"\xff" * 9, ErrorKind.BAD_FRAME),
        ]:
            assert decode_response(await direct.forward(payload)).ok.error is error
        received = []

        async def record(payload):
            received.append(payload)
            return b""

        address = await start_peer(record)
        isolated = client("e2", [unused_address()], lambda: [address])
        response = await isolated.forward(encode_request(request))
        assert decode_response(response).ok.error is ErrorKind.UNREACHABLE
        assert received == []

    started(main)


def test_lease_ends_without_control_and_comes_back(started):
    """Guards against a partitioned entry that continues without a lease, and against
    one that gets no lease after the partition has healed."""

    async def main(control):
        entry = client("e1", [unused_address(), control.peer_address])
        await curio.spawn(entry.run, daemon=True)
        await wait_until(holds_lease(entry))
        control.replica.follow(None)
        stopped_at = system_clock()
        await wait_until(lambda: not entry.has_lease(system_clock()))
        assert system_clock() - stopped_at <= LEASE_MS + 100
        control.replica.lead()
        await wait_until(holds_lease(entry))

    started(main)


def test_lease_survives_a_change_of_leader(started):
    """Guards against an election during which entries lose their leases."""

    async def main(control):
        other = FakeControlReplica("c2", control.peers, control.operators)
        await other.start()
        other.replica.follow("c1")
        entry = client("e1", [control.peer_address, other.peer_address])
        await curio.spawn(entry.run, daemon=True)
        await wait_until(holds_lease(entry))
        await entry.add_leave_notice(NOTICE)
        control.replica.follow(None)
        # By the clock: pauses counted one by one outlast the lease on a busy machine.
        led_again_at = add_ms(system_clock(), ELECTION_MS)
        while system_clock() < led_again_at:
            await curio.sleep(0.01)
            assert entry.has_lease(system_clock())
        other.replica.commands = list(control.replica.commands)
        other.replica.lead()
        control.replica.follow("c2")
        await wait_until(lambda: other.state.leadership() is not None)
        directory = other.state.leadership().directory
        await wait_until(lambda: directory.notices.since(0, system_clock()))
        assert entry.has_lease(system_clock())
        assert directory.live_entries() != ()
        await other.stop()

    started(main)
