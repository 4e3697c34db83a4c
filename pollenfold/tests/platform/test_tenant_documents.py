"""Decoding and validation of the tenants of a configuration."""

import copy
import json

import pytest

from pollenfold.core.slices import run_at_once
from pollenfold.core.tenancy.tenants import Quota, Tenant
from pollenfold.platform.documents import (
    DocumentError,
    configuration_decoder,
    decode_configuration,
)

KEYS = ("k-blue-1", "k-blue-2", "k-green-1")
TENANTS = [
    {
        "name": "blue",
        "apiKeys": ["k-blue-1", "k-blue-2"],
        "priority": 1,
        "ratePerS": 12.5,
        "burst": 20,
    },
    {"name": "green", "apiKeys": ["k-green-1"]},
]
ROUTE = {
    "name": "r1",
    "pathPrefix": "/",
    "kind": "safe",
    "timeoutMs": 1200,
    "service": "booking",
}


def document(tenants=TENANTS, **route_fields):
    """Return the text of a configuration."""
    return json.dumps(
        {
            "version": 7,
            "tenants": tenants,
            "services": [{"name": "booking", "healthPath": "/healthz"}],
            "hosts": [{"host": "h", "paths": [{**ROUTE, **route_fields}]}],
        }
    )


def test_tenants_are_decoded():
    """Guards against a field that is decoded into the wrong attribute."""
    tenants = decode_configuration(document()).tenants
    blue = Tenant("blue", 1, Quota(12.5, 20))
    assert tenants.by_name == {"blue": blue, "green": Tenant("green", None, None)}
    assert tenants.find(b"k-blue-2") == blue


@pytest.mark.parametrize("rate", [{}, {"ratePerS": 0}, {"ratePerS": 0.0, "burst": 5}])
def test_rate_of_zero_means_no_limit(rate):
    """Guards against a tenant without a limit, all of whose requests are refused."""
    tenants = [{"name": "blue", "apiKeys": ["k"], **rate}]
    assert decode_configuration(document(tenants)).tenants.by_name["blue"].quota is None


def test_configuration_without_tenants_has_no_directory():
    """Guards against an entry that asks for keys which nobody has."""
    text = document()
    fields = json.loads(text)
    del fields["tenants"]
    assert decode_configuration(json.dumps(fields)).tenants is None
    assert decode_configuration(document([])).tenants is None


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        ((0, "name"), 5, "tenants[0].name"),
        ((0, "name"), "", "tenants[0].name"),
        ((0, "name"), "a\nb", "tenants[0].name"),
        ((0, "name"), " a", "tenants[0].name"),
        ((0, "name"), "n" * 129, "tenants[0].name"),
        ((0, "name"), KEYS, "tenants[0].name"),
        ((1, "name"), "blue", "tenants[1].name"),
        ((1, "apiKeys"), "k-green-1", "tenants[1].apiKeys"),
        ((1, "apiKeys"), None, "tenants[1].apiKeys"),
        ((1, "apiKeys", 0), "k-blue-2", "tenants[1].apiKeys"),
        ((1, "apiKeys", 0), "k-green-1\r\n", "tenants[1].apiKeys[0]"),
        ((1, "apiKeys", 0), "k-green-1" * 20, "tenants[1].apiKeys[0]"),
        ((1, "apiKeys", 0), {"k-green-1": 1}, "tenants[1].apiKeys[0]"),
        ((1, "apiKeys", 0), ["k-green-1"], "tenants[1].apiKeys[0]"),
        ((1, "apiKeys", 0), "", "tenants[1].apiKeys[0]"),
        ((1, "apiKeys", 0), None, "tenants[1].apiKeys[0]"),
        ((0, "priority"), "k-blue-1", "tenants[0].priority"),
        ((0, "priority"), -1, "tenants[0].priority"),
        ((0, "priority"), True, "tenants[0].priority"),
        ((0, "ratePerS"), -0.5, "tenants[0].ratePerS"),
        ((0, "ratePerS"), "12", "tenants[0].ratePerS"),
        ((0, "ratePerS"), None, "tenants[0].ratePerS"),
        ((0, "ratePerS"), float("nan"), "tenants[0].ratePerS"),
        ((0, "ratePerS"), float("inf"), "tenants[0].ratePerS"),
        ((0, "burst"), -1, "tenants[0].burst"),
        ((0, "burst"), ["k-blue-1"], "tenants[0].burst"),
        ((1,), "k-green-1", "tenants[1]"),
        ((1,), None, "tenants[1]"),
    ],
)
def test_invalid_tenants_are_refused_without_their_keys(path, value, field):
    """Guards against an accepted mistake, and a key in the text of the error."""
    tenants = copy.deepcopy(TENANTS)
    *parents, last = path
    item = tenants
    for key in parents:
        item = item[key]
    item[last] = value
    with pytest.raises(DocumentError) as raised:
        decode_configuration(document(tenants))
    assert field in str(raised.value)
    assert not any(key in str(raised.value) for key in KEYS)


@pytest.mark.parametrize("tenants", ["k-blue-1", {"k-blue-1": 1}, None, 3])
def test_tenants_that_are_no_list_are_refused(tenants):
    """Guards against tenants that are dropped silently, which would admit everyone."""
    with pytest.raises(DocumentError, match="^tenants: expected a list$"):
        decode_configuration(document(tenants))


def test_malformed_document_is_refused_without_its_keys():
    """Guards against an error of the JSON decoder that shows a part of the text."""
    for end in range(20, len(document()) - 1, 7):
        with pytest.raises(DocumentError) as raised:
            decode_configuration(document()[:end])
        assert not any(key in str(raised.value) for key in KEYS)


def test_route_may_allow_anonymous_requests():
    """Guards against a route that needs a key without being told, or the reverse."""
    for fields, expected in (({}, False), ({"allowAnonymous": True}, True)):
        configuration = decode_configuration(document(**fields))
        assert configuration.hosts["h"][0].allows_anonymous is expected
    with pytest.raises(DocumentError, match="allowAnonymous"):
        decode_configuration(document(allowAnonymous="yes"))


def test_later_configuration_replaces_keys():
    """Guards against a removed key that is still accepted, with routes known."""
    decode = configuration_decoder()
    first = run_at_once(decode(document()))
    changed = copy.deepcopy(TENANTS)
    changed[0]["apiKeys"] = ["k-blue-2", "k-blue-3"]
    changed[1]["priority"] = 4
    second = run_at_once(decode(document(changed)))
    assert second.tenants.find(b"k-blue-1") is None
    assert second.tenants.find(b"k-blue-3") is first.tenants.by_name["blue"]
    assert second.tenants.by_name["green"].priority == 4
    assert first.tenants.find(b"k-blue-1") is first.tenants.by_name["blue"]


def test_each_step_decodes_at_most_one_tenant():
    """Guards against a hold-up of an entry by thousands of tenants."""
    n_tenants = 3_000
    tenants = [
        {"name": f"t{i}", "apiKeys": [f"a{i}", f"b{i}"]} for i in range(n_tenants)
    ]
    steps = configuration_decoder()(document(tenants))
    n_steps = 0
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            assert len(stop.value.tenants.by_name) == n_tenants
            break
        n_steps += 1
    assert n_steps > 4 * n_tenants
