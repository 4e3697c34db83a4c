"""The health requests to endpoints, encoded once for each endpoint and path."""

from __future__ import annotations

from .dialect import Dialect
from .endpoint import Endpoint
from .outgoing import OutgoingRequest, outgoing_request
from .view import FleetView

DEFAULT_HEALTH_PATH = "/healthz"


class HealthRequests:
    """Builds and keeps the health requests to endpoints."""

    def __init__(self, view: FleetView, dialect: Dialect) -> None:
        self._view = view
        self._dialect = dialect
        self._requests: dict[tuple[str, str], OutgoingRequest] = {}

    def get(self, endpoint: Endpoint) -> OutgoingRequest:
        """Return the health request to an endpoint."""
        announcement = endpoint.announcement
        configuration = self._view.configuration
        services = {} if configuration is None else configuration.services
        known = services.get(announcement.service)
        path = DEFAULT_HEALTH_PATH if known is None else known.health_path
        key = (announcement.endpoint_id, path)
        request = self._requests.get(key)
        if request is None:
            host = announcement.address.encode()
            instance = announcement.endpoint_id.encode()
            headers = [(b"host", host), (self._dialect.expected_instance, instance)]
            request = outgoing_request(b"GET", path.encode(), headers, b"")
            self._requests[key] = request
        return request

    def forget_absent(self) -> None:
        """Drop the requests to endpoints that are no longer known."""
        known = self._view.endpoints
        self._requests = {k: v for k, v in self._requests.items() if k[0] in known}
