"""Entries that are cut off from all endpoints while others reach them."""

import curio
import pytest

from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, CallPath
from pollenfold.tests.gateway.links import Link

N_BACKENDS = 4
MAX_FIRST_REQUEST_MS = 700.0
"""Within this time the first request that finds the cut has its response."""


async def start_fleet(n_entries=2, **route_changes):
    """Return backend servers, entries, and for each entry its links to the servers."""
    backends = [Backend(f"b{number}") for number in range(N_BACKENDS)]
    for backend in backends:
        await backend.start()
    entry_ids = tuple(f"e{number}" for number in range(n_entries))
    paths, links = [], []
    for entry_id in entry_ids:
        path = CallPath([], entry_id=entry_id, entry_ids=entry_ids, **route_changes)
        own_links = [Link(backend.port) for backend in backends]
        for backend, link in zip(backends, own_links, strict=True):
            await link.start()
            path.announce(backend, port=link.own_port)
        paths.append(path)
        links.append(own_links)
    return backends, paths, links


async def cut_all(links, mode):
    for link in links:
        await link.cut(mode)


@pytest.mark.parametrize("mode", ["refuse", "reset", "hang"])
@pytest.mark.parametrize("has_open_connections", [True, False])
def test_callers_of_an_entry_that_reaches_no_endpoint_are_served(
    run, mode, has_open_connections
):
    """Guards against an entry that refuses its callers because it reaches no endpoint,
    while another entry reaches them."""

    async def main():
        backends, (path, other), links = await start_fleet()
        assert (await other.get()).status == 200
        if has_open_connections:
            assert (await path.get()).status == 200
        await cut_all(links[0], mode)
        started_at = system_clock()
        assert (await path.get()).status == 200
        assert system_clock() - started_at < MAX_FIRST_REQUEST_MS
        for _ in range(5):
            assert (await path.get(b"POST", body=b"order")).status == 200
        n_runs = sum(len(backend.requests) for backend in backends)
        assert n_runs == 7 + has_open_connections

    run(main)


def test_callers_are_served_while_only_old_connections_live_on(run):
    """Guards against an entry that refuses its callers once the connections that it had
    before the cut are in use or gone."""

    async def main():
        backends, (path, other), links = await start_fleet()
        assert (await other.get()).status == 200
        assert (await path.get()).status == 200
        for backend in backends:
            backend.delay_ms = 100.0
        await cut_all(links[0], "refuse_new")
        tasks = [await curio.spawn(path.get) for _ in range(12)]
        statuses = [(await task.join()).status for task in tasks]
        assert statuses == [200] * 12

    run(main)
