"""The baseline of the benchmarks: a forwarder with pooled connections.

It reads a complete request, sends it to the next target and writes the complete
response. It uses the HTTP adapters of the package, but none of its load balancing.
"""

from __future__ import annotations

import itertools
import sys

import curio
from loguru import logger
from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict

from pollenfold.core.errors import ErrorKind
from pollenfold.http.messages import Request, Response, error_response
from pollenfold.http.pool import Pool
from pollenfold.http.server import HttpServer
from pollenfold.observe.logs import configure_logs

CONNECT_TIMEOUT_MS = 1000.0

HOP_HEADERS = {b"connection", b"content-length", b"transfer-encoding", b"keep-alive"}


class ForwarderSettings(BaseSettings):
    """Flags of the forwarder."""

    model_config = SettingsConfigDict(cli_kebab_case=True)

    targets: list[str]
    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)
    connections: int = Field(default=260, ge=1)


class Forwarder:
    """Forwards requests to its targets in round-robin order."""

    def __init__(self, targets: list[tuple[str, int]], n_connections: int) -> None:
        self._pools = itertools.cycle(
            [Pool(host, port, n_connections) for host, port in targets]
        )

    async def handle(self, request: Request) -> Response:
        """Forward one request; return an error response when that fails."""
        pool = next(self._pools)
        try:
            connection = await pool.acquire(CONNECT_TIMEOUT_MS)
        except OSError:
            return error_response(ErrorKind.NO_BACKEND_SERVER)
        if connection is None:
            return error_response(ErrorKind.NO_BACKEND_SERVER)
        headers = [pair for pair in request.headers if pair[0] not in HOP_HEADERS]
        try:
            result = await connection.exchange(
                request.method, request.target, headers, request.body
            )
        finally:
            await pool.release(connection)
        if result.is_error():
            return error_response(ErrorKind.BACKEND_FAILED)
        response = result.ok
        response.headers = [
            pair for pair in response.headers if pair[0] not in HOP_HEADERS
        ]
        return response


async def run_forwarder(settings: ForwarderSettings) -> None:
    """Forward until the process ends."""
    parts = [target.rpartition(":") for target in settings.targets]
    targets = [(host, int(port)) for host, _, port in parts]
    forwarder = Forwarder(targets, settings.connections)
    server = HttpServer(forwarder.handle)
    port = await server.start(settings.host, settings.port)
    logger.info("event=listening host={} port={}", settings.host, port)
    await curio.Event().wait()


def main() -> int:
    """Run the forwarder with the flags of the command line."""
    configure_logs("forwarder")
    settings = ForwarderSettings(_cli_parse_args=True)  # type: ignore[call-arg]
    curio.run(run_forwarder, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
