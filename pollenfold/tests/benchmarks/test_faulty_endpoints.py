"""Bytes without end must end no entry; the driver must send and count what it says."""

import os
import socket
import subprocess
import sys

import curio
import pytest

from benchmarks import impatient_callers
from benchmarks.disk_losses import draw_network
from benchmarks.faulty_backend import Endpoint, Misbehaviour
from benchmarks.faulty_endpoints import describe_end, play
from benchmarks.faulty_outcome import MB, MEMORY_LIMIT_MB, Outcome, Plan
from benchmarks.faulty_responses import FAULTS, PACES, Moment, sound_response
from benchmarks.impatient_callers import Callers, Counts, Manner
from benchmarks.memory_samples import MemorySampler, Peak, read_unread_bytes
from benchmarks.soak import CALLER_PORT, Program

SEED = 1
HEALTH = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"
REQUEST = b"GET /x HTTP/1.1\r\nhost: x\r\nx-request-id: r-1\r\n\r\n"
ENDLESS_BYTES = 200_000
SHORT_PLAN = Plan(
    seed=SEED,
    fault="length",
    n_entries=2,
    n_callers=120,
    n_sound_callers=10,
    n_endpoints=6,
    n_faulty=3,
    seconds=4.0,
)


async def read_from(endpoint, request, n_bytes):
    """Return the first bytes that an endpoint sends after a request."""
    port = await endpoint.listen()
    sock = await curio.open_connection(endpoint.host, port)
    received = bytearray()
    async with sock:
        await sock.sendall(request)
        async with curio.ignore_after(5.0):
            while len(received) < n_bytes:
                received += await sock.recv(65536)
    return bytes(received[:n_bytes])


def endpoint_with(fault, pace="64k", is_in_health=False):
    """Return an endpoint with a fault, None for a sound one."""
    bad = None
    if fault is not None:
        bad = Misbehaviour(FAULTS[fault], PACES[pace], is_in_health)
    return Endpoint("i-1", f"{draw_network()}.7", "mixed", bad)


@pytest.mark.parametrize("name", FAULTS)
def test_faulty_endpoint_sends_without_end(name):
    """A fault that sends nothing would show a sound system on every version."""
    fault = FAULTS[name]
    start = {
        Moment.CONNECT: b"",
        Moment.REQUEST: fault.start(b"r-1", b"i-1"),
    }.get(fault.moment, sound_response(b"r-1", b"i-1", b"0,0,60,100"))
    expected = start + fault.block() * (ENDLESS_BYTES // len(fault.block()) + 1)

    received = curio.run(read_from, endpoint_with(name), REQUEST, ENDLESS_BYTES)

    assert received == expected[:ENDLESS_BYTES]


@pytest.mark.parametrize("pace", ["1b", "slow"])
def test_small_pieces_carry_the_same_bytes(pace):
    """A pace must change the pieces only."""
    expected = FAULTS["length"].start(b"r-1", b"i-1")

    endpoint = endpoint_with("length", pace)
    assert curio.run(read_from, endpoint, REQUEST, len(expected)) == expected


@pytest.mark.parametrize("is_in_health", [False, True])
def test_health_responses_are_faulty_only_on_demand(is_in_health):
    """An endpoint that fails its health checks gets no requests to fail."""
    sound = sound_response(b"", b"i-1", b"0,0,60,100")

    endpoint = endpoint_with("length", is_in_health=is_in_health)
    received = curio.run(read_from, endpoint, HEALTH, len(sound))

    assert (received == sound) != is_in_health


def test_unread_bytes_are_part_of_the_memory():
    """The platform counts bytes that a process hasn't read."""
    n_bytes = 100_000
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as sender,
        listener.accept()[0] as receiver,
    ):
        inode = os.fstat(receiver.fileno()).st_ino
        sender.sendall(b"x" * n_bytes)
        assert read_unread_bytes()[inode] == n_bytes
        sampler = MemorySampler([os.getpid()])
        sampler.sample()
        peak = sampler.peaks[os.getpid()]
        assert peak.unread_bytes >= n_bytes
        assert peak.total_bytes == peak.resident_bytes + peak.unread_bytes
        receiver.recv(n_bytes, socket.MSG_WAITALL)
        assert inode not in read_unread_bytes()


def outcome(**counts):
    """Return what a run without anything broken shows, with other counts of sound."""
    sound = Counts(n_sent=100, n_served=100).summary() | counts
    sizes = Peak(10 * MB, 10 * MB, 20 * MB)
    return Outcome(Plan(), {"sound": sound}, {"front-0": sizes})


def test_what_is_broken():
    """Each broken promise must count, and a sound run must not."""
    baseline = outcome()
    assert outcome(n_served=95).violations(baseline) == []
    assert len(outcome(n_served=94).violations(baseline)) == 1
    for name in ("n_late", "n_unanswered", "n_closed"):
        assert len(outcome(**{name: 1}).violations(baseline)) == 1
    ended, large, failed = outcome(), outcome(), outcome()
    ended.ended = ["front-0 ended"]
    large.peaks["front-0"].total_bytes = MEMORY_LIMIT_MB * MB + 1
    failed.failure = "nothing was served"
    for broken in (ended, large, failed):
        assert len(broken.violations(baseline)) == 1


def test_end_is_described_by_its_errors(tmp_path):
    """The errors while a loop shuts down must not hide the one that ended it."""
    program = Program("front-0", "entry", "127.0.0.1", "a", tmp_path)
    code = "try:\n {}[1]\nexcept KeyError:\n assert False"
    with (tmp_path / "log").open("wb") as log:
        program.process = subprocess.Popen([sys.executable, "-c", code], stderr=log)
        program.process.wait()

    expected = "front-0 ended with status 1: KeyError: 1 | AssertionError"
    assert describe_end(program) == expected


@pytest.mark.parametrize(
    ("fault", "count"),
    [(None, "n_served"), ("length", "n_incomplete"), ("before_head", "n_closed")],
)
def test_callers_count_how_requests_end(fault, count, monkeypatch):
    """A response without an end must not count as served, nor one without a head."""
    monkeypatch.setattr(impatient_callers, "GIVE_UP_S", 0.5)

    async def call():
        endpoint = endpoint_with(fault)
        await endpoint.listen(CALLER_PORT)
        callers = Callers("mixed", [endpoint.host], SEED, (Manner.PATIENT,))
        await callers.run(4, 0.3, 0.1)
        return callers.counts

    counts = curio.run(call)

    assert counts.n_sent >= 4
    assert getattr(counts, count) == counts.n_sent


def test_bytes_without_end_end_no_process():
    """Errors of the event loop must not end an entry, nor unread bytes fill it."""
    seen = play(SHORT_PLAN)

    assert not seen.failure
    assert not seen.ended
    assert seen.peak.total_bytes < MEMORY_LIMIT_MB * MB
    assert seen.counts["sound"]["n_served"] > 0
