"""Endpoints that fail all their requests, on real connections of several entries."""

import curio
import pytest

from pollenfold.core.errors import ErrorKind
from pollenfold.core.failure_outliers import EXCLUSION_MS, MEDIAN_INTERVAL_MS
from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.gateway.pick import Pick
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.failing_endpoints import Play, Server, make_servers

N_DETECTING_FAILURES = 9


def n_late(servers, from_ms=0.0):
    """Return how many requests each server got since ``from_ms``."""
    return [sum(at >= from_ms for at in server.arrived_ms) for server in servers]


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("kind", ["rubbish", "status", "error", "reset"])
def test_endpoints_that_fail_all_get_only_trials(run, kind, is_idempotent):
    """Guards against endpoints that draw more than an even share of the requests since
    they fail them quickly, whatever their health checks say."""
    play = Play(make_servers(kind), duration_ms=4_000.0, is_idempotent=is_idempotent)
    run(play.run)
    failing, others = play.servers[:2], play.servers[2:]
    # Each caller may be on its way when the entry decides. Exclusions of 1 s and 2 s
    # leave time for two trials.
    n_permitted = N_DETECTING_FAILURES + play.n_callers + 2
    assert max(n_late(failing)) <= play.n_entries * n_permitted
    assert max(n_late(failing)) < 0.5 * min(n_late(others))


def test_endpoint_that_is_well_again_gets_its_share(run):
    """Guards against an endpoint that stays without requests after it recovered."""
    servers = make_servers("rubbish", fails_until_ms=1_000.0)
    play = Play(servers, duration_ms=9_000.0)
    run(play.run)
    # The penalties of the failures count for four half-lives, until 7 s.
    counts = n_late(servers, 7_000.0)
    assert min(counts[:2]) > 0.5 * sum(counts) / len(counts)


def test_trial_of_a_refused_request_is_left_to_the_next_one(with_path):
    """Guards against an endpoint that stays excluded since the request that was to be
    its trial was refused by admission, and so never sent."""

    async def body(path, *backends):
        record = path.balancer.outliers.record
        for name, outcome in (
            ("one", AttemptOutcome.RESPONDED),
            ("two", AttemptOutcome.RESPONDED),
            ("failing", AttemptOutcome.LOST),
        ):
            await curio.sleep(MEDIAN_INTERVAL_MS / 1000)
            for _ in range(N_DETECTING_FAILURES):
                record(Pick(path.view.endpoints[name], None, 1.0), outcome, None)
        outliers = path.balancer.outliers
        endpoint = path.view.endpoints["failing"]
        await curio.sleep(EXCLUSION_MS / 1000)
        first, second = (Pick(endpoint, None, 1.0) for _ in range(2))
        assert outliers.admit(first) and first.is_trial
        assert not outliers.admit(second)
        path.forwarder._refusal_kind = lambda *_: ErrorKind.QUEUE_FULL
        outliers.abandon(first)
        # The requests that are refused leave the trial to a later one.
        for _ in range(6):
            assert (await path.get()).status == 503
        assert outliers.admit(second) and second.is_trial

    names = ("failing", "one", "two")
    with_path(body, *map(Backend, names))


@pytest.mark.parametrize("field", ["shed_share", "error_share"])
def test_endpoints_that_all_shed_or_fail_a_part_are_all_used(run, field):
    """Guards against a service that refuses although its endpoints do half of the
    work, and against refusals that count as failures."""
    servers = [Server(f"s{number}", **{field: 0.5}) for number in range(12)]
    play = Play(servers, duration_ms=4_000.0)
    run(play.run)
    counts = n_late(servers)
    assert min(counts) > 0.3 * sum(counts) / len(counts)


def test_endpoints_that_shed_beside_others_are_not_excluded(run):
    """Guards against an endpoint that sheds and is taken for one that fails."""
    servers = [Server(f"s{n}", shed_share=0.8 * (n < 4)) for n in range(12)]
    play = Play(servers, duration_ms=4_000.0)
    run(play.run)
    assert min(n_late(servers)) > 20
