"""Requests that end each server which runs them."""

import pytest

from pollenfold.tests.gateway.conftest import Backend, CallPath

DEADLY = b"/x/deadly"


async def start_backends(n_backends, **fields):
    """Start servers that end when they get the deadly request."""
    backends = [
        Backend(f"b{number}", ends_at=DEADLY, **fields) for number in range(n_backends)
    ]
    for backend in backends:
        await backend.start()
    return backends


def n_ended(backends):
    return sum(backend.n_ended for backend in backends)


@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_request_that_ends_its_servers_ends_no_more_than_three(run, method):
    """Guards against one request that ends server after server, each time that a caller
    repeats it and each time that it is retried."""

    async def main():
        backends = await start_backends(8)
        path = CallPath(backends, is_idempotent=method == b"GET")
        for _ in range(8):
            await path.get(method, target=DEADLY)
        assert n_ended(backends) == 3
        assert (await path.get(method)).status == 200

    run(main)
