"""What a control replica tells its readers, and how much of it."""

import json
import random

import curio
import pytest

from pollenfold.control.feed_server import FeedServer
from pollenfold.control.order_book import OrderBook
from pollenfold.core.digests import bucket_digests
from pollenfold.core.orders import Evacuate, encode_order
from pollenfold.core.registry import Announcement
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.wire.connections import open_connection
from pollenfold.wire.lines import encode_line


class Reader:
    """A connection to the feed that keeps all lines."""

    def __init__(self, name, zone, role):
        self.hello = {"name": name, "zone": zone, "role": role, "news": 0}
        self.lines = []
        self.n_bytes = 0

    async def open(self, port, takes_news):
        self.sock = await open_connection("127.0.0.1", port)
        await self.send(self.hello)
        if takes_news:
            await self.send({"news": 1})
        self.task = await curio.spawn(self._read, daemon=True)
        await until(lambda: self.lines)

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
        found = [
            fields for line in self.lines for fields in line.get("announcements", ())
        ]
        return {Announcement(*fields).endpoint_id for fields, _ in found}

    def heard(self):
        return {name for line in self.lines for name in line.get("heard", ())}

    def entries(self):
        """Return the names of the entries as the lines add up."""
        names = set()
        for line in self.lines:
            names = set(line.get("entries", names)) | set(line.get("joined", ()))
            names -= set(line.get("left", ()))
        return names


class Peers:
    """What the feed server asks of the other replicas: two are heard."""

    control_hosts = frozenset(["h"])
    n_connected = 2
    connected_since = 0.0


async def until(condition):
    """Wait for a condition; fail after 5 s."""
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


@pytest.fixture
def with_feed(run):
    """Return a function that runs ``body(book, connect)`` on a feed of zone a."""

    def run_body(body):
        async def main():
            log = EventLog("c1", system_clock, write=len)
            book = OrderBook(3, system_clock, log)
            server = FeedServer("a", book, Peers(), system_clock, log)
            sock = curio.tcp_server_socket("127.0.0.1", 0)
            port = sock.getsockname()[1]
            await curio.spawn(
                curio.network.run_server, sock, server._serve_reader, daemon=True
            )
            await curio.spawn(server.run, daemon=True)

            async def connect(name, zone="a", role="entry", takes_news=True):
                reader = Reader(name, zone, role)
                await reader.open(port, takes_news)
                return reader

            connect.port = port
            await body(book, connect)

        run(main)

    return run_body


def announcement(endpoint_id, port=80):
    return Announcement(endpoint_id, "s", "10.0.0.1", port, "a", 4, False, 0.0, 1, 1)


def test_news_go_to_replicas_and_to_entries_that_take_them_here(with_feed):
    """Guards against copies of each announcement from every replica to every entry."""

    async def body(book, connect):
        near = await connect("near", "a")
        far = await connect("far", "b", takes_news=False)
        peer = await connect("peer", "b", "control", takes_news=False)
        book.take_announcement(announcement("i-1"))
        book.heard_ids.add("i-1")
        book.hear_relayed(["i-2"])
        await until(lambda: near.endpoint_ids() == {"i-1"})
        await until(lambda: peer.endpoint_ids() == {"i-1"})
        await until(lambda: any("heard" in line for line in near.lines))
        assert near.heard() == {"i-1", "i-2"}
        # What replicas heard of others would keep a dead endpoint alive for ever.
        assert peer.heard() == {"i-1"}
        await far.send({"list": 1})
        await until(lambda: far.endpoint_ids() == {"i-1"})
        told = {name for line in far.lines for name in line}
        assert not told & {"heard", "entries", "joined"}

    with_feed(body)


def test_entry_of_an_earlier_version_is_told_of_endpoints(with_feed):
    """Guards against entries that hear of no endpoint while new versions roll out."""

    async def body(book, connect):
        reader = Reader("old", "b", "entry")
        del reader.hello["news"]
        await reader.open(connect.port, takes_news=False)
        book.take_announcement(announcement("i-1"))
        await until(lambda: reader.endpoint_ids() == {"i-1"})

    with_feed(body)


def test_entries_without_news_still_learn_the_index_at_once(with_feed):
    """Guards against orders that wait for the regular line of a far replica."""

    async def body(book, connect):
        far = await connect("far", "b", takes_news=False)
        book.apply(7, encode_order(Evacuate("a", True)))
        async with curio.timeout_after(0.5):
            while not any(line["index"] == 7 for line in far.lines):
                await curio.sleep(0.01)

    with_feed(body)


def test_list_leaves_out_what_the_reader_has(with_feed):
    """Guards against lists that are sent whole to every entry again and again."""

    async def body(book, connect):
        known = [announcement(f"i-{n}", n) for n in range(200)]
        for item in known:
            book.take_announcement(item)
        reader = await connect("late", "b", takes_news=False)
        await reader.send({"list": 1, "digests": bucket_digests(known)})
        await until(lambda: any("announcements" in line for line in reader.lines))
        assert reader.endpoint_ids() == set()
        await reader.send({"list": 1, "digests": bucket_digests(known[1:])})
        await until(lambda: "i-0" in reader.endpoint_ids())
        assert len(reader.endpoint_ids()) < 50

    with_feed(body)


def test_list_holds_what_the_reader_was_not_told(with_feed):
    """Guards against an entry that misses for ever what was told before it came."""

    async def body(book, connect):
        book.take_announcement(announcement("early"))
        reader = await connect("late", "b", takes_news=False)
        assert reader.endpoint_ids() == set()
        await reader.send({"list": 1})
        await until(lambda: reader.endpoint_ids() == {"early"})

    with_feed(body)


def test_each_name_of_an_entry_is_told_once(with_feed):
    """Guards against lines whose sum grows with the square of the entries."""

    async def body(book, connect):
        first = await connect("e0")
        others = [await connect(f"e{n}") for n in range(1, 30)]
        names = {f"e{n}" for n in range(30)}
        await until(lambda: first.entries() == names)
        told = [name for line in first.lines for name in line.get("joined", ())]
        assert len(told) <= 30
        assert sum("entries" in line for line in first.lines) <= 1
        for reader in others:
            await reader.close()
        await until(lambda: first.entries() == {"e0"})

    with_feed(body)


@pytest.mark.parametrize("seed", range(3))
def test_names_add_up_while_entries_come_and_go(with_feed, seed):
    """Guards against a name that stays when its entry left between two lines."""

    async def body(book, connect):
        rng = random.Random(seed)
        watcher = await connect("watcher")
        readers = {}
        for n in range(25):
            if readers and rng.random() < 0.5:
                await readers.pop(rng.choice(sorted(readers))).close()
            else:
                readers[f"e{n}"] = await connect(f"e{n}")
            await curio.sleep(rng.choice([0.0, 0.02, 0.1]))
        expected = {"watcher", *readers}
        for reader in (watcher, *readers.values()):
            await until(lambda: reader.entries() == expected)  # noqa: B023

    with_feed(body)
