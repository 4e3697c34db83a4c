"""When the leader of the replicated log appends commands that it acknowledges.

A group of ``2f + 1`` voters keeps an acknowledged command when it loses the disks of
any ``f``. A smaller group doesn't: of three voters two hold a command, and both may be
lost; of four voters two lost disks leave no majority. So the leader holds a command
back, before it is appended, while a replica is about to become one of the missing
voters. If no replica is, the missing ones are lost machines, and as many fewer may be
lost besides them. A lost disk stays a voter until its successor replaces it, and is
missing as well from when the successor waits.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ..clock import Instant, add_ms

BOOTSTRAP_WAIT_MS = 6_000.0
"""How long a new cluster waits for all its members before it accepts commands."""

LEARNER_WAIT_MS = 1_000.0
"""How long a new leader waits for its voters, and for replicas that request to join.

A voter that doesn't answer may be a lost disk whose successor is about to request to
join. They repeat their request every 400 ms, and need one more to learn of the
leader."""

GROWTH_WAIT_MS = 3_000.0
"""How long commands wait for a replica to become a voter.

Operators allow 4 s and send again after one second, so a command that waited this long
has one more attempt."""


@dataclass(frozen=True, slots=True)
class Group:
    """What a leader knows of its group.

    ``n_voters`` leaves out lost disks whose successors wait, and ``n_answering`` those
    that haven't answered this leader yet. ``is_new`` is whether no configuration was
    accepted yet. ``started_at`` is the start of the leader's process, ``led_since``
    when it became leader, and ``growing_since`` since when a responsive replica has
    been waiting to become a missing voter, or None.
    """

    n_voters: int
    n_answering: int
    n_target: int
    is_new: bool
    started_at: Instant
    led_since: Instant
    growing_since: Instant | None


def is_held_back(group: Group, now: Instant) -> bool:
    """Return whether a command waits until the group has more voters."""
    is_new_leader = now < add_ms(group.led_since, LEARNER_WAIT_MS)
    if is_new_leader and group.n_answering < group.n_target:
        return True
    if group.n_voters >= group.n_target:
        return False
    if group.is_new and now < add_ms(group.started_at, BOOTSTRAP_WAIT_MS):
        return True
    since = group.growing_since
    if since is None:
        return False
    if since < add_ms(group.led_since, LEARNER_WAIT_MS):
        # The wait for the learner goes on from that for the voters, so that both
        # together end before operators give up.
        since = group.led_since
    return now < add_ms(since, GROWTH_WAIT_MS)


class LearnerWaits:
    """Remembers since when each learner has been waiting to become a voter.

    A learner that is unresponsive for a while goes on from when it began to wait, so
    that one which never becomes a voter delays commands only once.
    """

    def __init__(self) -> None:
        self._since: dict[str, Instant] = {}
        self._waiting: list[str] = []

    def update(
        self, learners: Collection[str], waiting: list[str], now: Instant
    ) -> None:
        """Record which of the learners of a leader are waiting now."""
        self._waiting = waiting
        kept = {k: v for k, v in self._since.items() if k in learners}
        self._since = {**dict.fromkeys(waiting, now), **kept}

    def since(self) -> Instant | None:
        """Return since when the learner that came last has been waiting, or None."""
        return max((self._since[k] for k in self._waiting), default=None)
