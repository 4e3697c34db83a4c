"""Stages of a roll-out on an entry's call path, and stand-ins for its feeds."""

import math
from dataclasses import dataclass, field, replace

import curio

from pollenfold.core.rollouts.state import Rollout, RolloutStage
from pollenfold.gateway.rollouts.reports import RolloutReporter
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, signed_response

SHARES = {"full": 1.0, "completed": 1.0, "reverting": 0.0, "rolled_back": 0.0}


def set_stage(path, stage, share=0.06, order_index=5, replaced=("v1",)):
    """Put a stage of the roll-out to ``v2`` in force at an entry."""
    index = path.view.replicated_state.index + 10
    rollout = Rollout(
        service="s",
        target_version="v2",
        duration_ms=12_000,
        order_index=order_index,
        ordered_at_ms=0,
        stage=RolloutStage(stage),
        share=SHARES.get(stage, share),
        stage_index=index,
        rejected_versions=("v2",) if stage in ("reverting", "rolled_back") else (),
        replaced_versions=replaced if stage == "completed" else (),
    )
    path.view.replicated_state = replace(
        path.view.replicated_state, index=index, rollouts={"s": rollout}
    )
    path.view._rebuild()
    path.confirm(index)
    return rollout


def announce(path, old=(), target=(), sequence=50):
    """Announce the backend servers of both versions."""
    for version, backends in (("v1", old), ("v2", target)):
        for backend in backends:
            path.announce(backend, sequence=sequence, version=version)


def n_requests(backends):
    return sum(len(backend.requests) for backend in backends)


def server_error(request):
    return signed_response(500)


def backends_of(name, n_backends, **changes):
    return [Backend(f"{name}{number:02}", **changes) for number in range(n_backends)]


@dataclass
class FakeFeed:
    """The feed of a control replica; ``lines`` holds what was sent to it."""

    lines: list = field(default_factory=list)
    fails: bool = False

    async def send(self, line):
        if self.fails:
            raise OSError("reset")
        self.lines.append(line)

    def reports(self):
        """Return the reports on the roll-out of the service ``s``."""
        return [line["rollouts"][1][0] for line in self.lines]


@dataclass
class FakeFeeds:
    leader: FakeFeed | None = None
    n_connected: int = 0
    heard_at: float = math.inf


def reporter_of(path, feeds):
    return RolloutReporter(
        path.view,
        path.forwarder.version_outcomes,
        feeds,
        system_clock,
        path.log,
        path.forwarder._rng,
    )


async def wait_until(is_true, limit_ms=3_000.0):
    """Wait until a function returns true; fail after the limit."""
    async with curio.timeout_after(limit_ms / 1000):
        while not is_true():
            await curio.sleep(0.002)
