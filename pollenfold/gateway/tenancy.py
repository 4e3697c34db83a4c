"""Finds the tenant of a request and removes its key."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.errors import ErrorKind
from ..core.routes import Route, RoutingConfiguration
from ..core.tenancy.tenants import Tenant
from ..http.messages import Headers, Request
from .dialect import Dialect
from .relay.headers import RelayedRequest
from .view import FleetView

NO_TENANT = "(none)"
"""Stands for the missing tenant of an anonymous request in logs and metrics."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Who sent a request, by the configuration in force when it was handled.

    ``tenant`` is None for an anonymous request, and always if the configuration has no
    tenants.
    """

    has_tenants: bool = False
    """Whether the configuration has tenants."""

    tenant: Tenant | None = None

    @property
    def label(self) -> str | None:
        """The tenant's name in logs and metrics, or None without tenants."""
        if not self.has_tenants:
            return None
        return NO_TENANT if self.tenant is None else self.tenant.name


WITHOUT_TENANTS = Identity()


class TenantChecks:
    """Checks the keys of requests against the configuration in force."""

    def __init__(self, view: FleetView, dialect: Dialect) -> None:
        self._view = view
        self._dialect = dialect

    def identify(
        self,
        request: Request,
        route: Route,
        configuration: RoutingConfiguration,
        relayed: RelayedRequest | None,
    ) -> Identity | ErrorKind:
        """Return who sent a request, or why it is refused.

        With tenants in the configuration, the key and what the sender said of the
        tenant are removed from the headers of the request, and the name of the tenant
        is added. Whatever handles the request afterwards can't pass on a key.
        """
        tenants = configuration.tenants
        named = "" if relayed is None else relayed.tenant
        if tenants is None:
            # The passing entry has removed the key by another configuration.
            return ErrorKind.NOT_CONFIRMED if named else WITHOUT_TENANTS
        key = request.header(self._dialect.api_key)
        if named:
            tenant = tenants.by_name.get(named)
        else:
            tenant = None if key is None else tenants.find(key)
        request.headers = self._headers_of(request, tenant)
        if tenant is None and (named or not route.allows_anonymous):
            return self._refusal_kind(relayed)
        return Identity(True, tenant)

    def _headers_of(self, request: Request, tenant: Tenant | None) -> Headers:
        own_names = (self._dialect.api_key, self._dialect.tenant)
        headers = [pair for pair in request.headers if pair[0] not in own_names]
        if tenant is not None:
            headers.append((self._dialect.tenant, tenant.name.encode()))
        return headers

    def _refusal_kind(self, relayed: RelayedRequest | None) -> ErrorKind:
        """Return the kind of a refusal for want of a tenant.

        The entry that relayed a request admitted it, by another configuration than
        this one's.
        """
        if relayed is None and self._view.is_state_current():
            return ErrorKind.UNAUTHORIZED
        return ErrorKind.NOT_CONFIRMED
