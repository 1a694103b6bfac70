"""SCGI replies: a status, headers and a body, and the encoding of an answer as such a reply."""

import math
from dataclasses import dataclass

from beechrock.core.requests import Answer, Verdict

REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Reply:
    """One reply to an SCGI caller."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self) -> bytes:
        """Return the wire format of the reply."""
        media = () if any(k == "Content-Type" for k, _ in self.headers) else (("Content-Type", "text/plain"),)
        lines = [f"Status: {self.status} {REASONS.get(self.status, 'Unknown')}"]
        lines += [f"{k}: {v}" for k, v in (*media, *self.headers, ("Content-Length", str(len(self.body))))]
        return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + self.body


def reply_to(answer: Answer) -> Reply:
    """Return the SCGI reply for an answer to a request."""
    headers: tuple[tuple[str, str], ...] = ()
    if answer.advice is not None:
        headers = (("X-Advice", f"{answer.advice:.4f}"),)
    if answer.verdict is Verdict.SERVED:
        media = answer.media or "application/octet-stream"
        return Reply(200, answer.body, (("Content-Type", media), *headers))
    if answer.verdict is Verdict.FAILED:
        return Reply(500, answer.body or b"failed\n", headers)
    if answer.retry_after_s:
        # Retry-After allows whole seconds only, too coarse for short delays; X-Retry-After-Ms is exact.
        headers += (
            ("Retry-After", str(math.ceil(answer.retry_after_s))),
            ("X-Retry-After-Ms", str(max(1, round(1000 * answer.retry_after_s)))),
        )
    if answer.no_retry:
        headers += (("X-Retry-Elsewhere", "no"),)
    return Reply(503, answer.body or b"turned away; it never ran\n", headers)
