"""Entries that are cut off from all endpoints while others reach them."""

import socket
from dataclasses import replace

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
    relay_port = free_port()
    paths, links = [], []
    for number, entry_id in enumerate(entry_ids):
        path = CallPath(
            [],
            entry_id=entry_id,
            entry_ids=entry_ids,
            host=f"127.0.7.{number + 1}",
            relay_port=relay_port,
            **route_changes,
        )
        own_links = [Link(backend.port) for backend in backends]
        for backend, link in zip(backends, own_links, strict=True):
            await link.start()
            path.announce(backend, port=link.own_port)
        paths.append(path)
        links.append(own_links)
    for path in paths:
        await path.connect_peers(paths)
    return backends, paths, links


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


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
        tasks = [await curio.spawn(path.get) for _ in range(6)]
        statuses = [(await task.join()).status for task in tasks]
        assert statuses == [200] * 6
        assert n_responses(path) >= 3

    run(main)


async def cut_entry(mode="refuse", **route_changes):
    """Return a fleet of two in which the first entry knows that it is cut off."""
    backends, paths, links = await start_fleet(**route_changes)
    for path in paths:
        assert (await path.get()).status == 200
    await cut_all(links[0], mode)
    while not paths[0].monitor.is_cut:
        await paths[0].get()
    return backends, paths, links


def n_responses(path):
    """Return how many requests were served through a peer."""
    return path.metrics.get("relayed_total", service="s", outcome="responded")


def logged(path, event):
    path.log.flush()
    return [line for line in path.lines if f"event={event} " in line]


@pytest.mark.parametrize("mode", ["refuse", "hang"])
def test_entry_uses_its_own_path_again_soon_after_it_is_restored(run, mode):
    """Guards against an entry that goes on relaying, or that fails requests, after its
    links are restored."""

    async def main():
        backends, (path, other), links = await cut_entry(mode)
        await cut_all(links[0], "pass")
        await curio.sleep(1.0)
        n_relayed = n_responses(path)
        assert n_relayed > 0
        for _ in range(10):
            assert (await path.get()).status == 200
        assert n_responses(path) == n_relayed
        assert len(logged(path, "endpoints_unreachable")) == 1
        assert len(logged(path, "endpoints_reachable")) == 1
        assert path.metrics.get("is_cut") == 0.0

    run(main)


def test_cut_ends_though_all_endpoints_declare_limits(run):
    """Guards against an entry that relays forever, because endpoints that declare a
    limit get no trials."""

    async def main():
        backends, (path, other), links = await cut_entry()
        for backend in backends:
            backend.limit = b"2"
        for view in (path.view, other.view):
            for endpoint in view.endpoints.values():
                view.limits.declare(endpoint, 2.0, system_clock())
        n_checks = sum(backend.n_checks for backend in backends)
        await cut_all(links[0], "pass")
        await curio.sleep(1.0)
        assert not path.monitor.is_cut
        assert sum(backend.n_checks for backend in backends) == n_checks

    run(main)


def test_trials_that_ended_with_an_error_start_again(run):
    """Guards against an entry that relays forever because its trials have stopped."""

    async def main():
        _, (path, _), links = await cut_entry()
        await path.monitor._trials.cancel()
        await cut_all(links[0], "pass")
        await path.monitor.maintain()
        await curio.sleep(1.0)
        assert not path.monitor.is_cut

    run(main)


def test_servers_that_all_ended_make_no_entry_relay(run):
    """Guards against entries that pass requests on to one another in circles while the
    servers of a service are down."""

    async def main():
        backends, paths, _ = await start_fleet(3)
        for path in paths:
            assert (await path.get()).status == 200
        for backend in backends:
            await backend.end()
        n_asked = 0
        for _ in range(10):
            for path in paths:
                assert (await path.get()).status == 503
                n_asked += path.metrics.get("requests_from_peers_total", service="s")
        assert not any(path.monitor.is_cut for path in paths)
        assert n_asked == 0

    run(main)


def test_request_that_was_sent_before_the_cut_is_repeated_only_if_it_may_be(run):
    """Guards against requests that wait for a hanging endpoint until their deadline,
    and against a second run of one that must not be repeated."""

    async def main():
        backends, (path, other), links = await start_fleet(is_idempotent=True)
        assert (await path.get()).status == 200
        assert (await other.get()).status == 200
        for backend in backends:
            backend.delay_ms = 150.0
        task = await curio.spawn(path.get)
        await curio.sleep(0.05)
        await cut_all(links[0], "hang")
        await curio.spawn(path.get)
        response = await task.join()
        assert response.status == 200
        assert path.metrics.get("retries_total", service="s") == 1

    run(main)


def test_request_that_must_not_be_repeated_is_awaited_at_a_hanging_endpoint(run):
    """Guards against a second run of a request that was sent before the cut."""

    async def main():
        backends, (path, other), links = await start_fleet(is_idempotent=False)
        assert (await path.get()).status == 200
        assert (await other.get()).status == 200
        for backend in backends:
            backend.delay_ms = 150.0
        n_before = sum(len(backend.requests) for backend in backends)
        task = await curio.spawn(path.get, b"POST", b"1000", b"order")
        await curio.sleep(0.05)
        await cut_all(links[0], "hang")
        assert (await path.get()).status == 200
        response = await task.join()
        assert response.status == 504
        assert dict(response.headers)[b"pollenfold-run-state"] == b"outcome_unknown"
        assert sum(len(backend.requests) for backend in backends) == n_before + 2

    run(main)


def count_requests(budget):
    """Return a list that gets the service of each request that a budget counts."""
    counted = []
    count_request = budget.count_request

    def count(service, now):
        counted.append(service)
        count_request(service, now)

    budget.count_request = count
    return counted


def test_request_is_relayed_once_and_counted_once(run):
    """Guards against requests that travel from one cut entry to the next, and against
    retries for requests that two entries count."""

    async def main():
        _, paths, links = await start_fleet(3)
        counted = [count_requests(path.forwarder._retry_budget) for path in paths]
        for path in paths:
            assert (await path.get()).status == 200
        for number in (0, 1):
            await cut_all(links[number], "refuse")
        for _ in range(10):
            for path in paths:
                assert (await path.get()).status == 200
        assert [path.monitor.is_cut for path in paths] == [True, True, False]
        counts = [len(services) for services in counted]
        assert sum(counts) == 33
        assert counts[2] >= 29
        assert paths[2].metrics.get("requests_from_peers_total", service="s") == 20

    run(main)


def probe_level(path):
    return path.balancer._probe_budget.level(system_clock())


def test_probes_of_relayed_requests_come_from_the_passing_entry(run):
    """Guards against a few connected entries that run out of probes, and so refuse or
    misplace requests, while the many cut ones use none of theirs."""

    async def main():
        _, (path, other), _ = await cut_entry()
        for entry in (path, other):
            entry.balancer._settings = replace(
                entry.balancer._settings, probes_per_s=1.0
            )
            entry.balancer._update_probe_budget(system_clock())
        n_all = probe_level(path)
        other.balancer._probe_budget.charge(probe_level(other), system_clock())
        assert (await path.get()).status == 200
        other.log.flush()
        done = logged(other, "request_done")[-1]
        assert "from_peer=True" in done
        assert "unasked" not in done
        # Some are gained meanwhile.
        assert probe_level(path) + probe_level(other) <= n_all

    run(main)


def test_log_leads_from_a_request_to_the_peer_that_took_it(run):
    """Guards against a request at a cut entry whose way can't be found in the log."""

    async def main():
        _, (path, _), _ = await cut_entry()
        await path.get()
        done = logged(path, "request_done")[-1]
        assert "relayed=e1:responded" in done
        cut = logged(path, "endpoints_unreachable")
        assert len(cut) == 1
        assert "responded=0" in cut[0]
        assert "peers_reach=s" in cut[0]
        assert path.metrics.get("is_cut") == 1.0
        assert "relay_ms_count" in path.metrics.render()

    run(main)


def test_lost_requests_of_a_cut_entry_quarantine_nothing(run):
    """Guards against a request that is refused everywhere because an entry lost its
    links to the servers that ran it, and was refused connections afterwards."""

    async def main():
        backends, (path, other), links = await start_fleet()
        assert (await other.get()).status == 200
        for _ in range(4):
            for backend in backends:
                backend.delay_ms = 100.0
            task = await curio.spawn(path.get)
            await curio.sleep(0.05)
            await cut_all(links[0], "refuse")
            await task.join()
            await cut_all(links[0], "pass")
            while path.monitor.is_cut:
                await curio.sleep(0.05)
        assert path.view.quarantine.n_quarantined == 0
        assert not logged(path, "server_ended")

    run(main)


def test_isolated_entry_refuses_soon(run):
    """Guards against requests that are held by an entry which reaches neither endpoints
    nor peers."""

    async def main():
        _, (path, _), links = await start_fleet()
        assert (await path.get()).status == 200
        unused = {"a": {"e1": "127.0.7.99"}}
        path.view.peer_directory.apply(unused, path.entry_id)
        await cut_all(links[0], "hang")
        for _ in range(5):
            started_at = system_clock()
            assert (await path.get()).status == 503
            assert system_clock() - started_at < MAX_FIRST_REQUEST_MS
        assert not path.monitor.is_cut

    run(main)


@pytest.mark.parametrize("mode", ["refuse", "hang"])
def test_peer_that_is_cut_as_well_is_tried_no_further(run, mode):
    """Guards against refusals at a cut entry whose peers were cut after they were found
    to reach the endpoints, while another one still does."""

    async def main():
        _, paths, links = await start_fleet(3)
        for path in paths:
            assert (await path.get()).status == 200
        await cut_all(links[0], mode)
        while not paths[0].monitor.is_cut:
            await paths[0].get()
        await cut_all(links[1], mode)
        statuses = [(await paths[0].get()).status for _ in range(12)]
        assert statuses == [200] * 12
        assert not paths[1].metrics.get("relayed_total", service="s", outcome="lost")

    run(main)
