"""Fixtures of the tests with real processes.

A test module defines its ``TOPOLOGY``, and optionally ``ENVIRONMENT`` (environment
variables of the processes) and ``arrange(cluster)``, called before they start.
"""

import curio
import pytest

from benchmarks.cluster import Cluster
from pollenfold.tests.running import run_within

from .system import PartitionGroup, System


@pytest.fixture(scope="module")
def system(request, tmp_path_factory):
    """Return a running system whose processes are ended after the module's tests."""
    module = request.module
    with (
        pytest.MonkeyPatch.context() as patch,
        PartitionGroup(tmp_path_factory.mktemp("system")) as group,
    ):
        for name, value in getattr(module, "ENVIRONMENT", {}).items():
            patch.setenv(name, value)
        cluster = Cluster(group, module.TOPOLOGY)
        getattr(module, "arrange", lambda cluster: None)(cluster)
        system = System(cluster, group)
        curio.run(system.start)
        yield system


@pytest.fixture
def run():
    """Return a function that runs a coroutine function within 60 s."""
    return run_within(60)


@pytest.fixture(autouse=True)
def outcomes_match_executions(system):
    """Compare, after each test, the outcomes of all requests with the executions.

    Guards against a request that was reported as not executed and was, a key that was
    executed twice, a response without an execution, and a socket that is closed under a
    wait of another task.
    """
    yield
    assert system.broken_promises() == []
    assert system.group.socket_violations() == []
