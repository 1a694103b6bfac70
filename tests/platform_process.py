"""Starts a whole node in a process of its own, as the platform does."""

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
    """Return the configuration that the platform writes for a node; no agent listens at its address."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "agent": "127.0.0.1:1",
        "seed": "1",
        "stop_ms": stop_ms,
        "settings": SETTINGS,
    }


def write_configuration(folder: Path, stop_ms: int) -> Path:
    """Write a platform configuration into a folder, and return the path of the file."""
    path = folder / "config.json"
    path.write_text(ujson.dumps(platform_configuration(stop_ms)))
    return path


def start_node(configuration: Path, *command: str, **options: Any) -> "subprocess.Popen[str]":
    """Start a node, or the interpreter with the arguments ``command``; its standard error is piped."""
    return subprocess.Popen(
        [sys.executable, *(command or ("-m", "beechrock"))],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(configuration)},
        **options,
    )


def line_with(node: "subprocess.Popen[str]", text: str) -> str:
    """Return the next line of the log that contains ``text``; other lines before it are skipped."""
    assert node.stderr is not None
    while line := node.stderr.readline():
        if text in line:
            return line
    raise AssertionError(f"the log ended without {text!r}")


def frames_address(node: "subprocess.Popen[str]") -> tuple[str, int]:
    """Wait until a node that was just started listens for frames, and return its address."""
    found = re.search(r"frames on 127\.0\.0\.1:(\d+)", line_with(node, "frames on"))
    assert found is not None
    return "127.0.0.1", int(found[1])
