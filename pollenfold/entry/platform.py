"""The platform port: health, announcements and the status for operators."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

from ..core.errors import ErrorKind
from ..http.messages import Request, Response, error_response, json_response

HEALTH_PATH = "/healthz"
STATUS_PATH = "/v1/status"
ANNOUNCEMENTS_PATH = "/v1/announcements"


class PlatformInterface:
    """Handles requests of the platform's balancer, backend servers and operators.

    ``unhealthy_kind`` returns why the entry accepts no new requests, or None.
    """

    def __init__(
        self,
        unhealthy_kind: Callable[[], ErrorKind | None],
        announce: Callable[[Request], Awaitable[Response]],
        status: Callable[[], dict[str, Any]],
        token: str,
    ) -> None:
        self._unhealthy_kind = unhealthy_kind
        self._announce = announce
        self._status = status
        self._authorization = f"Bearer {token}".encode()

    async def handle(self, request: Request) -> Response:
        """Handle one request on the platform port."""
        path = request.path
        if path == HEALTH_PATH:
            kind = self._unhealthy_kind()
            if kind is not None:
                return error_response(kind)
            return json_response(200, {"status": "healthy"})
        if path == ANNOUNCEMENTS_PATH:
            return await self._announce(request)
        if path != STATUS_PATH:
            return error_response(ErrorKind.NOT_FOUND)
        authorization = request.header(b"authorization") or b""
        if not hmac.compare_digest(authorization, self._authorization):
            return error_response(ErrorKind.UNAUTHORIZED)
        return json_response(200, self._status())
