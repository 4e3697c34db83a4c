"""Entries that act on roll-outs without callers or endpoints."""

import random

import curio

from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.platform.documents import configuration_decoder

STEP_MS = 50.0


class SimulatedEntry:
    """Sends imaginary requests by the state that its feeds bring, and reports them.

    ``bad_share`` is the share of the target's responses that fail. While ``is_stuck``,
    a request at the old version stays in flight.
    """

    def __init__(self, name, cluster, requests_per_s=50.0, bad_share=0.0):
        self.name = name
        self.bad_share = bad_share
        self.is_stuck = False
        self.sent = {"old": 0, "new": 0}
        self._n_per_step = requests_per_s * STEP_MS / 1000
        self._random = random.Random(name)
        self._incarnation = self._random.randrange(1 << 30)
        self._counts = {}
        log = EventLog(name, system_clock, write=len)
        self.view = FleetView(configuration_decoder(), system_clock, log)
        self.feeds = Feeds(
            FeedIdentity(name, "a"),
            self.view,
            lambda: cluster.seeds,
            cluster.feed_port,
            system_clock,
            log,
        )

    async def start(self):
        await curio.spawn(self.feeds.run, daemon=True)
        await curio.spawn(self.run, daemon=True)

    async def run(self):
        while True:
            await curio.sleep(STEP_MS / 1000)
            rollouts = list(self.view.replicated_state.rollouts.values())
            for rollout in rollouts:
                self.send_requests(rollout)
            await self.report([r for r in rollouts if not r.is_final])

    def send_requests(self, rollout):
        counts = self._counts.setdefault(rollout.order_index, [0] * 6)
        n_requests = int(self._n_per_step + self._random.random())
        for _ in range(n_requests):
            is_target = rollout.draws_target(self._random.random())
            self.sent["new" if is_target else "old"] += 1
            is_bad = is_target and self._random.random() < self.bad_share
            counts[3 if is_target else 0] += 1
            counts[4 if is_target else 1] += is_bad

    async def report(self, rollouts):
        leader = self.feeds.leader
        if leader is None or not rollouts:
            return
        items = [
            [
                r.service,
                r.order_index,
                r.stage_index,
                int(self.is_stuck),
                0,
                {"r1": self._counts[r.order_index]},
            ]
            for r in rollouts
        ]
        try:
            await leader.send({"rollouts": [self._incarnation, items]})
        except (OSError, curio.TaskTimeout):
            return
