"""Which lines a control replica sends its feed subscribers, and how many."""

import json
import random

import curio
import pytest
from curio import socket

from pollenfold.control.cluster_state import ClusterState
from pollenfold.control.feed_server import (
    MAX_REQUEST_BYTES,
    REQUEST_BUDGET_BYTES,
    FeedServer,
)
from pollenfold.control.quarantine_api import handle_quarantine
from pollenfold.core.command_encoding import (
    encode_command,
)
from pollenfold.core.digests import bucket_digests
from pollenfold.core.registry import Announcement
from pollenfold.core.replicated_state import (
    Configure,
    Evacuate,
    ReplicatedState,
)
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.connections import open_connection
from pollenfold.wire.document_transfer import decode_transfer
from pollenfold.wire.lines import encode_line


class Subscriber:
    """A connection to the feed that stores all received lines."""

    def __init__(self, name, zone, role):
        self.hello = {"name": name, "zone": zone, "role": role, "news": 0}
        self.lines = []
        self.n_bytes = 0

    async def open(self, port, wants_updates):
        self.sock = await open_connection("127.0.0.1", port)
        await self.send(self.hello)
        if wants_updates:
            await self.send({"news": 1})
        self.task = await curio.spawn(self._read, daemon=True)
        await wait_until(lambda: self.lines)

    async def send(self, message):
        await self.sock.sendall(encode_line(message))

    async def _read(self):
        buffer = b""
        while data := await self.sock.recv(65536):
            self.n_bytes += len(data)
            *lines, buffer = (buffer + data).split(b"\n")
            self.lines += [json.loads(line) for line in lines]

    async def close(self):
        await self.task.cancel()
        await self.sock.close()

    def endpoint_ids(self):
        announcements = [
            fields for line in self.lines for fields in line.get("announcements", ())
        ]
        return {Announcement(*fields).endpoint_id for fields, _ in announcements}

    def repeated_ids(self):
        return {name for line in self.lines for name in line.get("heard", ())}

    def entries(self):
        """Return the entry names after the changes of all received lines."""
        names = set()
        for line in self.lines:
            names = set(line.get("entries", names)) | set(line.get("joined", ()))
            names -= set(line.get("left", ()))
        return names


class Peers:
    """Stands in for the peer view of the feed server: connected to two replicas."""

    control_hosts = frozenset(["h"])
    n_connected = 2
    connected_since = 0.0


async def wait_until(condition):
    """Wait for a condition; fail after 5 s."""
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


@pytest.fixture
def with_feed(run):
    """Return a function that runs ``body(cluster_state, connect)`` on a feed of
    zone a."""

    def run_body(body):
        async def main():
            log = EventLog("c1", system_clock, write=len)
            cluster_state = ClusterState(3, system_clock, log)
            server = FeedServer("a", cluster_state, Peers(), system_clock, log)
            sock = listening_socket("127.0.0.1", 0)
            port = sock.getsockname()[1]
            await curio.spawn(
                curio.network.run_server, sock, server._serve_subscriber, daemon=True
            )
            await curio.spawn(server.run, daemon=True)

            async def connect(name, zone="a", role="entry", wants_updates=True):
                subscriber = Subscriber(name, zone, role)
                await subscriber.open(port, wants_updates)
                return subscriber

            connect.port = port
            connect.listener = sock
            connect.server = server
            await body(cluster_state, connect)

        run(main)

    return run_body


def announcement(endpoint_id, port=80):
    return Announcement(endpoint_id, "s", "10.0.0.1", port, "a", 4, False, 0.0, 1, 1)


def test_updates_go_to_replicas_and_to_entries_that_subscribed(with_feed):
    """Guards against every replica sending each announcement to every entry."""

    async def body(cluster_state, connect):
        near = await connect("near", "a")
        far = await connect("far", "b", wants_updates=False)
        peer = await connect("peer", "b", "control", wants_updates=False)
        cluster_state.merge_announcement(announcement("i-1"))
        cluster_state.announced_ids.add("i-1")
        cluster_state.refresh_relayed(["i-2"])
        await wait_until(lambda: near.endpoint_ids() == {"i-1"})
        await wait_until(lambda: peer.endpoint_ids() == {"i-1"})
        await wait_until(lambda: any("heard" in line for line in near.lines))
        assert near.repeated_ids() == {"i-1", "i-2"}
        # Between replicas, relayed ids would keep a crashed endpoint from expiring.
        assert peer.repeated_ids() == {"i-1"}
        await far.send({"list": 1})
        await wait_until(lambda: far.endpoint_ids() == {"i-1"})
        sent = {name for line in far.lines for name in line}
        assert not sent & {"heard", "entries", "joined"}

    with_feed(body)


def test_entry_of_an_earlier_version_receives_endpoints(with_feed):
    """Guards against old entries without endpoint updates during a rolling upgrade."""

    async def body(cluster_state, connect):
        subscriber = Subscriber("old", "b", "entry")
        del subscriber.hello["news"]
        await subscriber.open(connect.port, wants_updates=False)
        cluster_state.merge_announcement(announcement("i-1"))
        await wait_until(lambda: subscriber.endpoint_ids() == {"i-1"})

    with_feed(body)


def test_entries_without_updates_still_receive_the_index_immediately(with_feed):
    """Guards against commands that are delayed until the next keep-alive line."""

    async def body(cluster_state, connect):
        far = await connect("far", "b", wants_updates=False)
        cluster_state.apply(7, encode_command(Evacuate("a", True)))
        async with curio.timeout_after(0.5):
            while not any(line["index"] == 7 for line in far.lines):
                await curio.sleep(0.01)

    with_feed(body)


def test_list_omits_endpoints_the_subscriber_has(with_feed):
    """Guards against sending the complete list to every entry on each request."""

    async def body(cluster_state, connect):
        known = [announcement(f"i-{n}", n) for n in range(200)]
        for item in known:
            cluster_state.merge_announcement(item)
        subscriber = await connect("late", "b", wants_updates=False)
        await subscriber.send({"list": 1, "digests": bucket_digests(known)})
        await wait_until(
            lambda: any("announcements" in line for line in subscriber.lines)
        )
        assert subscriber.endpoint_ids() == set()
        await subscriber.send({"list": 1, "digests": bucket_digests(known[1:])})
        await wait_until(lambda: "i-0" in subscriber.endpoint_ids())
        assert len(subscriber.endpoint_ids()) < 50

    with_feed(body)


def test_list_includes_endpoints_announced_before_the_connection(with_feed):
    """Guards against an entry that misses announcements from before it connected."""

    async def body(cluster_state, connect):
        cluster_state.merge_announcement(announcement("early"))
        subscriber = await connect("late", "b", wants_updates=False)
        assert subscriber.endpoint_ids() == set()
        await subscriber.send({"list": 1})
        await wait_until(lambda: subscriber.endpoint_ids() == {"early"})

    with_feed(body)


def test_each_entry_name_is_sent_once(with_feed):
    """Guards against feed traffic that is quadratic in the number of entries."""

    async def body(cluster_state, connect):
        first = await connect("e0")
        others = [await connect(f"e{n}") for n in range(1, 30)]
        names = {f"e{n}" for n in range(30)}
        await wait_until(lambda: first.entries() == names)
        sent = [name for line in first.lines for name in line.get("joined", ())]
        assert len(sent) <= 30
        assert sum("entries" in line for line in first.lines) <= 1
        for subscriber in others:
            await subscriber.close()
        await wait_until(lambda: first.entries() == {"e0"})

    with_feed(body)


@pytest.mark.parametrize("seed", range(3))
def test_entry_names_stay_correct_while_entries_come_and_go(with_feed, seed):
    """Guards against a stale name when an entry disconnects between two lines."""

    async def body(cluster_state, connect):
        rng = random.Random(seed)
        watcher = await connect("watcher")
        subscribers = {}
        for n in range(25):
            if subscribers and rng.random() < 0.5:
                await subscribers.pop(rng.choice(sorted(subscribers))).close()
            else:
                subscribers[f"e{n}"] = await connect(f"e{n}")
            await curio.sleep(rng.choice([0.0, 0.02, 0.1]))
        expected = {"watcher", *subscribers}
        for subscriber in (watcher, *subscribers.values()):
            await wait_until(lambda: subscriber.entries() == expected)  # noqa: B023

    with_feed(body)


def limit_reports(subscriber):
    return [
        (endpoint_id, rate_per_s)
        for line in subscriber.lines
        for endpoint_id, _, rate_per_s, _ in line.get("limits", ())
    ]


def test_report_on_a_limit_reaches_all_subscribers_once(with_feed):
    """Guards against entries that learn too late, or never, that a server's limit
    changed, and against reports that replicas send back and forth."""

    async def body(cluster_state, connect):
        cluster_state.merge_announcement(announcement("i-1"))
        reporter, other = await connect("e1"), await connect("e2")
        replica = await connect("c2", role="control")
        await reporter.send({"limits": [["i-1", 1, 3.1, 10]]})
        await reporter.send({"limits": [["i-2", 1, 3.1, 10], ["i-1", 7, 1.0, 0]]})
        await other.send({"limits": [["i-1", 1, 3.0, 0]]})
        await wait_until(lambda: limit_reports(other) and limit_reports(replica))
        await replica.send({"limits": [["i-1", 1, 3.1, 0]]})
        late = await connect("e3")
        await wait_until(lambda: limit_reports(late))
        await curio.sleep(0.1)
        for subscriber in (other, replica, late):
            assert limit_reports(subscriber) == [("i-1", 3.1)]
        await reporter.send({"limits": [["i-1", 1, None, 0]]})
        await wait_until(lambda: limit_reports(other)[-1] == ("i-1", None))

    with_feed(body)


def ended_run(server, started_age_ms):
    return [server, 1, started_age_ms, started_age_ms - 50]


DIGEST = "0" * 32
ENDED = [ended_run(f"i-{number}", 900 - 100 * number) for number in range(3)]


def quarantine_reports(subscriber):
    """Return the servers that ended, in each report that a subscriber received."""
    return [
        [run[0] for run in runs]
        for line in subscriber.lines
        for _, _, runs in line.get("quarantine", ())
    ]


def test_report_on_a_request_that_ends_servers_reaches_all_subscribers_once(with_feed):
    """Guards against a request that ends servers through entries which weren't told of
    it, and against reports that replicas send back and forth."""

    async def body(cluster_state, connect):
        reporter, other = await connect("e1"), await connect("e2")
        far = await connect("e4", wants_updates=False)
        replica = await connect("c2", role="control")
        await reporter.send({"quarantine": [[DIGEST, None, ENDED[:1]]]})
        await other.send({"quarantine": [[DIGEST, None, ENDED[1:]], ["bad"]]})
        await wait_until(lambda: cluster_state.quarantine.is_quarantined(DIGEST))
        await wait_until(lambda: quarantine_reports(replica))
        for report in quarantine_reports(replica):
            assert report in ([k[0] for k in ENDED[:1]], [k[0] for k in ENDED])
        n_reports = len(quarantine_reports(other))
        await replica.send({"quarantine": [[DIGEST, None, ENDED]]})
        late = await connect("e3")
        await wait_until(lambda: quarantine_reports(late))
        await curio.sleep(0.1)
        assert len(quarantine_reports(other)) == n_reports
        assert quarantine_reports(late) == [["i-0", "i-1", "i-2"]]
        assert not quarantine_reports(far)
        await far.send({"news": 1})
        await wait_until(lambda: quarantine_reports(far))

    with_feed(body)


def test_operator_sees_and_releases_a_quarantined_request(with_feed):
    """Guards against a request that stays refused although its servers were mended."""

    async def body(cluster_state, connect):
        entry = await connect("e1")

        def ask(method, target):
            return handle_quarantine(cluster_state, Request(method, target, [], b""))

        await entry.send({"quarantine": [[DIGEST, None, ENDED]]})
        await wait_until(lambda: cluster_state.quarantine.is_quarantined(DIGEST))
        listed = json.loads(ask(b"GET", b"/quarantine").body)
        servers = ["i-0", "i-1", "i-2"]
        assert listed == {"requests": [{"digest": DIGEST, "endpoints": servers}]}
        path = b"/quarantine/" + DIGEST.encode()
        assert ask(b"DELETE", path).status == 200
        assert ask(b"DELETE", path).status == 404
        await wait_until(lambda: [] in quarantine_reports(entry))
        assert json.loads(ask(b"GET", b"/quarantine").body) == {"requests": []}

    with_feed(body)


def test_malformed_report_changes_nothing(with_feed):
    """Guards against a damaged report that stops a feed or changes a limit."""

    async def body(cluster_state, connect):
        cluster_state.merge_announcement(announcement("i-1"))
        sender, other = await connect("e1"), await connect("e2")
        await sender.send({"limits": [["i-1", 1, "many", 0]]})
        await sender.send({"limits": 3})
        await other.send({"limits": [["i-1", 1, 2.0, 0]]})
        for subscriber in (sender, other):
            await wait_until(lambda s=subscriber: limit_reports(s) == [("i-1", 2.0)])

    with_feed(body)


def document(version, weight=50, n_routes=1_400):
    """Return a configuration of which only the version and one weight change."""
    routes = [
        {
            "name": f"route-{number}",
            "pathPrefix": f"/path-{number}/",
            "split": [
                {"service": "booking", "weight": weight if number == 70 else 50},
                {"service": "workshop", "weight": 50},
            ],
        }
        for number in range(n_routes)
    ]
    return json.dumps({"version": version, "routes": routes})


def configure(cluster_state, version, *args):
    text = document(version, *args)
    command = Configure(version, text)
    cluster_state.apply(version, encode_command(command))
    return text


async def request_state(subscriber, **request):
    """Return the response to a request for the state, and its length in bytes."""
    n_bytes, n_lines = subscriber.n_bytes, len(subscriber.lines)
    await subscriber.send({"get": 1, **request})

    def responses():
        return [line for line in subscriber.lines[n_lines:] if "orders" in line]

    await wait_until(responses)
    return responses()[0]["orders"], subscriber.n_bytes - n_bytes


def test_long_document_is_sent_without_waiting_for_the_next_line(with_feed):
    """Guards against an entry that waits for the rest of a configuration until the
    replica has something else to send, since the document is longer than the buffer of
    the connection."""

    async def body(cluster_state, connect):
        # Accepted connections inherit the buffer size.
        connect.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32 * 1024)
        entry = await connect("e1", wants_updates=False)
        newest = configure(cluster_state, 1, 50, 10_000)
        async with curio.timeout_after(2):
            fields, _ = await request_state(entry)
        assert fields["document"] == newest

    with_feed(body)


def test_change_of_one_weight_costs_an_entry_few_bytes(with_feed):
    """Guards against a whole document over each entry's link for a small change."""

    async def body(cluster_state, connect):
        entry = await connect("e1", wants_updates=False)
        held = configure(cluster_state, 1)
        newest = configure(cluster_state, 2, 60)
        fields, n_bytes = await request_state(entry, index=1, version=1, transfer=1)
        assert n_bytes < len(newest) / 100
        assert "document" not in fields
        assert decode_transfer(fields["transfer"], 1, held) == newest

    with_feed(body)


@pytest.mark.parametrize("held", [(0, 0), (1, 9), (1, 0)])
def test_entry_without_a_known_version_gets_the_whole_document_compressed(
    with_feed, held
):
    """Guards against an entry that can't get a document since it starts, holds a
    version that the replica no longer has, or couldn't apply a difference."""

    async def body(cluster_state, connect):
        entry = await connect("e1", wants_updates=False)
        configure(cluster_state, 1)
        newest = configure(cluster_state, 2, 60)
        index, version = held
        fields, n_bytes = await request_state(
            entry, index=index, version=version, transfer=1
        )
        assert n_bytes < len(newest) / 4
        assert decode_transfer(fields["transfer"], version, "another") == newest

    with_feed(body)


def test_entry_of_an_earlier_version_gets_the_document_as_it_is(with_feed):
    """Guards against an entry of an earlier version that can't read a difference while
    versions are mixed."""

    async def body(cluster_state, connect):
        entry = await connect("old", wants_updates=False)
        configure(cluster_state, 1)
        newest = configure(cluster_state, 2, 60)
        fields, _ = await request_state(entry, index=1, version=1)
        assert fields["document"] == newest
        assert "transfer" not in fields

    with_feed(body)


def test_state_restored_from_a_snapshot_is_sent_to_entries_of_any_version(with_feed):
    """Guards against a replica that sends nothing, or a wrong difference, after it
    restored a snapshot and doesn't know the versions before it."""

    async def body(cluster_state, connect):
        entry = await connect("e1", wants_updates=False)
        held = configure(cluster_state, 1)
        restored = ReplicatedState(9, 5, document(5, 60))
        cluster_state.restore(json.dumps(restored.encode()).encode())
        newest = configure(cluster_state, 10, 70)
        for version, base in ((1, held), (3, "unknown"), (5, restored.document)):
            fields, _ = await request_state(entry, index=1, version=version, transfer=1)
            assert decode_transfer(fields["transfer"], version, base) == newest
            assert fields["transfer"]["base_version"] in (0, version)

    with_feed(body)


async def send_unfinished_line(port, n_bytes):
    """Send bytes of a line that doesn't end; return the connection."""
    sock = await open_connection("127.0.0.1", port)
    n_sent = 0
    piece = b"x" * 65_536
    try:
        async with curio.ignore_after(2):
            while n_sent < n_bytes:
                await sock.sendall(piece)
                n_sent += len(piece)
    except OSError:
        pass
    return sock


def test_lines_without_end_are_bounded_together(with_feed):
    """Guards against a control replica that runs out of memory since many subscribers
    send lines without end, and against others that are closed for it."""

    async def body(cluster_state, connect):
        budget = connect.server.line_budget
        most_held = 0
        socks = []
        before = await connect("e0")
        for _ in range(40):
            socks.append(await send_unfinished_line(connect.port, 900_000))
            most_held = max(most_held, budget.n_held_bytes)
        await curio.sleep(0.1)
        assert 0 < most_held <= REQUEST_BUDGET_BYTES
        after = await connect("e1")
        for subscriber in (before, after):
            await subscriber.send({"get": 1, "index": 0, "version": 0})
            await wait_until(lambda s=subscriber: any("orders" in x for x in s.lines))
        for sock in socks:
            await sock.close()
        await wait_until(lambda: budget.n_held_bytes == 0)

    with_feed(body)


def test_line_without_end_ends_its_connection(with_feed):
    """Guards against a subscriber whose line grows until the memory is used up."""

    async def body(cluster_state, connect):
        sock = await send_unfinished_line(connect.port, 3 * MAX_REQUEST_BYTES)
        with pytest.raises(OSError):
            while True:
                await sock.sendall(b"x")
                await curio.sleep(0.01)
        await wait_until(lambda: connect.server.line_budget.n_held_bytes == 0)

    with_feed(body)
