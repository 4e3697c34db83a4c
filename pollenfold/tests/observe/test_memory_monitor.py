"""Memory of a process in metrics and log."""

import socket

from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.observe.memory_monitor import MemoryMonitor
from pollenfold.observe.process_memory import resident_bytes, unread_bytes
from pollenfold.wire.receive_buffers import ReceiveBuffers

MB = 1 << 20


def test_use_near_the_limit_is_logged_once_and_taken_back():
    """Guards against a process that is killed for its memory without a line that says
    so before, and against a line for each sample."""
    lines = []
    use = {"resident": 50 * MB, "unread": 10 * MB}
    log = EventLog("e", lambda: 0.0, lambda data: lines.append(data) or len(data))
    metrics = Metrics()
    monitor = MemoryMonitor(
        ReceiveBuffers(100 * MB, 100),
        metrics,
        log,
        lambda: use["resident"],
        lambda n_descriptors: use["unread"],
    )
    events = []
    for unread_mb in (10, 35, 35, 25, 35, 5):
        use["unread"] = unread_mb * MB
        monitor.sample()
        log.flush()
        events.append(b"".join(lines))
        lines.clear()
    found = [b"memory_high" in e or (b"memory_normal" in e) * 2 for e in events]
    assert found == [False, True, False, False, False, 2]
    assert b"resident_bytes=52428800 unread_bytes=36700160" in events[1]
    assert metrics.get("memory_unread_bytes") == 5 * MB
    assert metrics.get("memory_limit_bytes") == 100 * MB


def test_unread_bytes_of_sockets_are_counted(tmp_path):
    """Guards against bytes in the kernel that the process doesn't know of, and against
    the rest of an open file that is counted with them."""
    before = unread_bytes(1 << 16)
    one, other = socket.socketpair()
    path = tmp_path / "file"
    path.write_bytes(b"x" * 100_000)
    with one, other, path.open("rb"):
        one.send(b"y" * 5_000)
        assert unread_bytes(1 << 16) - before == 5_000
    assert resident_bytes() > MB
