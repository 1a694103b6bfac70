"""Connections with a line protocol, in which a line may be followed by a body."""

from beechrock.core.counters import Counters
from beechrock.net.connection import BadInputError, ConnectionActor, T


class LineConnection(ConnectionActor[T]):
    """A connection with a protocol of lines of fields.

    A line may be followed by a body, whose length in bytes is the line's last field.
    """

    max_line_bytes, max_body_bytes = 4096, 1 << 20

    def __init__(self, counters: Counters, max_out_bytes: int, mailbox: int) -> None:
        super().__init__(counters, self.max_line_bytes + self.max_body_bytes + 4, max_out_bytes, mailbox)
        # Fields of a line, and the length of its body, while the body has not arrived completely.
        self._waiting: tuple[list[str], int] | None = None

    def has_body(self, fields: list[str]) -> bool:
        """Return whether a body follows the line; its length in bytes is the last field."""
        raise NotImplementedError

    def receive_line(self, fields: list[str], body: bytes) -> None:
        """Handle a line and its body. Raises BadInputError."""
        raise NotImplementedError

    def parse(self) -> None:
        """Handle all complete lines with their bodies. Raises BadInputError."""
        while not self.closing:
            if self._waiting is None:
                line = self.inbox.line(self.max_line_bytes)
                if line is None:
                    return
                fields = line.decode("utf-8", "replace").split(" ")
                if not self.has_body(fields):
                    self.receive_line(fields, b"")
                    continue
                if (
                    not (fields[-1].isascii() and fields[-1].isdigit())
                    or int(fields[-1]) > self.max_body_bytes
                ):
                    raise BadInputError(f"a length of {fields[-1][:20]!r}")
                self._waiting = fields, int(fields[-1])
            fields, size = self._waiting
            if len(self.inbox) < size + 2:
                return
            body = self.inbox.read(size)
            if self.inbox.read(2) != b"\r\n":
                raise BadInputError("a body that is longer or shorter than its line says")
            self._waiting = None
            self.receive_line(fields, body)
