"""Requests relayed between entries that hold different configurations, or refuse."""

import curio

from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.routes import (
    BackendService,
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, signed_response
from pollenfold.tests.gateway.test_cut_entry import cut_all, cut_entry, start_fleet


def configuration(version, service="s", is_idempotent=True):
    route = Route(
        name="r1",
        path_prefix="/x/",
        is_idempotent=is_idempotent,
        weighted_services=(WeightedService(service, 1.0),),
        timeout_ms=800.0,
        target_latency_ms=200.0,
        max_attempts=2,
    )
    services = {
        k: BackendService(k, "/healthz", 260, 3000.0, 18.0) for k in ("s", "old")
    }
    return RoutingConfiguration(
        version, {"h.example": sorted_routes([route])}, services
    )


def hold(path, version, **changes):
    """Let an entry hold a version of the configuration."""
    path.view.configuration = configuration(version, **changes)
    path.view.replicated_state = ReplicatedState(index=version, version=version)


async def start_cut_entry(n_entries, **route_changes):
    """Return an entry that knows that it is cut, its connected peers and servers."""
    backends, paths, links = await start_fleet(n_entries, **route_changes)
    for path in paths:
        assert (await path.get()).status == 200
    await cut_all(links[0], "refuse")
    cut, peers = paths[0], paths[1:]
    table = cut.monitor.peer_table
    async with curio.timeout_after(5):
        while not cut.monitor.is_cut:
            await cut.get()
        while not all(
            table.reaches(path.entry_id, "s", system_clock()) for path in peers
        ):
            await curio.sleep(0.05)
    for backend in backends:
        backend.requests.clear()
    return cut, peers, backends


def test_peer_with_an_older_configuration_runs_nothing(run):
    """Guards against a request that is executed by the service of an older version,
    because the entry that was asked to help is cut off from control."""

    async def main():
        _, (path, other), _ = await cut_entry()
        former = Backend("former")
        await former.start()
        for entry in (path, other):
            entry.announce(former, service="old")
        hold(path, 9)
        hold(other, 8, service="old")
        for _ in range(5):
            assert (await path.get()).status == 503
        assert former.requests == []

    run(main)


def test_request_that_one_of_two_entries_must_not_repeat_runs_once(run):
    """Guards against a second run by a peer whose version of the route permits it."""

    async def main():
        backends, (path, other), _ = await cut_entry()
        hold(path, 9, is_idempotent=False)
        hold(other, 9, is_idempotent=True)
        for backend in backends:
            backend.requests.clear()
            backend.respond = lambda request: None
        assert (await path.get(b"POST", body=b"order")).status == 502
        assert sum(len(backend.requests) for backend in backends) == 1

    run(main)


def test_peer_that_lacks_a_route_denies_it_to_nobody(run):
    """Guards against 404 for a request that the entry of its caller admitted."""

    async def main():
        path, (behind, other), _ = await start_cut_entry(3)
        hold(path, 2)
        hold(other, 2)
        behind.view.configuration = RoutingConfiguration(
            2, {}, behind.view.configuration.services
        )
        statuses = {(await path.get()).status for _ in range(12)}
        assert statuses == {200}
        path.view.peer_directory.remove([other.entry_id])
        assert (await path.get()).status == 503

    run(main)


def test_peer_that_reports_a_lost_server_is_asked_again(run):
    """Guards against callers refused for a second, because a peer that truthfully
    reported the failure of a server was taken for unreachable."""

    async def main():
        path, _, backends = await start_cut_entry(3, is_idempotent=False)
        for backend in backends:
            backend.respond = lambda request: (
                None if b"lost" in request else signed_response()
            )
        for _ in range(6):
            assert (await path.get(b"POST", body=b"lost")).status == 502
            assert (await path.get(b"POST", body=b"good")).status == 200

    run(main)


def test_request_that_several_peers_refuse_earns_retries_once(run):
    """Guards against retries beyond the budget: each peer that refuses a request for
    lack of capacity counted it as one of its own."""
    n_requests = 50

    async def main():
        path, peers, backends = await start_cut_entry(4)
        budgets = [entry.forwarder._retry_budget for entry in (path, *peers)]
        for budget in budgets:
            budget._services.clear()
        for backend in backends:
            backend.load = b"60,60,6,5000"
        for _ in range(n_requests):
            await path.get()
        now = system_clock()
        n_earned = sum(budget._counts("s").earned.get(now) for budget in budgets)
        assert 0 < n_earned <= 0.2 * n_requests

    run(main)


def test_burst_over_the_connection_limit_makes_no_peer_unreachable(run):
    """Guards against peers that are avoided for a second, and callers that are refused,
    because this entry used all connections that it may have to one of them."""
    fleet_size = 312

    async def main():
        path, peers, backends = await start_cut_entry(4)
        path.view.fleet.report(fleet_size, system_clock())
        for backend in backends:
            backend.delay_ms = 150.0
        tasks = [await curio.spawn(path.get) for _ in range(14)]
        statuses = [(await task.join()).status for task in tasks]
        # Three peers with four connections each take twelve at a time.
        assert statuses.count(200) >= 12
        now = system_clock()
        table = path.monitor.peer_table
        assert all(table.reaches(peer.entry_id, "s", now) for peer in peers)

    run(main)
