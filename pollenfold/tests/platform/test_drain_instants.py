"""A real entry that drains while its process is paused or signalled again."""

import os
import random
import signal
import time

import curio
import pytest

from benchmarks.soak import CALLER_PORT, Program
from pollenfold.http.socket_state import is_closed_by_peer

HOST = "127.231.0.{}"
CONTROL_HOST = "127.231.9.1"
"""No process listens there: the entry answers each request itself, with 503."""

N_KEPT = 12
N_NEW = 4
PAUSE_S = 0.3
SLACK_S = 0.2
"""How long after its last byte a request may lose its connection unanswered."""

GRACE_S = 6.0
START_S = 20.0
SEEDS = (1, 2, 3)
REQUEST = b"GET /safe/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\r\n"
POST = REQUEST.replace(b"GET", b"POST").replace(b"\r\n\r\n", b"\r\ncontent-length: 2")


class Callers:
    """Send requests until the entry is gone; note those that were lost."""

    def __init__(self, host, seed):
        self._address = (host, CALLER_PORT)
        self._rng = random.Random(seed)
        self.is_over = False
        self.n_answered = 0
        self.n_unread = 0
        self.lost = []

    async def run(self, is_kept):
        while not self.is_over:
            await curio.sleep(self._rng.uniform(0.0, 0.02))
            try:
                async with curio.timeout_after(1.0):
                    sock = await curio.open_connection(*self._address)
            except (OSError, curio.TaskTimeout):
                continue
            async with sock:
                while await self._send(sock) and is_kept and not self.is_over:
                    await curio.sleep(self._rng.uniform(0.0, 0.02))

    async def _send(self, sock):
        """Send one request; return whether the connection may be used again."""
        if is_closed_by_peer(sock.fileno()):
            return False
        data = b""
        request = self._rng.choice((REQUEST, POST + b"\r\n\r\nab"))
        sent_at = time.monotonic()
        try:
            await sock.sendall(request)
            while b"\r\n\r\n" not in data:
                piece = await sock.recv(65536)
                if not piece:
                    waited_s = time.monotonic() - sent_at
                    if waited_s > SLACK_S:
                        self.lost.append(waited_s)
                    return False
                data += piece
        except OSError:
            # Closing a socket with unread bytes resets the connection.
            self.n_unread += 1
            return False
        self.n_answered += 1
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += await sock.recv(65536)
        return b"connection: close" not in head.lower()


def start_entry(folder, number):
    program = Program("e", "entry", HOST.format(number), "a", folder)
    program.start([CONTROL_HOST], True)
    deadline = time.monotonic() + START_S
    while not program.has_started():
        assert time.monotonic() < deadline, (folder / "log").read_text()
        time.sleep(0.01)
    return program


async def drain_under_load(entry, seed, disturb):
    """Stop the entry while callers send; return them and when it ended, in s."""
    callers = Callers(entry.host, seed)
    tasks = [await curio.spawn(callers.run, n < N_KEPT) for n in range(N_KEPT + N_NEW)]
    await curio.sleep(0.3)
    entry.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await disturb(entry, random.Random(seed))
    while entry.process.poll() is None:
        assert time.monotonic() - stopped_at < GRACE_S
        await curio.sleep(0.01)
    callers.is_over = True
    for task in tasks:
        await task.join()
    return callers


async def pause_near_the_close(entry, rng):
    """Stop the process from running for a while around the close of its listener."""
    await curio.sleep(rng.uniform(2.5, 2.75))
    os.kill(entry.process.pid, signal.SIGSTOP)
    await curio.sleep(PAUSE_S)
    os.kill(entry.process.pid, signal.SIGCONT)


async def signal_again(entry, rng):
    """Send a reload and a second stop signal while the entry drains."""
    for number in (signal.SIGHUP, signal.SIGTERM):
        await curio.sleep(rng.uniform(0.1, 1.3))
        entry.signal(number)


@pytest.mark.parametrize("disturb", [pause_near_the_close, signal_again])
@pytest.mark.parametrize("seed", SEEDS)
def test_disturbed_drain_reads_no_request_without_an_answer(
    run, tmp_path, seed, disturb
):
    """Guards against requests that a draining entry reads and doesn't answer, when its
    process is late or gets another signal."""
    entry = start_entry(tmp_path, seed)
    try:
        callers = run(lambda: drain_under_load(entry, seed, disturb))
    finally:
        entry.kill()
    assert entry.process.returncode == 0
    assert callers.n_answered > 100
    assert callers.lost == []
    print(f"answered={callers.n_answered} unread={callers.n_unread}")
