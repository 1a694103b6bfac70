"""One node's folder, its processes one after another, and what they logged."""

import asyncio
import json
import os
import re
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from beechrock.lab.fleet.errors import LabError

ROOT = Path(__file__).parent.parent.parent.parent
START_S, END_S = 150.0, 30.0
INVENTORY = """
teams: {hosts: {a: {}}}
services: {hosts: {s: {upstreams: ["127.0.0.1:9"]}}}
contracts: {hosts: {a-s: {team: a, service: s, share: 1, rate: 9, aim_ms: 500, due_ms: 2000, effect: safe}}}
all: {vars: {cores: 1, memory_mb: 8}}
"""


def toml(value: Any) -> str:
    """A value in the operator's file; tables in one line."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)} = {toml(v)}" for key, v in value.items()) + "}"
    return "[" + ", ".join(map(toml, value)) + "]" if isinstance(value, (list, tuple)) else json.dumps(value)


class Process:
    """A node; ``state`` is its folder for all that lasts."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder, self.name, self.state = folder, name, folder / "state"
        folder.mkdir(parents=True, exist_ok=True)
        self.popen: subprocess.Popen[bytes] | None = None
        self.logs: list[Path] = []
        self.read_to: dict[Path, int] = {}
        self.seen: list[dict[str, Any]] = []
        self.stopped = False

    @property
    def up(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    @property
    def pid(self) -> int:
        return self.popen.pid if self.popen is not None else 0

    def begin(
        self,
        tables: dict[str, Any],
        environ: dict[str, str],
        program: list[str] | None = None,
    ) -> None:
        """Write the operator's file and start; not up yet when it returns."""
        own = {key: value for key, value in tables.items() if not isinstance(value, dict)}
        lines = [f"{key} = {toml(value)}" for key, value in own.items()]
        for name, table in tables.items():
            if isinstance(table, dict):
                lines.append(f"[{name}]")
                lines += [f"{json.dumps(key)} = {toml(value)}" for key, value in table.items()]
        (self.folder / "scgi.toml").write_text("\n".join(lines) + "\n")
        told = {
            **os.environ,
            "LB_SCGI": str(self.folder / "scgi.toml"),
            "LB_CONFIG": "",
            "LB_NAME": self.name,
            "LB_ADMIN_ADDR": "127.0.0.1:0",
            **environ,
        }
        self.logs.append(self.folder / f"log-{len(self.logs) + 1}")
        with self.logs[-1].open("wb") as out:
            self.popen = subprocess.Popen(
                program or [sys.executable, "-m", "beechrock"], stderr=out, stdout=out, env=told, cwd=ROOT
            )
        self.stopped = False

    async def came_up(self) -> None:
        """LabError if it ends, or never says that it listens."""
        for _ in range(int(START_S / 0.02)):
            if "SCGI on" in self.logs[-1].read_text():
                return
            if not self.up:
                break
            await asyncio.sleep(0.02)
        raise LabError(f"{self.name} did not come up:\n{self.logs[-1].read_text()}")

    def send(self, number: signal.Signals) -> None:
        if self.up and self.popen is not None:
            self.popen.send_signal(number)
            self.stopped = number is signal.SIGSTOP or (self.stopped and number is not signal.SIGCONT)

    async def end(self, number: signal.Signals) -> int:
        """Its exit code, or minus the signal that ended it."""
        assert self.popen is not None
        self.send(number)
        return await asyncio.to_thread(self.popen.wait, END_S)

    def address(self, what: str) -> tuple[str, int]:
        """Of ``SCGI on`` or the ``second address``, as its newest process told."""
        found = re.findall(rf"{what} (127\.0\.0\.1):(\d+)", self.logs[-1].read_text() if self.logs else "")
        if not found:
            raise LabError(f"{self.name}: {what} nowhere")
        return found[-1][0], int(found[-1][1])

    def text(self) -> str:
        """All that its processes wrote."""
        return "".join(log.read_text() for log in self.logs)

    def events(self) -> list[dict[str, Any]]:
        """Of all its processes, in order; each with ``node`` and ``run`` (of its processes, from 1)."""
        for run, log in enumerate(self.logs, 1):
            with log.open("rb") as file:
                file.seek(self.read_to.get(log, 0))
                new = file.read()
            whole = new[: new.rfind(b"\n") + 1]  # the last line may be half written
            self.read_to[log] = self.read_to.get(log, 0) + len(whole)
            for line in whole.splitlines():
                if line.startswith(b"{"):
                    self.seen.append({**json.loads(line), "node": self.name, "run": run})
        return self.seen

    def save_copy(self, tag: str = "copy") -> None:
        """Of its state as it is on disk now; best while it is stopped or down."""
        target = self.folder / f"state.{tag}"
        shutil.rmtree(target, ignore_errors=True)
        if self.state.exists():
            shutil.copytree(self.state, target)

    def restore_copy(self, tag: str = "copy") -> None:
        """Its state is the older one, as after a restore from a backup; an unknown tag: none."""
        if self.up:
            raise LabError(f"{self.name} is up, and its folder in use")
        shutil.rmtree(self.state, ignore_errors=True)
        if (self.folder / f"state.{tag}").exists():
            shutil.copytree(self.folder / f"state.{tag}", self.state)
