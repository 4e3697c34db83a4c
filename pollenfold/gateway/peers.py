"""The other entries of the fleet, to which an entry may relay requests."""

from __future__ import annotations

import socket
from collections.abc import Iterable
from dataclasses import dataclass

from ..core.clock import Clock, Instant, add_ms

ABSENT_PEER_MS = 5_000.0
"""How long a peer is kept that a new update source doesn't know.

A control replica that just started learns of the entries one by one."""

MAX_PEERS = 4_096
MAX_NAME_CHARS = 200


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry, as the feeds report it; ``host`` is an IPv4 literal."""

    entry_id: str
    host: str
    zone: str


class PeerDirectory:
    """The peers of one entry, by entry id.

    They stay known while no control replica is reachable.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.by_id: dict[str, Peer] = {}
        self._absent_since: dict[str, Instant] = {}
        self._hosts: frozenset[str] = frozenset()

    def apply(self, zones: object, own_id: str) -> None:
        """Add or replace peers, reported as a map of zones to hosts by entry id.

        Items with an invalid host, and this entry itself, are skipped.
        """
        if not isinstance(zones, dict):
            return
        for zone, hosts in zones.items():
            if not isinstance(hosts, dict):
                continue
            for entry_id, host in hosts.items():
                if entry_id != own_id:
                    self._add(entry_id, host, zone)
        self._update_hosts()

    def _add(self, entry_id: str, host: object, zone: str) -> None:
        is_named = 0 < len(entry_id) <= MAX_NAME_CHARS and len(zone) <= MAX_NAME_CHARS
        is_full = len(self.by_id) >= MAX_PEERS and entry_id not in self.by_id
        if is_named and not is_full and isinstance(host, str) and is_unicast_ipv4(host):
            self.by_id[entry_id] = Peer(entry_id, host, zone)
            self._absent_since.pop(entry_id, None)

    def remove(self, entry_ids: Iterable[str]) -> None:
        """Remove entries that left the fleet."""
        for entry_id in entry_ids:
            self.by_id.pop(entry_id, None)
            self._absent_since.pop(entry_id, None)
        self._update_hosts()

    def replace(self, entry_ids: Iterable[str]) -> None:
        """Apply the names of all entries that a new update source knows."""
        now = self._clock()
        present = frozenset(entry_ids)
        for entry_id in self.by_id:
            if entry_id in present:
                self._absent_since.pop(entry_id, None)
            else:
                self._absent_since.setdefault(entry_id, now)

    def expire(self) -> None:
        """Remove the peers that the update source hasn't reported for some time."""
        oldest = add_ms(self._clock(), -ABSENT_PEER_MS)
        expired = [k for k, since in self._absent_since.items() if since <= oldest]
        if expired:
            self.remove(expired)

    def _update_hosts(self) -> None:
        self._hosts = frozenset(peer.host for peer in self.by_id.values())

    def has_host(self, host: str) -> bool:
        """Return whether a peer has this address."""
        return host in self._hosts


def is_unicast_ipv4(text: str) -> bool:
    """Return whether a text is the IPv4 address of a single host."""
    try:
        octets = socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return 0 < octets[0] < 224
