"""Entry point: runs one API node without arguments, the operators' command line with arguments."""

import sys

if __name__ == "__main__":
    # asyncio and hashlib import OpenSSL if they find it. beechrock uses no TLS, and a small node may have to
    # hold two processes: without OpenSSL a started process is 4.5 MB smaller (1.3 MB of it private memory).
    for name in ("ssl", "_hashlib"):
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]

from beechrock import logs
from beechrock.errors import MissingLibraryError
from beechrock.start import end_process, serve_from_environment


def main() -> int:
    """Run a node, or the operators' command line if there are arguments; return the exit code."""
    if len(sys.argv) < 2:
        end_process(serve_from_environment())
    try:
        from beechrock.cli.main import main as commands
    except ImportError as error:
        return logs.stopped_by(
            MissingLibraryError(f"commands need {error.name}", do="pip install 'beechrock[broker]'")
        )
    commands()
    return 0


if __name__ == "__main__":
    sys.exit(main())
