"""Loops of an entry while one connection raises an unexpected error."""

from pollenfold.http.client import HttpConnection
from pollenfold.tests.http.test_stop_errors import (
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
