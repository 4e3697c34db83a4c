"""The subset of curio that an entry loads."""

import subprocess
import sys

import pytest

ENTRY = """
import sys
import pollenfold.platform.__main__
from pollenfold.curio_subset import load_curio_subset
load_curio_subset()
import curio
import pollenfold.gateway.daemon
import pollenfold.platform.documents
import pollenfold.platform.headers
print(*sorted(sys.modules))
"""

EXCHANGE = """
from pollenfold.curio_subset import load_curio_subset
load_curio_subset()
import curio
from pollenfold.wire.connections import open_connection

async def serve(client, address):
    await client.sendall(await client.recv(10))

async def main():
    listener = curio.tcp_server_socket("127.0.0.1", 0)
    port = listener.getsockname()[1]
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(curio.network.run_server, listener, serve)
        async with curio.timeout_after(5):
            sock = await open_connection("127.0.0.1", port)
        async with sock:
            await sock.sendall(b"ping")
            print((await sock.recv(10)).decode())
        async with curio.ignore_after(0.01):
            await curio.Event().wait()
        await group.cancel_remaining()

curio.run(main)
"""


def run(program):
    """Run a program in a new interpreter and return the words that it prints."""
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout.split()


@pytest.mark.parametrize(
    "name",
    [
        "asyncio.base_events",
        "_ssl",
        "multiprocessing.connection",
        "subprocess",
        "_hashlib",
        "tomllib",
    ],
)
def test_entry_does_not_load_what_it_never_uses(name):
    """Guards against an import that adds to the memory of every entry."""
    assert name not in run(ENTRY)


def test_tasks_sockets_and_timeouts_work():
    """Guards against a submodule that is missing from the subset."""
    assert run(EXCHANGE) == ["ping"]
