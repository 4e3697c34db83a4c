"""The digest that identifies the same request in another attempt of any caller."""

from __future__ import annotations

from ..core.tenancy.tenants import Tenant
from ..http.messages import Request
from .dialect import Dialect

try:
    # hashlib loads OpenSSL, which takes 3.6 MB in each entry.
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

DIGEST_BYTES = 16
MAX_PREFIX_BYTES = 64 * 1024
"""How much of a body that is still arriving identifies the request, with its length."""


def request_digest(
    request: Request, dialect: Dialect, tenant: Tenant | None = None
) -> str:
    """Return the digest of method, host, target, credentials and body as hex digits.

    It is cryptographic, so that no caller can make a request of its own take the digest
    of another one's. The caller's address isn't part of it: the same request may come
    from anywhere. A body that is still arriving counts with its first part and its
    announced length.

    Peers and the log get the digest. It isn't keyed, so a weak key could be guessed
    from it: the name of a tenant stands for its key, which is no longer in the headers.
    """
    is_partial = request.read_remaining_body is not None
    parts = [
        request.method,
        request.target,
        request.header(b"host") or b"",
        *(request.header(name) or b"" for name in dialect.credentials),
        b"partial" if is_partial else b"complete",
        (request.header(b"content-length") or b"") if is_partial else b"",
        request.body[:MAX_PREFIX_BYTES] if is_partial else request.body,
    ]
    if tenant is not None:
        parts.append(tenant.name.encode())
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(b"%d:" % len(part))
        state.update(part)
    return str(state.hexdigest())
