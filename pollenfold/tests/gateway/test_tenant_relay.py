"""Requests of tenants that one entry relays to another one."""

import json
from dataclasses import replace

import pytest

from pollenfold.core.tenancy.tenants import Tenant
from pollenfold.gateway.relay.headers import (
    RELAY_REQUEST,
    RelayedRequest,
    decode_relayed_request,
    encode_relayed_request,
)
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.relaying import FakePeer
from pollenfold.tests.gateway.test_relay import exchange, request, with_entries
from pollenfold.tests.gateway.test_tenants import KEYED, set_tenants, tenants_in

__all__ = ["with_entries"]


def test_relay_carries_the_name_of_the_tenant_and_not_its_key(with_entries):
    """Guards against a key in a second process, and a relayed request that loses its
    tenant."""
    reset = FakePeer(4, 0, mode="refuse")

    async def body(passing, reaching, backend):
        for entry in (passing, reaching):
            set_tenants(entry.view)
        status, *_ = await exchange(passing, request(extra=KEYED))
        assert status == 200
        (relayed,) = reset.requests
        assert b"k-blue" not in relayed
        assert b"credential" not in relayed.lower()
        assert b'"tenant":"blue"' in relayed
        (sent,) = backend.requests
        assert tenants_in(sent) == [b"blue"]
        assert b"k-blue" not in sent

    with_entries(body, Backend("one"), peers=[reset])


@pytest.mark.parametrize("tenants", [{Tenant("red"): ["k-blue-1"]}, None])
def test_peer_that_lacks_the_tenant_refuses_without_a_claim(with_entries, tenants):
    """Guards against a request that is executed for a tenant that was removed, and
    against 401 for a caller that the passing entry admitted."""

    async def body(passing, reaching, backend):
        set_tenants(passing.view)
        set_tenants(reaching.view, tenants)
        status, headers, content, _ = await exchange(passing, request(extra=KEYED))
        assert status == 503
        assert (b"pollenfold-run-state", b"did_not_run") in headers
        assert backend.requests == []
        (result,) = passing.results
        assert result.error_kind.value == "not_confirmed"

    with_entries(body, Backend("one"))


def test_peer_checks_the_key_of_an_entry_without_tenants(with_entries):
    """Guards against keys that aren't checked, or are passed on to endpoints, while a
    configuration with the first tenants is on its way."""

    async def body(passing, reaching, backend):
        set_tenants(reaching.view)
        assert (await exchange(passing, request(extra=KEYED)))[0] == 200
        (sent,) = backend.requests
        assert tenants_in(sent) == [b"blue"]
        assert b"k-blue" not in sent
        unknown = request(extra=b"x-credential: k-blue-9\r\n")
        assert (await exchange(passing, unknown))[0] == 503
        assert len(backend.requests) == 1

    with_entries(body, Backend("one"))


def test_relay_header_names_a_tenant_only_if_there_is_one():
    """Guards against entries of an earlier version that get an unknown field, and a
    malformed name that is trusted."""
    relayed = RelayedRequest("s", 120.5, 1, True, True, 1, True)
    assert b"tenant" not in encode_relayed_request(relayed)
    named = replace(relayed, tenant="\U0001f331" * 128)
    value = encode_relayed_request(named)
    assert decode_relayed_request([(RELAY_REQUEST, value)]) == named
    for tenant in (5, None, ["blue"], "x" * 201):
        fields = {**json.loads(value), "tenant": tenant}
        headers = [(RELAY_REQUEST, json.dumps(fields).encode())]
        assert decode_relayed_request(headers) is None
