"""A whole process that is suspended while the wall clock is stepped."""

import copy
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
import ujson
from clock_requests import STEPS, request_frame
from platform_process import ROOT, line_with
from play import SETTINGS
from test_program import receive_message
from wires import HANG_S, bytes_of

# Program that runs a node; once the file ``flag`` exists, ``time.time`` is ahead by ``step`` seconds.
STEPPED_NODE = """
import os, runpy, time
real, flag, step = time.time, {flag!r}, {step!r}
time.time = lambda: real() + (step if os.path.exists(flag) else 0.0)
runpy.run_module("beechrock", run_name="__main__")
"""


class StandInAgent:
    """Agent of the process under test: samples gauges, and records the launches."""

    def __init__(self, link: socket.socket) -> None:
        self.link, self.lines, self.launched = link, link.makefile("rb"), list[int]()
        link.sendall(b"greeting LOADED 5\r\n")

    def expect_launch(self, trace: int) -> None:
        """Wait for the next launch, which must be that of ``trace``."""
        end = time.monotonic() + HANG_S
        while not (line := self.lines.readline()).startswith(b"launch"):
            assert line and time.monotonic() < end, f"no launch of {trace}: {line!r}"
            if line.startswith(b"sample"):
                self.link.sendall(b"sampled " + line.split()[1] + b" 0.5 1 0.1 3\r\n")
        self.launched.append(int(line.split()[1]))
        assert self.launched[-1] == trace


def start_stepped_node(step: float, flag: Path, agent: socket.socket) -> "subprocess.Popen[str]":
    """Start a node whose wall clock is stepped as soon as the file ``flag`` exists."""
    settings = copy.deepcopy(SETTINGS)
    settings["grades"][1].update(giveUpS=2.5)
    config = flag.with_suffix(".json")
    host, port = agent.getsockname()
    config.write_text(
        ujson.dumps(
            {
                "name": "n1",
                "listen": "127.0.0.1:0",
                "agent": f"{host}:{port}",
                "seed": "1",
                "stop_ms": 5000,
                "settings": settings,
            }
        )
    )
    return subprocess.Popen(
        [sys.executable, "-c", STEPPED_NODE.format(flag=str(flag), step=step)],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env={**os.environ, "LB_CONFIG": str(config)},
    )


@pytest.mark.parametrize("step", STEPS)
def test_a_process_keeps_deadlines_and_keys_when_the_clock_steps_while_it_is_suspended(
    step: float, tmp_path: Path
) -> None:
    """With real clocks: two requests run during the step, one is read after it, and one is then repeated."""
    with socket.create_server(("127.0.0.1", 0)) as agent:
        agent.settimeout(60)
        node = start_stepped_node(step, tmp_path / "stepped", agent)
        try:
            found = re.search(r"frames on 127\.0\.0\.1:(\d+)", line_with(node, "frames on"))
            assert found is not None
            link, _ = agent.accept()
            link.settimeout(60)
            stand_in = StandInAgent(link)
            with socket.create_connection(("127.0.0.1", int(found[1])), 60) as caller:

                def send(stream: int, key: int, ahead_s: float = 0.0) -> None:
                    caller.sendall(bytes_of(request_frame(time.time() + ahead_s, stream, key, stream=stream)))

                sent = time.monotonic()
                for stream in (1, 2):
                    send(stream, stream)
                    stand_in.expect_launch(stream)
                node.send_signal(signal.SIGSTOP)
                send(3, 3)
                (tmp_path / "stepped").touch()
                node.send_signal(signal.SIGCONT)
                stand_in.expect_launch(3)
                link.sendall(b"outcome 1 %016d PASS 5 2\r\nok\r\n" % 3)
                assert receive_message(caller)[5:10] == b"\0\0\0\x03\0"
                send(4, 3, step)
                assert receive_message(caller)[5:10] == b"\0\0\0\x04\0"
                assert {receive_message(caller)[5:10] for _ in (1, 2)} == {b"\0\0\0\1\x0d", b"\0\0\0\2\x0d"}
                assert time.monotonic() - sent > 2.4 and len(stand_in.launched) == 3
        finally:
            node.kill()
