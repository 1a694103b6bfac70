"""The command: without arguments one real api node, with some the command line for operators."""

import sys

if __name__ == "__main__":
    # asyncio and hashlib bring OpenSSL where they find it. Nothing here speaks TLS, and a small node may have
    # to hold two processes: without it a started one is 4.5 MB smaller (1.3 MB of that shared with nobody).
    for name in ("ssl", "_hashlib"):
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]

from beechrock import logs
from beechrock.errors import MissingLibraryError
from beechrock.start import end_process, serve_from_environment


def main() -> int:
    """Without arguments a node is run; with some, the command line for operators."""
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
