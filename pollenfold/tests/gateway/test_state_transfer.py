"""How an entry fetches the replicated state from replicas over slow links."""

import json
from dataclasses import dataclass, field

import curio
import pytest

from pollenfold.core.document_difference import document_digest
from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.routes import RoutingConfiguration
from pollenfold.core.slices import in_one_step
from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.wire.document_transfer import encode_transfer
from pollenfold.wire.lines import encode_line

DOCUMENT = "x" * 60_000
"""A document that takes a second at the rate of the slow replicas, which is longer than
a response without progress may take."""

SLOW_BYTES_PER_MS = 60
PIECE_MS = 10
HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")


@dataclass(eq=False)
class SlowReplica:
    """A replica of zone ``zone`` that sends states at ``bytes_per_ms``.

    It announces each index set by ``announce`` and sends the state of that moment on
    request; messages on one feed queue behind each other. With ``is_silent`` it ignores
    requests. ``transfer`` is sent in place of the document to an entry that holds a
    version. ``requests`` holds the requests for the state.
    """

    host: str
    zone: str
    bytes_per_ms: float = SLOW_BYTES_PER_MS
    is_silent: bool = False
    transfer: object = None
    state: ReplicatedState = field(default_factory=ReplicatedState)
    requests: list = field(default_factory=list)
    sockets: list = field(default_factory=list)
    lock: curio.Lock = field(default_factory=curio.Lock)

    async def serve(self, client, address):
        self.sockets.append(client)
        hello = {"zone": self.zone, "index": self.state.index, "control": list(HOSTS)}
        await client.sendall(encode_line(hello))
        buffer = b""
        while data := await client.recv(65536):
            *lines, buffer = (buffer + data).split(b"\n")
            for line in map(json.loads, lines):
                if "get" in line:
                    self.requests.append(line)
                    await self._send_state(client, line)

    async def _send_state(self, client, request):
        if self.is_silent:
            return
        fields = self.state.encode()
        if self.transfer is not None and request["version"]:
            del fields["document"]
            fields["transfer"] = self.transfer
        data = encode_line({"orders": fields})
        n_bytes = int(self.bytes_per_ms * PIECE_MS)
        async with self.lock:
            for start in range(0, len(data), n_bytes):
                await client.sendall(data[start : start + n_bytes])
                await curio.sleep(PIECE_MS / 1000)

    async def respond(self):
        """Respond to the last request, which was ignored."""
        await self._send_state(self.sockets[0], self.requests[-1])

    async def announce(self, state):
        """Hold a state and announce its index."""
        self.state = state
        await curio.spawn(self._announce, state.index, daemon=True)

    async def _announce(self, index):
        async with self.lock:
            for client in self.sockets:
                await client.sendall(encode_line({"index": index}))

    async def close_feeds(self):
        """Close all connections."""
        sockets, self.sockets = self.sockets, []
        for client in sockets:
            client._socket.shutdown(2)


@pytest.fixture
def with_replicas(run):
    """Return a function that runs ``body(replicas, view)`` with an entry of zone a
    whose feeds to all replicas are open, before they hold a configuration."""

    def run_body(replicas, body):
        async def main():
            port = await serve(replicas)
            log = EventLog("e1", system_clock, write=len)
            view = FleetView(
                in_one_step(lambda text: RoutingConfiguration()), system_clock, log
            )
            feeds = Feeds(
                FeedIdentity("e1", "a"), view, lambda: HOSTS, port, system_clock, log
            )
            await curio.spawn(feeds.run, daemon=True)
            await wait_until(lambda: feeds.n_connected == len(replicas))
            await body(replicas, view)

        run(main)

    return run_body


async def serve(replicas):
    """Serve all replicas on one port of their hosts; return the port."""
    socks = bind([replica.host for replica in replicas])
    for replica, sock in zip(replicas, socks, strict=True):
        await curio.spawn(curio.network.run_server, sock, replica.serve, daemon=True)
    return socks[0].getsockname()[1]


def bind(hosts, n_attempts=20):
    """Listen on one port of all hosts.

    A port that is free on the first host may be in use on another one.
    """
    socks = [curio.tcp_server_socket(hosts[0], 0)]
    port = socks[0].getsockname()[1]
    try:
        socks += [curio.tcp_server_socket(host, port) for host in hosts[1:]]
    except OSError:
        socks[0]._socket.close()
        if not n_attempts:
            raise
        return bind(hosts, n_attempts - 1)
    return socks


async def wait_until(condition, timeout_s=5.0):
    """Wait for a condition."""
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.005)


async def announce_everywhere(replicas, index):
    """Let all replicas announce a new version; return its state."""
    state = ReplicatedState(index, index, f"{index}{DOCUMENT}")
    for replica in replicas:
        await replica.announce(state)
    return state


async def announce_states(replicas, state):
    """Let all replicas announce a state."""
    for replica in replicas:
        await replica.announce(state)


def zones_abc(**options):
    return [SlowReplica(h, z, **options) for h, z in zip(HOSTS, "abc", strict=True)]


def n_requests(replicas):
    return [len(replica.requests) for replica in replicas]


def test_two_versions_are_fetched_once_each_over_a_slow_link(with_replicas):
    """Guards against an entry that fills its link with copies of one document: it
    requested the state of each index from each replica that announced it."""

    async def body(replicas, view):
        for index in (1, 2):
            await announce_everywhere(replicas, index)
            await curio.sleep(0.1)
        await wait_until(lambda: view.replicated_state.version == 2)
        await curio.sleep(0.3)
        assert n_requests(replicas) == [2, 0, 0]

    with_replicas(zones_abc(), body)


def test_state_is_fetched_elsewhere_when_the_replica_sends_nothing(with_replicas):
    """Guards against an entry that waits for a replica which stopped responding."""

    async def body(replicas, view):
        replicas[0].is_silent = True
        await announce_everywhere(replicas, 1)
        await wait_until(lambda: view.replicated_state.version == 1, 3.0)
        assert sum(n_requests(replicas)) == 2

    with_replicas(zones_abc(), body)


def test_state_is_fetched_elsewhere_at_once_when_the_feed_ends(with_replicas):
    """Guards against an entry that waits for a replica which was stopped while it sent
    the state."""

    async def body(replicas, view):
        await announce_everywhere(replicas, 1)
        await wait_until(lambda: replicas[0].requests)
        replicas[0].bytes_per_ms = 0.1
        await replicas[0].close_feeds()
        await wait_until(lambda: sum(n_requests(replicas[1:])), 0.2)
        await wait_until(lambda: view.replicated_state.version == 1)

    with_replicas(zones_abc(), body)


def test_replica_that_is_behind_its_announcement_does_not_block(with_replicas):
    """Guards against an entry that keeps an old state since the replica of its zone
    responds with an older one than it announced."""

    async def body(replicas, view):
        for replica in replicas:
            await replica.announce(ReplicatedState(2, 1, "two"))
        replicas[0].state = ReplicatedState(1, 1, "one")
        await wait_until(lambda: view.replicated_state.index == 2, 1.0)
        await curio.sleep(0.5)
        assert sum(n_requests(replicas)) <= 3

    with_replicas(zones_abc(), body)


def test_starting_entry_gets_its_first_state_without_delay(with_replicas):
    """Guards against an entry that refuses requests after its start since it waits
    before it requests the state."""

    async def body(replicas, view):
        started_at = system_clock()
        await replicas[0].announce(ReplicatedState(1, 1, "one"))
        await wait_until(lambda: view.replicated_state.version == 1)
        assert system_clock() - started_at < 100.0

    with_replicas(zones_abc(), body)


GOOD_DIGEST = document_digest("one two")


@pytest.mark.parametrize(
    "transfer",
    [
        {"base_version": 1, "digest": "0" * 32, "operations": [[0, 3], " two"]},
        {"base_version": 1, "digest": GOOD_DIGEST, "operations": [[0, 99]]},
        {"base_version": 1, "digest": GOOD_DIGEST, "operations": 5},
        {"base_version": 7, "digest": GOOD_DIGEST, "operations": ["one two"]},
        {"base_version": 1, "digest": GOOD_DIGEST, "compressed_operations": "AAAA"},
        {"base_version": 1, "digest": GOOD_DIGEST, "compressed_document": "AAAA"},
        {"base_version": 1, "digest": GOOD_DIGEST, "compressed_document": 5},
        {},
        [],
    ],
)
def test_wrong_difference_is_replaced_by_the_whole_document(with_replicas, transfer):
    """Guards against an entry that uses a document which no replica holds, or that
    never gets the newest one, when a difference doesn't fit what it holds."""

    async def body(replicas, view):
        for replica in replicas:
            replica.transfer = transfer
            await replica.announce(ReplicatedState(1, 1, "one"))
        await wait_until(lambda: view.replicated_state.version == 1)
        for replica in replicas:
            await replica.announce(ReplicatedState(2, 2, "one two"))
        await wait_until(lambda: view.replicated_state.version == 2, 1.0)
        assert view.replicated_state.document == "one two"
        versions = [line["version"] for k in replicas for line in k.requests]
        assert sorted(versions) == [0, 0, 1]
        assert b"event=document_mismatch" in view._log._buffer

    with_replicas(zones_abc(), body)


def test_difference_is_applied_to_the_held_document(with_replicas):
    """Guards against a whole document for an entry that holds the base."""

    async def body(replicas, view):
        transfer = encode_transfer(1, "one", "one two")
        for replica in replicas:
            replica.transfer = transfer
            await replica.announce(ReplicatedState(1, 1, "one"))
        await wait_until(lambda: view.replicated_state.version == 1)
        for replica in replicas:
            await replica.announce(ReplicatedState(2, 2, "one two"))
        await wait_until(lambda: view.replicated_state.version == 2)
        assert view.replicated_state.document == "one two"
        assert n_requests(replicas) == [2, 0, 0]

    with_replicas(zones_abc(), body)


def test_difference_from_a_former_version_does_not_lead_to_a_whole_document(
    with_replicas,
):
    """Guards against a whole document over a link that is slow already: two replicas
    were asked, and the response of the second is a difference from the version that
    the first one replaced meanwhile."""

    first = "{a route} " * 20
    second = f"{first} two"
    third = f"{second} three"

    async def body(replicas, view):
        near, far, _ = replicas
        await announce_states(replicas, ReplicatedState(1, 1, first))
        await wait_until(lambda: view.replicated_state.version == 1)
        near.is_silent = far.is_silent = True
        await near.announce(ReplicatedState(2, 2, second))
        await far.announce(ReplicatedState(3, 3, third))
        await wait_until(lambda: far.requests)
        # Both were asked from version 1; the responses come one after the other.
        near.is_silent = far.is_silent = False
        near.transfer = encode_transfer(1, first, second)
        await near.respond()
        await wait_until(lambda: view.replicated_state.version == 2)
        far.transfer = encode_transfer(1, first, third)
        await far.respond()
        far.transfer = encode_transfer(2, second, third)
        await wait_until(lambda: view.replicated_state.version == 3)
        assert b"event=document_mismatch" in view._log._buffer
        assert [line["version"] for line in far.requests] == [1, 2]

    with_replicas(zones_abc(), body)
