"""The control API of the platform, without a cluster."""

import json
from types import SimpleNamespace

import curio
import pytest
from expression import Ok

from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.platform.control_api import ControlApi
from pollenfold.testing.configurations import large_configuration


class FakeClusterState:
    """Accepts each command and records how many ticks passed before.

    A read returns the last configuration that was accepted.
    """

    def __init__(self):
        self.replicated_state = ReplicatedState()
        self.commands = SimpleNamespace(n_members=3)
        self.n_ticks = 0
        self.accepted = []

    async def submit(self, command, timeout_ms):
        self.accepted.append((command.version, self.n_ticks))
        self.replicated_state.version = command.version
        self.replicated_state.document = command.document
        return Ok(None)

    async def read(self, timeout_ms):
        return Ok(self.replicated_state)

    async def tick(self):
        while not self.accepted:
            self.n_ticks += 1
            await curio.sleep(0)


def make_api(cluster_state, write=len):
    """Return the control API of a node, its metrics and its log."""
    node = SimpleNamespace(
        cluster_state=cluster_state,
        metrics=Metrics(),
        log=EventLog("core-1", system_clock, write=write),
        replica=SimpleNamespace(leader_id=lambda: None, voters=frozenset),
    )
    return ControlApi(node, 80, frozenset()), node


def test_other_tasks_run_while_a_large_configuration_is_checked(run):
    """Guards against a control replica that sends no heartbeats while it checks an
    operator's configuration, because that is one step on its only loop."""

    async def main():
        cluster_state = FakeClusterState()
        api, _ = make_api(cluster_state)
        document = large_configuration(14_000, version=9)
        ticker = await curio.spawn(cluster_state.tick)
        body = json.dumps(document).encode()
        request = Request(b"PUT", b"/-/config", [], body)
        response = await api.handle(request)
        await ticker.join()
        assert response.status == 200
        ((version, n_ticks),) = cluster_state.accepted
        assert version == 9
        assert n_ticks >= 20

    run(main)


@pytest.mark.parametrize("keys", [["k-one", "k-two"], ["k-one", "k-one\n"]])
def test_operator_gets_the_keys_back_and_no_one_else_does(run, keys):
    """Guards against a configuration that is returned without its keys, and against a
    key in an error text, a log line or a metric."""

    async def main():
        lines = []
        cluster_state = FakeClusterState()
        api, node = make_api(
            cluster_state, lambda data: lines.append(data) or len(data)
        )
        document = large_configuration(5, version=9)
        document["tenants"] = [{"name": "blue", "apiKeys": keys}]
        body = json.dumps(document).encode()
        response = await api.handle(Request(b"PUT", b"/-/config", [], body))
        is_valid = "\n" not in keys[1]
        assert response.status == (200 if is_valid else 400)
        assert b"k-" not in response.body
        if is_valid:
            found = await api.handle(Request(b"GET", b"/-/config", [], b""))
            assert (found.status, found.body) == (200, body)
        else:
            assert b"tenants[0].apiKeys[1]" in response.body
            assert not cluster_state.accepted
        node.log.flush()
        assert lines
        assert b"k-" not in b"".join(lines) + node.metrics.render().encode()

    run(main)
