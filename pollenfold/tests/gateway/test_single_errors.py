"""Loops of an entry while one connection raises an unexpected error."""

import curio
import pytest

from pollenfold.gateway import feeds
from pollenfold.http.client import HttpConnection
from pollenfold.tests.http.test_stop_errors import (
    every_error,
    every_synchronous_error,
)


@every_synchronous_error
def test_close_that_fails_ends_no_loop(run, error):
    """Guards against a process that the error of one idle connection ends: the loops
    that close idle connections are tasks whose end stops the process."""

    class Socket:
        async def close(self):
            raise error

    async def main():
        connection = HttpConnection(Socket())
        await connection.close()
        assert not connection.is_reusable

    run(main)


@pytest.mark.parametrize("call", ["_read", "_choose_source"])
@every_error
def test_feed_is_opened_again_after_any_error(gateway, run, monkeypatch, call, error):
    """Guards against an entry that never gets another update of a control replica,
    since the task that maintains its feed ended unnoticed."""
    monkeypatch.setattr(feeds, "RETRY_PAUSE_MS", 1.0)
    monkeypatch.setattr(feeds, "FIRST_RETRY_PAUSE_MS", 1.0)
    n_reads = []

    async def read(host, timeout_ms):
        n_reads.append(host)
        gateway.feeds._connected[host] = object()
        if call == "_read":
            raise error

    async def choose():
        if call == "_choose_source":
            raise error

    monkeypatch.setattr(gateway.feeds, "_read", read)
    monkeypatch.setattr(gateway.feeds, "_choose_source", choose)

    async def main():
        task = await curio.spawn(gateway.feeds._maintain_feed, "h", daemon=True)
        await curio.sleep(0.05)
        assert not task.terminated
        assert len(n_reads) > 1
        await task.cancel()
        assert task.terminated

    run(main)
