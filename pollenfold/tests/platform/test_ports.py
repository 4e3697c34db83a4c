"""Ports of the processes: none that a role needs is taken by another socket."""

import socket
import time

import curio
import pytest

from benchmarks import soak
from benchmarks.soak import CALLER_PORT, Soak, exchange
from pollenfold.http import listener
from pollenfold.http.listener import (
    open_listener,
    reserve_when_free,
    start_listening,
)
from pollenfold.platform.ports import METRICS_PORTS, assign_ports
from pollenfold.platform.settings import SettingsError, parse_settings

ROLES = tuple(METRICS_PORTS)
NETWORK_SEED = 191
"""Selects a network of loopback addresses that no other test uses."""


def sockets_of(first_port, last_port, used_ports):
    """Return the ports on which an entry and a control replica of one VM listen."""
    entry, control = (
        assign_ports(role, first_port, last_port, used_ports) for role in ROLES
    )
    required = [control.agreement, control.feed, entry.relay, *used_ports]
    metrics = [entry.metrics, control.metrics]
    return [port for port in required if port], [port for port in metrics if port]


@pytest.mark.parametrize("n_ports", [2, 3, 4, 5, 16])
def test_sockets_of_both_roles_never_meet(n_ports):
    """Guards against a port bound by a constant that another socket needs."""
    # Away from the constant ports and the ends all first ports are alike.
    firsts = (*range(3, 40), *range(7_600, 7_720), *range(65_480, 65_536 - n_ports))
    for first_port in firsts:
        last_port = first_port + n_ports - 1
        for offset in (-2, -1, n_ports, n_ports + 1):
            used_ports = {first_port + offset} & set(range(1, 65_536))
            required, metrics = sockets_of(first_port, last_port, used_ports)
            bound = required + metrics
            assert len(set(bound)) == len(bound), (first_port, used_ports)
            assert all(
                port in METRICS_PORTS.values() or first_port <= port <= last_port
                for port in metrics
            )


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("used_port", range(7_660, 7_690))
def test_metrics_give_way_to_an_address_of_the_settings(role, used_port):
    """Guards against metrics on the port for callers, readiness or operators."""
    for first_port in (7_600, 7_660, 7_668, 7_672, 7_700):
        ports = assign_ports(role, first_port, first_port + 15, {used_port})
        assert ports.metrics not in (used_port, None)


def test_ports_that_peers_rely_on_depend_on_the_range_only():
    """Guards against builds or roles that compute different ports for one VM."""
    for first_port in (7_000, 7_668, 7_670, 65_520):
        for role in ROLES:
            ports = assign_ports(role, first_port, first_port + 15, {first_port + 20})
            assert (ports.agreement, ports.feed, ports.relay) == (
                first_port,
                first_port + 1,
                first_port + 2,
            )


def test_metrics_keep_the_port_of_the_deploy_file_where_it_is_free():
    """Guards against a port at which the platform doesn't fetch metrics."""
    for first_port in (7_000, 7_660, 7_667, 7_672, 7_680):
        for role, port in METRICS_PORTS.items():
            ports = assign_ports(role, first_port, first_port + 15, ())
            assert ports.metrics == port


def test_range_without_a_second_port_is_refused():
    """Guards against a traceback at the highest port."""
    with pytest.raises(SettingsError, match="internalPorts"):
        parse_settings(
            {
                "self": {"nodeName": "n", "ip": "127.0.0.1", "zone": "a"},
                "network": {"internalPorts": [65_535, 65_535], "listenAddrs": {}},
            }
        )


def test_port_of_a_process_that_is_still_closing_is_waited_for(monkeypatch):
    """Guards against an end at a port that is in use for a moment."""
    earlier = open_listener("127.0.0.1", 0)
    port = earlier.getsockname()[1]
    n_waits = 0

    def wait(seconds):
        nonlocal n_waits
        n_waits += 1
        if n_waits == 3:
            earlier.close()

    monkeypatch.setattr(listener.time, "sleep", wait)
    with reserve_when_free("127.0.0.1", port) as sock:
        assert sock.getsockname() == ("127.0.0.1", port)
    assert n_waits == 3


def test_wait_for_a_port_is_bounded(monkeypatch):
    """Guards against a process that waits for a port for ever, or names none."""
    monkeypatch.setattr(listener, "BUSY_WAIT_MS", 60.0)
    with open_listener("127.0.0.1", 0) as other:
        port = other.getsockname()[1]
        with pytest.raises(OSError, match=f"127.0.0.1:{port}"):
            reserve_when_free("127.0.0.1", port)


@pytest.mark.parametrize("second", [open_listener, reserve_when_free])
def test_reserved_address_can_not_be_reserved_twice(monkeypatch, second):
    """Guards against two processes that both reserve an address while neither listens:
    the later one fails only after it has accepted connections on its other ports."""
    monkeypatch.setattr(listener, "BUSY_WAIT_MS", 60.0)
    with reserve_when_free("127.0.0.1", 0) as first:
        port = first.getsockname()[1]
        with pytest.raises(OSError, match="in use"):
            second("127.0.0.1", port).close()
        start_listening(first)
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            pass


@pytest.mark.parametrize("earlier_side_closes_first", [True, False])
def test_address_is_reserved_beside_connections_of_an_earlier_process(
    earlier_side_closes_first,
):
    """Guards against a restart in place that waits until the connections of the earlier
    process, or their closing, are over; several times, as each inherits from the
    listener before it."""
    port = 0
    kept = []
    for _ in range(3):
        sock = reserve_when_free("127.0.0.1", port)
        start_listening(sock)
        port = sock.getsockname()[1]
        for is_kept in (True, False):
            caller = socket.create_connection(("127.0.0.1", port), timeout=1)
            sock.setblocking(True)
            accepted, _ = sock.accept()
            pair = (
                [accepted, caller] if earlier_side_closes_first else [caller, accepted]
            )
            if is_kept:
                kept += pair
                continue
            for side in pair:
                side.close()
        sock.close()
    for sock in kept:
        sock.close()


@pytest.fixture
def make_system(tmp_path, monkeypatch):
    """Return a function that makes one control process and two entries."""
    settings = soak.SETTINGS.replace("machines = 1", "machines = 0")
    monkeypatch.setattr(soak, "SETTINGS", settings)
    systems = []

    def make(first_port):
        monkeypatch.setattr(soak, "FIRST_PORT", first_port)
        system = Soak(NETWORK_SEED, tmp_path, 1)
        systems.append(system)
        system.controls = system.controls[:1]
        system.entries = system.entries[:2]
        system.seeds = [system.controls[0].host]
        for entry in system.entries:
            entry.module = ("pollenfold.platform",)
        return system

    yield make
    for system in systems:
        for program in (*system.controls, *system.entries):
            program.kill()


async def wait_until_serving(system):
    """Start everything; wait until each entry responds with its configuration."""
    for program in (*system.controls, *system.entries):
        program.start(system.seeds, True)
    await system.put_configuration()
    for entry in system.entries:
        headers = [(b"host", b"h.example"), (b"x-request-id", b"r1")]
        while True:
            response = await exchange(
                entry.host, CALLER_PORT, b"GET", "/missing/1", headers, b"", 1.0
            )
            # Only an entry with the configuration knows that there is no such route.
            if response is not None and response.status == 404:
                break
            await curio.sleep(0.05)


async def read_metrics(host, port):
    response = await exchange(host, port, b"GET", "/metrics", [], b"", 1.0)
    return b"" if response is None else response.body


async def listens(host, port):
    with socket.socket() as sock:
        sock.settimeout(1)
        return sock.connect_ex((host, port)) == 0


@pytest.mark.parametrize("first_port", [7_668, 7_669, 7_670, 7_671, 7_680])
@pytest.mark.parametrize("is_one_vm", [False, True])
def test_processes_start_with_any_first_port(make_system, first_port, is_one_vm):
    """Guards against control replicas that never start and entries that don't relay,
    since metrics took the port of the agreement, the feed or the relay."""
    system = make_system(first_port)
    if is_one_vm:
        system.entries[0].host = system.controls[0].host
        # The settings of the platform name the addresses of the own role only.
    ports = {
        role: assign_ports(
            role, first_port, first_port + 15, (CALLER_PORT, soak.CONTROL_PORT)
        )
        for role in ROLES
    }

    async def main():
        async with curio.timeout_after(20):
            await wait_until_serving(system)
            control = system.controls[0]
            assert control.process.poll() is None
            body = await read_metrics(control.host, ports["control"].metrics)
            assert b"is_leader 1" in body
            for entry in system.entries:
                body = await read_metrics(entry.host, ports["entry"].metrics)
                assert b"feeds_connected" in body
                assert await listens(entry.host, ports["entry"].relay)

    curio.run(main)


def test_entry_whose_relay_port_is_busy_for_a_moment_relays(make_system):
    """Guards against an entry that serves without its port for peers."""
    system = make_system(7_680)
    entry = system.entries[0]
    entry.start(system.seeds, True)
    entry.kill()
    earlier = open_listener(entry.host, 7_682)
    entry.start(system.seeds, True)
    time.sleep(1.0)
    assert not entry.has_started()
    earlier.close()
    deadline = time.monotonic() + 10
    while not entry.has_started() and time.monotonic() < deadline:
        time.sleep(0.05)
    assert entry.has_started()
    assert curio.run(listens, entry.host, 7_682)


@pytest.mark.parametrize(("role", "port"), [("entry", 7_682), ("control", 7_681)])
def test_process_whose_port_stays_busy_ends_with_one_line(make_system, role, port):
    """Guards against a process that runs without a socket that its peers need, and
    against one that ends without naming the port."""
    system = make_system(7_680)
    program = system.entries[0] if role == "entry" else system.controls[0]
    with open_listener(program.host, port):
        program.start(system.seeds, True)
        assert program.process.wait(timeout=15) == 1
    lines = (program.folder / "log").read_text().splitlines()
    assert len(lines) == 1, lines
    assert f"{program.host}:{port}" in lines[0]


def test_busy_metrics_port_costs_nothing_else(make_system):
    """Guards against metrics that stay away for good after a moment without a port."""
    system = make_system(7_680)
    entry = system.entries[0]
    other = open_listener(entry.host, METRICS_PORTS["entry"])

    async def main():
        async with curio.timeout_after(20):
            await wait_until_serving(system)
            assert b"metrics_unavailable" in (entry.folder / "log").read_bytes()
            other.close()
            while b"feeds_connected" not in await read_metrics(
                entry.host, METRICS_PORTS["entry"]
            ):
                await curio.sleep(0.1)

    try:
        curio.run(main)
    finally:
        other.close()
