"""Tenants of a configuration, and the look-up of a tenant by one of its keys."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

try:
    # hashlib loads OpenSSL, which takes 3.6 MB in each entry.
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

KEY_HASH_BYTES = 16
"""Two of thousands of keys have one hash with a probability below 1e-30."""


@dataclass(frozen=True, slots=True)
class Quota:
    """The limit on a tenant's executed requests, summed over all entries."""

    rate_per_s: float
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the configuration.

    ``priority`` replaces the priority of the route, unless it is None. Without a quota
    the number of requests isn't limited.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


class DuplicateField(Enum):
    """Why a tenant wasn't added to a directory."""

    NAME = "name"
    KEY = "apiKeys"


@dataclass(slots=True)
class TenantDirectory:
    """The tenants of one configuration, by name and by key.

    It holds a keyed hash of each key instead of the key. The hash depends on a random
    secret of the process, so the time of a look-up reveals nothing about a key.
    """

    secret: bytes = field(repr=False)
    by_name: dict[str, Tenant] = field(default_factory=dict)
    _by_hash: dict[bytes, Tenant] = field(default_factory=dict, repr=False)

    def add(self, tenant: Tenant, keys: list[str]) -> DuplicateField | None:
        """Add a tenant; return what it shares with another one, or None if it doesn't.

        A directory from which a tenant was refused must not be used.
        """
        if tenant.name in self.by_name:
            return DuplicateField.NAME
        self.by_name[tenant.name] = tenant
        for key in keys:
            owner = self._by_hash.setdefault(self._hash(key.encode()), tenant)
            if owner is not tenant:
                return DuplicateField.KEY
        return None

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that a key, as sent in a header, belongs to, or None."""
        return self._by_hash.get(self._hash(key))

    def _hash(self, key: bytes) -> bytes:
        state = blake2b(key, digest_size=KEY_HASH_BYTES, key=self.secret)
        return bytes(state.digest())
