"""Steps of operators.feature: the operator interface over HTTP."""

import json
from types import SimpleNamespace

import curio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pollenfold.http.client import HttpConnection
from pollenfold.testing.control import TOKEN, FakeControlReplica

scenarios("operators.feature")


def zone(version, schema_version=1, **spec):
    return {
        "schema_version": schema_version,
        "kind": "zone",
        "name": "a",
        "version": version,
        "spec": {"state": "in", **spec},
    }


async def send(control, method, path, body=b"", token=TOKEN, change_id=None):
    headers = [(b"host", b"control")]
    if token is not None:
        headers.append((b"authorization", f"Bearer {token}".encode()))
    if change_id is not None:
        headers.append((b"pollenfold-change-id", change_id.encode()))
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    connection = await HttpConnection.open(*control.operator_address)
    result = await connection.exchange(method, path, headers, body)
    await connection.close()
    return SimpleNamespace(status=result.ok.status, body=json.loads(result.ok.body))


async def post(control, body, **options):
    return await send(control, b"POST", b"/v1/records", body, **options)


async def read_zone(control):
    response = await send(control, b"GET", b"/v1/records?kind=zone&name=a")
    return response.body["records"][0]


async def send_to_follower(control, method, body=b""):
    control.replica.follow("c2")
    control.operators["c2"] = "127.0.0.1:7777"
    response = await send(control, method, b"/v1/records", body)
    assert response.body["leader"] == "127.0.0.1:7777"
    return response


async def post_to_new_leader(control):
    control.replica.follow("c2")
    control.replica.lead()
    return await post(control, zone(2))


FAULTS = {
    "a wrong token": lambda control: post(control, zone(2), token="guess"),
    "no token": lambda control: post(control, zone(2), token=None),
    "malformed JSON": lambda control: post(control, b"\xff\x00{"),
    "an empty body": lambda control: post(control, b""),
    "an invalid field": lambda control: post(control, zone(2, state="gone")),
    "a later schema": lambda control: post(control, zone(2, 3)),
    "an equal version": lambda control: post(control, zone(1, region="x")),
    "a skipped version": lambda control: post(control, zone(3)),
    "an invalid change id": lambda control: post(control, zone(2), change_id="a b"),
    "a reused change id": lambda control: post(control, zone(2), change_id="first"),
    "a body over the limit": lambda control: post(control, b" " * ((1 << 20) + 1)),
    "an unknown path": lambda control: send(control, b"GET", b"/v1/nothing"),
    "a record to a follower": lambda control: send_to_follower(
        control, b"POST", json.dumps(zone(2)).encode()
    ),
    "a read from a follower": lambda control: send_to_follower(control, b"GET"),
    "a record to a new leader": post_to_new_leader,
}


@pytest.fixture
def control():
    """Run one kernel for all steps of a scenario."""
    with curio.Kernel() as kernel:
        fake = FakeControlReplica()

        def run(function, *args, **options):
            async def run_with_timeout():
                async with curio.timeout_after(20):
                    return await function(fake, *args, **options)

            return kernel.run(run_with_timeout)

        yield SimpleNamespace(run=run, fake=fake, reply=None, first=None)
        kernel.run(fake.stop)


async def start_leading(control):
    control.replica.lead()
    while control.state.leadership() is None:
        await curio.sleep(0.005)


@given('a control replica with the zone "a" at version 1')
def _(control):
    async def start(fake):
        await fake.start()
        await start_leading(fake)
        return await post(fake, zone(1), change_id="first")

    assert control.run(start).status == 200


@when(parsers.parse("an operator sends {fault}"))
def _(control, fault):
    control.reply = control.run(FAULTS[fault])


@then(
    parsers.parse(
        "the response is {status:d} with {error} and the run state {run_state}"
    )
)
def _(control, status, error, run_state):
    body = control.reply.body
    assert (control.reply.status, body["error"]) == (status, error)
    assert body["run_state"] == run_state


@then(parsers.re(r'the zone "a" is (still )?at version (?P<version>\d+)'))
def _(control, version):
    control.run(start_leading)
    assert control.run(read_zone)["version"] == int(version)


@when("an operator stores version 2 of the zone and the response is lost")
def _(control):
    control.first = control.run(post, zone(2, state="out"), change_id="second")


@when("another operator stores version 3 of the zone")
def _(control):
    assert control.run(post, zone(3)).status == 200


@when("the first operator sends the change again")
def _(control):
    again = dict(reversed(zone(2, state="out").items()))
    control.reply = control.run(post, again, change_id="second")


@then("the response is the same as the first one")
def _(control):
    assert control.first.status == 200
    assert control.reply == control.first


@when("the confirmation of a change is lost")
def _(control):
    control.fake.replica.loses_confirmations = True
    control.reply = control.run(post, zone(2), change_id="lost")


@then("a query by change id shows whether it was accepted")
def _(control):
    path = f"/v1/changes/{control.reply.body['change_id']}".encode()
    body = control.run(send, b"GET", path).body
    assert (body["accepted"], body["revision"]) == (True, 2)


@when("an operator stores a record with an unknown field")
def _(control):
    control.reply = control.run(post, zone(2, 2, weight={"x": [1]}))


@then("the response names the field and the record still contains it")
def _(control):
    assert control.reply.body["unknown_fields"] == ["spec.weight"]
    assert control.run(read_zone)["spec"]["weight"] == {"x": [1]}
