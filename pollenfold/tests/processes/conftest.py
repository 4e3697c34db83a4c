"""Fixtures of the tests with real processes.

A module states its ``TOPOLOGY``, and may state ``ENVIRONMENT`` for its processes and
``arrange(cluster)``, which is called before they start.
"""

import curio
import pytest

from benchmarks.cluster import Cluster

from .system import CutGroup, System


@pytest.fixture(scope="module")
def system(request, tmp_path_factory):
    """Return a running system; all its processes end with the module."""
    module = request.module
    with (
        pytest.MonkeyPatch.context() as patch,
        CutGroup(tmp_path_factory.mktemp("system")) as group,
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

    def run_coroutine(function, *args):
        async def limited():
            async with curio.timeout_after(60):
                return await function(*args)

        return curio.run(limited)

    return run_coroutine


@pytest.fixture(autouse=True)
def refusals(system):
    """Compare, after each test, every refusal with the run counts.

    Guards against a request that was said not to have run and ran, a key that ran
    twice, and a response without a run.
    """
    yield
    assert system.broken_promises() == []
