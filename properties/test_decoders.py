"""Decoders of external input raise only their declared errors, whatever the bytes."""

import json
import string

import curio
import h11
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.core.command_encoding import (
    decode_command,
)
from pollenfold.core.link import Link
from pollenfold.core.registry import decode_announcement as decode_fields
from pollenfold.core.registry import versions_by_id, with_version
from pollenfold.core.replicated_state import (
    ReplicatedState,
)
from pollenfold.core.routes import RoutingConfiguration
from pollenfold.core.slices import run_at_once
from pollenfold.gateway.backend import BackendConnection
from pollenfold.gateway.feeds import FEED_ERRORS
from pollenfold.gateway.outgoing import outgoing_request
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.platform.documents import (
    DocumentError,
    configuration_decoder,
    configuration_steps,
    decode_announcement,
    decode_configuration,
)
from pollenfold.platform.headers import parse_load
from pollenfold.platform.json_scan import scan_json
from pollenfold.platform.settings import SettingsError, parse_settings
from pollenfold.tests.platform.test_documents import ANNOUNCEMENT, CONFIGURATION, ROUTE

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(10**20), 10**20)
    | st.floats()
    | st.text(string.printable, max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(string.ascii_letters, max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def value_paths(value, path=()):
    """Yield the path of each value in a document."""
    yield path
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, inner in items:
        yield from value_paths(inner, (*path, key))


def with_value_at(document, path, value):
    if not path:
        return value
    copy = json.loads(json.dumps(document))
    container = copy
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return copy


@given(st.sampled_from(list(value_paths(CONFIGURATION))), VALUES)
@example(("services", 0, "maxConns"), float("inf"))
@example(("hosts", 0, "paths", 0, "targetLatencyMs"), float("nan"))
def test_configuration_with_any_value_at_any_path(path, value):
    """Guards against a configuration that crashes a replica or an entry."""
    document = with_value_at(CONFIGURATION, path, value)
    try:
        configuration = decode_configuration(json.dumps(document))
    except DocumentError:
        return
    for routes in configuration.hosts.values():
        for route in routes:
            assert all(
                part.service in configuration.services
                for part in route.weighted_services
            )


SPLIT_CONFIGURATION = with_value_at(
    CONFIGURATION,
    ("hosts", 0, "paths", 1),
    {
        **{k: v for k, v in ROUTE.items() if k != "service"},
        "pathPrefix": "/split/",
        "trafficSplit": [
            {"service": "booking", "weight": 90},
            {"service": "workshop", "weight": 10},
        ],
    },
)


def decoded_or_error(decode, document):
    try:
        return run_at_once(decode(json.dumps(document)))
    except DocumentError as error:
        return str(error)


@given(
    st.lists(
        st.tuples(st.sampled_from(list(value_paths(SPLIT_CONFIGURATION))), VALUES),
        max_size=4,
    )
)
@example([(("services", 1, "name"), "other")])
@example([(("hosts", 0, "paths", 0), {"a": "}"}), (("hosts", 0, "paths", 1), "}")])
def test_successive_versions_are_decoded_as_each_alone(edits):
    """Guards against a route that is taken from an earlier version although its text,
    or the services, differ."""
    decode = configuration_decoder()
    documents = [with_value_at(SPLIT_CONFIGURATION, *edit) for edit in edits]
    for document in (SPLIT_CONFIGURATION, *documents, SPLIT_CONFIGURATION):
        expected = decoded_or_error(configuration_steps, document)
        decoded = decoded_or_error(decode, document)
        assert decoded == expected
        if isinstance(expected, RoutingConfiguration):
            assert decoded.indexes == expected.indexes
            assert decoded.route_names == expected.route_names


@given(VALUES, st.integers(0, 300), st.sampled_from([None, 1, "\t"]))
@example({"a": [[[[[{"b": []}]]]], {"a": {}}]}, 300, 2)
def test_json_in_steps_equals_json_at_once(value, n_chars, indent):
    """Guards against a document that entries decode to something else than what the
    operator's document says, or accept although it is truncated."""
    text = json.dumps(value, indent=indent)
    for json_text in (text, text[:n_chars], " " + text + "\n"):
        try:
            expected = json.loads(json_text)
        except ValueError:
            with pytest.raises(ValueError):
                run_at_once(scan_json(json_text))
        else:
            scanned = run_at_once(scan_json(json_text))
            assert json.dumps(scanned) == json.dumps(expected)


@given(st.sampled_from(list(value_paths(ANNOUNCEMENT))), VALUES)
def test_announcement_with_any_value_at_any_path(path, value):
    """Guards against accepting an announcement with an unusable field, and against
    one that can't be sent on the feeds."""
    document = with_value_at(ANNOUNCEMENT, path, value)
    try:
        announcement = decode_announcement("i-1", json.dumps(document).encode())
    except DocumentError:
        return
    line = [announcement.encode(), versions_by_id([announcement])]
    encoded, versions = json.loads(json.dumps(line))
    assert with_version(decode_fields(encoded), versions) == announcement


@given(st.binary(max_size=60))
def test_documents_of_arbitrary_bytes(data):
    """Guards against bytes that raise an exception the caller doesn't handle."""
    for decode, errors in (
        (lambda: decode_announcement("i-1", data), DocumentError),
        (lambda: decode_configuration(data.decode("latin-1")), DocumentError),
        (lambda: decode_command(data), ValueError),
    ):
        try:
            decode()
        except errors:
            pass
    parse_load(data)


SETTINGS = {
    "self": {"nodeName": "n", "zone": "a", "ip": "10.0.0.1", "bootstrap": True},
    "network": {
        "internalPorts": [7660, 7675],
        "seeds": ["10.0.0.2:80"],
        "listenAddrs": {"front": "10.0.0.1:80"},
        "zones": {"a": "r"},
    },
    "terms": {"faultTolerance": {"machines": 2}, "bounds": {"graceS": 6}},
}


@given(st.sampled_from(list(value_paths(SETTINGS))), VALUES)
def test_settings_with_any_value_at_any_path(path, value):
    """Guards against a settings file that ends a process without naming the field."""
    fields = with_value_at(SETTINGS, path, value)
    if isinstance(fields, dict):
        try:
            parse_settings(fields)
        except SettingsError:
            pass


REPLICATED_STATE = {
    "index": 5,
    "version": 0,
    "document": "",
    "evacuated": ["a"],
    "departures": {"i-1": 5},
    "since": 0,
}


@given(st.sampled_from(list(value_paths(REPLICATED_STATE))), VALUES)
def test_replicated_state_with_any_value_at_any_path(path, value):
    """Guards against a line of a feed that ends the task that reads it."""
    fields = with_value_at(REPLICATED_STATE, path, value)
    if isinstance(fields, dict):
        try:
            ReplicatedState().merged(fields)
        except FEED_ERRORS:
            pass


RESPONSE_PIECES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"content-length: 3\r\n",
        b"content-length: 5\r\n",
        b"content-length: x\r\n",
        b"transfer-encoding: chunked\r\n",
        b"connection: close\r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"0\r\nx: y\r\n\r\n",
        b"ffffffffffffffffffff\r\n",
        b"\0\xff",
    ]
)


@given(st.lists(RESPONSE_PIECES, max_size=8), st.booleans())
def test_response_reader_agrees_with_the_parser_on_complete_responses(pieces, is_split):
    """Guards against an incomplete response that is accepted as complete, and against
    a response that the reader ends at a different byte than the parser."""
    data = b"".join(pieces)

    async def main():
        async def serve(client, address):
            await client.recv(65536)
            try:
                for piece in pieces if is_split else [data]:
                    await client.sendall(piece)
            except OSError:
                return

        sock = curio.tcp_server_socket("127.0.0.1", 0)
        server = await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        connection = BackendConnection("127.0.0.1", sock.getsockname()[1], Link())
        await connection.wait_until_connected()
        await connection.send(outgoing_request(b"GET", b"/", [(b"host", b"x")], b""))
        async with curio.timeout_after(2):
            received = await connection.receive(lambda response: True)
        is_reusable = connection.is_reusable
        await connection.close()
        await server.cancel()
        return received, is_reusable

    received, is_reusable = curio.run(main)
    expected, remaining = _parse_response(data)
    if isinstance(received, Response):
        assert (received.status, received.body) == expected
        assert not (remaining and is_reusable)
    else:
        assert expected is None


def _parse_response(data):
    """Return the status and body as h11 parses them, and the bytes that follow."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    status, body, is_ended = None, b"", False
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return None, b""
        if event is h11.NEED_DATA:
            if is_ended:
                return None, b""
            is_ended = True
            parser.receive_data(b"")
        elif type(event) is h11.Response:
            status = event.status_code
        elif type(event) is h11.Data:
            body += event.data
        elif type(event) is h11.EndOfMessage:
            return (status, body), parser.trailing_data[0]
        elif type(event) is not h11.InformationalResponse:
            return None, b""


REQUEST_PIECES = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\n",
        b"content-length: 3\r\n\r\n",
        b"transfer-encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"abc",
        b"\r\n",
        b"connection: close\r\n",
        b"expect: 100-continue\r\n",
        b"\0\xff",
    ]
)


@given(st.lists(REQUEST_PIECES, max_size=8))
def test_each_handled_request_gets_one_response_in_order(pieces):
    """Guards against a handled request that gets no response, or two, even with
    malformed bytes between the requests."""
    handled = []

    async def main():
        async def handle(request):
            handled.append(request.body)
            await curio.sleep(0.002 if len(handled) % 2 else 0)
            return Response(200, [(b"x-n", b"%d" % (len(handled) - 1))])

        server = HttpServer(handle, allows_concurrency=lambda r: r.method == b"GET")
        port = await server.start("127.0.0.1", 0)
        sock = await curio.open_connection("127.0.0.1", port)
        data = b""
        try:
            await sock.sendall(b"".join(pieces))
            await sock.shutdown(curio.socket.SHUT_WR)
            async with curio.timeout_after(3):
                while chunk := await sock.recv(65536):
                    data += chunk
        except OSError:
            pass
        await sock.close()
        await curio.sleep(0.01)
        assert server.n_in_flight == 0
        await server.stop()
        return data

    data = curio.run(main)
    n_responses = data.count(b"HTTP/1.1 200")
    # Malformed requests aren't handled, and their error responses aren't counted.
    assert n_responses == len(handled)
