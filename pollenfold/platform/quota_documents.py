"""Decodes the quotas of a configuration for control replicas."""

from __future__ import annotations

from collections.abc import Callable

from ..core.slices import Steps
from ..core.tenancy.tenants import Quota
from .documents import configuration_decoder


def quota_decoder() -> Callable[[str], Steps[dict[str, Quota]]]:
    """Return a function that decodes the quotas of successive configurations.

    It decodes them by tenant, in small steps, and raises DocumentError if a
    configuration is invalid. Like ``configuration_decoder`` it keeps the routes of the
    last version, of which most are the same in the next one.
    """
    decode_configuration = configuration_decoder()

    def decode(text: str) -> Steps[dict[str, Quota]]:
        configuration = yield from decode_configuration(text)
        tenants = configuration.tenants
        if tenants is None:
            return {}
        return {
            tenant.name: tenant.quota
            for tenant in tenants.by_name.values()
            if tenant.quota is not None
        }

    return decode
