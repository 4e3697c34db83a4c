"""The labels of the metrics of requests."""

from __future__ import annotations

from ..observe.exposition import OTHER, BoundedLabel

MAX_ROUTE_SERIES = 100
"""How many routes, or pairs of a route and a tenant, have metrics of their own. Each
has 18 lines in the metrics page, which is rendered in one step."""

MAX_TENANT_SERIES = 100
"""How many tenants have metrics of their own."""


class RequestLabels:
    """Limits the series of routes and tenants."""

    def __init__(self) -> None:
        self._routes = BoundedLabel(MAX_ROUTE_SERIES)
        self._tenants = BoundedLabel(MAX_TENANT_SERIES)

    def get(self, route: str, tenant: str | None) -> dict[str, str]:
        """Return the labels of a request; a tenant of None gets no label.

        With tenants, the pairs of both are limited. Further pairs share the series of
        their tenant, so that the sums by tenant stay right.
        """
        if tenant is None:
            return {"route": self._routes.get(route)}
        pair = f"{route}\n{tenant}"
        is_own_series = self._routes.get(pair) == pair
        label = self._tenants.get(tenant)
        if label == OTHER or not is_own_series:
            route = OTHER
        return {"route": route, "tenant": label}
