"""The program as the platform starts it: listening, signals, shutdown, and the deploy file."""

import os
import re
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib
from itertools import count
from pathlib import Path

import ujson
from callers import Caller, request
from platform_process import (
    ROOT,
    frames_address,
    line_with,
    platform_configuration,
    start_node,
    write_configuration,
)

from beechrock.net.scgi_codec import request_bytes

CHECK = bytes.fromhex("00000006 04 00000001 00".replace(" ", ""))
NO_MORE = bytes.fromhex("00000005 06 00000000".replace(" ", ""))


def receive_exactly(link: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size and (more := link.recv(size - len(data))):
        data += more
    return data


def receive_message(link: socket.socket) -> bytes:
    head = receive_exactly(link, 4)
    return head + receive_exactly(link, int.from_bytes(head, "big"))


def test_after_sigterm_the_node_accepts_and_answers_until_it_exits_with_code_0(tmp_path: Path) -> None:
    node = start_node(write_configuration(tmp_path, stop_ms=5000))
    assert node.stderr is not None
    try:
        address = frames_address(node)
        with socket.create_connection(address, 30) as old:
            old.sendall(CHECK)
            assert receive_message(old)[4:10] == b"\x05\0\0\0\x01\x01"  # bad, as no agent is connected
            assert not re.search("libssl|libcrypto", Path(f"/proc/{node.pid}/maps").read_text())
            node.send_signal(signal.SIGUSR1)
            line_with(node, "answered.checks_bad 1")
            node.send_signal(signal.SIGTERM)
            assert receive_message(old) == NO_MORE
            with socket.create_connection(address, 30) as new:
                assert receive_message(new) == NO_MORE
                new.sendall(CHECK)
                assert receive_message(new)[4:10] == b"\x05\0\0\0\x01\x01"
        assert node.wait(30) == 0
        assert "answered.checks_bad 2" in node.stderr.read()
    finally:
        node.kill()
        node.stderr.close()


def test_each_complete_request_before_the_exit_is_answered_or_crosses_the_close(tmp_path: Path) -> None:
    """Callers ignore "no more requests" and write until the end, on old connections and on new ones."""
    with start_node(write_configuration(tmp_path, stop_ms=800)) as node:
        try:
            address, callers, refused = frames_address(node), list[Caller](), False
            written: dict[tuple[Caller, int], float] = {}
            node.send_signal(signal.SIGTERM)
            for turn in count():
                try:
                    callers += [] if refused else [Caller(address)]
                except ConnectionRefusedError:
                    refused = True
                for caller in callers:  # to record the time of each close at once
                    caller.read()
                for caller in callers[turn % 8 :: 8]:  # some, as an overloaded node would prove nothing
                    if not caller.ended:
                        stream = len(caller.owed) + 1
                        written[caller, stream] = time.monotonic()
                        caller.send(request(stream, round(time.time() * 1000), len(written)))
                        caller.read()
                        if caller.ended:  # met the close; other closes may be seen late on a busy machine
                            written[caller, stream] = caller.ended_at
                if refused and all(caller.ended for caller in callers):
                    break
                time.sleep(0.01)
            assert node.wait(30) == 0 and len(written) > len(callers) > 10
        finally:
            node.kill()
    for caller in callers:
        missed = caller.owed - caller.answers()
        assert max(caller.answers().values(), default=1) == 1
        assert missed or not caller.reset, "the connection was reset, though every request on it was answered"
        for _, stream in missed:
            assert caller.ended_at - written[caller, stream] < 0.05, (
                "a request sent over 50 ms before the close was not answered"
            )


# Modules of the standard library that a platform node does not need: pathlib imports the two after it, and
# these three took 0.6 MB of each node.
UNNEEDED_MODULES = {"pathlib", "urllib", "ipaddress", "json"}


def test_a_platform_node_imports_no_unneeded_module_from_start_to_exit(tmp_path: Path) -> None:
    configuration = write_configuration(tmp_path, stop_ms=500)
    # Without ``site``: modules that the environment's .pth files import would hide what the node imports.
    found_in = os.pathsep.join((str(ROOT), sysconfig.get_path("purelib"), sysconfig.get_path("platlib")))
    with subprocess.Popen(
        [sys.executable, "-S", "-X", "importtime", "-m", "beechrock"],
        cwd=tmp_path,
        text=True,
        stderr=subprocess.PIPE,
        env={"LB_CONFIG": str(configuration), "PYTHONPATH": found_in},
    ) as node:
        assert node.stderr is not None
        try:
            lines = list[str]()
            while not lines or "frames on" not in lines[-1]:
                lines.append(node.stderr.readline())
                assert lines[-1], f"the log ended: {lines[-3:]}"
            found = re.search(r"frames on 127\.0\.0\.1:(\d+)", lines[-1])
            assert found is not None
            with socket.create_connection(("127.0.0.1", int(found[1])), 30) as link:
                link.sendall(CHECK)
                assert receive_message(link)[4:10] == b"\x05\0\0\0\x01\x01"
                node.send_signal(signal.SIGTERM)
                assert receive_message(link) == NO_MORE
            assert node.wait(30) == 0
            lines += node.stderr.readlines()
        finally:
            node.kill()
    loaded = {line.rpartition("|")[2].strip() for line in lines if line.startswith("import time:")}
    assert {"beechrock.program", "ujson", "asyncio"} <= loaded
    assert not {name for name in loaded if name.partition(".")[0] in UNNEEDED_MODULES}


def test_a_reload_adopts_a_valid_file_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    configuration, path = platform_configuration(stop_ms=500), write_configuration(tmp_path, stop_ms=500)
    with start_node(path) as node:
        assert node.stderr is not None
        try:
            line_with(node, "frames on")
            path.write_text(ujson.dumps({**configuration, "agent": "nowhere"}))
            node.send_signal(signal.SIGHUP)
            line_with(node, "agent: 'nowhere' is not HOST:PORT; the old configuration stays")
            path.write_text(ujson.dumps({**configuration, "agent": "127.0.0.1:2", "stop_ms": 900}))
            node.send_signal(signal.SIGHUP)
            line_with(node, "stop_s: changed, but read at a start only")
            node.send_signal(signal.SIGTERM)
            assert node.wait(30) == 0
            assert "agent.moves 1" in node.stderr.read()
        finally:
            node.kill()


def test_a_changed_file_is_reloaded_without_sighup_once_no_link_to_the_agent_opens(tmp_path: Path) -> None:
    """A node that started while the file was replaced, or read it half written, gets no further SIGHUP."""
    configuration, path = platform_configuration(stop_ms=500), write_configuration(tmp_path, stop_ms=500)
    with socket.create_server(("127.0.0.1", 0)) as agent, start_node(path) as node:
        assert node.stderr is not None
        try:
            line_with(node, "frames on")
            path.write_text("{")
            line_with(node, "not JSON")
            path.write_text(ujson.dumps({**configuration, "agent": "{}:{}".format(*agent.getsockname())}))
            agent.settimeout(30)
            link, _ = agent.accept()
            with link:
                assert receive_exactly(link, 13) == b"subscribe 0\r\n"
            node.send_signal(signal.SIGTERM)
            assert node.wait(30) == 0
        finally:
            node.kill()


def test_a_recording_node_leaves_a_complete_trace_file_with_its_own_counters(tmp_path: Path) -> None:
    from beechrock.trace.format import Reader
    from beechrock.trace.summary import Summary

    text = (ROOT / "deploy" / "inventory.yaml").read_text()
    (tmp_path / "i.yaml").write_text(
        re.sub(r"127\.0\.0\.1:9\d+", "127.0.0.1:1", text).replace(
            '["127.0.0.1:1", "127.0.0.1:1"]', '["127.0.0.1:1"]'
        )
    )
    (tmp_path / "op.toml").write_text(
        f'enabled = true\nlisten = "127.0.0.1:0"\ninventory = "{tmp_path}/i.yaml"\n'
        f'[trace]\nenabled = true\nfolder = "{tmp_path}/traces"\n'
    )
    with subprocess.Popen(
        [sys.executable, "-m", "beechrock"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_SCGI": str(tmp_path / "op.toml"), "LB_CONFIG": ""},
    ) as node:
        assert node.stderr is not None
        try:
            found = re.search(r"SCGI on 127\.0\.0\.1:(\d+)", line_with(node, "SCGI on"))
            assert found is not None
            for _ in range(3):  # no upstream listens, so each request fails
                with socket.create_connection(("127.0.0.1", int(found[1])), 30) as link:
                    link.sendall(request_bytes({"HTTP_X_ROUTE": "resolve", "HTTP_X_TEAM": "packagers"}, b"x"))
                    assert receive_exactly(link, 11) == b"Status: 500"
            node.send_signal(signal.SIGTERM)
            assert node.wait(30) == 0
            log = node.stderr.read()
        finally:
            node.kill()
    [path] = (tmp_path / "traces").iterdir()
    with Reader(path) as reader:
        assert reader.whole and reader.check() == []
        counters = Summary().take(reader.rows()).counters
    assert counters["answered.failed"] == 3 and "answered.failed 3" in log
    assert counters["runs.error"] == 3 and "runs.error 3" in log


def test_the_deploy_file_names_existing_files() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert {"build", "run", "sim", "policy", "node", "packages"} == set(deploy)
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    assert tomllib.loads((ROOT / "deploy" / "scgi.toml").read_text())["enabled"] is False


def test_requirements_txt_lists_the_dependencies_of_the_package() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert project["dependencies"] == (ROOT / "requirements.txt").read_text().split()


def test_every_package_is_found_when_the_program_is_installed() -> None:
    """An explicit list of packages once lacked a new one, and the installed program did not start."""
    with (ROOT / "pyproject.toml").open("rb") as file:
        setuptools = tomllib.load(file)["tool"]["setuptools"]
    assert setuptools["packages"] == {"find": {"include": ["beechrock*"]}}
    folders = {path.parent for path in (ROOT / "beechrock").rglob("*.py")}
    assert folders and all((folder / "__init__.py").exists() for folder in folders)
