"""Requests that reach an entry while another one owns every endpoint's warm-up."""

from dataclasses import replace

import curio
import pytest

from pollenfold.testing.response_bodies import check_response_body
from pollenfold.tests.entry.conftest import HOST


async def start_cold(path):
    """Start two entries and one cold server; return the other entry and the owner."""
    server = await path.add_server(is_warm=False)
    entries = [await path.add_entry(f"entry-{n}") for n in range(2)]
    path.share_directory()
    for entry in entries:
        await entry.sync()
    other, owner = sorted(entries, key=lambda e: len(e.runtime.slots.candidates))
    assert not other.runtime.slots.candidates and owner.runtime.slots.candidates
    return other, owner, server


@pytest.mark.parametrize("method, key", [("GET", None), ("POST", "k1"), ("POST", None)])
def test_request_reaches_the_owner_with_its_key(call_path, method, key):
    """Guards against an outage of a cold service for callers of other entries, and
    against an idempotency key that is dropped when the request is forwarded."""

    async def main(path):
        other, owner, server = await start_cold(path)
        reply = await other.send(method, key=key, x_request_id="r1")
        assert reply.status == 200
        assert check_response_body(reply.body, "r1", key or "") is None
        assert server.counts.n_received == 1
        if method == "POST":
            used = key or reply.headers["idempotency-key"]
            assert server.counts.runs[used] == 1
            again = await owner.send("POST", key=used)
            assert again.body == reply.body and server.counts.n_runs == 1

    call_path(main)


@pytest.mark.parametrize(
    "method, key, run_state",
    [
        ("GET", None, "did_not_run"),
        ("POST", None, "did_not_run"),
        ("POST", "k1", "did_not_run"),
    ],
)
def test_forwarded_request_is_not_forwarded_again(call_path, method, key, run_state):
    """Guards against a forwarding loop while entries disagree on the owner."""

    async def main(path):
        other, owner, server = await start_cold(path)
        reply = await other.send(method, key=key, pollenfold_forwarded_by="entry-9")
        assert (reply.error, reply.run_state) == ("no_backend_server", run_state)
        assert reply.retry_after == "1"
        assert server.counts.n_received == 0

    call_path(main)


async def replace_owner(path, other, owner, port):
    """Change the owner's caller port in the directory."""
    live = tuple(
        replace(entry, caller_port=port) if entry.entry_id == owner.entry_id else entry
        for entry in other.directory.entries
    )
    other.directory = replace(other.directory, entries=live)


@pytest.mark.parametrize(
    "method, key, run_state",
    [
        ("GET", None, "did_not_run"),
        ("POST", None, "did_not_run"),
        ("POST", "k1", "outcome_unknown"),
    ],
)
def test_request_for_an_unreachable_owner(call_path, method, key, run_state):
    """Guards against a wrong run state when the owner has just restarted."""

    async def main(path):
        other, owner, server = await start_cold(path)
        await replace_owner(path, other, owner, 1)
        reply = await other.send(method, key=key)
        assert (reply.error, reply.run_state) == ("no_backend_server", run_state)
        assert server.counts.n_received == 0

    call_path(main)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_lost_at_the_owner_may_have_run(call_path, method):
    """Guards against ``did_not_run``, or a retry of a non-idempotent request, when the
    owner closes the connection without a response."""

    async def main(path):
        n_received = 0

        async def serve(client, address):
            nonlocal n_received
            await client.recv(10_000)
            n_received += 1

        other, owner, server = await start_cold(path)
        sock = curio.tcp_server_socket(HOST, 0)
        task = await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        await replace_owner(path, other, owner, sock.getsockname()[1])
        reply = await other.send(method)
        assert reply.run_state == "outcome_unknown"
        assert n_received == 1
        if method == "POST":
            assert reply.headers["idempotency-key"]
        await task.cancel()

    call_path(main)


@pytest.mark.parametrize("method, key", [("GET", None), ("POST", "k1"), ("POST", None)])
def test_request_reaches_the_owner_while_the_only_warm_server_is_down(
    call_path, method, key
):
    """Guards against refusals until membership notices that a service's only warm
    server ended, while other entries own the warm-up of its cold ones."""

    async def main(path):
        other, owner, server = await start_cold(path)
        path.add_refusing()
        for entry in (other, owner):
            await entry.sync()
        reply = await other.send(method, key=key, x_request_id="r1")
        assert (reply.error, reply.status) == (None, 200)
        assert server.counts.n_runs == 1

    call_path(main)
