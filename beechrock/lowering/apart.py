"""Runs the compile in a child process: its CPU time and the solver's memory would burden the node's loop."""

import asyncio
import os
import sys
from pathlib import Path

COMPILE_S = 120.0  # Timeout of a compile, in seconds
MAX_MESSAGE = 1000  # Maximum number of characters kept from the end of the error output


async def compile_in_process(inventory: Path, target: Path) -> tuple[bytes | None, str]:
    """Return the plan's bytes and the digest of its inventory, or None and the error output.

    The inventory files may be newer than the inventory in force at this node. Raises OSError if the process
    can't be started or the plan can't be read, and TimeoutError after COMPILE_S seconds.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "beechrock",
        "policy",
        "compile",
        str(inventory),
        "--to",
        str(target),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: os.nice(5),
    )
    try:
        async with asyncio.timeout(COMPILE_S):
            stdout, stderr = await process.communicate()
    except (TimeoutError, asyncio.CancelledError):
        process.kill()
        raise
    if process.returncode:
        return None, stderr.decode(errors="replace").strip()[-MAX_MESSAGE:]
    return await asyncio.to_thread(target.read_bytes), stdout.decode().split()[-1]
