"""Logs: plain lines on platform nodes, structlog's text or JSON lines on nodes that serve an inventory."""

import logging
import select
import sys
from typing import Any

from beechrock.errors import OperatorError

LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"
# Most characters in one write: they are at most PIPE_BUF bytes, which a pipe that poll(2) reports as writable
# takes at once.
MAX_WRITE_CHARS = 1024
log = logging.getLogger("beechrock")
_structured: Any = None
_lines_are_json = False


class NonBlockingHandler(logging.StreamHandler[Any]):
    """Writes log lines without blocking; lines that the stream does not take at once are dropped and counted.

    A blocking write to a pipe that nobody reads would stop the node, with all that it holds.
    """

    dropped = 0  # lines dropped since the last line that was written whole

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of ``record``, or drop and count it."""
        try:
            text = self.format(record) + self.terminator
            if self.dropped:
                text = f"{self.dropped} log lines were dropped, as nobody read them\n{text}"
            for start in range(0, len(text), MAX_WRITE_CHARS):
                if not self._takes_more():
                    self.dropped += 1
                    return
                self.stream.write(text[start : start + MAX_WRITE_CHARS])
                self.stream.flush()
            self.dropped = 0
        except Exception:  # any error, like the base class: a log line must not end the program
            self.handleError(record)

    def _takes_more(self) -> bool:
        """Return whether a write would not block; a write that would fail does not block either."""
        poller = select.poll()
        poller.register(self.stream, select.POLLOUT)
        return bool(poller.poll(0))


def set_up(form: str = "") -> None:
    """Configure logging: ``form`` is empty for plain lines without structlog, else ``text`` or ``json``."""
    global _structured, _lines_are_json
    if not form:
        logging.basicConfig(handlers=[NonBlockingHandler(sys.stderr)], level=logging.INFO, format=LINE_FORMAT)
        return
    import structlog  # imported only if used, to save memory

    shared_processors: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    handler = NonBlockingHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared_processors,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    structlog.configure(
        processors=[*shared_processors, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    _structured, _lines_are_json = structlog.get_logger("beechrock"), form == "json"


def event(name: str, /, level: str = "info", **fields: Any) -> None:
    """Log one event with its fields, in the configured form."""
    if _structured is not None:
        getattr(_structured, level)(name, **fields)
        return
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    log.log(logging.getLevelNamesMapping()[level.upper()], "%s %s", name, text)


def stopped_by(error: OperatorError, program: str = "beechrock") -> int:
    """Report the error that ends the program on standard error, and return its exit code."""
    if _lines_are_json:  # readers of JSON logs must find nothing else on standard error
        event(error.event, "error", **error.fields())
    else:
        print(f"{program}: {error}", file=sys.stderr)
    return error.exit_code
