"""Codec of SCGI: encodes and decodes requests and replies, and holds the names of their headers. No I/O."""

MAX_HEADER_BYTES = 16_384
ENTITY_HEADER = "HTTP_X_ENTITY"
GENERATION_HEADER = "HTTP_X_GENERATION"
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
LENGTH_HEADER = "CONTENT_LENGTH"
MIRROR_HEADER = "HTTP_X_MIRROR"
PATH_HEADER = "PATH_INFO"
PRIORITY_HEADER = "HTTP_X_PRIORITY"
RETRY_HEADER = "HTTP_X_RETRY"
ROUTE_HEADER = "HTTP_X_ROUTE"
TEAM_HEADER = "HTTP_X_TEAM"
TRACE_HEADER = "HTTP_X_TRACE"
Headers = dict[str, str]


class ScgiError(Exception):
    """An invalid request or reply; ``status`` is the status to answer with."""

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


def decode_headers(block: bytes) -> dict[str, str]:
    """Decode the headers of a request: CONTENT_LENGTH must be first, and SCGI be 1. Raises ScgiError."""
    if not block.endswith(b"\0"):
        raise ScgiError(400, "headers do not end in a null byte")
    parts = block[:-1].decode("latin-1").split("\0")
    if len(parts) % 2:
        raise ScgiError(400, "a header has no value")
    names, values = parts[::2], parts[1::2]
    if names[0] != LENGTH_HEADER or not (values[0].isascii() and values[0].isdigit()):
        raise ScgiError(400, "CONTENT_LENGTH is not first, or no number")
    found = dict(zip(names, values, strict=True))
    if len(found) < len(names):
        raise ScgiError(400, "a header stands twice")
    if found.get("SCGI") != "1":
        raise ScgiError(400, "SCGI is not 1")
    return found


def parse_generation(text: str) -> int:
    """Parse the generation of the routing policy by which another node forwarded the request.

    Returns -1 if that node had no plan, and 0 if no node forwarded the request.
    """
    if text == "-1":
        return -1
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0


def request_bytes(headers: dict[str, str], body: bytes) -> bytes:
    """Return the wire format of a request."""
    all_headers = {LENGTH_HEADER: str(len(body)), "SCGI": "1", **headers}
    block = "".join(f"{name}\0{value}\0" for name, value in all_headers.items()).encode("latin-1", "replace")
    return f"{len(block)}:".encode() + block + b"," + body


def parse_reply(data: bytes) -> tuple[int, str, bytes]:
    """Return the status, media type and body of a complete reply. Raises ScgiError."""
    status, headers, body = decode_reply(data)
    return status, headers.get("content-type", ""), body


def decode_reply(data: bytes) -> tuple[int, Headers, bytes]:
    """Return the status, headers (names in lower case) and body of a complete reply. Raises ScgiError.

    As in CGI, the status is 200 if there is no ``Status:`` header.
    """
    head, gap, body = data.partition(b"\r\n\r\n")
    if not gap:
        head, gap, body = data.partition(b"\n\n")
    if not gap or len(head) > MAX_HEADER_BYTES:
        raise ScgiError(502, "a reply without an end of its headers")
    headers = {}
    for line in head.decode("latin-1").splitlines():
        name, colon, value = line.partition(":")
        if not colon:
            raise ScgiError(502, "a reply's header has no colon")
        headers[name.strip().lower()] = value.strip()
    length = headers.get("content-length", str(len(body)))
    status = headers.get("status", "200")[:3]
    if length != str(len(body)) or not (status.isascii() and status.isdigit()):
        raise ScgiError(502, "a reply that is cut off, or has no status")
    return int(status), headers, body


def server_status(status: int, headers: Headers, steered: bool) -> int:
    """Return the status that a server gave, -1 if no server was reached, or 0 if that is unknown.

    ``steered`` is whether the reply came from another node. That node's own error must not be taken for a
    refusal by the service, which would end a write.
    """
    if not steered or 200 <= status < 300:
        return status
    if 400 <= status < 500 or status == 503:  # a node answers so for a request that never ran
        return -1
    status_text = headers.get("x-replied", "")
    return int(status_text) if status_text.removeprefix("-").isdigit() else 0
