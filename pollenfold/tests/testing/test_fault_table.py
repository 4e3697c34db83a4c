"""Steps of the scenarios in ``backend_server.feature``."""

import curio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pollenfold.observe.clock import system_clock
from pollenfold.testing.backend_server import NOT_STARTED
from pollenfold.testing.response_bodies import check_response_body

scenarios("../features/backend_server.feature")


@pytest.fixture
def observed():
    """Return a dictionary for the response and the counts of the server."""
    return {}


@given(
    parsers.parse("a backend server with the fault {kind} of {delay_ms:d} ms"),
    target_fixture="faults",
)
def fault_rows(kind, delay_ms):
    return [] if kind == "none" else [{"kind": kind, "delay_ms": delay_ms}]


@when(parsers.parse('a caller sends a request with the key "{key}"'))
def send(with_server, observed, faults, key):
    async def body(server, caller):
        await caller.update_faults(faults=faults)
        result, start = None, system_clock()
        async with curio.ignore_after(0.3):
            result, _ = await caller.send(key=key)
        observed.update(result=result, reusable=caller.reusable)
        observed["took_ms"] = system_clock() - start
        observed["runs"] = (await caller.get_json("/stand-in/counts"))["runs"]

    with_server(body)


@then(parsers.parse("the caller gets {what}"))
def caller_sees(observed, what):
    result = observed["result"]
    if what == "nothing for 300 ms":
        assert result is None
    elif what == "a complete response":
        assert result.ok.status == 200
        assert check_response_body(result.ok.body, "r1", "k1") is None
    elif what == "a not-started 503":
        assert result.ok.status == 503 and NOT_STARTED in result.ok.headers
    elif what.startswith("status "):
        assert result.ok.status == int(what.removeprefix("status "))
    else:
        assert result.error.value == what


@then(parsers.parse('the request with the key "{key}" was executed {n_runs:d} times'))
def key_ran(observed, key, n_runs):
    assert observed["runs"].get(key, 0) == n_runs


@then(parsers.parse("the exchange took at least {delay_ms:d} ms"))
def exchange_took(observed, delay_ms):
    assert observed["took_ms"] >= delay_ms


@then(parsers.parse("the connection is reusable: {expected}"))
def connection_is_reusable(observed, expected):
    assert observed["reusable"] == (expected == "yes")
