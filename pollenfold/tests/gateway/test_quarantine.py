"""Requests that end each server which runs them."""

import curio
import pytest

from pollenfold.gateway.request_digest import request_digest
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.platform.headers import DIALECT
from pollenfold.tests.gateway.conftest import Backend, CallPath
from pollenfold.tests.gateway.test_cut_entry import cut_all, start_fleet

DEADLY = b"/x/deadly"


async def start_backends(n_backends, **fields):
    """Start servers that end when they get the deadly request."""
    backends = [
        Backend(f"b{number}", ends_at=DEADLY, **fields) for number in range(n_backends)
    ]
    for backend in backends:
        await backend.start()
    return backends


def n_ended(backends):
    return sum(backend.n_ended for backend in backends)


@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_request_that_ends_its_servers_ends_no_more_than_three(run, method):
    """Guards against one request that ends server after server, each time that a caller
    repeats it and each time that it is retried."""

    async def main():
        backends = await start_backends(8)
        path = CallPath(backends, is_idempotent=method == b"GET")
        for _ in range(8):
            await path.get(method, target=DEADLY)
        assert n_ended(backends) == 3
        assert (await path.get(method)).status == 200

    run(main)


async def relay_reports(source, *others):
    """Pass on what an entry reports, as the control replicas do."""
    reports = source.view.quarantine.take_reports()
    for other in others:
        other.view.apply_quarantine_reports(reports)


async def quarantined_path(n_backends=8, **route_changes):
    """Return an entry that quarantined the deadly request, and the servers."""
    backends = await start_backends(n_backends)
    path = CallPath(backends, **route_changes)
    while not path.view.quarantine.n_quarantined:
        await path.get(target=DEADLY)
    return path, backends


def test_quarantined_request_is_refused_at_once_and_not_to_be_repeated(run):
    """Guards against a caller that is told to repeat a request which no server can run,
    or is told that it hasn't run though it has."""

    async def main():
        path, backends = await quarantined_path()
        n_sent = sum(len(backend.requests) for backend in backends)
        response = await path.get(target=DEADLY)
        assert response.status == 503
        assert b"retry-after" not in dict(response.headers)
        assert dict(response.headers)[b"pollenfold-run-state"] == b"did_not_run"
        assert b'"error": "quarantined"' in response.body
        assert sum(len(backend.requests) for backend in backends) == n_sent

    run(main)


def test_request_that_is_quarantined_after_it_ran_has_an_unknown_outcome(run):
    """Guards against a refusal that claims a request hasn't run, when the third server
    ended in this very attempt of the caller."""

    async def main():
        backends = await start_backends(8)
        path = CallPath(backends, max_attempts=5)
        response = await path.get(target=DEADLY)
        assert n_ended(backends) == 3
        assert response.status == 502
        assert dict(response.headers)[b"pollenfold-run-state"] == b"outcome_unknown"
        assert b"retry-after" not in dict(response.headers)

    run(main)


def test_log_leads_from_a_refused_request_to_the_servers_that_it_ended(run):
    """Guards against a refusal whose cause can't be found in the log."""

    async def main():
        path, _ = await quarantined_path()
        await path.get(target=DEADLY)
        path.log.flush()
        done = next(line for line in path.lines if "kind=quarantined" in line)
        digest = next(part for part in done.split() if part.startswith("digest="))
        line = next(line for line in path.lines if "request_quarantined" in line)
        assert digest in line
        servers = line.split("endpoints=")[1].split()[0].split(",")
        ended = [part for part in path.lines if "event=server_ended" in part]
        assert len(set(servers)) == 3
        assert all(any(server in line for line in ended) for server in servers)
        assert path.metrics.get("refused_total", kind="quarantined") == 1

    run(main)


@pytest.mark.parametrize("change", [{"body": b"other"}, {"method": b"POST"}])
def test_similar_request_is_sent(run, change):
    """Guards against the refusal of a request that differs in its body or method."""

    async def main():
        path, backends = await quarantined_path()
        for backend in backends:
            backend.ends_at = b""
        assert (await path.get(target=DEADLY, **change)).status == 200

    run(main)


def test_other_entries_refuse_what_one_entry_saw(run):
    """Guards against a request that ends three servers for each entry, and against an
    entry that starts again from nothing."""

    async def main():
        backends = await start_backends(8)
        first, second = CallPath(backends), CallPath(backends, entry_id="e2")
        await first.get(target=DEADLY)
        await relay_reports(first, second)
        await second.get(target=DEADLY)
        await relay_reports(second, first)
        assert n_ended(backends) == 3
        assert (await first.get(target=DEADLY)).status == 503
        restarted = CallPath(backends, entry_id="e3")
        await first.view.quarantine.queue_all()
        await relay_reports(first, restarted)
        assert (await restarted.get(target=DEADLY)).status == 503
        assert n_ended(backends) == 3

    run(main)


def test_server_that_only_resets_connections_quarantines_nothing(run):
    """Guards against the refusal of requests to a server that fails but is there."""

    async def main():
        backends = [Backend(f"b{k}", respond=lambda request: None) for k in range(4)]
        for backend in backends:
            await backend.start()
        path = CallPath(backends)
        for _ in range(8):
            assert (await path.get()).status == 502
        assert path.view.quarantine.is_empty

    run(main)


def test_popular_request_is_sent_while_servers_end_of_something_else(run):
    """Guards against the refusal of a request that all callers send, because servers
    end of another request while they run it."""

    async def main():
        backends = await start_backends(8, delay_ms=30.0)
        path = CallPath(backends)
        statuses = []

        async def call_often():
            while True:
                statuses.append((await path.get()).status)

        callers = [await curio.spawn(call_often) for _ in range(6)]
        for number in range(6):
            await curio.sleep(0.1)
            await path.get(target=b"%s/%d" % (DEADLY, number))
            for backend in backends:
                if backend.task.terminated:
                    await backend.start()
        for caller in callers:
            await caller.cancel()
        assert n_ended(backends) >= 6
        assert 503 not in statuses
        assert statuses.count(200) > 100
        assert path.view.quarantine.n_quarantined == 0

    run(main)


def test_one_request_under_suspicion_at_a_time_runs_on_a_server(run):
    """Guards against an innocent request that is blamed for the end of a server on
    which the one that caused it ran too."""

    async def main():
        backends = await start_backends(2, delay_ms=200.0)
        path = CallPath(backends)
        quarantine = path.view.quarantine

        async def call(number):
            assert (await path.get(target=b"/x/%d" % number)).status == 200

        for round_number in range(0, 10, 2):
            for number in (round_number, round_number + 1):
                headers = [(b"host", b"h.example")]
                request = Request(b"GET", b"/x/%d" % number, headers, b"")
                digest = request_digest(request, DIALECT)
                now = system_clock()
                endpoint = path.view.endpoints["b0"]
                await quarantine.record_end(digest, endpoint, now, now)
            first = await curio.spawn(call, round_number)
            while not quarantine.busy_endpoint_ids() and not first.terminated:
                await curio.sleep(0.001)
            second = await curio.spawn(call, round_number + 1)
            # Both run at the same time, however long the loop is held up.
            while len(quarantine.busy_endpoint_ids()) < 2 and not first.terminated:
                await curio.sleep(0.001)
            assert quarantine.busy_endpoint_ids() == {"b0", "b1"}
            await first.join()
            await second.join()
        assert not quarantine.busy_endpoint_ids()

    run(main)


@pytest.mark.parametrize("n_entries", [1, 2])
def test_cuts_of_all_entries_quarantine_nothing(run, n_entries):
    """Guards against a request that is refused for a day, because all entries were cut
    off with refused connections several times while it was in flight."""

    async def main():
        backends, paths, links = await start_fleet(n_entries)
        for path in paths:
            assert (await path.get()).status == 200
        for _ in range(4):
            for backend in backends:
                backend.delay_ms = 100.0
            task = await curio.spawn(paths[0].get)
            await curio.sleep(0.05)
            for own in links:
                await cut_all(own, "refuse")
            await task.join()
            for own in links:
                await cut_all(own, "pass")
            async with curio.timeout_after(6):
                await curio.sleep(0.6)
                while paths[0].monitor.is_cut:
                    await curio.sleep(0.05)
        assert paths[0].view.quarantine.n_quarantined == 0

    run(main)
