"""The signature of an endpoint on final responses, whatever came before them."""

from itertools import product

import pytest

from pollenfold.http.messages import find_header
from pollenfold.tests.gateway.conftest import Backend, signed_response

SIGNED = b"x-response-signature: s\r\n"

RESPONSES = {
    "success": signed_response(200),
    "created": signed_response(201, b"made"),
    "unsigned": signed_response(200).replace(SIGNED, b""),
    "encoded": signed_response(200, b"whole", b"q1", b"content-encoding: gzip"),
    "truncated": signed_response(200)[:-2],
    "out_of_range": signed_response(999),
    "no_response": b"no response\r\n\r\n",
    "failed": signed_response(500, b"broken"),
    "full": signed_response(503, b"full"),
    "refused": signed_response(503, b"", b"q1", b"x-not-executed: 1"),
    "other_instance": signed_response(421, b"", b"q1", b"x-not-executed: 1"),
    "not_found": signed_response(404, b"absent"),
    "moved": signed_response(302, b"", b"q1", b"location: /y"),
    "other_id": signed_response(200, b"other", b"q2"),
    "reset": None,
}
INVALID = {"unsigned", "encoded", "truncated", "out_of_range", "no_response"}
NOT_PASSED_ON = INVALID | {"refused", "other_instance", "other_id", "reset"}


def parts(data):
    """Return status, signature and body of a response that was sent."""
    head, _, body = (data or b"").partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head.startswith(b"HTTP/1.1 ") else 0
    return status, b"s" if SIGNED in head + b"\r\n" else None, body


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(("first", "second"), [*product(RESPONSES, RESPONSES)])
def test_signature_stays_with_the_response_of_its_endpoint(
    with_path, first, second, is_idempotent
):
    """Guards against a failure of ours with an endpoint's signature, a success without
    one, and the signature of one response beside the status or body of another."""
    sent = []

    def respond(data):
        sent.append((first, second)[min(len(sent), 1)])
        return RESPONSES[sent[-1]]

    async def body(path, *backends):
        response = await path.get(b"GET" if is_idempotent else b"POST")
        signature = find_header(response.headers, b"x-response-signature")
        given = [parts(RESPONSES[n]) for n in sent if n not in NOT_PASSED_ON]
        if signature is not None or response.status < 300:
            assert (response.status, signature, response.body) in given
        if response.status < 300:
            assert signature == b"s"

    backends = [Backend(name, respond) for name in ("one", "two")]
    for backend in backends:
        backend.closes_after_response = True
    with_path(
        body,
        *backends,
        is_idempotent=is_idempotent,
        timeout_ms=120.0,
        target_latency_ms=60.0,
    )
