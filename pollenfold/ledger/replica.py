"""A ledger replica, which handles requests on a durable store of registers."""

from __future__ import annotations

from pathlib import Path

import curio
from loguru import logger

from ..core.clock import Clock
from ..core.errors import ErrorKind
from ..core.register import (
    BLANK_REGISTER,
    Accept,
    Claim,
    Message,
    Prepare,
    Register,
    Reply,
    State,
    age_ms,
    handle,
)
from ..storage.identity import load_identity, mark_joined
from ..wire.ledger import (
    Body,
    Fence,
    Page,
    PageRequest,
    ReadRequest,
    Request,
    Status,
    StatusRequest,
    UnresolvedRequest,
    decode_request,
    encode_response,
)
from ..wire.rpc import RpcClient
from .rejoin import try_join
from .store import KEYS_PER_CHUNK, RegisterStore

MAX_REQUEST_BYTES = 128 * 1024
"""Enough for an outcome with a body of 64 KiB, its headers, a key and a ballot."""

TARGET_PAGE_BYTES = 256 * 1024
"""A page may exceed this by one register and still fits into a frame of 1 MiB."""

JOIN_RETRY_INTERVAL_S = 0.1
COMPACTION_CHECK_INTERVAL_S = 10.0
COMPACTION_CHECKS_PER_EXPIRY = 30
"""Registers are dropped by age only every 5 minutes, since that decodes all of them.
Until then an expired register is read as blank."""


class LedgerReplica:
    """One replica of the ledger; ``handle_request`` is its RPC handler.

    A blank replica responds only to status requests, and a replica with a failed
    write to none: the client then gets an error frame, which counts as no response.
    """

    def __init__(
        self,
        replica_id: str,
        peers: dict[str, tuple[str, int]],
        data_folder: Path,
        wall_clock: Clock,
    ) -> None:
        self.replica_id = replica_id
        self._ids = sorted([replica_id, *peers])
        self._peers = {name: RpcClient(*address) for name, address in peers.items()}
        self._folder = data_folder
        self._wall_clock = wall_clock
        self._identity = load_identity(data_folder, replica_id)
        self.store = RegisterStore(data_folder, len(self._ids), wall_clock)
        self._copies_in_progress: dict[str, tuple[int, list[str]]] = {}

    @property
    def is_blank(self) -> bool:
        """Whether the replica has not joined the cluster yet and must not vote."""
        return self._identity.is_blank

    async def run(self) -> None:
        """Join the cluster if blank, then maintain the store until cancelled."""
        while self.is_blank:
            await self.join_once()
            if self.is_blank:
                await curio.sleep(JOIN_RETRY_INTERVAL_S)
        while True:
            await self.store.drop_expired()
            for _ in range(COMPACTION_CHECKS_PER_EXPIRY):
                await curio.sleep(COMPACTION_CHECK_INTERVAL_S)
                self.store.compact_if_needed()

    async def join_once(self) -> None:
        """Try to join; the replica stays blank when too few others respond."""
        join_result = await try_join(
            self.replica_id, self._identity.incarnation, self._peers
        )
        if join_result is None:
            return
        self.store.replace_all(
            join_result.registers, join_result.epochs, join_result.founders
        )
        self._identity = mark_joined(self._folder, self._identity)
        logger.info(
            "event=ledger_joined replica={} registers={} epochs={}",
            self.replica_id,
            len(join_result.registers),
            join_result.epochs,
        )

    async def handle_request(self, payload: bytes) -> bytes:
        """Handle one request; raise an exception when the replica must not respond."""
        self.store.raise_if_failed()
        if len(payload) > MAX_REQUEST_BYTES:
            raise ValueError(
                f"expected a request of at most {MAX_REQUEST_BYTES} bytes, "
                f"got {len(payload)}"
            )
        key, request = decode_request(payload)
        body = await self._response_body(key, request)
        await self.store.wait_until_synced()
        return encode_response(self.store.epochs, body)

    async def close(self) -> None:
        """Close the journal and the connections to the other replicas."""
        for peer in self._peers.values():
            await peer.close()
        self.store.close()

    async def _response_body(self, key: str, request: Request) -> Body:
        if isinstance(request, StatusRequest):
            identity = self._identity
            founders = self.store.founders
            return Status(identity.incarnation, identity.is_blank, founders)
        if self.is_blank:
            raise LookupError(ErrorKind.NOT_READY.value)
        match request:
            case Claim() | Prepare() | Accept():
                return self._apply(key, request)
            case ReadRequest():
                return self._make_reply(False, self.store.get(key))
            case UnresolvedRequest(limit):
                return await self._unresolved_keys(limit)
            case Fence():
                return self._apply_fence(request)
            case PageRequest():
                return self._read_page(request)

    def _apply(self, key: str, message: Message) -> Reply:
        old = self.store.get(key)
        register, is_granted = handle(old, message, self._wall_clock())
        if register is not old:
            self.store.put(key, register)
        if is_granted and not isinstance(message, Prepare):
            # The claimant knows the value, which may hold a complete outcome.
            return Reply(True, BLANK_REGISTER)
        return self._make_reply(is_granted, register)

    def _make_reply(self, is_granted: bool, register: Register) -> Reply:
        return Reply(is_granted, register, age_ms(register, self._wall_clock()))

    async def _unresolved_keys(self, limit: int) -> tuple[str, ...]:
        unresolved_keys: list[str] = []
        for n, key in enumerate(self.store.keys()):
            if len(unresolved_keys) >= limit:
                break
            if self.store.get(key).value.state in (State.CLAIMED, State.IN_DOUBT):
                unresolved_keys.append(key)
            if n % KEYS_PER_CHUNK == 0:
                await curio.sleep(0)
        return tuple(unresolved_keys)

    def _apply_fence(self, request: Fence) -> None:
        index = self._ids.index(request.replica_id)
        epochs = self.store.epochs
        if request.epoch <= epochs[index]:
            raise ValueError(
                f"expected an epoch above {epochs[index]} of replica "
                f"{request.replica_id}, got {request.epoch}"
            )
        self.store.put_epochs((*epochs[:index], request.epoch, *epochs[index + 1 :]))
        self._copies_in_progress[request.replica_id] = (
            request.epoch,
            self.store.keys(),
        )

    def _read_page(self, request: PageRequest) -> Page:
        epoch, keys = self._copies_in_progress.get(request.replica_id, (0, []))
        if epoch != request.epoch:
            raise ValueError(
                f"expected a page request of epoch {epoch}, got {request.epoch}"
            )
        registers = []
        n_bytes = 0
        offset = request.offset
        while offset < len(keys) and n_bytes < TARGET_PAGE_BYTES:
            key = keys[offset]
            register = self.store.get(key)
            registers.append((key, register, age_ms(register, self._wall_clock())))
            n_bytes += _estimate_encoded_bytes(key, register)
            offset += 1
        is_last = offset >= len(keys)
        if is_last:
            del self._copies_in_progress[request.replica_id]
        return Page(tuple(registers), offset, is_last)


def _estimate_encoded_bytes(key: str, register: Register) -> int:
    """Return an upper bound of the encoded size of a register."""
    n_bytes = 256 + 4 * len(key) + len(register.promised[1] + register.accepted[1])
    n_bytes += sum(16 + len(claim_id) for claim_id in register.value.claim_ids)
    outcome = register.value.outcome
    if outcome is not None:
        n_bytes += len(outcome.body)
        n_bytes += sum(64 + len(name) + len(value) for name, value in outcome.headers)
    return n_bytes
