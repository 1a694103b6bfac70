"""A whole node in a process of its own, started as the platform does."""

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import ujson
from play import SETTINGS

ROOT = Path(__file__).parent.parent


def platform_configuration(stop_ms: int) -> dict[str, Any]:
    """Return what the platform writes for a node whose agent is not there."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "agent": "127.0.0.1:1",
        "seed": "1",
        "stop_ms": stop_ms,
        "settings": SETTINGS,
    }


def write_configuration(folder: Path, stop_ms: int) -> Path:
    """Write such a configuration into a folder, and return the file."""
    path = folder / "config.json"
    path.write_text(ujson.dumps(platform_configuration(stop_ms)))
    return path


def start_node(configuration: Path, *command: str, **options: Any) -> "subprocess.Popen[str]":
    """Start a node, or ``command`` of the interpreter's arguments in its place; its log is piped."""
    return subprocess.Popen(
        [sys.executable, *(command or ("-m", "beechrock"))],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(configuration)},
        **options,
    )


def line_with(node: "subprocess.Popen[str]", words: str) -> str:
    """The next line of the log that has these words; others may come between, as nothing else is quiet."""
    assert node.stderr is not None
    while line := node.stderr.readline():
        if words in line:
            return line
    raise AssertionError(f"the log ended without {words!r}")


def frames_address(node: "subprocess.Popen[str]") -> tuple[str, int]:
    """Wait until a node that was just started listens for frames, and return where."""
    found = re.search(r"frames on 127\.0\.0\.1:(\d+)", line_with(node, "frames on"))
    assert found is not None
    return "127.0.0.1", int(found[1])
