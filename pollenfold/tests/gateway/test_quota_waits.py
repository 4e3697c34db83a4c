"""Requests that wait between their permit of a quota and their run."""

import json

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.core.errors import ErrorKind
from pollenfold.gateway.quotas.outcomes import Permit
from pollenfold.gateway.relay.result import RelayOutcome, RelayResult
from pollenfold.http.messages import error_response
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.test_hedges import make_backends, with_hedges
from pollenfold.tests.gateway.test_quotas import FakeLeader, after_s, get, set_quota

__all__ = ["with_hedges"]


def test_request_isnt_sent_after_the_wait_for_a_permit_took_its_time(with_path):
    """Load: the leader is silent, and a caller leaves less time than is waited for it.
    Guards against a request that is sent at its deadline, in vain."""

    async def body(path, backend):
        set_quota(path, FakeLeader(is_silent=True))

        async def acquire(tenant, quota, deadline):
            await curio.sleep(max(0.0, deadline - system_clock()) / 1000)
            return Permit(add_ms(system_clock(), 300.0))

        client = await path.quotas._start_client()
        client.acquire = acquire
        response = await get(path)
        assert backend.requests == []
        assert response.status == 503

    with_path(body, Backend("one"), timeout_ms=100.0)


def test_hedge_that_is_overtaken_takes_no_retry(with_hedges):
    """Guards against a retry that is counted though none is sent, when the first
    response arrives while the hedge waits for a permit."""

    async def body(path, first, second):
        waits = []

        async def acquire_slowly(call):
            waits.append(call)
            await curio.sleep(0.5)
            return True

        path.forwarder.hedges._get()._acquire_permit = acquire_slowly
        response = await get(path)
        assert response.body == b"of first"
        assert len(waits) == 1
        await curio.sleep(0.5)
        assert second.requests == []
        assert path.metrics.get("retries_total", service="s") == 0

    with_hedges(body, *make_backends(first_ms=450.0))


@pytest.mark.parametrize("kind", [ErrorKind.QUOTA_UNKNOWN, ErrorKind.QUOTA_EXCEEDED])
def test_refusal_of_a_peer_for_a_quota_keeps_its_time(with_path, kind):
    """Guards against callers that are told to come back at once."""

    async def body(path):
        relaying = path.forwarder._relaying
        peer = type("FakePeer", (), {"entry_id": "e4"})()
        n_found = []

        async def find_peer(call, excluded):
            n_found.append(peer)
            return peer if len(n_found) == 1 else None

        async def relay_to(call, peer):
            return RelayResult(
                RelayOutcome.NOT_STARTED,
                error_response(kind, retry_after_s=0.5),
                error_kind=kind,
            )

        relaying._find_peer = find_peer
        relaying._relay_to = relay_to

        async def relay(call):
            return await relaying._relay(call)

        relaying.relay_if_cut = relay
        response = await get(path)
        assert json.loads(response.body)["error"] == kind.value
        assert after_s(response) == 0.5

    with_path(body)
