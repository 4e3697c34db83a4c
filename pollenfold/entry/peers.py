"""RPC clients for the other live entries."""

from __future__ import annotations

from collections.abc import Callable

from ..wire.rpc import RpcClient
from .state import Directory


class PeerClients:
    """Keeps one client for each other entry of the directory.

    ``get`` returns them by entry id, or None while the directory is not known.
    """

    def __init__(self, entry_id: str, directory: Callable[[], Directory]) -> None:
        self._entry_id = entry_id
        self._directory = directory
        self._revision = -1
        self._clients: dict[tuple[str, int], RpcClient] = {}
        self._by_id: dict[str, RpcClient] | None = None

    def get(self) -> dict[str, RpcClient] | None:
        """Return the clients of the entries that are live now."""
        directory = self._directory()
        if directory.revision != self._revision:
            self._revision = directory.revision
            self._by_id = self._connect(directory)
        return self._by_id

    def _connect(self, directory: Directory) -> dict[str, RpcClient] | None:
        if directory.revision == 0:
            return None
        by_id = {}
        for entry in directory.entries:
            if entry.entry_id == self._entry_id:
                continue
            address = (entry.host, entry.peer_port)
            client = self._clients.get(address)
            if client is None:
                client = self._clients[address] = RpcClient(*address)
            by_id[entry.entry_id] = client
        return by_id
