"""What a control replica tells its readers, and how much of it."""

import json
import random

import curio
import pytest

from pollenfold.control.feed_server import FeedServer
from pollenfold.control.order_book import OrderBook
from pollenfold.core.registry import Announcement
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.wire.connections import open_connection
from pollenfold.wire.lines import encode_line


class Reader:
    """A connection to the feed that keeps all lines."""

    def __init__(self, name, zone, role):
        self.hello = {"name": name, "zone": zone, "role": role}
        self.lines = []
        self.n_bytes = 0

    async def open(self, port):
        self.sock = await open_connection("127.0.0.1", port)
        await self.send(self.hello)
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

    def entries(self):
        """Return the names of the entries as the lines add up."""
        names = set()
        for line in self.lines:
            names = set(line.get("entries", names)) | set(line.get("joined", ()))
            names -= set(line.get("left", ()))
        return names


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
            server = FeedServer("a", book, lambda: frozenset(["h"]), system_clock, log)
            sock = curio.tcp_server_socket("127.0.0.1", 0)
            port = sock.getsockname()[1]
            await curio.spawn(
                curio.network.run_server, sock, server._serve_reader, daemon=True
            )
            await curio.spawn(server.run, daemon=True)

            async def connect(name, zone="a", role="entry"):
                reader = Reader(name, zone, role)
                await reader.open(port)
                return reader

            await body(book, connect)

        run(main)

    return run_body


def announcement(endpoint_id):
    return Announcement(endpoint_id, "s", "10.0.0.1", 80, "a", 4, False, 0.0, 1, 1)


def test_relayed_news_goes_to_the_own_zone_and_to_replicas(with_feed):
    """Guards against copies of each announcement from every replica to every entry."""

    async def body(book, connect):
        near = await connect("near", "a")
        far = await connect("far", "b")
        peer = await connect("peer", "b", "control")
        book.take_announcement(announcement("relayed"), is_direct=False)
        book.take_announcement(announcement("direct"), is_direct=True)
        await until(lambda: near.endpoint_ids() == {"relayed", "direct"})
        await until(lambda: peer.endpoint_ids() == {"relayed", "direct"})
        await until(lambda: far.endpoint_ids() == {"direct"})

    with_feed(body)


def test_list_holds_what_the_reader_was_not_told(with_feed):
    """Guards against an entry that misses for ever what was told before it came."""

    async def body(book, connect):
        book.take_announcement(announcement("early"), is_direct=False)
        reader = await connect("late", "b")
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
        assert not any("entries" in line for line in first.lines[1:])
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
