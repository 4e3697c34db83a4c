"""Real control replicas and an entry after one odd announcement among the true ones."""

import json
import os
from contextlib import ExitStack

import curio
import pytest

from benchmarks.soak import (
    CALLER_PORT,
    CONTROL_PORT,
    FIRST_PORT,
    Program,
    exchange,
)
from benchmarks.soak_backends import SoakBackend
from pollenfold.platform.ports import assign_ports
from pollenfold.tests.running import run_within
from pollenfold.wire.lines import encode_line

NETWORK = f"127.{210 + os.getpid() % 40}.{os.getpid() // 40 % 250}"
"""Loopback addresses of this test run, since the ports of the programs are fixed."""

ZONES = ("a", "b", "c")
ROUTE = {
    "name": "r1",
    "pathPrefix": "/",
    "kind": "safe",
    "timeoutMs": 1000,
    "service": "s",
    "maxAttempts": 2,
}
CONFIGURATION = {
    "version": 1,
    "services": [{"name": "s", "healthPath": "/healthz"}],
    "hosts": [{"host": "h.example", "paths": [ROUTE]}],
}


class EarlierFeed:
    """The feed of a control replica of an earlier version, which accepted anything."""

    def __init__(self, host):
        self.host = host
        self.line = {}
        self.connected = []

    async def serve(self):
        """Accept subscribers until cancelled."""
        port = assign_ports("control", FIRST_PORT, FIRST_PORT + 15, ()).feed
        await curio.tcp_server(self.host, port, self._send_lines, reuse_address=True)

    async def _send_lines(self, client, address):
        hello = await client.recv(65536)
        self.connected.append(json.loads(hello.split(b"\n")[0])["name"])
        try:
            await client.sendall(encode_line({"zone": "a", "index": 0, "n_peers": 2}))
            while True:
                await client.sendall(encode_line({**self.line, "index": 0}))
                await curio.sleep(0.3)
        except OSError:
            return


class Processes:
    """Three control replicas and one entry, each a process with its own log."""

    def __init__(self, folder):
        self.folder = folder
        self.controls = [self._program("control", number) for number in range(3)]
        self.entry = self._program("entry", 10)
        self.seeds = [program.host for program in self.controls]
        self.feed = EarlierFeed(f"{NETWORK}.50")

    def _program(self, role, number):
        name = f"{role}-{number}"
        folder = self.folder / name
        folder.mkdir()
        host = f"{NETWORK}.{number + 1}"
        return Program(name, role, host, ZONES[number % 3], folder)

    @property
    def all(self):
        return [*self.controls, self.entry]

    def start(self):
        for program in self.all:
            program.start([*self.seeds, self.feed.host], is_first=True)

    def ended(self):
        """Return the names of the processes that ended by themselves."""
        return [p.name for p in self.all if p.process.poll() is not None]

    def log(self, program):
        return (program.folder / "log").read_text(errors="replace")

    async def put(self, control, path, document):
        """Send a document to a control replica until it responds; return the status."""
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        while True:
            response = await exchange(
                control.host, CONTROL_PORT, b"PUT", path, [], body, 1.0
            )
            if response is not None and response.status != 503:
                return response.status
            await curio.sleep(0.1)

    async def wait_until_logged(self, program, text):
        """Wait until the log of a process contains a text."""
        while text not in self.log(program):
            await curio.sleep(0.05)

    async def wait_until_served(self):
        """Wait until the entry serves a request."""
        while await self.statuses(1) != {200}:
            await curio.sleep(0.05)

    async def statuses(self, n_requests=30):
        """Return the statuses of some requests through the entry."""
        statuses = set()
        for number in range(n_requests):
            headers = [
                (b"host", b"h.example"),
                (b"x-request-id", f"q{number}".encode()),
                (b"x-deadline-ms", b"900"),
            ]
            response = await exchange(
                self.entry.host, CALLER_PORT, b"GET", "/x", headers, b"", 1.2
            )
            statuses.add(None if response is None else response.status)
        return statuses


@pytest.fixture
def processes(tmp_path):
    """Return running processes, which are ended after the test."""
    with ExitStack() as stack:
        processes = Processes(tmp_path)
        for program in processes.all:
            stack.callback(program.kill)
        processes.start()
        yield processes


@pytest.fixture
def run():
    """Return a function that runs a coroutine function within 60 s."""
    return run_within(60)


def announcement(**changes):
    """Return an announcement of the service with changed fields of any part."""
    info = {"service": "s", "version": "v1", "zone": "a", "slots": 4}
    status = {"state": "ready", "sequence": 1, "warmupLeftMs": 0}
    fields = {"address": "127.0.0.1:9", "born": 1, "info": info, "status": status}
    for name, value in changes.items():
        part = next((p for p in (info, status) if name in p), fields)
        part[name] = value
    return fields


def text_of(document):
    return json.dumps(document).encode()


ODD_ENTRIES = {
    "deep": b'{"info":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "port_70000": text_of(announcement(address="127.0.0.1:70000")),
    "port_0": text_of(announcement(address="127.0.0.1:0")),
    "port_of_5000_digits": text_of(announcement(address="127.0.0.1:" + "9" * 5000)),
    "port_of_other_digits": text_of(announcement(address="127.0.0.1:²")),
    "null_in_host": text_of(announcement(address="10.0.0\0.1:80")),
    "label_too_long": text_of(announcement(address="a" * 70 + ".example:80")),
    "slots_of_400_digits": text_of(announcement(slots=10**400)),
    "sequence_of_400_digits": text_of(announcement(sequence=10**400)),
    "warmup_of_400_digits": text_of(announcement(warmupLeftMs=10**400)),
    "lone_surrogate": text_of(announcement(zone="\ud800")),
    "megabyte_of_zone": text_of(announcement(zone="z" * (1 << 20))),
}


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_odd_entry_neither_ends_a_process_nor_hides_the_true_entries(
    processes, run, kind
):
    """Guards against one odd entry of another writer that ends the processes that read
    the list, or keeps them from learning of the endpoints that come after it."""
    backends = [
        SoakBackend(f"i-{number}", f"{NETWORK}.{20 + number}", "a")
        for number in range(2)
    ]

    async def main():
        first, later = backends
        await processes.put(processes.controls[0], "/-/config", CONFIGURATION)
        await first.start(processes.seeds, CONTROL_PORT)
        await processes.wait_until_served()
        path = "/-/instances/i-odd"
        statuses = [
            await processes.put(control, path, ODD_ENTRIES[kind])
            for control in processes.controls
        ]
        await curio.sleep(1.0)
        await later.start(processes.seeds, CONTROL_PORT)
        for program in processes.all:
            await processes.wait_until_logged(program, "endpoint=i-1")
        assert await processes.statuses() == {200}
        assert processes.ended() == []
        assert statuses == [400] * 3
        for program in processes.all:
            log = processes.log(program)
            assert "feed_lost" not in log
            assert "Traceback" not in log
            assert "internal_error" not in log

    run(main)


def fields(**changes):
    """Return the fields of an announcement as the feeds have them, some changed."""
    values = {
        "endpoint_id": "i-odd",
        "service": "s",
        "host": "127.0.0.1",
        "port": 9,
        "zone": "a",
        "slots": 4,
        "is_leaving": False,
        "warmup_left_ms": 0,
        "born_ms": 1,
        "sequence": 1,
    }
    return list((values | changes).values())


ODD_MEMBERS = {
    "no_list": {"announcements": [7]},
    "no_age": {"announcements": [[fields()]]},
    "age_of_400_digits": {"announcements": [[fields(), 10**400]]},
    "too_few_fields": {"announcements": [[["i-odd"], 0]]},
    "port_70000": {"announcements": [[fields(port=70_000), 0]]},
    "slots_of_400_digits": {"announcements": [[fields(slots=10**400), 0]]},
    "host_name": {"announcements": [[fields(host="a" * 70 + ".example"), 0]]},
    "lone_surrogate": {"announcements": [[fields(zone="\ud800"), 0]]},
    "id_with_line_break": {"announcements": [[fields(endpoint_id="i\r\n"), 0]]},
    "limit_report": {"limits": [["i-odd", 1, "many", 0]]},
    "quarantine_report": {"quarantine": [["x"]]},
    "names": {"heard": [[], {}, 7], "joined": [[]], "left": 7, "control": [{}, "\0"]},
    "numbers": {"n_entries": 10**400, "n_peers": "two", "complete_ms": 10**400},
}


@pytest.mark.parametrize("kind", ODD_MEMBERS)
def test_odd_member_of_a_feed_line_neither_ends_a_process_nor_the_feed(
    processes, run, kind
):
    """Guards against a process that ends, or closes and reopens its feeds for ever,
    since a replica of an earlier version passed on one odd member of a line."""
    backend = SoakBackend("i-later", f"{NETWORK}.20", "a")

    async def main():
        await curio.spawn(processes.feed.serve, daemon=True)
        await processes.put(processes.controls[0], "/-/config", CONFIGURATION)
        # It announces itself to nobody: only the line of the feed names it.
        await backend.start([f"{NETWORK}.60"], CONTROL_PORT)
        true_item = [
            fields(endpoint_id="i-later", host=backend.host, port=backend.link.port),
            0,
        ]
        line = dict(ODD_MEMBERS[kind])
        line["announcements"] = [*line.get("announcements", ()), true_item]
        processes.feed.line = line
        await processes.wait_until_served()
        for program in processes.all:
            await processes.wait_until_logged(program, "endpoint=i-later")
        await curio.sleep(2.5)
        assert await processes.statuses() == {200}
        assert processes.ended() == []
        assert sorted(processes.feed.connected) == sorted(p.name for p in processes.all)
        for program in processes.all:
            log = processes.log(program)
            assert "Traceback" not in log
            assert "internal_error" not in log

    run(main)


def test_control_replicas_start_with_an_odd_entry_in_their_cache(processes, run):
    """Guards against control replicas that end whenever they start, or that forget all
    endpoints, since an earlier version stored one odd entry."""
    true_fields = fields(endpoint_id="i-later")
    odd = [
        7,
        fields(port=70_000),
        fields(zone="\ud800"),
        fields(slots=10**400),
        fields(endpoint_id="i" * 1000),
    ]

    async def main():
        await processes.put(processes.controls[0], "/-/config", CONFIGURATION)
        for program in processes.controls:
            program.kill()
            cache = {"announcements": [*odd, true_fields], "n_entries": 10**400}
            (program.folder / "data" / "endpoints.json").write_text(json.dumps(cache))
        for program in processes.controls:
            program.start(processes.seeds, is_first=False)
        later = {**CONFIGURATION, "version": 2}
        assert await processes.put(processes.controls[0], "/-/config", later) == 200
        await curio.sleep(2.0)
        assert processes.ended() == []
        for program in processes.all:
            log = processes.log(program)
            assert "endpoint=i-later" in log
            assert "endpoint=i-odd" not in log
            assert "Traceback" not in log

    run(main)


def test_processes_follow_new_replicas_after_an_odd_entry(processes, run):
    """Guards against an odd entry that ends an entry, or the tasks that read the feeds,
    as soon as a control replica starts again."""
    backend = SoakBackend("i-later", f"{NETWORK}.20", "a")

    async def main():
        await processes.put(processes.controls[0], "/-/config", CONFIGURATION)
        for control in processes.controls:
            odd = ODD_ENTRIES["lone_surrogate"]
            await processes.put(control, "/-/instances/i-odd", odd)
        for control in processes.controls:
            await curio.sleep(1.5)
            control.kill()
            await curio.sleep(1.5)
            control.start(processes.seeds, is_first=False)
        await curio.sleep(1.5)
        assert processes.ended() == []
        await backend.start(processes.seeds, CONTROL_PORT)
        for program in processes.all:
            await processes.wait_until_logged(program, "endpoint=i-later")
        assert await processes.statuses() == {200}
        for program in processes.all:
            assert "Traceback" not in processes.log(program)

    run(main)
