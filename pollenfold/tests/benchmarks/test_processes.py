"""Tests of the process management of benchmarks, demo and tests."""

import json
import os

import pytest

from benchmarks.processes import (
    ProcessGroup,
    backend_command,
    free_ports,
    request,
    wait_healthy,
    wait_until,
)

HOST = "127.0.1.1"


def test_process_is_suspended_killed_restarted_and_ended(run, tmp_path):
    """Guards against a group that kills the wrong process or doesn't end one."""

    async def main():
        port = free_ports(HOST, 1)[0]
        run_log = tmp_path / "runs"
        command = backend_command(
            host=HOST, port=port, linger_ms=10, starts_cold="false", run_log=run_log
        )
        with ProcessGroup(tmp_path) as group:
            process = group.start("backend", command)
            await wait_healthy(HOST, port)
            process.suspend()
            assert await request(HOST, port, "GET", "/healthz") is None
            process.resume()
            await wait_healthy(HOST, port)
            process.kill()
            assert not process.is_running
            process = group.restart("backend")
            await wait_healthy(HOST, port)
            counts = await request(HOST, port, "GET", "/stand-in/counts")
            assert json.loads(counts.body)["state"] == "serving"
            process.terminate()
            assert await process.wait(10) == 0
            assert "event=leaving" in process.log_tail()
            remaining = group.restart("backend")
        assert remaining.popen.returncode is not None
        with pytest.raises(ProcessLookupError):
            os.kill(remaining.popen.pid, 0)

    run(main)


def test_wait_names_what_was_expected(run):
    """Guards against a wait that hangs, or a timeout without a description."""

    async def never():
        return False

    async def main():
        with pytest.raises(TimeoutError, match="expected a leader within 0.1 s"):
            await wait_until(never, 0.1, "a leader")

    run(main)


def test_free_ports_differ():
    """Guards against two processes with the same port."""
    ports = free_ports(HOST, 50)
    assert len(set(ports)) == 50
