"""The check for sockets that are closed while a task waits on them."""

import os
import selectors
import socket as sockets
import subprocess
import sys

import curio
import pytest
from curio.traps import _read_wait

from pollenfold.testing.checked_daemon import EXIT_VIOLATION
from pollenfold.testing.checked_selector import LOG_MARK, CheckedSelector, violations
from pollenfold.wire.sockets import Socket

TURN_S = 0.02


@pytest.fixture
def found():
    """Return a function that takes the violations, which must not fail the test."""

    def take():
        taken = list(violations)
        violations.clear()
        return taken

    yield take
    violations.clear()


@pytest.fixture
def pair():
    first, second = sockets.socketpair()
    first.setblocking(False)
    yield first, second
    first.close()
    second.close()


def dispose_by_detach(sock):
    os.close(sock.detach())


def dispose_by_number(sock):
    os.close(sock.fileno())
    sock.detach()


def dispose_by_exit(sock):
    with sock:
        pass


@pytest.mark.parametrize(
    "dispose",
    [sockets.socket.close, dispose_by_detach, dispose_by_number, dispose_by_exit],
)
def test_close_under_a_wait_is_reported(found, pair, dispose):
    """Guards against a check that misses a way to close a descriptor."""
    sock, _ = pair
    number = sock.fileno()

    async def wait():
        await _read_wait(number)

    async def main():
        await curio.spawn(wait, daemon=True)
        await curio.sleep(TURN_S)
        dispose(sock)

    curio.run(main)
    first = found()[0]
    assert first.descriptor == number
    assert first.kind in ("close", "detach")
    assert [task.rpartition(":")[0].endswith("wait") for task in first.tasks] == [True]
    assert "dispose" in first.stack or "main" in first.stack


def test_close_after_a_wait_is_reported(found, pair):
    """Guards against a check that sees only tasks that are suspended: curio keeps the
    registration of a wait that is over until the next one."""
    sock, peer = pair

    async def wait_and_close():
        await _read_wait(sock)
        sock.close()

    async def main():
        closer = await curio.spawn(wait_and_close)
        await curio.sleep(TURN_S)
        peer.send(b"x")
        await closer.wait()

    curio.run(main)
    assert found()[0].kind == "close"


def test_wait_on_a_reused_number_is_reported(found):
    """Guards against a connection that is refused its wait by a stale registration."""
    raw, peer = sockets.socketpair()
    raw.setblocking(False)
    number = raw.fileno()

    async def wait():
        await _read_wait(number)

    async def main():
        await curio.spawn(wait, daemon=True)
        await curio.sleep(TURN_S)
        # Closed without a call that the check replaces, as by the garbage collector.
        replacement, other = sockets.socketpair()
        os.dup2(replacement.fileno(), number)
        with pytest.raises(curio.errors.ReadResourceBusy):
            await _read_wait(number)
        for sock in (replacement, other):
            sock.close()

    curio.run(main)
    raw.close()
    peer.close()
    assert {violation.kind for violation in found()} == {"stale"}


def test_release_of_a_registration_that_is_gone_is_reported(found, pair):
    """Guards against a release that ends the event loop and isn't explained."""
    selector = CheckedSelector()

    def unregister_event(descriptor):
        """Do what the function of this name in curio's kernel begins with."""
        selector.get_key(descriptor)

    with pytest.raises(KeyError):
        selector.get_key(pair[0].fileno())
    assert not found()
    with pytest.raises(KeyError):
        unregister_event(pair[0].fileno())
    assert [violation.kind for violation in found()] == ["released_twice"]
    selector.close()


def test_orderly_use_is_not_reported(found):
    """Guards against a check that fails tests of correct code."""

    async def main():
        for _ in range(3):
            first, second = map(Socket, sockets.socketpair())
            reader = await curio.spawn(first.recv, 10)
            await curio.sleep(TURN_S)
            await second.sendall(b"x")
            assert await reader.join() == b"x"
            reader = await curio.spawn(first.recv, 10)
            await curio.sleep(TURN_S)
            await first.close()
            await second.close()
            await reader.wait()

    curio.run(main)
    assert not found()


def test_close_that_ends_no_waits_is_reported(found, monkeypatch):
    """Guards against a change of the socket class that takes its rule back."""

    async def close_at_once(self):
        self._socket.close()

    monkeypatch.setattr(Socket, "close", close_at_once)

    async def main():
        first, second = map(Socket, sockets.socketpair())
        await curio.spawn(first.recv, 10, daemon=True)
        await curio.sleep(TURN_S)
        await first.close()
        await second.close()

    curio.run(main)
    assert found()[0].kind == "close"


def test_selector_of_other_code_is_not_checked(found, pair):
    """Guards against failures of code that uses a selector without an event loop."""
    sock, _ = pair
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ, b"")
        sock.close()
    assert not found()


CLOSES_UNDER_A_WAIT = """
import socket
import curio
from curio.traps import _get_kernel, _read_wait

async def main():
    first, second = socket.socketpair()
    number = first.fileno()
    await curio.spawn(_read_wait, number, daemon=True)
    await curio.sleep(0.02)
    first.close()

try:
    curio.run(main)
finally:
    raise SystemExit(0)
"""


@pytest.mark.parametrize("code, status", [("", 0), (CLOSES_UNDER_A_WAIT, None)])
def test_daemon_reports_violations(tmp_path, code, status):
    """Guards against a run of real processes that passes with violations."""
    (tmp_path / "trial.py").write_text(code)
    command = [sys.executable, "-m", "pollenfold.testing.checked_daemon", "trial"]
    environment = {**os.environ, "PYTHONPATH": str(tmp_path)}
    done = subprocess.run(command, env=environment, capture_output=True, text=True)
    assert done.returncode == (EXIT_VIOLATION if status is None else status)
    assert (LOG_MARK in done.stderr) == (status is None)
