"""Steps of features/call_path.feature: one request against one fault or refusal."""

from pathlib import Path
from types import SimpleNamespace

import curio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pollenfold.testing.response_bodies import check_response_body
from pollenfold.tests.entry.conftest import set_faults, wait_until

scenarios(str(Path(__file__).parent.parent / "features" / "call_path.feature"))

TIMEOUT_MS = 600.0
SLOW = {"kind": "slow", "path_prefix": "/market/slow", "delay_ms": 400}
DELAYS_MS = {"late_answer": 60}

HEAD = b"HTTP/1.1 200 OK\r\n"
SCRIPTS = {
    "malformed bytes": b"\x00\x01 no response\r\n\r\n",
    "a partial head": HEAD + b"Content-Le",
    "an unframed body": HEAD + b"\r\nthe first half",
    "two lengths": HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "an endless head": HEAD + b"X: " + b"y" * 40_000,
    "a foreign exchange id": HEAD
    + b"Pollenfold-Exchange-Id: 99\r\nContent-Length: 2\r\n\r\nab",
}


@pytest.fixture
def plan():
    """The setup of a scenario and its observed results."""
    return SimpleNamespace(
        n_servers=0, fault="none", script=None, cause=None, n_closed=0, resend=None
    )


@given(parsers.parse("a service with {n:d} servers, the first with the fault {fault}"))
def servers(plan, n, fault):
    plan.n_servers = n
    plan.fault = fault


@given(parsers.parse("a service whose only server sends {script}"))
def scripted(plan, script):
    plan.script = script


@given(parsers.parse("the refusal cause {cause}"))
def cause(plan, cause):
    plan.cause = cause


@when(parsers.re(r'a caller sends (?P<method>\w+) with the key "(?P<key>\w*)"'))
def send(call_path, plan, method, key):
    key = f"{key}-1" if key else None
    if plan.cause is not None:
        fields = {"slots_per_endpoint": 1}
        if plan.cause == "queue full":
            fields["queue_limit"] = 0
        call_path(lambda path: send_refused_request(path, plan, method, key), **fields)
    else:
        call_path(
            lambda path: send_to_faulty_server(path, plan, method, key),
            timeout_ms=TIMEOUT_MS,
        )


async def send_to_faulty_server(path, plan, method, key):
    """Send one request to servers with a fault and record its effects."""
    await start_servers(path, plan)
    entry = await path.add_entry()
    plan.reply = await entry.send(method, "/market/a", key, x_request_id="r1")
    path.check_did_not_run(plan.reply)
    plan.n_runs = path.n_runs
    plan.n_idle = sum(b.pool.n_open for b in entry.runtime.backends.values())
    plan.body_error = check_response_body(plan.reply.body, "r1", key or "")
    if key:
        plan.resend = await entry.send(method, "/market/a", key, x_request_id="r2")
        plan.n_runs_resend = path.n_runs
    if plan.script is None:
        plan.later = await send_later(path, plan, entry)


async def start_servers(path, plan):
    if plan.script is not None:

        async def serve(client, address):
            await client.recv(10_000)
            await client.sendall(SCRIPTS[plan.script])

        await path.add_scripted(serve)
    for index in range(plan.n_servers):
        if index == 0 and plan.fault == "refused":
            path.add_refusing()
            continue
        rows = []
        if index == 0 and plan.fault != "none":
            rows = [{"kind": plan.fault, "delay_ms": DELAYS_MS.get(plan.fault, 0)}]
        await path.add_server(*rows, zone="ab"[index])


async def send_later(path, plan, entry):
    """Send five requests after the fault has been removed; return their errors."""
    if not path.servers:
        await path.add_server()
        await entry.sync()
    for server in path.servers:
        await set_faults(server)
    errors = []
    caller = entry.caller()
    for n in range(5):
        reply = await caller.send("GET", "/market/a", x_request_id=f"later-{n}")
        errors.append(check_response_body(reply.body, f"later-{n}"))
    await caller.close()
    return errors


async def send_refused_request(path, plan, method, key):
    """Cause a refusal and send one request."""
    server = await path.add_server(SLOW)
    entry = await path.add_entry()
    options = {"x_request_id": "r1", "path": "/market/a"}
    busy = await fill_slot(plan.cause, entry, server)
    n_runs = path.n_runs
    options |= await apply_cause(plan.cause, path, entry)
    options.setdefault("key", key)
    sending = await curio.spawn(lambda: entry.send(method, **options))
    if plan.cause == "lease lost while queued":
        await wait_until(lambda: entry.runtime.slots.n_waiting == 1)
        entry.has_lease = False
    plan.reply = await sending.join()
    plan.n_runs = path.n_runs - n_runs
    path.check_did_not_run(plan.reply, n_runs)
    if busy is not None:
        assert (await busy.join()).status == 200


async def fill_slot(cause, entry, server):
    """Occupy the only slot of the server for the causes that need it."""
    if cause not in ("queue full", "deadline too short", "lease lost while queued"):
        return None
    if cause == "deadline too short":
        await entry.send("GET", "/market/slow")
    busy = await curio.spawn(entry.send, "GET", "/market/slow")
    await wait_until(lambda: server.n_in_flight == 1)
    return busy


async def apply_cause(cause, path, entry):
    """Apply a cause; return the options that the request needs."""
    if cause == "no lease":
        entry.has_lease = False
    elif cause == "no endpoints":
        path.endpoints.clear()
        await entry.sync()
    elif cause == "ledger unavailable":
        path.ledger.isolate("a")
        path.ledger.isolate("b")
    return {
        "deadline too short": {"pollenfold_timeout_ms": 700},
        "deadline of 0 ms": {"pollenfold_timeout_ms": 0},
        "bad timeout header": {"pollenfold_timeout_ms": "soon"},
        "unknown service": {"path": "/other"},
        "prefix of a segment": {"path": "/marketing"},
        "body too large": {"body": b"x" * ((1 << 20) + 1)},
        "key too long": {"key": "k" * 201},
        "empty key": {"key": ""},
    }.get(cause, {})


@then(
    parsers.re(
        r'the response is (?P<status>\d+), "(?P<error>\w*)", "(?P<run_state>\w*)"'
    )
)
def response_is(plan, status, error, run_state):
    reply = plan.reply
    assert (reply.status, reply.error) == (int(status), error or None)
    assert reply.run_state == (run_state or None)
    if reply.status == 200:
        assert plan.body_error is None


@then(parsers.parse("the servers executed it {n_runs:d} times"))
def ran(plan, n_runs):
    assert plan.n_runs == n_runs


@then("a resend of the key is not executed")
def resend_runs_nothing(plan):
    if plan.resend is None:
        return
    assert plan.n_runs_resend == plan.n_runs
    if plan.reply.run_state == "ran":
        assert plan.resend.headers["pollenfold-replayed"] == "true"
        assert plan.resend.body == plan.reply.body
        assert plan.resend.status == plan.reply.status
    else:
        assert plan.resend.run_state == "outcome_unknown"


@then("five later requests get their own complete responses")
def later_responses(plan):
    assert plan.later == [None] * 5


@then("its connection is closed")
def connection_closed(plan):
    assert plan.n_idle == 0


@then(parsers.re(r'Retry-After is "(?P<seconds>\d*)"'))
def retry_after(plan, seconds):
    assert plan.reply.retry_after == (seconds or None)


@then(parsers.parse("the response arrived within {limit_ms:d} ms"))
def responded_within(plan, limit_ms):
    assert plan.reply.elapsed_ms < limit_ms
