"""The control daemon: log replica, lease service and operator interface."""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING, Any

import curio
from loguru import logger

from ..core.errors import ErrorKind
from ..http.server import HttpServer
from ..observe.clock import system_clock
from ..observe.logs import log_failed_step, refuse_reload
from ..observe.signals import Signals
from ..observe.steps import run_step
from ..records.parsing import MAX_RECORD_BYTES
from ..wire.frames import Protocol
from ..wire.rpc import RpcClient, RpcServer
from .leases import LeaseService
from .operators import ListRequests, OperatorInterface
from .state import ControlState
from .unresolved_claims import UnresolvedClaims

if TYPE_CHECKING:
    from ..settings import ControlSettings

OPERATOR_CALL_TIMEOUT_MS = 300.0
PEER_STOP_WAIT_MS = 1_000.0
"""How long a stopping replica waits for the requests of entries and replicas."""

STOP_WAIT_MS = 1_500.0
"""How long a stopping replica waits for the orders in flight."""


class LeaderAddress:
    """Finds the operator address of the leader.

    A replica knows the peer addresses of the others from its settings; it queries the
    leader for its operator address with ``Protocol.OPERATOR``.
    """

    def __init__(self, settings: ControlSettings, state: ControlState) -> None:
        self._own_address = f"{settings.host}:{settings.operator_port}"
        self._state = state
        self._clients = {
            replica_id: RpcClient(*address)
            for replica_id, address in settings.peers.items()
            if replica_id != settings.replica_id
        }

    async def handle(self, payload: bytes) -> bytes:
        """Respond to another replica with the operator address of this one."""
        return json.dumps({"operator": self._own_address}).encode()

    async def get(self) -> str | None:
        """Return the leader's operator address ``host:port``, or None."""
        if self._state.replica.is_leader():
            return self._own_address
        client = self._clients.get(self._state.replica.leader_id() or "")
        if client is None:
            return None
        result = await client.call(Protocol.OPERATOR, b"", OPERATOR_CALL_TIMEOUT_MS)
        if result.is_error():
            await client.close()
            return None
        try:
            return str(json.loads(result.ok)["operator"])
        except (ValueError, KeyError, TypeError):
            logger.warning(
                "event=bad_operator_address kind={}", ErrorKind.BAD_FRAME.value
            )
            return None


class _Daemon:
    """Creates and connects the components of one control replica."""

    def __init__(self, settings: ControlSettings, replica_type: type[Any]) -> None:
        self.state = ControlState(system_clock)
        self.replica = replica_type(
            settings.replica_id,
            settings.peers,
            settings.data_folder,
            self.state.apply,
            self.state.snapshot,
            self.state.restore,
            system_clock,
            secrets.randbits(32),
        )
        self.state.replica = self.replica
        leader_address = LeaderAddress(settings, self.state)
        operators = OperatorInterface(
            self.state,
            settings.replica_id,
            settings.zone,
            settings.token.get_secret_value(),
            leader_address.get,
            _list_requests(settings),
        )
        self.operator_server = HttpServer(operators.handle, MAX_RECORD_BYTES)
        self.peer_server = RpcServer(
            {
                Protocol.AGREEMENT: self.replica.handle,
                Protocol.LEASE: LeaseService(self.state, settings.peers).handle,
                Protocol.OPERATOR: leader_address.handle,
            }
        )


def _list_requests(settings: ControlSettings) -> ListRequests | None:
    """Return a function that lists unresolved claims, or None without a ledger."""
    if not settings.ledger:
        return None
    client_id = f"{settings.replica_id}-{secrets.token_hex(4)}"
    return UnresolvedClaims(dict(settings.ledger), client_id, system_clock).get


async def serve_control(
    settings: ControlSettings, replica_type: type[Any] | None = None
) -> None:
    """Run a control replica until SIGTERM or SIGINT.

    ``replica_type`` replaces the log replica in tests. Raise OSError when an address
    is in use or the data folder can't be opened, ValueError when the folder belongs to
    another replica, and RuntimeError when a task of the daemon ends.
    """
    if replica_type is None:
        from .replica import Replica as replica_type
    with Signals() as signals:
        await _serve_control(settings, _Daemon(settings, replica_type), signals)


async def _serve_control(
    settings: ControlSettings, daemon: _Daemon, signals: Signals
) -> None:
    peer_port = settings.peers[settings.replica_id][1]
    async with curio.TaskGroup(wait=None) as group:
        stop = await group.spawn(signals.wait_for_stop, refuse_reload)
        await daemon.operator_server.start(settings.host, settings.operator_port)
        await group.spawn(daemon.peer_server.serve, settings.host, peer_port)
        await group.spawn(daemon.replica.run)
        await group.spawn(daemon.state.run)
        logger.info(
            "event=started replica_id={} peer_port={} operator_port={}",
            settings.replica_id,
            peer_port,
            settings.operator_port,
        )
        first_done = await group.next_done()
        # The orders in flight need the replica, so it goes on until they are answered.
        operators = daemon.operator_server
        await run_step("stop_operators", log_failed_step, operators.stop)
        await run_step("wait_for_operators", log_failed_step, _wait_idle, operators)
        peers = daemon.peer_server
        await run_step("stop_peers", log_failed_step, peers.stop, PEER_STOP_WAIT_MS)
        await group.cancel_remaining()
    if first_done is not stop:
        error = RuntimeError(f"{first_done.name} ended")
        raise first_done.exception or error
    logger.info("event=stopped signal={}", stop.result.signal_name)


async def _wait_idle(operators: HttpServer) -> None:
    """Wait until the orders in flight are answered, but no longer than a stop may."""
    async with curio.ignore_after(STOP_WAIT_MS / 1000):
        await operators.wait_idle()
