"""Base class of all errors that reach an operator: problem, place, expected value, and remedy.

Each part defines its own types in its ``errors.py``; the type sets the exit code and the log event.
"""

from typing import Any, ClassVar


class OperatorError(Exception):
    """Error with the problem ``what``, its place ``where``, the value ``wanted`` there and the remedy ``do``.

    The place is a file, line, key, node, duty, edge or rule.
    """

    exit_code: ClassVar[int] = 2  # exit code of a process that the error ends
    event: ClassVar[str] = "error"  # name of the log event that reports the error

    def __init__(self, what: str, *, where: str = "", wanted: str = "", do: str = "") -> None:
        self.what, self.where, self.wanted, self.do = what, where, wanted, do
        super().__init__(what)

    def __str__(self) -> str:
        text = f"{self.where}: {self.what}" if self.where else self.what
        if self.wanted:
            text += f"; wanted: {self.wanted}"
        return f"{text}; {self.do}" if self.do else text

    def fields(self) -> dict[str, Any]:
        """Return the fields of a structured log line, without empty ones."""
        parts = {"what": self.what, "where": self.where, "wanted": self.wanted, "do": self.do}
        return {"error": type(self).__name__, **{key: value for key, value in parts.items() if value}}


class MissingLibraryError(OperatorError):
    """A library that only some parts need is not installed."""

    event: ClassVar[str] = "library.missing"
