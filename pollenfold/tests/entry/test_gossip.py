"""Gossip between entries: pushes, digests, the first copy, malformed messages."""

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.clock import ManualClock
from pollenfold.core.membership import EndpointTable, MergeOutcome, WarmState
from pollenfold.entry.gossip import COPY_DEADLINE_MS, Gossip
from pollenfold.testing.endpoints import make_endpoint
from pollenfold.testing.gossip import GossipFleet
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.frames import Protocol
from pollenfold.wire.membership import (
    Push,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from pollenfold.wire.rpc import RpcClient, RpcServer

SERVICE = "pearl-market"


@pytest.fixture
def fleet():
    return GossipFleet(19)


def test_push_reaches_all_peers_at_once(run, fleet):
    """Guards against a leave that takes several gossip rounds to reach all entries."""

    async def main():
        endpoint = make_endpoint(is_leaving=True)
        for table in fleet.tables:
            table.merge(make_endpoint(), fleet.clock())
        fleet.tables[0].merge(endpoint, fleet.clock())
        fleet.peers[3].is_reachable = False
        result = await fleet.gossips[0].push([endpoint])
        assert (result.n_peers, result.n_acknowledged) == (18, 17)
        assert not result.is_complete
        assert [bool(serving) for serving in fleet.serving_endpoints(SERVICE)].count(
            True
        ) == 1

    run(main)


def test_digests_spread_what_pushes_missed(run, fleet):
    """Guards against an entry that keeps a leaving endpoint after a lost push, and
    against a heartbeat that reaches only some entries within the ttl."""

    async def main():
        for n in range(30):
            endpoint = make_endpoint(port=1000 + n)
            fleet.tables[n % 19].merge(endpoint, fleet.clock())
        fleet.tables[1].merge(
            make_endpoint(port=1001, heartbeat=5, warm=WarmState(1, True)),
            fleet.clock(),
        )
        fleet.tables[2].merge(make_endpoint(port=1002, is_leaving=True), fleet.clock())
        await fleet.exchange(10)
        first = fleet.tables[0].endpoints(SERVICE)
        assert len(first) == 29
        assert all(serving == first for serving in fleet.serving_endpoints(SERVICE))
        fleet.tables[4].merge(make_endpoint(port=1004, heartbeat=9), fleet.clock())
        await fleet.exchange(10)
        key = make_endpoint(port=1004).key
        assert {table.get(key).heartbeat for table in fleet.tables} == {9}

    run(main)


def test_starting_entry_copies_warm_states_and_leaves(run):
    """Guards against a restarted entry that treats warm endpoints as cold or
    leaving endpoints as serving."""

    async def main():
        fleet = GossipFleet(2)
        old, new = fleet.tables
        for n in range(1500):
            warm = make_endpoint(port=1000 + n, warm=WarmState(1, True))
            old.merge(warm, fleet.clock())
        old.merge(make_endpoint(port=999, is_leaving=True), fleet.clock())
        fleet.gossips[0].is_ready = True
        await fleet.gossips[1].copy_from_peers()
        assert fleet.gossips[1].is_ready
        assert new.endpoints(SERVICE) == old.endpoints(SERVICE)
        late = new.merge(make_endpoint(port=999, heartbeat=8), fleet.clock())
        assert late is MergeOutcome.RENEWED
        assert len(new.endpoints(SERVICE)) == 1500

    run(main)


def test_entry_is_not_ready_while_no_peer_responds(run):
    """Guards against an entry that becomes ready with an empty table although a peer
    has one, and against one that never becomes ready because its peers are down."""

    async def main():
        fleet = GossipFleet(2)
        fleet.peers[0].is_reachable = False
        task = await curio.spawn(fleet.gossips[1].copy_from_peers)
        await curio.sleep(0.15)
        assert not fleet.gossips[1].is_ready
        fleet.clock.advance(COPY_DEADLINE_MS)
        await task.join()
        assert fleet.gossips[1].is_ready

    run(main)


def test_first_entries_of_a_fleet_become_ready(run, fleet):
    """Guards against a deadlock of starting entries that wait for each other's copy."""

    async def main():
        async with curio.TaskGroup() as group:
            for gossip in fleet.gossips:
                await group.spawn(gossip.copy_from_peers)
        assert all(gossip.is_ready for gossip in fleet.gossips)

    run(main)


def _complete_messages():
    table = EndpointTable()
    for n in range(10):
        table.merge(make_endpoint(port=1000 + n), ManualClock()())
    entries = tuple(table.entries(ManualClock()(), range(64)))
    difference = table.difference(EndpointTable().digest(), ManualClock()())
    return [
        (decode_request, encode_request(Push(entries))),
        (decode_request, encode_request(table.digest())),
        (decode_response, encode_response(difference)),
    ]


@given(
    st.sampled_from(_complete_messages()),
    st.lists(st.tuples(st.integers(0, 4000), st.integers(0, 255)), max_size=6),
    st.integers(0, 64),
)
def test_damaged_messages_raise_only_value_error(message, damage, n_truncated):
    """Guards against a damaged message that ends the gossip task with an unhandled
    error: decoders may raise ValueError only."""
    decode, data = message
    damaged = bytearray(data[: len(data) - n_truncated])
    for position, value in damage:
        damaged[position % len(damaged)] = value
    try:
        decode(bytes(damaged))
    except ValueError:
        pass


def test_refused_messages_change_nothing(run, fleet):
    """Guards against malformed messages and oversized names that reach the table."""

    async def main():
        for payload in (b"", b"\xff" * 64, encode_request(Push(()))[:-3]):
            with pytest.raises(ValueError):
                await fleet.gossips[1].handle(payload)
        result = await fleet.gossips[0].push([make_endpoint(zone="z" * 5000)])
        assert result.n_acknowledged == 0
        assert all(len(table) == 0 for table in fleet.tables)

    run(main)


@pytest.mark.parametrize(
    "changes",
    [
        {"zone": "z" * 5000},
        {"host": "fe80::1%" + "x" * 200},
        {"host": "a.example"},
        {"slots": 0},
        {"incarnation": (1 << 64) - 1},
    ],
    ids=["zone", "scope", "host_name", "slots", "incarnation"],
)
def test_malformed_endpoint_hides_no_other(run, fleet, changes):
    """Guards against one malformed endpoint in a message of a peer that is merged, that
    hides the others, or that is acknowledged."""

    async def main():
        true = make_endpoint(port=81)
        result = await fleet.gossips[0].push([make_endpoint(**changes), true])
        assert result.n_acknowledged == 0
        for table in fleet.tables[1:]:
            assert table.get(true.key) is not None
            assert len(table) == 1

    run(main)


def test_push_over_sockets(run):
    """Guards against messages that exceed the limits of the real transport."""

    async def main():
        fleet = GossipFleet(1)
        server = RpcServer({Protocol.MEMBERSHIP: fleet.gossips[0].handle})
        sock = listening_socket("127.0.0.1", 0)
        task = await curio.spawn(
            curio.network.run_server, sock, server.handle, daemon=True
        )
        client = RpcClient("127.0.0.1", sock.getsockname()[1])
        sender = Gossip(EndpointTable(), lambda: {"a": client}, fleet.clock, 1)
        endpoints = [make_endpoint(port=1000 + n) for n in range(1200)]
        result = await sender.push(endpoints)
        assert result.is_complete
        assert fleet.tables[0].endpoints(SERVICE) == tuple(endpoints)
        await client.close()
        await task.cancel()

    run(main)
