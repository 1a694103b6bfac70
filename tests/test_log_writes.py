"""A node whose standard error takes no lines still serves and exits as usual."""

import fcntl
import logging
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest
import ujson
from platform_process import ROOT
from play import SETTINGS
from test_program import CHECK, receive_message

from beechrock.logs import NonBlockingHandler


def full_pipe(flags: int) -> tuple[int, int]:
    """Return both ends of a full pipe; ``flags`` are then the status flags of its writing end."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETFL, os.O_NONBLOCK)
    try:
        while True:
            os.write(writing, bytes(4096))
    except BlockingIOError:
        fcntl.fcntl(writing, fcntl.F_SETFL, flags)
    return reading, writing


def pipe_without_reader() -> int:
    reading, writing = os.pipe()
    os.close(reading)
    return writing


OUTPUTS: dict[str, Callable[[], int]] = {
    "full pipe that blocks (nobody reads)": lambda: full_pipe(0)[1],
    "full pipe that says so (EAGAIN)": lambda: full_pipe(os.O_NONBLOCK)[1],
    "pipe without a reader (EPIPE)": pipe_without_reader,
    "full disk (ENOSPC)": lambda: os.open("/dev/full", os.O_WRONLY),
    "no descriptor": lambda: -1,
}


@pytest.mark.parametrize("output", OUTPUTS)
def test_a_node_whose_log_takes_no_lines_answers_and_exits_as_usual(output: str, tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as found:
        address = found.getsockname()
    configuration = {
        "name": "n1",
        "listen": "{}:{}".format(*address),
        "agent": "127.0.0.1:1",
        "seed": "1",
        "stop_ms": 1500,
        "settings": SETTINGS,
    }
    (tmp_path / "config.json").write_text(ujson.dumps(configuration))
    number = OUTPUTS[output]()
    outputs = {"stdout": number, "stderr": number} if number >= 0 else {}
    node = subprocess.Popen(
        [sys.executable, "-m", "beechrock"]
        if outputs
        else ["sh", "-c", f"exec {sys.executable} -m beechrock >&- 2>&-"],
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(tmp_path / "config.json")},
        **outputs,
    )  # type: ignore[call-overload]
    try:
        end = time.monotonic() + 30
        while True:
            try:
                link = socket.create_connection(address, 30)
                break
            except ConnectionRefusedError:
                assert time.monotonic() < end and node.poll() is None
                time.sleep(0.02)
        with link:
            for _ in range(3):  # each SIGUSR1 logs the counters
                node.send_signal(signal.SIGUSR1)
                link.sendall(CHECK)
                assert receive_message(link)[4] == 5
            node.send_signal(signal.SIGTERM)
        assert node.wait(30) == 0
    finally:
        node.kill()
        node.wait()
        if number >= 0:
            os.close(number)


def test_dropped_lines_are_counted_in_the_next_written_line() -> None:
    reading, writing = full_pipe(0)
    with os.fdopen(writing, "w") as stream:
        handler = NonBlockingHandler(stream)

        def log(text: str) -> None:
            handler.emit(logging.LogRecord("x", logging.INFO, "", 0, text, None, None))

        try:
            log("\u20ac" * 30_000)  # longer than the pipe, and than one write may be
            log("nobody reads this")
            assert os.read(reading, 1 << 20) == bytes(65_536)
            log("again")
            assert os.read(reading, 1 << 20) == b"2 log lines were dropped, as nobody read them\nagain\n"
            log("\u20ac" * 30_000)  # as much of it as the pipe has room for
            log("nobody reads this")
            assert len(os.read(reading, 1 << 20)) > 32_768
            log("last")
            assert os.read(reading, 1 << 20) == b"2 log lines were dropped, as nobody read them\nlast\n"
        finally:
            os.close(reading)
