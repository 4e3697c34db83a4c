"""Real processes whose callers ask for much and read slowly or nothing.

A small crowd shows the faults since ``memoryMb`` is low. Only one of these tests runs
at a time.
"""

import curio
import pytest

from pollenfold.tests.platform.slow_readers import (
    MAX_DESCRIPTORS,
    MEMORY_MB,
    Crowd,
    make_system,
    run_crowd,
)

TIME_LIMIT_S = 45.0
"""Ends a test whose processes hang."""

CROWDS = {
    "long responses at a trickle": Crowd(
        n_callers=140, response_bytes=1_000_000, read_bytes=500, deadline_ms=60_000
    ),
    "pipelined responses at a trickle": Crowd(
        n_callers=150,
        response_bytes=20_000,
        read_bytes=1_000,
        deadline_ms=60_000,
        n_pipelined=8,
    ),
    "nothing is read": Crowd(
        n_callers=140, response_bytes=1_000_000, read_bytes=0, deadline_ms=60_000
    ),
    "enormous deadlines": Crowd(
        n_callers=40,
        response_bytes=200,
        read_bytes=100,
        deadline_ms=999_999_999,
    ),
}


@pytest.fixture
def system(tmp_path, monkeypatch):
    system = make_system(tmp_path, monkeypatch)
    yield system
    system.stop()


def failed_checks(system, statuses):
    """Return what a crowd did that it must not do to any process."""
    failed = []
    for entry, status in zip(system.entries, statuses, strict=True):
        if entry.process.poll() is not None:
            failed.append(f"{entry.name} ended")
            continue
        peak = system.peaks[entry.name]
        if peak.n_bytes > MEMORY_MB << 20:
            failed.append(f"{entry.name} memory {peak.n_bytes >> 20} MB: {peak}")
        if peak.n_descriptors > MAX_DESCRIPTORS:
            failed.append(f"{entry.name} descriptors {peak.n_descriptors}")
        if status != 200:
            failed.append(f"{entry.name} ordinary request: {status}")
    for control in system.soak.controls:
        if control.process.poll() is not None:
            failed.append(f"{control.name} ended")
    return failed


@pytest.mark.parametrize("name", list(CROWDS))
def test_slow_readers_cost_bounded_memory_and_no_ordinary_request(system, name):
    """Guards against an entry that runs out of memory for callers that read slowly, or
    that refuses ordinary requests because of what such callers say or do."""

    async def main():
        async with curio.timeout_after(TIME_LIMIT_S):
            await system.start()
            return await run_crowd(system, CROWDS[name])

    statuses = curio.run(main)
    print(system.peaks)
    assert failed_checks(system, statuses) == []
