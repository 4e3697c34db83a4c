"""Status lines of responses, valid and invalid ones, for the tests of all readers."""

INVALID_STATUS_LINES = [
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 101 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 +00 X",
    b"HTTP/1.1 -20 X",
    b"HTTP/1.1 2 00 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2000 X",
    "HTTP/1.1 ２００ X".encode(),
    "HTTP/1.1 ٢٠٠ X".encode(),
    b"HTTP/1.1  200 X",
    b"HTTP/1.1 X",
    b"HTTP/1.1",
    b"HTTP/0.9 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/9.9 200 X",
    b"HTTP/1 200 X",
    b"HTTP/1.11 200 X",
    b"HTP/1.1 200 X",
]

VALID_STATUS_LINES = [
    (b"HTTP/1.1 200 X", 200),
    (b"HTTP/1.1 200 ", 200),
    (b"HTTP/1.1 200", 200),
    (b"HTTP/1.0 200 X", 200),
    (b"HTTP/1.1 299 X", 299),
    (b"HTTP/1.1 399 X", 399),
    (b"HTTP/1.1 499 X", 499),
    (b"HTTP/1.1 599 X", 599),
]


def signed_head(status_line, *headers):
    """Return the signed head of a response without a body."""
    lines = [status_line, b"x-request-id: q1", b"x-response-signature: s"]
    return b"\r\n".join([*lines, b"content-length: 0", *headers, b"", b""])
