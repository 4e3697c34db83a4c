"""The port for peers of real entry processes that learn of each other from control."""

import curio
import pytest
from curio import socket

from benchmarks import soak
from benchmarks.soak import CALLER_PORT, CONTROL_PORT, FIRST_PORT, Soak, exchange
from benchmarks.soak_backends import SoakBackend
from pollenfold.gateway.relay_headers import (
    RELAY_REQUEST,
    RelayedRequest,
    decode_relay_notice,
    encode_relayed_request,
)
from pollenfold.platform.__main__ import RELAY_PORT_OFFSET
from pollenfold.tests.gateway.test_relay import read_response

RELAY_PORT = FIRST_PORT + RELAY_PORT_OFFSET
NETWORK_SEED = 190
"""Selects a network of loopback addresses that no kept seed of the soak uses."""


@pytest.fixture
def system(tmp_path, monkeypatch):
    """Return one control process and two entry processes with a backend server."""
    settings = soak.SETTINGS.replace("machines = 1", "machines = 0")
    monkeypatch.setattr(soak, "SETTINGS", settings)
    system = Soak(NETWORK_SEED, tmp_path, 1)
    system.controls = system.controls[:1]
    system.entries = system.entries[:2]
    system.seeds = [system.controls[0].host]
    system.backends = [SoakBackend("i-0", system.backends[0].host, "a")]
    yield system
    for program in (*system.controls, *system.entries):
        program.kill()


async def start(system):
    """Start everything, and wait until both entries serve their callers."""
    for program in (*system.controls, *system.entries):
        program.start(system.seeds, True)
    (backend,) = system.backends
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


async def relay(source_host, host):
    """Send a relayed request; return the response, None if it wasn't read."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        sock.bind((source_host, 0))
        value = encode_relayed_request(RelayedRequest("s", 200.0, 2, False, False))
        try:
            await sock.connect((host, RELAY_PORT))
            await sock.sendall(
                b"POST /unsafe/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
                b"x-deadline-ms: 900\r\ncontent-length: 0\r\n"
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
        async with curio.timeout_after(10):
            while (response := await relay(passing.host, reaching.host)) is None:
                await curio.sleep(0.1)
        status, headers = response
        assert status == 200
        notice = decode_relay_notice(headers)
        assert (notice.is_from_endpoint, notice.endpoint_id) == (True, "i-0")
        (backend,) = system.backends
        assert backend.executions["q1"] == 1
        # The control replica has an address of its own, as any stranger has.
        for stranger in (system.controls[0].host, backend.host, "127.0.0.1"):
            assert await relay(stranger, reaching.host) is None
        assert backend.executions["q1"] == 1
        log = reaching.folder / "log"
        async with curio.timeout_after(5):
            while "event=peer_connection_refused" not in log.read_text():
                await curio.sleep(0.05)
        passing.kill()
        async with curio.timeout_after(10):
            while await relay(passing.host, reaching.host) is not None:
                await curio.sleep(0.1)

    async def limited():
        async with curio.timeout_after(60):
            await main()

    curio.run(limited)
    assert system.violations == []
