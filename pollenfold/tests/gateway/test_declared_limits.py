"""Limits that backend servers declare for the requests of all entries together."""

import curio
import pytest

from pollenfold.tests.gateway.conftest import Backend, CallPath

WINDOW_MS = 4_000.0
TOLD_MS = 500.0
"""How long after its first response with the limit an entry must keep to it."""

LIMIT_PER_S = 3.1


def largest_sum(arrived_ms, since_ms):
    """Return the most arrivals in any window that starts at ``since_ms`` or later."""
    late = [at for at in arrived_ms if at >= since_ms]
    return max((sum(at <= t < at + WINDOW_MS for t in late) for at in late), default=0)


def allowed_in_window(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5


async def send_steadily(paths, requests_per_s, duration_s):
    """Send requests through all entries in turn; return the statuses."""
    statuses = []

    async def call(path):
        statuses.append((await path.get()).status)

    tasks = []
    for number in range(int(requests_per_s * duration_s)):
        tasks.append(await curio.spawn(call, paths[number % len(paths)]))
        await curio.sleep(1 / requests_per_s)
    for task in tasks:
        await task.join()
    return statuses


@pytest.mark.parametrize("n_entries", [1, 16])
def test_sum_of_all_entries_keeps_to_a_declared_limit(run, n_entries):
    """Guards against a server that gets far more requests and probes than the limit
    that it declared, and against one that gets hardly any because of its limit."""

    async def main():
        limited = Backend("limited", limit=b"%.1f" % LIMIT_PER_S)
        peers = [Backend(f"peer{number}") for number in range(3)]
        backends = [limited, *peers]
        for backend in backends:
            await backend.start()
        names = [f"e{number}" for number in range(n_entries)]
        paths = [CallPath(backends, entry_id=name, entry_ids=names) for name in names]
        # Each entry has seen the limit once.
        statuses = await send_steadily(paths, 100, 1.0)
        since_ms = paths[0].forwarder._clock() + TOLD_MS
        n_before = len(limited.requests)
        statuses += await send_steadily(paths, 100, 9.0)
        assert largest_sum(limited.arrived_ms, since_ms) <= allowed_in_window(
            LIMIT_PER_S
        )
        assert len(limited.requests) - n_before >= 0.75 * LIMIT_PER_S * 9
        assert statuses.count(200) == len(statuses)

    run(main)
