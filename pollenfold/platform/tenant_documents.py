"""Decodes and validates the tenants of a configuration.

The error messages contain no values, since any of them could be a key that was put in
the wrong place.
"""

from __future__ import annotations

import os
from typing import Any

from ..core.input_limits import is_name
from ..core.slices import Steps
from ..core.tenancy.tenants import Quota, Tenant, TenantDirectory
from .document_errors import DocumentError

MAX_NUMBER = 1e15
KEY_SECRET = os.urandom(32)
"""The secret of this process under which keys are hashed."""

KnownTenants = dict[str, Tenant]
"""Tenants by name. Unchanged ones of an earlier configuration are used again."""


def tenant_steps(
    fields: dict[str, Any], known: KnownTenants
) -> Steps[TenantDirectory | None]:
    """Decode the tenants in small steps, one for each; return None without any.

    Raise DocumentError if they are invalid.
    """
    if "tenants" not in fields:
        return None
    items = _list_field(fields, "tenants", "tenants")
    directory = TenantDirectory(KEY_SECRET)
    for index, item in enumerate(items):
        where = f"tenants[{index}]"
        tenant = _decode_tenant(item, where)
        if known.get(tenant.name) == tenant:
            tenant = known[tenant.name]
        duplicate = directory.add(tenant, _decode_keys(item, where))
        if duplicate is not None:
            raise DocumentError(f"{where}.{duplicate.value}: another tenant has it")
        yield
    return directory if directory.by_name else None


def _decode_tenant(item: Any, where: str) -> Tenant:
    name = item.get("name") if isinstance(item, dict) else None
    if not _is_header_text(name):
        raise DocumentError(f"{where}.name: expected a short printable text")
    priority = _number_field(item, "priority", where)
    rate_per_s = _number_field(item, "ratePerS", where)
    burst = _number_field(item, "burst", where)
    return Tenant(
        name=name,
        priority=None if priority is None else int(priority),
        quota=Quota(rate_per_s, burst or 0.0) if rate_per_s else None,
    )


def _decode_keys(item: dict[str, Any], where: str) -> list[str]:
    """Return the keys, which the scanner of JSON has decoded with their texts."""
    keys = [key for _, key in _list_field(item, "apiKeys", f"{where}.apiKeys")]
    for index, key in enumerate(keys):
        if not _is_header_text(key):
            raise DocumentError(
                f"{where}.apiKeys[{index}]: expected a short printable text"
            )
    return keys


def _is_header_text(value: object) -> bool:
    """Return whether a value is a name that a header value passes on unchanged.

    Spaces at its ends aren't part of a header value.
    """
    return is_name(value) and value == value.strip()


def _list_field(item: dict[str, Any], name: str, where: str) -> list[Any]:
    value = item.get(name)
    if not isinstance(value, list):
        raise DocumentError(f"{where}: expected a list")
    return value


def _number_field(item: dict[str, Any], name: str, where: str) -> float | None:
    """Return a number that isn't negative, or None if the field is missing."""
    if name not in item:
        return None
    value = item[name]
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise DocumentError(f"{where}.{name}: expected a number that isn't negative")
    return float(value)
