"""Decodes the quotas of a configuration for control replicas."""

from __future__ import annotations

from ..core.slices import Steps
from ..core.tenancy.tenants import Quota
from .documents import configuration_steps


def quota_steps(text: str) -> Steps[dict[str, Quota]]:
    """Decode the quotas of a configuration, by tenant, in small steps.

    Raise DocumentError if the configuration is invalid.
    """
    configuration = yield from configuration_steps(text)
    tenants = configuration.tenants
    if tenants is None:
        return {}
    return {
        tenant.name: tenant.quota
        for tenant in tenants.by_name.values()
        if tenant.quota is not None
    }
