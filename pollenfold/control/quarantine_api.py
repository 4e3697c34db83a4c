"""The operator's view of quarantined requests, on the metrics address of control.

``GET /quarantine`` lists them with the servers that ended; ``DELETE
/quarantine/DIGEST`` releases one on all entries.
"""

from __future__ import annotations

from ..core.errors import ErrorKind
from ..http.messages import Request, Response, error_response, json_response
from .cluster_state import ClusterState

QUARANTINE_PATH = "/quarantine"


def handle_quarantine(cluster_state: ClusterState, request: Request) -> Response:
    """List the quarantined requests, or release one."""
    quarantine = cluster_state.quarantine
    digest = request.path.removeprefix(QUARANTINE_PATH).removeprefix("/")
    if request.method == b"GET" and not digest:
        requests = [
            {"digest": digest, "endpoints": quarantine.ended_endpoint_ids(digest)}
            for digest in quarantine.quarantined_digests()
        ]
        return json_response(200, {"requests": requests})
    if request.method == b"DELETE" and cluster_state.release_request(digest):
        return json_response(200, {"released": digest})
    return error_response(ErrorKind.NOT_FOUND, request.path)
