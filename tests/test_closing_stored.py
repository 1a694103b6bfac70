"""Shutdown of a process that stores data or shares its socket: it waits for no work that may be dropped."""

import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from platform_process import ROOT, line_with, write_configuration
from test_closing_late import PRINTS_LOOP_CLOSE

STOP_S = 0.5
READING_S = 20.0

# Program that runs a node; each read of the inventory after the one at the start takes READING_S seconds.
SLOW_READING = f"""
import runpy, sys, time
from beechrock.inventory import reader
def read_apart(*arguments):
    print("reading", file=sys.stderr, flush=True)
    time.sleep({READING_S})
reader.read_apart = read_apart
runpy.run_module("beechrock", run_name="__main__")
"""


def operators_file(folder: Path, inventory: bool) -> Path:
    """Write the operator's file of a node with a trace recorder and, if ``inventory``, an inventory."""
    text = f'[trace]\nenabled = true\nfolder = "{folder}/traces"\n'
    if inventory:
        content = re.sub(
            r"127\.0\.0\.1:9\d+", "127.0.0.1:1", (ROOT / "deploy" / "inventory.yaml").read_text()
        )
        content = content.replace('["127.0.0.1:1", "127.0.0.1:1"]', '["127.0.0.1:1"]')
        (folder / "i.yaml").write_text(content)
        text = f'enabled = true\nlisten = "127.0.0.1:0"\ninventory = "{folder}/i.yaml"\n' + text
    path = folder / "operator.toml"
    path.write_text(text)
    return path


def start(folder: Path, program: str, inventory: bool, **environment: str) -> "subprocess.Popen[str]":
    configuration = write_configuration(folder, stop_ms=round(1000 * STOP_S))
    return subprocess.Popen(
        [sys.executable, "-c", program],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={
            **os.environ,
            "LB_CONFIG": str(configuration),
            "LB_SCGI": str(operators_file(folder, inventory)),
            "TMPDIR": str(folder),
            **environment,
        },
        pass_fds=[int(environment["LB_LISTEN_FD"])] if "LB_LISTEN_FD" in environment else [],
    )


@pytest.mark.parametrize("kind", ["recorded", "with an inventory", "on a shared socket"])
def test_a_process_that_stores_or_shares_ends_without_the_teardown_of_its_event_loop(
    folder: Path, kind: str
) -> None:
    """Beside ten busy processes on each core the teardown took so long that the process was killed first."""
    with socket.create_server(("127.0.0.1", 0)) as shared:
        environment = {"LB_LISTEN_FD": str(shared.fileno())} if kind == "on a shared socket" else {}
        with start(folder, PRINTS_LOOP_CLOSE, kind == "with an inventory", **environment) as process:
            try:
                line_with(process, "frames on")
                process.send_signal(signal.SIGTERM)
                out, log = process.communicate(timeout=30)
                assert process.returncode == 0 and out == ""
                assert "counters: " in log  # the last lines of the log are written
            finally:
                process.kill()
    assert list((folder / "traces").iterdir())  # the trace file exists


def test_a_read_of_the_inventory_in_progress_does_not_delay_the_exit(folder: Path) -> None:
    """The exit once waited for the read, 3.3 s on an idle machine, and the process was killed first."""
    with start(folder, SLOW_READING, inventory=True) as process:
        try:
            line_with(process, "reading")
            process.send_signal(signal.SIGTERM)
            left_at = time.monotonic()
            process.communicate(timeout=2 * READING_S)
            assert process.returncode == 0
            assert time.monotonic() - left_at < READING_S / 2
            assert not list(folder.glob("beechrock-*")), "a temporary folder of this process is left"
        finally:
            process.kill()


# Program that runs a node, and prints a line as its recorder begins to write and as it begins to finish.
PRINTS_WRITES = """
import runpy
from beechrock.trace.recorder import Recorder
write, finish = Recorder.write, Recorder.finish
Recorder.write = lambda self: (print("write", flush=True), write(self))[1]
Recorder.finish = lambda self: (print("finish", flush=True), finish(self))[1]
runpy.run_module("beechrock", run_name="__main__")
"""


def test_the_trace_is_written_when_the_shutdown_begins_so_that_little_is_left_for_the_end(
    folder: Path,
) -> None:
    """The first write, which creates a file, took 130 ms of the shutdown's end on a busy machine."""
    with start(folder, PRINTS_WRITES, inventory=False) as process:
        try:
            line_with(process, "frames on")
            process.send_signal(signal.SIGTERM)
            out, _ = process.communicate(timeout=30)
            assert process.returncode == 0 and out.split() == ["write", "finish"]
        finally:
            process.kill()
