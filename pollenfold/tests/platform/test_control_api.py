"""The control API of the platform, without a cluster."""

import json
from types import SimpleNamespace

import curio
from expression import Ok

from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.platform.control_api import ControlApi
from pollenfold.testing.configurations import large_configuration


class FakeClusterState:
    """Accepts each command and records how many ticks passed before."""

    def __init__(self):
        self.replicated_state = ReplicatedState()
        self.commands = SimpleNamespace(n_members=3)
        self.n_ticks = 0
        self.accepted = []

    async def submit(self, command, timeout_ms):
        self.accepted.append((command.version, self.n_ticks))
        return Ok(None)

    async def tick(self):
        while not self.accepted:
            self.n_ticks += 1
            await curio.sleep(0)


def test_other_tasks_run_while_a_large_configuration_is_checked(run):
    """Guards against a control replica that sends no heartbeats while it checks an
    operator's configuration, because that is one step on its only loop."""

    async def main():
        cluster_state = FakeClusterState()
        node = SimpleNamespace(
            cluster_state=cluster_state,
            metrics=Metrics(),
            log=EventLog("core-1", system_clock, write=len),
            replica=SimpleNamespace(leader_id=lambda: None, voters=frozenset),
        )
        document = large_configuration(14_000, version=9)
        ticker = await curio.spawn(cluster_state.tick)
        body = json.dumps(document).encode()
        request = Request(b"PUT", b"/-/config", [], body)
        response = await ControlApi(node, 80, frozenset()).handle(request)
        await ticker.join()
        assert response.status == 200
        ((version, n_ticks),) = cluster_state.accepted
        assert version == 9
        assert n_ticks >= 20

    run(main)
