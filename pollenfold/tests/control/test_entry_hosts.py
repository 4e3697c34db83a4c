"""Which hosts of entries a control replica sends to an entry, and how many bytes."""

import json

import curio

from pollenfold.control.entry_hosts import MAX_CHANGES_PER_LINE, EntryHosts
from pollenfold.tests.control.test_feed_server import (
    Subscriber,
    wait_until,
    with_feed,
)

__all__ = ["with_feed"]

N_ENTRIES = 312


def received_hosts(subscriber):
    """Return host and zone by entry name, as the received lines report them."""
    return {
        name: (host, zone)
        for line in subscriber.lines
        for zone, hosts in line.get("peers", {}).items()
        for name, host in hosts.items()
    }


async def connect_entry(port, name, zone="a", is_peer=True, wants_updates=True):
    subscriber = Subscriber(name, zone, "entry")
    if is_peer:
        subscriber.hello["relay"] = 1
    await subscriber.open(port, wants_updates)
    return subscriber


def test_hosts_of_entries_reach_only_subscribers_of_updates(with_feed):
    """Guards against hosts that each replica sends to each entry, and against requests
    that are relayed to an entry of an earlier version."""

    async def body(cluster_state, connect):
        near = await connect_entry(connect.port, "near", "a")
        far = await connect_entry(connect.port, "far", "b", wants_updates=False)
        await connect_entry(connect.port, "earlier", "b", is_peer=False)
        replica = await connect("c2", role="control")
        known = {"near": ("127.0.0.1", "a"), "far": ("127.0.0.1", "b")}
        await wait_until(lambda: received_hosts(near) == known)
        await wait_until(lambda: near.entries() == {"near", "far", "earlier"})
        assert not received_hosts(far)
        assert not received_hosts(replica)
        await far.send({"news": 1})
        await wait_until(lambda: received_hosts(far) == known)

    with_feed(body)


def test_each_host_is_sent_once_to_a_subscriber(with_feed):
    """Guards against the whole list in each line, quadratic in the number of
    entries."""

    async def body(cluster_state, connect):
        first = await connect_entry(connect.port, "e0")
        for number in range(1, 10):
            await connect_entry(connect.port, f"e{number}")
        await wait_until(lambda: len(received_hosts(first)) == 10)
        await curio.sleep(1.2)
        lines = [line["peers"]["a"] for line in first.lines if "peers" in line]
        assert sum(len(hosts) for hosts in lines) == 10

    with_feed(body)


def test_bytes_are_bounded_when_all_entries_start_together():
    """Guards against a start of all entries that saturates the links of control."""
    hosts = EntryHosts()
    entries = {
        f"front-ho-chi-minh-{n}": (f"10.100.{100 + n // 200}.{n % 200 + 1}", "a")
        for n in range(N_ENTRIES)
    }
    hosts.update(entries)
    received, number, n_bytes = {}, 0, []
    while True:
        zones, number = hosts.changes_since(number)
        if not zones:
            break
        received |= zones["a"]
        n_bytes.append(len(json.dumps({"peers": zones}, separators=(",", ":"))))
    assert received == {name: host for name, (host, _) in entries.items()}
    assert max(n_bytes) < 50 * MAX_CHANGES_PER_LINE
    assert sum(n_bytes) < 50 * N_ENTRIES


def test_changed_and_removed_entries():
    """Guards against an old address of an entry that came back elsewhere."""
    hosts = EntryHosts()
    hosts.update({"e1": ("10.0.0.1", "a"), "e2": ("10.0.0.2", "a")})
    _, number = hosts.changes_since(0)
    hosts.update({"e1": ("10.0.0.9", "a"), "e2": ("10.0.0.2", "a")})
    zones, number = hosts.changes_since(number)
    assert zones == {"a": {"e1": "10.0.0.9"}}
    hosts.update({"e2": ("10.0.0.2", "a")})
    assert hosts.changes_since(number) == ({}, number)
    assert hosts.changes_since(0)[0] == {"a": {"e2": "10.0.0.2"}}
