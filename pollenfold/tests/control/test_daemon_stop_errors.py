"""Stops of a control daemon of the own interface whose steps raise an error."""

import curio
import pytest

from pollenfold.control import daemon
from pollenfold.observe.clock import system_clock
from pollenfold.observe.signals import Signals, StopRequest
from pollenfold.testing.replica import FakeReplica
from pollenfold.tests.http.test_stop_errors import every_error


@every_error
@pytest.mark.parametrize("step", ["stop", "wait_idle"])
def test_failed_step_of_a_stop_ends_the_daemon_like_any_other(
    run, monkeypatch, settings, step, error
):
    """Guards against a daemon that ends with an error and leaves later steps out, since
    one step of its stop raised one."""
    done = []

    def follow(name):
        async def call(self):
            done.append(name)
            if name == step:
                raise error

        monkeypatch.setattr(daemon.HttpServer, name, call)

    async def stop_at_once(self, on_reload=None):
        await curio.sleep(0.02)
        return StopRequest("SIGTERM", system_clock())

    monkeypatch.setattr(Signals, "wait_for_stop", stop_at_once)
    for name in ("stop", "wait_idle"):
        follow(name)
    run(lambda: daemon.serve_control(settings, FakeReplica))
    assert done == ["stop", "wait_idle"]
