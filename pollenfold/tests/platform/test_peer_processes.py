"""Real entry processes that learn of each other from control and relay requests."""

import json

import curio
import pytest
from curio import socket

from benchmarks import soak
from benchmarks.soak import (
    CALLER_PORT,
    CONTROL_PORT,
    FIRST_PORT,
    REFUSALS,
    Soak,
    exchange,
)
from benchmarks.soak_backends import SoakBackend
from pollenfold.gateway.relay.headers import (
    RELAY_REQUEST,
    RelayedRequest,
    decode_relay_notice,
    encode_relayed_request,
)
from pollenfold.observe.clock import system_clock
from pollenfold.platform.ports import assign_ports
from pollenfold.tests.gateway.links import Link
from pollenfold.tests.gateway.test_relay import read_response

RELAY_PORT = assign_ports("entry", FIRST_PORT, FIRST_PORT + 15, ()).relay
NETWORK_SEED = 190
"""Selects a network of loopback addresses that no kept seed of the soak uses."""

DETECTION_MS = 1_000.0
"""How long after the start of a cut requests may still fail."""

N_CHECKED = 40


@pytest.fixture
def system(tmp_path, monkeypatch):
    """Return one control process and two entry processes with backend servers.

    The first entry's connections to the servers can be redirected.
    """
    settings = soak.SETTINGS.replace("machines = 1", "machines = 0")
    monkeypatch.setattr(soak, "SETTINGS", settings)
    system = Soak(NETWORK_SEED, tmp_path, 1)
    system.controls = system.controls[:1]
    system.entries = system.entries[:2]
    system.seeds = [system.controls[0].host]
    system.backends = [SoakBackend(f"i-{k}", "127.0.0.1", "a") for k in range(3)]
    redirects = system.entries[0].folder / "redirects"
    redirects.write_text("{}")
    module = ("pollenfold.testing.redirects", str(redirects))
    system.entries[0].module = module
    yield system
    for program in (*system.controls, *system.entries):
        program.kill()


async def start(system):
    """Start everything, and wait until both entries serve their callers."""
    for program in (*system.controls, *system.entries):
        program.start(system.seeds, True)
    for backend in system.backends:
        await backend.start(system.seeds, CONTROL_PORT)
    await system.put_configuration()
    for entry in system.entries:
        while True:
            headers = [(b"host", b"h.example"), (b"x-request-id", b"warm-up")]
            response = await exchange(
                entry.host, CALLER_PORT, b"GET", "/safe/1", headers, b"", 1.0
            )
            if response is not None and response.status == 200:
                break
            await curio.sleep(0.05)


async def wait_until_peers(*entries):
    """Wait until two entries take each other's requests."""
    async with curio.timeout_after(10):
        for one, other in (entries, entries[::-1]):
            while await relay(one.host, other.host) is None:
                await curio.sleep(0.1)


async def relay(source_host, host, request_id="q1"):
    """Send a relayed request; return the response, None if it wasn't read."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        sock.bind((source_host, 0))
        value = encode_relayed_request(
            RelayedRequest("s", 200.0, 2, False, False, 1, True)
        )
        try:
            await sock.connect((host, RELAY_PORT))
            await sock.sendall(
                b"POST /unsafe/1 HTTP/1.1\r\nhost: h.example\r\n"
                b"x-deadline-ms: 900\r\ncontent-length: 0\r\n"
                b"x-request-id: "
                + request_id.encode()
                + b"\r\n"
                + RELAY_REQUEST
                + b": "
                + value
                + b"\r\n\r\n"
            )
        except OSError:
            return None
        status, headers, *_ = await read_response(sock)
        return (status, headers) if status else None


def test_entry_takes_requests_of_its_peer_and_of_no_one_else(system):
    """Guards against entries that don't learn of each other, against a port that
    serves strangers, and against one that refuses peers."""

    async def main():
        await start(system)
        passing, reaching = system.entries
        await wait_until_peers(passing, reaching)
        status, headers = await relay(passing.host, reaching.host, "q2")
        assert status == 200
        notice = decode_relay_notice(headers)
        assert notice.is_from_endpoint
        assert notice.endpoint_id in ("i-0", "i-1", "i-2")
        assert n_executions(system, "q2") == 1
        # The control replica has an address of its own, as any stranger has.
        for stranger in (system.controls[0].host, "127.0.0.1"):
            assert await relay(stranger, reaching.host) is None
        assert n_executions(system, "q2") == 1
        log = reaching.folder / "log"
        async with curio.timeout_after(5):
            while "event=peer_connection_refused" not in log.read_text():
                await curio.sleep(0.05)
        passing.kill()
        async with curio.timeout_after(10):
            while await relay(passing.host, reaching.host) is not None:
                await curio.sleep(0.1)

    run_limited(main)
    assert system.violations == []


def run_limited(main):
    async def limited():
        async with curio.timeout_after(90):
            await main()

    curio.run(limited)


def n_executions(system, request_id):
    """Return how often the backend servers ran a request."""
    return sum(backend.executions.get(request_id, 0) for backend in system.backends)


class Callers:
    """Sends requests to one entry one after the other, and holds their statuses."""

    def __init__(self, system, entry):
        self._system = system
        self._host = entry.host
        self.statuses = {}

    async def send(self, kind):
        """Send a request of a kind; return its status, 0 without a response."""
        request_id = f"{kind}-{len(self.statuses)}"
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"900"),
        ]
        method = b"GET" if kind == "safe" else b"POST"
        path = f"/{kind}/1"
        response = await exchange(
            self._host, CALLER_PORT, method, path, headers, b"", 2.0
        )
        status = 0 if response is None else response.status
        self.statuses[request_id] = status
        return status

    async def send_for(self, duration_ms):
        until = system_clock() + duration_ms
        while system_clock() < until:
            await self.send("unsafe")
            await self.send("safe")

    def check(self):
        """Check that each request ran as its status promises."""
        for request_id, status in self.statuses.items():
            n_runs = n_executions(self._system, request_id)
            if request_id.startswith("unsafe"):
                assert n_runs <= 1, (request_id, status)
                assert status not in REFUSALS or n_runs == 0, (request_id, status)
            assert status != 200 or n_runs >= 1, (request_id, status)


async def start_links(system):
    """Redirect the first entry's connections to links; return the links."""
    links, redirects = [], {}
    for backend in system.backends:
        link = Link(backend.link.port)
        await link.start()
        links.append(link)
        address = f"{backend.host}:{backend.link.port}"
        redirects[address] = f"127.0.0.1:{link.own_port}"
    path = system.entries[0].folder / "redirects"
    path.write_text(json.dumps(redirects))
    return links


@pytest.mark.parametrize("mode", ["refuse", "reset", "hang", "refuse_new"])
def test_callers_of_a_process_that_lost_its_servers_are_served(system, mode):
    """Guards against callers that are refused, or whose requests run twice, because
    their entry's links to all servers are cut; and against one that doesn't use its
    own path again."""

    async def main():
        await start(system)
        links = await start_links(system)
        callers = Callers(system, system.entries[0])
        # Connections that the process opened before don't go through the links.
        system.entries[0].kill()
        system.entries[0].start(system.seeds, False)
        async with curio.timeout_after(15):
            while await callers.send("safe") != 200:
                await curio.sleep(0.05)
        assert any(link.n_accepted for link in links)
        await wait_until_peers(*system.entries)
        for link in links:
            await link.cut(mode)
        await callers.send_for(DETECTION_MS)
        statuses = []
        for number in range(N_CHECKED):
            statuses.append(await callers.send("safe" if number % 2 else "unsafe"))
        assert statuses.count(200) == N_CHECKED, statuses
        for link in links:
            await link.cut("pass")
        log = system.entries[0].folder / "log"
        if mode != "refuse_new":
            async with curio.timeout_after(10):
                while "event=endpoints_reachable" not in log.read_text():
                    await callers.send_for(100.0)
        for _ in range(10):
            assert await callers.send("unsafe") == 200
        await curio.sleep(0.1)
        callers.check()

    run_limited(main)
