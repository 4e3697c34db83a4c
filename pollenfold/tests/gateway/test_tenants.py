"""Keys of tenants: which requests are served, and what is passed on."""

import json
from dataclasses import replace

import curio
import pytest

from pollenfold.core.confirmation import Confirmations
from pollenfold.core.routes import sorted_routes
from pollenfold.core.tenancy.tenants import Tenant, TenantDirectory
from pollenfold.gateway.request_digest import request_digest
from pollenfold.gateway.request_labels import (
    MAX_ROUTE_SERIES,
    MAX_TENANT_SERIES,
    RequestLabels,
)
from pollenfold.http.messages import Request
from pollenfold.http.request_reader import BODY_WINDOW_BYTES
from pollenfold.http.server import HttpServer
from pollenfold.observe.exposition import OTHER
from pollenfold.platform.headers import DIALECT
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.test_long_bodies import LongBackend
from pollenfold.tests.gateway.test_relay import read_response, request

KEY = b"k-blue-1"
TENANTS = {
    Tenant("blue", 0): ["k-blue-1", "k-blue-2"],
    Tenant("grün"): ["k-green-1"],
}
KEYED = b"x-credential: " + KEY + b"\r\n"


def directory(tenants=TENANTS):
    """Return the directory of some tenants with their keys."""
    result = TenantDirectory(b"s" * 32)
    for tenant, keys in tenants.items():
        assert result.add(tenant, keys) is None
    return result


def set_tenants(view, tenants=TENANTS, **route_changes):
    """Put a configuration with tenants in force."""
    configuration = view.configuration
    hosts = {
        host: sorted_routes([replace(route, **route_changes) for route in routes])
        for host, routes in configuration.hosts.items()
    }
    view.configuration = replace(
        configuration,
        hosts=hosts,
        indexes={},
        tenants=None if tenants is None else directory(tenants),
    )


async def call(path, *headers, method=b"GET"):
    """Send a request with some headers through the call path of an entry."""
    base = [(b"host", b"h.example"), (b"x-request-id", b"q1")]
    return await path.forwarder.handle(
        Request(method, b"/x/1", [*base, *headers], b"body")
    )


def key_header(key):
    return (b"x-credential", key)


def tenants_in(data):
    """Return the tenant headers of a request as it was sent."""
    lines = data.split(b"\r\n\r\n")[0].split(b"\r\n")
    pairs = [line.split(b": ", 1) for line in lines[1:]]
    return [value for name, value in pairs if name.lower() == b"x-tenant-id"]


@pytest.mark.parametrize(
    ("key", "name"),
    [(b"k-blue-1", "blue"), (b"k-blue-2", "blue"), (b"k-green-1", "grün")],
)
def test_endpoint_gets_the_name_of_the_tenant_and_not_its_key(with_path, key, name):
    """Guards against a key that leaves the entry, and a tenant that a caller claims."""

    async def body(path, backend):
        set_tenants(path.view)
        claimed = [(b"x-tenant-id", b"other"), (b"x-tenant-id", b"another")]
        again = key_header(b"k-green-1")
        response = await call(path, key_header(key), *claimed, again, (b"x-o", b"kept"))
        assert response.status == 200
        (sent,) = backend.requests
        assert tenants_in(sent) == [name.encode()]
        assert b"credential" not in sent.lower()
        assert b"k-" not in sent
        assert b"other" not in sent
        assert b"x-o: kept" in sent

    with_path(body, Backend("one"))


@pytest.mark.parametrize("headers", [[], [key_header(b"k-blue-9")], [key_header(b"")]])
@pytest.mark.parametrize("is_confirmed", [True, False])
def test_unknown_key_is_refused_only_on_a_confirmed_state(
    with_path, headers, is_confirmed
):
    """Guards against a request without a valid key that is executed, and against 401
    for a key that was added while the new configuration is still on its way."""

    async def body(path, backend):
        set_tenants(path.view)
        if not is_confirmed:
            path.view.confirmations = Confirmations()
        response = await call(path, *headers, (b"x-tenant-id", b"blue"))
        expected = (401, "unauthorized") if is_confirmed else (503, "not_confirmed")
        assert (response.status, json.loads(response.body)["error"]) == expected
        assert (b"pollenfold-run-state", b"did_not_run") in response.headers
        assert any(name == b"retry-after" for name, _ in response.headers) is (
            not is_confirmed
        )
        assert backend.requests == []
        assert (await call(path, key_header(KEY))).status == 200

    with_path(body, Backend("one"))


@pytest.mark.parametrize(
    ("headers", "names"),
    [
        ([], []),
        ([key_header(b"k-blue-9"), (b"x-tenant-id", b"blue")], []),
        ([key_header(KEY), (b"x-tenant-id", b"other")], [b"blue"]),
    ],
)
def test_anonymous_route_needs_no_key(with_path, headers, names):
    """Guards against an anonymous request that is refused, that claims a tenant or
    whose key is passed on, and against a known key without effect."""

    async def body(path, backend):
        set_tenants(path.view, allows_anonymous=True)
        path.view.confirmations = Confirmations()
        assert (await call(path, *headers)).status == 200
        (sent,) = backend.requests
        assert tenants_in(sent) == names
        assert b"k-blue" not in sent

    with_path(body, Backend("one"))


def test_without_tenants_both_headers_are_passed_on(with_path):
    """Guards against a change for deployments that have no tenants."""

    async def body(path, backend):
        response = await call(path, key_header(KEY), (b"x-tenant-id", b"own"))
        assert response.status == 200
        (sent,) = backend.requests
        assert tenants_in(sent) == [b"own"]
        assert b"x-credential: " + KEY in sent
        path.log.flush()
        assert not any("tenant=" in line for line in path.lines)
        assert path.metrics.get("requests_total", route="r1", status="200") == 1
        assert "tenant" not in path.metrics.render()

    with_path(body, Backend("one"))


async def connect(path):
    """Return a connection of a caller to an entry."""
    server = HttpServer(
        path.forwarder.handle,
        64 << 20,
        allows_concurrency=path.forwarder.is_idempotent,
        window_bytes=BODY_WINDOW_BYTES,
    )
    port = await server.start("127.0.0.1", 0)
    return await curio.open_connection("127.0.0.1", port)


def test_removed_key_is_refused_on_an_open_connection(with_path):
    """Guards against a key that is valid as long as its connection."""

    async def body(path, backend):
        set_tenants(path.view)
        sock = await connect(path)
        await sock.sendall(request(extra=KEYED))
        assert (await read_response(sock))[0] == 200
        set_tenants(path.view, {Tenant("blue", 0): ["k-blue-2"]})
        await sock.sendall(request(extra=KEYED))
        assert (await read_response(sock))[0] == 401
        await sock.sendall(request(extra=b"x-credential: k-blue-2\r\n"))
        assert (await read_response(sock))[0] == 200
        assert len(backend.requests) == 2

    with_path(body, Backend("one"))


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_pipelined_request_is_checked_when_it_is_handled(with_path, is_idempotent):
    """Guards against requests behind a slow one that are checked by the configuration
    in force when the first one came."""

    async def body(path, backend):
        set_tenants(path.view)
        sock = await connect(path)
        other = b"x-credential: k-green-1\r\n"
        await sock.sendall(request(extra=KEYED) + request(extra=other))
        if is_idempotent:
            while len(backend.requests) < 2:
                await curio.sleep(0.002)
        else:
            while not backend.requests:
                await curio.sleep(0.002)
        set_tenants(path.view, {Tenant("blue"): ["k-blue-1"]})
        await sock.sendall(request(extra=other) + request(extra=KEYED))
        data = b""
        async with curio.timeout_after(5):
            while data.count(b"HTTP/1.1 ") < 4 or not data.endswith(b"whole"):
                data += await sock.recv(65536)
        statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
        second = b"200" if is_idempotent else b"401"
        assert statuses == [b"200", second, b"401", b"200"]

    with_path(body, Backend("one", delay_ms=80.0), is_idempotent=is_idempotent)


def test_long_upload_without_a_key_is_refused_before_it_is_read(with_path):
    """Guards against an entry that reads, or passes on, megabytes of a request that it
    refuses."""

    async def body(path, backend):
        set_tenants(path.view)
        sock = await connect(path)
        head = (
            b"POST /x/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
            b"x-credential: k-blue-9\r\ncontent-length: 40000000\r\n\r\n"
        )
        await sock.sendall(head + b"x" * BODY_WINDOW_BYTES)
        status, headers, *_ = await read_response(sock)
        assert status == 401
        assert (b"connection", b"close") in headers
        assert backend.bodies == []

    with_path(body, LongBackend("one"), is_idempotent=False)


def test_tenant_priority_replaces_that_of_the_route(with_path):
    """Guards against an important tenant that is treated like its route."""

    async def body(path, backend):
        set_tenants(path.view, priority=2)
        calls = []
        finish = path.forwarder._final_responses.finish

        def record(call, *details):
            calls.append(call)
            finish(call, *details)

        path.forwarder._final_responses.finish = record
        for key in (b"k-blue-1", b"k-green-1"):
            await call(path, key_header(key))
        assert [c.priority for c in calls] == [0, 2]
        assert [c.tenant.name for c in calls] == ["blue", "grün"]

    with_path(body, Backend("one"))


def test_no_key_stands_in_a_log_line_metric_or_error(with_path):
    """Guards against a key that operators, or a collector of logs, get to see."""

    async def body(path, backend):
        set_tenants(path.view)
        responses = [
            await call(path, key_header(KEY)),
            await call(path, key_header(b"k-blue-9")),
            await call(path, key_header(KEY), (b"x-deadline-ms", b"soon")),
        ]
        path.view.confirmations = Confirmations()
        responses.append(await call(path, key_header(b"k-blue-9")))
        # A lost request is reported to peers with its digest.
        backend.respond = lambda request: None
        responses.append(await call(path, key_header(KEY), method=b"POST"))
        assert [r.status for r in responses] == [200, 401, 400, 503, 502]
        path.log.flush()
        text = "".join(path.lines) + path.metrics.render()
        text += "".join(f"{r.headers} {r.body!r}" for r in responses)
        text += str(path.view.quarantine.take_reports())
        assert "k-blue" not in text
        done = [line for line in path.lines if "event=request_done" in line]
        assert all("tenant=blue" in line for line in done)
        refused = [line for line in path.lines if "event=request_refused" in line]
        assert ["tenant=blue" in line for line in refused] == [False, True, False]

    with_path(body, Backend("one"), is_idempotent=False)


def test_digest_does_not_depend_on_the_key(with_path):
    """Guards against a weak key that a peer, or a reader of the log, could guess by
    computing the digests of possible requests."""

    async def body(path, backend):
        set_tenants(path.view)
        digests = []
        forwarder = path.forwarder
        for key in (b"k-blue-1", b"k-blue-2", b"k-green-1"):
            headers = [(b"host", b"h.example"), key_header(key)]
            sent = Request(b"GET", b"/x/1", headers, b"")
            digests.append(
                forwarder._suspects._digest(forwarder._create_call(sent, None))
            )
        assert digests[0] == digests[1] != digests[2]
        # Deployments without tenants compute the same digests as before.
        headers = [(b"host", b"h.example"), key_header(KEY)]
        plain = request_digest(Request(b"GET", b"/x/1", headers, b""), DIALECT)
        assert plain == "995db0f95ca4038bc912ed2cd6370835"

    with_path(body, Backend("one"))


def test_series_of_tenants_are_bounded():
    """Guards against a metrics page with a series for each of thousands of pairs, and
    against sums by tenant that miss the pairs beyond the limit."""
    labels = RequestLabels()
    seen = {
        tuple(labels.get(f"r{r}", f"t{t}").items())
        for t in range(150)
        for r in range(20)
    }
    assert len(seen) <= MAX_ROUTE_SERIES + MAX_TENANT_SERIES + 1
    assert labels.get("r0", "t0") == {"route": "r0", "tenant": "t0"}
    assert labels.get("r7", "t50") == {"route": OTHER, "tenant": "t50"}
    assert labels.get("r0", "t149") == {"route": OTHER, "tenant": OTHER}
    assert labels.get("r0", None) == {"route": OTHER}
    assert list(RequestLabels().get("r0", None)) == ["route"]
