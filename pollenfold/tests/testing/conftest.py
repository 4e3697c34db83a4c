"""Fixture of a fake backend server and a caller for its tests."""

import json

import curio
import pytest

from pollenfold.http.client import HttpConnection
from pollenfold.testing.backend_server import BackendServer
from pollenfold.testing.backend_settings import BackendSettings


class Caller:
    """Sends requests to one backend server, each on a new connection."""

    def __init__(self, server):
        self.server = server
        self.requests_load = True

    async def send(self, method="POST", path="/work", key="", body=b"", headers=()):
        connection = await HttpConnection.open("127.0.0.1", self.server.port)
        load_wanted = (b"pollenfold-load-wanted", b"1")
        all_headers = [(b"host", b"test"), (b"x-request-id", b"r1"), *headers]
        if self.requests_load:
            all_headers.append(load_wanted)
        if key:
            all_headers.append((b"idempotency-key", key.encode()))
        try:
            return await connection.exchange(
                method.encode(), path.encode(), all_headers, body
            ), connection
        finally:
            self.reusable = connection.is_reusable
            await connection.close()

    async def update_faults(self, **update):
        result, _ = await self.send(
            path="/stand-in/faults", body=json.dumps(update).encode()
        )
        assert result.ok.status == 200, result.ok.body

    async def get_json(self, path):
        result, _ = await self.send("GET", path)
        return json.loads(result.ok.body)

    async def send_many(self, n_requests, key=""):
        """Send requests concurrently and return the statuses of the responses."""
        request = ("POST", "/work", key)
        tasks = [await curio.spawn(self.send, *request) for _ in range(n_requests)]
        return [(await task.join())[0].ok.status for task in tasks]


@pytest.fixture
def with_server(run):
    """Return a function that runs a test body against a new backend server."""

    def run_with(body, **settings):
        async def main():
            settings.setdefault("service_ms", 2)
            settings.setdefault("starts_cold", False)
            server = BackendServer(BackendSettings(**settings))
            await server.start()
            try:
                return await body(server, Caller(server))
            finally:
                await server.stop()

        return run(main)

    return run_with
