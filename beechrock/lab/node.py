"""A whole node as an operator starts it, in a process of its own: for measurements."""

import asyncio
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

from beechrock.lab.errors import NotStartedError

STOP_S = 30.0


class Node:
    """``async with Node(folder, text)``: a node by an operator's file with this text, listening for SCGI."""

    def __init__(self, folder: Path, text: str) -> None:
        self.log, self.file = folder / "log", folder / "scgi.toml"
        self.file.write_text('enabled = true\nlisten = "127.0.0.1:0"\n' + text)
        self.address = ("127.0.0.1", 0)

    async def __aenter__(self) -> "Node":
        told = {**os.environ, "LB_SCGI": str(self.file), "LB_CONFIG": ""}
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "beechrock"],
                stderr=out,
                env=told,
                cwd=Path(__file__).parent.parent.parent,
            )
        while not (found := re.search(r"SCGI on 127\.0\.0\.1:(\d+)", self.log.read_text())):
            if self.process.poll() is not None:
                raise NotStartedError(self.log.read_text(), where=str(self.log))
            await asyncio.sleep(0.05)
        self.address = ("127.0.0.1", int(found[1]))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(self.process.wait, STOP_S)

    def counter(self, name: str) -> float:
        """A counter as the node told it when it ended; 0 if it did not."""
        return float((re.findall(rf"{re.escape(name)} ([\d.]+)", self.log.read_text()) or ["0"])[-1])
