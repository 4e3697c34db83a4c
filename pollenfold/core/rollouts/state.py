"""The state of a roll-out, and which versions may get a request in each stage.

A roll-out replaces the endpoints of a service by those of a target version. Control
decides its stage, which is part of the replicated state; entries act on the stage of
the state that they hold.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from reprlib import repr as short_repr
from typing import Any

from ..input_limits import is_magnitude, is_name, is_whole_number

MAX_DURATION_MS = 24 * 3_600_000
"""The longest duration that an order may give."""

CANARY_SHARE = 0.06
"""The share of a new roll-out. It stays below the limit of the exposure by itself, and
gives evidence within about two seconds at a hundred requests per second."""

MAX_VERSIONS_KEPT = 64
"""How many rejected and how many replaced versions a roll-out keeps."""

REPEAT_MS = 5_000
"""An order for the target of the last roll-out is a repetition of that one's order up
to this long after it. Operators repeat an order for up to 4 s, and the clocks of two
replicas differ a little."""


class RolloutStage(Enum):
    """The stages of a roll-out; each gives the target a share of the requests."""

    CANARY = "canary"
    """The target gets a small share, and evidence is collected."""

    RAMP = "ramp"
    """The share of the target rises."""

    FULL = "full"
    """The target was judged good; the old version gets nothing."""

    REVERTING = "reverting"
    """The target was judged bad and gets nothing."""

    COMPLETED = "completed"
    """Final: nothing is in flight at the old version."""

    ROLLED_BACK = "rolled_back"
    """Final: nothing is in flight at the target."""


FINAL_STAGES = frozenset({RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK})

_NEXT_STAGES = {
    RolloutStage.CANARY: {
        RolloutStage.CANARY,
        RolloutStage.RAMP,
        RolloutStage.FULL,
        RolloutStage.REVERTING,
    },
    RolloutStage.RAMP: {RolloutStage.RAMP, RolloutStage.FULL, RolloutStage.REVERTING},
    RolloutStage.FULL: {RolloutStage.COMPLETED, RolloutStage.REVERTING},
    RolloutStage.REVERTING: {RolloutStage.ROLLED_BACK},
    RolloutStage.COMPLETED: set(),
    RolloutStage.ROLLED_BACK: set(),
}
"""The stages that may follow each one. A leader that was deposed may have proposed a
stage which is committed after that of its successor."""

_FIXED_SHARES = {
    RolloutStage.FULL: 1.0,
    RolloutStage.COMPLETED: 1.0,
    RolloutStage.REVERTING: 0.0,
    RolloutStage.ROLLED_BACK: 0.0,
}


@dataclass(frozen=True, slots=True)
class Rollout:
    """The newest roll-out of a service.

    ``order_index`` is the log index of the order, which identifies the roll-out, and
    ``stage_index`` that of the last change of stage or share. ``ordered_at_ms`` is the
    time of the order in ms since 1970, by the clock of the replica that accepted it.
    ``share`` is the share of the requests that the target gets. ``rejected_versions``
    were rolled back and get no requests; ``replaced_versions`` were replaced by a
    roll-out that was completed.
    """

    service: str
    target_version: str
    duration_ms: int
    order_index: int
    ordered_at_ms: int
    stage: RolloutStage = RolloutStage.CANARY
    share: float = CANARY_SHARE
    stage_index: int = 0
    rejected_versions: tuple[str, ...] = ()
    replaced_versions: tuple[str, ...] = ()

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.stage in FINAL_STAGES

    @property
    def is_towards_target(self) -> bool:
        """Whether the old version gets nothing any more."""
        return self.stage in (RolloutStage.FULL, RolloutStage.COMPLETED)

    @property
    def state(self) -> str:
        """The state as operators see it: running, completed or rolled_back."""
        return self.stage.value if self.is_final else "running"

    def is_target(self, version: str) -> bool:
        """Return whether a version is the target of the roll-out."""
        return version == self.target_version

    def draws_target(self, fraction: float) -> bool:
        """Return whether an attempt goes to the target, by a random fraction.

        ``fraction`` is uniformly distributed from 0 up to but not including 1.
        """
        return fraction < self.share

    def uses(self, version: str, is_target: bool) -> bool:
        """Return whether an attempt may go to an endpoint of a version.

        ``is_target`` is whether the attempt goes to the target. After the roll-out was
        completed, attempts also go to versions that appeared later without an order.
        """
        if version in self.rejected_versions:
            return False
        if self.stage is RolloutStage.COMPLETED:
            return self.is_target(version) or version not in self.replaced_versions
        if self.is_target(version):
            return is_target and self.share > 0.0
        return not is_target and not self.is_towards_target

    def fallback(self, is_target: bool) -> bool | None:
        """Return the side that takes an attempt if its own has no usable endpoint.

        The result is True for the target, False for the old version, and None if the
        attempt must not go to the other side.
        """
        if is_target and not self.is_towards_target:
            return False
        if not is_target and self.is_towards_target:
            return True
        return None

    def advanced(
        self,
        index: int,
        stage: RolloutStage,
        share: float,
        replaced_versions: tuple[str, ...] = (),
    ) -> Rollout | None:
        """Return the roll-out in a new stage or with a new share.

        The result is None if the stage can't follow the present one.
        """
        if stage not in _NEXT_STAGES[self.stage]:
            return None
        rejected, replaced = self.rejected_versions, self.replaced_versions
        if stage in (RolloutStage.REVERTING, RolloutStage.ROLLED_BACK):
            rejected = _with_versions(rejected, (self.target_version,))
        if stage is RolloutStage.COMPLETED:
            others = tuple(v for v in replaced_versions if not self.is_target(v))
            replaced = _with_versions(replaced, others)
        return replace(
            self,
            stage=stage,
            share=_FIXED_SHARES.get(stage, share),
            stage_index=index,
            rejected_versions=rejected,
            replaced_versions=replaced,
        )

    def is_repeated_by(self, target_version: str, ordered_at_ms: int) -> bool:
        """Return whether an order for a target is the order of this roll-out again.

        A completed roll-out makes any later order for the same target redundant. After
        a rolled back one, an operator may try the same target again.
        """
        if target_version != self.target_version:
            return False
        if self.stage is not RolloutStage.ROLLED_BACK:
            return True
        return ordered_at_ms - self.ordered_at_ms <= REPEAT_MS

    def encode(self) -> list[Any]:
        """Return the fields as JSON values."""
        return [
            self.service,
            self.target_version,
            self.duration_ms,
            self.order_index,
            self.ordered_at_ms,
            self.stage.value,
            self.share,
            self.stage_index,
            list(self.rejected_versions),
            list(self.replaced_versions),
        ]


def _with_versions(known: tuple[str, ...], added: tuple[str, ...]) -> tuple[str, ...]:
    versions = (*(v for v in known if v not in added), *added)
    return versions[-MAX_VERSIONS_KEPT:]


def start_rollout(
    previous: Rollout | None,
    service: str,
    target_version: str,
    duration_ms: int,
    ordered_at_ms: int,
    index: int,
) -> Rollout | None:
    """Return the roll-out that an order starts after the previous one of the service.

    The result is None if the order repeats that of the previous one, or comes while
    that is in progress.
    """
    rejected: tuple[str, ...] = ()
    replaced: tuple[str, ...] = ()
    if previous is not None:
        is_repeated = previous.is_repeated_by(target_version, ordered_at_ms)
        if is_repeated or not previous.is_final:
            return None
        rejected = tuple(v for v in previous.rejected_versions if v != target_version)
        replaced = tuple(v for v in previous.replaced_versions if v != target_version)
    return Rollout(
        service,
        target_version,
        duration_ms,
        index,
        ordered_at_ms,
        stage_index=index,
        rejected_versions=rejected,
        replaced_versions=replaced,
    )


def decode_stage(value: object) -> RolloutStage:
    """Decode the name of a stage; raise ValueError for an unknown one."""
    return RolloutStage(value)


def decode_rollout(fields: object) -> Rollout:
    """Decode the fields of ``Rollout.encode``; raise ValueError if malformed.

    Further fields, of a later version, are ignored.
    """
    match fields:
        case [
            service,
            target_version,
            duration_ms,
            order_index,
            ordered_at_ms,
            str(stage),
            share,
            stage_index,
            list(rejected),
            list(replaced),
            *_,
        ] if (
            is_name(service)
            and is_name(target_version)
            and is_whole_number(duration_ms, MAX_DURATION_MS, 1)
            and is_whole_number(order_index)
            and is_whole_number(ordered_at_ms)
            and is_whole_number(stage_index)
            and is_magnitude(share, 1.0)
            and all(isinstance(v, str) for v in (*rejected, *replaced))
        ):
            order = (service, target_version, duration_ms, order_index, ordered_at_ms)
            versions = (tuple(rejected), tuple(replaced))
            return Rollout(
                *order, decode_stage(stage), float(share), stage_index, *versions
            )
    raise ValueError(f"expected the fields of a roll-out, got {short_repr(fields)}")
