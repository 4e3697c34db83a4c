"""Real processes that end early in their lives: no accepted request is lost."""

import os
import signal
import socket
import time

import pytest

from benchmarks import soak
from benchmarks.soak import (
    CALLER_PORT,
    CONTROL_PORT,
    FIRST_PORT,
    READY_PORT,
    Soak,
)
from pollenfold.http.listener import open_listener
from pollenfold.storage.member import FILE_NAME

NETWORK_SEED = 195
"""Selects a network of loopback addresses that no other test uses."""

NO_POINT = "none"
SLOW_S = 1.0
"""How long the start of a process takes at one point."""

GRACE_S = 6.0
STOPPED_LATE_S = 0.5
"""How much longer than its grace period a process may be seen, for the scheduler."""

IMPORTED = "pollenfold.gateway.daemon"
LOOP_STARTED = "pollenfold.gateway.daemon:Gateway.__init__"
NODE_CREATED = "pollenfold.control.cluster:ClusterNode.load_endpoints"

REQUEST = b"GET /safe/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\r\n"
READ = b"GET /-/config HTTP/1.1\r\nhost: c\r\n\r\n"


class SlowSystem:
    """One entry and one control replica, either of which is started slowly."""

    def __init__(self, folder, monkeypatch):
        self._monkeypatch = monkeypatch
        self._settings = soak.SETTINGS.replace("machines = 1", "machines = 0")
        monkeypatch.setattr(soak, "SETTINGS", self._settings)
        self._system = Soak(NETWORK_SEED, folder, 1)
        self._programs = {
            "entry": self._system.entries[0],
            "control": self._system.controls[0],
        }

    def __getitem__(self, role):
        return self._programs[role]

    def tolerate_failures(self):
        """Make one control replica a minority, which commits nothing."""
        settings = self._settings.replace("machines = 0", "machines = 1")
        self._monkeypatch.setattr(soak, "SETTINGS", settings)

    def leave_out(self, text):
        """Leave a line of the settings out."""
        lines = self._settings.splitlines()
        settings = "\n".join(line for line in lines if not line.startswith(text))
        self._monkeypatch.setattr(soak, "SETTINGS", settings)

    def start(self, role, point=NO_POINT, seconds=SLOW_S):
        """Start the process of a role, which is slow at one point of its start."""
        program = self[role]
        program.module = ("pollenfold.testing.slow_start", point, str(seconds))
        program.start([self["control"].host], True)
        return program

    def stop(self):
        for program in self._programs.values():
            program.kill()


@pytest.fixture
def system(tmp_path, monkeypatch):
    system = SlowSystem(tmp_path, monkeypatch)
    yield system
    system.stop()


def log_of(program):
    return (program.folder / "log").read_text()


def wait_for_line(program, text, limit_s=10.0):
    deadline = time.monotonic() + limit_s
    while text not in log_of(program):
        assert time.monotonic() < deadline, (text, log_of(program))
        time.sleep(0.005)


def send_accepted(program, port, request):
    """Send a whole request on a connection that the kernel accepts."""
    caller = socket.create_connection((program.host, port), timeout=2)
    caller.settimeout(GRACE_S + 2)
    caller.sendall(request)
    return caller


def read_status(caller):
    """Return the status of a complete response, or what ended the connection."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            received = caller.recv(65536)
            if not received:
                return "closed"
            data += received
    except OSError as error:
        return error.strerror
    return int(data.split(b" ")[1])


def assert_stopped(program, stopped_at):
    """Check that the process ended by itself, as planned, within its grace period."""
    left_s = stopped_at + GRACE_S + STOPPED_LATE_S - time.monotonic()
    assert program.process.wait(timeout=left_s) == 0, log_of(program)


def outcomes_until_end(program, port, request):
    """Send requests on new connections until the process ends; return what they got."""
    outcomes = []
    deadline = time.monotonic() + 15.0
    while program.process.poll() is None:
        assert time.monotonic() < deadline
        try:
            with send_accepted(program, port, request) as caller:
                outcomes.append(read_status(caller))
        except ConnectionRefusedError:
            outcomes.append("refused")
        time.sleep(0.01)
    return outcomes


@pytest.mark.parametrize(
    ("role", "port", "busy_port"),
    [
        ("entry", CALLER_PORT, READY_PORT),
        ("entry", CALLER_PORT, FIRST_PORT + 2),
        ("control", CONTROL_PORT, FIRST_PORT + 1),
    ],
)
def test_process_whose_port_is_busy_accepts_nothing(system, role, port, busy_port):
    """Guards against a process that accepts requests, finds that it lacks another
    socket, and ends: the requests were reset."""
    request = REQUEST if role == "entry" else READ
    host = system[role].host
    with open_listener(host, busy_port):
        program = system.start(role)
        outcomes = outcomes_until_end(program, port, request)
    assert program.process.returncode == 1
    assert set(outcomes) == {"refused"}


def test_process_with_bad_settings_accepts_nothing(system):
    """Guards against settings that are found to be bad after requests were accepted."""
    system.leave_out("ready =")
    entry = system.start("entry")
    outcomes = outcomes_until_end(entry, CALLER_PORT, REQUEST)
    assert entry.process.returncode == 2
    assert set(outcomes) == {"refused"}


def test_control_replica_without_its_data_accepts_nothing(system):
    """Guards against a data folder that is found to be unusable after an order was
    accepted."""
    (system["control"].folder / "data" / FILE_NAME).mkdir(parents=True)
    control = system.start("control")
    outcomes = outcomes_until_end(control, CONTROL_PORT, READ)
    assert control.process.returncode == 1
    assert set(outcomes) == {"refused"}


@pytest.mark.parametrize("point", [IMPORTED, LOOP_STARTED])
@pytest.mark.parametrize("waited_s", [0.0, 0.25])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_of_a_starting_entry_resets_no_accepted_request(
    system, point, waited_s, number
):
    """Guards against a stop signal that ends an entry before its handler is set: the
    requests that the kernel had accepted for it were reset."""
    entry = system.start("entry", point)
    wait_for_line(entry, "event=slow_start")
    with send_accepted(entry, CALLER_PORT, REQUEST) as caller:
        time.sleep(waited_s)
        os.kill(entry.process.pid, number)
        stopped_at = time.monotonic()
        assert read_status(caller) == 503
    assert_stopped(entry, stopped_at)
    assert "event=stopped" in log_of(entry)


def test_second_stop_signal_of_a_starting_entry_changes_nothing(system):
    """Guards against a repeated signal that ends an entry which is to drain."""
    entry = system.start("entry", IMPORTED)
    wait_for_line(entry, "event=slow_start")
    with send_accepted(entry, CALLER_PORT, REQUEST) as caller:
        stopped_at = time.monotonic()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(entry.process.pid, number)
            time.sleep(0.02)
        assert read_status(caller) == 503
    assert_stopped(entry, stopped_at)


@pytest.mark.parametrize("seconds", [3.0, 4.9, 5.4])
def test_grace_period_counts_from_an_early_signal(system, seconds):
    """Guards against an entry that is killed since it counts its grace period from
    when it noticed the signal, and against one that ends in time but cuts off the
    requests that wait for their configuration."""
    entry = system.start("entry", IMPORTED, seconds)
    wait_for_line(entry, "event=slow_start")
    os.kill(entry.process.pid, signal.SIGTERM)
    stopped_at = time.monotonic()
    with send_accepted(entry, CALLER_PORT, REQUEST) as caller:
        assert read_status(caller) == 503
    assert_stopped(entry, stopped_at)


def test_reload_of_a_starting_entry_is_kept(system):
    """Guards against settings that changed while an entry started and that it never
    reads: it looks for control where none is."""
    entry = system.start("entry", IMPORTED)
    wait_for_line(entry, "event=slow_start")
    settings = entry.folder / "settings.toml"
    settings.write_text(
        settings.read_text().replace("seeds = [", 'seeds = ["127.9.9.9:1",')
    )
    os.kill(entry.process.pid, signal.SIGHUP)
    wait_for_line(entry, "event=settings_reloaded")
    assert "127.9.9.9" in log_of(entry)


def test_stop_of_a_starting_control_replica_resets_no_accepted_request(system):
    """Guards against a stop signal that ends a control replica between its listeners
    and its event loop: an operator's order was reset."""
    control = system.start("control", NODE_CREATED)
    wait_for_line(control, "event=slow_start")
    os.kill(control.process.pid, signal.SIGTERM)
    stopped_at = time.monotonic()
    outcomes = outcomes_until_end(control, CONTROL_PORT, READ)
    assert set(outcomes) <= {"refused", 200, 503}
    assert_stopped(control, stopped_at)


def test_order_that_arrives_during_a_stop_is_answered(system):
    """Guards against a control replica that ends 1.5 s after the signal, in the middle
    of an order whose body had still been arriving, with most of its grace left."""
    system.tolerate_failures()
    control = system["control"]
    control.start([control.host], False)
    wait_for_line(control, "event=started")
    head = b"POST /-/evacuations/a HTTP/1.1\r\nhost: c\r\ncontent-length: 4\r\n\r\n"
    with send_accepted(control, CONTROL_PORT, head + b"ab") as caller:
        time.sleep(0.2)
        os.kill(control.process.pid, signal.SIGTERM)
        stopped_at = time.monotonic()
        time.sleep(1.2)
        caller.sendall(b"cd")
        assert read_status(caller) == 503
    assert_stopped(control, stopped_at)
