"""What a control replica receives from the feeds of the others."""

from __future__ import annotations

from typing import Any

from ..core.agreement.members import host_and_port
from ..core.allowances import FleetSize
from ..core.clock import Instant
from ..core.confirmation import Confirmations
from ..core.digests import bucket_digests
from ..core.registry import decode_aged_announcement
from ..core.replicated_state import ReplicatedState
from ..gateway.peers import PeerDirectory
from ..observe.clock import system_clock
from ..observe.malformed import MalformedItems
from .cluster_state import ClusterState


class PeerView:
    """Merges endpoint updates from the feeds of the other control replicas.

    It implements the subset of an entry's view that ``Feeds`` uses. Commands arrive
    through the log, so the replicated state is never requested from a feed.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self.connected_since: Instant | None = None
        self.n_connected = 0
        self.announced_index = 0
        self.entry_ids: frozenset[str] = frozenset()
        self.peer_directory = PeerDirectory(system_clock)
        """Stays empty, since only entries pass requests on to peers."""

        self.confirmations = Confirmations()
        """Stays empty, since a replica requests no confirmation."""

        self.fleet = FleetSize()
        """Fleet size reported by others; this replica counts its own subscribers."""

    @property
    def replicated_state(self) -> ReplicatedState:
        """An empty state with the highest index, so that ``Feeds`` requests none."""
        return ReplicatedState(index=1 << 62)

    @property
    def received_state(self) -> ReplicatedState:
        """The same, since no state is loaded from feeds."""
        return self.replicated_state

    @property
    def control_hosts(self) -> frozenset[str]:
        """The hosts of the voters."""
        voters = self._cluster_state.commands.replica.voters()
        return frozenset(host_and_port(k)[0] for k in voters)

    @property
    def n_endpoints(self) -> int:
        """The number of known endpoints, including those that are leaving."""
        return len(self._cluster_state.registry)

    def digests(self) -> list[int]:
        """Return the bucket digests of the known endpoints."""
        return bucket_digests(self._cluster_state.registry.announcements())

    @property
    def malformed(self) -> MalformedItems:
        """The counters of malformed items of this replica."""
        return self._cluster_state.malformed

    def apply_announcements(self, items: object, versions: object = None) -> None:
        """Merge announcements that another replica received, with their versions."""
        for announcement, _ in self.malformed.decode_each(
            "announcements",
            items,
            lambda item: decode_aged_announcement(item, versions),
        ):
            self._cluster_state.merge_announcement(announcement)

    def apply_limit_reports(self, items: object) -> None:
        """Merge reports on limits that another replica received."""
        self._cluster_state.merge_limit_reports(items)

    def apply_quarantine_reports(self, items: object) -> None:
        """Merge reports on requests that end servers from another replica."""
        self._cluster_state.merge_quarantine_reports(items)

    def renew_endpoints(self, endpoint_ids: list[str]) -> None:
        """Record repeated announcements, to send their ids to entries."""
        self._cluster_state.refresh_relayed(endpoint_ids)

    def expire(self) -> None:
        """Release requests whose time in quarantine is over.

        All endpoints are kept; entries expire unresponsive ones themselves.
        """
        self._cluster_state.expire_quarantine()

    def apply_replicated_state(self, fields: dict[str, Any], source: str) -> bool:
        """Ignore the state, since commands arrive through the log."""
        return False

    async def finish_loading(self) -> None:
        """Do nothing, since no state is loaded from feeds."""

    def set_control_hosts(self, control_hosts: list[str]) -> None:
        """Ignore the hosts, since the log names the voters."""
