"""Addresses, and what the entries of the own interface tell each other of endpoints."""

import json

from hypothesis import example, given
from hypothesis import strategies as st
from pydantic import ValidationError

from pollenfold.core import input_limits
from pollenfold.core.endpoints import AgedEndpoint, Endpoint
from pollenfold.entry.announcements import Announcement
from pollenfold.wire.connections import address_family
from pollenfold.wire.membership import Push, decode_request, encode_request
from properties.test_borders import ODD_VALUES
from properties.test_decoders import value_paths, with_value_at


@given(st.text(max_size=80) | st.sampled_from(["10.0.0.9", "::1"]), st.integers())
@example("a" * 70 + ".example", 80)
@example("10.0.0\0.9", 80)
def test_only_an_ip_address_and_a_port_have_a_family(host, port):
    """Guards against an address whose use blocks the event loop or raises an error
    that no caller handles."""
    try:
        address_family(host, port)
    except OSError:
        return
    assert input_limits.normalized_ip_address(host) or "%" in host
    assert input_limits.is_port(port)


@given(st.text(max_size=90))
@example("10.0.0.9:\u0668\u0660")
@example("[::1]:80")
def test_parsed_address_is_usable(text):
    """Guards against an address that is accepted and can't be connected to."""
    address = input_limits.parse_address(text)
    if address is not None:
        address_family(*address)
        assert input_limits.is_ip_address(address[0])


OWN_ANNOUNCEMENT = {
    "service": "s",
    "host": "10.0.0.9",
    "port": 80,
    "zone": "a",
    "incarnation": 1,
    "heartbeat": 1,
    "ttl_ms": 2000,
    "slots": 4,
    "connections": 9,
    "state": "serving",
}


@given(st.sampled_from(list(value_paths(OWN_ANNOUNCEMENT))), ODD_VALUES)
@example(("host",), "fe80::1%" + "x" * 1000)
def test_own_announcement_reaches_the_other_entries_or_is_refused(path, value):
    """Guards against an announcement that one entry accepts and all others refuse,
    together with those that come in the same message."""
    text = json.dumps(with_value_at(OWN_ANNOUNCEMENT, path, value))
    try:
        endpoint = Announcement.model_validate_json(text).endpoint()
    except ValidationError:
        return
    push = decode_request(encode_request(Push((AgedEndpoint(endpoint),))))
    assert push.n_malformed == 0


_U32 = st.sampled_from([0, 1, 5, 2_000, 0xFFFFFFFF])
_NAMES = st.sampled_from(["", "s", "a\n", "x" * 200])


@given(
    st.builds(
        Endpoint,
        service=_NAMES,
        host=st.sampled_from(["10.0.0.9", "a.example", "", "fe80::1%x"]),
        port=st.sampled_from([0, 80, 65_535]),
        zone=_NAMES,
        incarnation=st.sampled_from([0, (1 << 64) - 1]),
        heartbeat=st.sampled_from([0, (1 << 64) - 1]),
        ttl_ms=_U32,
        slots=_U32,
        connections=_U32,
    )
)
def test_malformed_endpoint_of_a_message_hides_no_other(odd):
    """Guards against an entry that refuses all endpoints of its peers since one of
    them is malformed."""
    true = Endpoint("s", "10.0.0.8", 80, "a", 1, 1, 2_000.0, 4, 9)
    sent = Push((AgedEndpoint(odd), AgedEndpoint(true)))
    push = decode_request(encode_request(sent))
    assert push.entries[-1].endpoint == true
    assert push.n_malformed + len(push.entries) == 2
