"""The node's processes: started with the command of the deploy file, and ended at the end of a play."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import Any, TextIO

from standin_record import Record

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def command(key: str) -> str:
    """Return a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return str(tomllib.load(file)[key])


def free_address() -> str:
    """Return a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Platform:
    """Configuration files and processes of one node."""

    def __init__(
        self, record: Record, settings: dict[str, Any], stop_ms: int = 3200, shared: bool = False
    ) -> None:
        self.record, self.settings, self.stop_ms = record, settings, stop_ms
        self.folder = tempfile.mkdtemp(prefix="beechrock-review-")
        self.tmp = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmp)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.expected_ends: set[str] = set()
        self.logs: list[TextIO] = []
        self.listener: socket.socket | None = None
        if shared:
            self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
            self.listen = f"127.0.0.1:{self.listener.getsockname()[1]}"
        else:
            self.listen = free_address()
        self.addresses: dict[str, str] = {}

    def write(self, name: str, **addresses: str) -> str:
        """Write or replace the configuration of a process, and return its path."""
        self.addresses.update(addresses)
        document = {
            "name": "n1",
            "listen": self.listen,
            "seed": "8c1f30d27a5be964",
            "stop_ms": self.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.settings,
            **self.addresses,
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(document, file)
        os.rename(path + ".new", path)
        return path

    def start(self, name: str, **addresses: str) -> "subprocess.Popen[bytes]":
        """Start a process of the node."""
        environment = {
            **os.environ,
            "LB_CONFIG": self.write(name, **addresses),
            "TMPDIR": self.tmp,
        }
        for key in ("LB_SCGI", "LB_NAME", "LB_LISTEN", "LB_ADMIN_ADDR", "LB_LISTEN_FD"):
            environment.pop(key, None)
        admin = free_address()
        environment["LB_ADMIN_ADDR"] = admin
        self.addresses[f"admin_{name}"] = admin
        passed: tuple[int, ...] = ()
        if self.listener is not None:
            passed = (self.listener.fileno(),)
            environment["LB_LISTEN_FD"] = str(self.listener.fileno())
        log = open(os.path.join(self.folder, f"{name}.log"), "w", encoding="utf-8")  # noqa: SIM115
        self.logs.append(log)
        made = subprocess.Popen(
            ["/bin/sh", "-c", command("run")],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=passed,
            start_new_session=True,
        )
        self.processes[name] = made
        self.record.note("started", name, made.pid)
        return made

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, if it still runs."""
        process = self.processes[name]
        if process.poll() is None:
            self.record.note("signal", number.name, "to", name)
            process.send_signal(number)

    async def wait_ready(self, name: str, within_s: float = 15.0) -> bool:
        """Wait until the second address says yes."""
        host, port = self.addresses[f"admin_{name}"].split(":")
        end = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < end:
            if await self.call(host, int(port), "GET /healthcheck") == 200:
                self.record.note(name, "says yes")
                return True
            await asyncio.sleep(0.02)
        return False

    async def call(self, host: str, port: int, what: str) -> int:
        """Make a call at a second address; return the status, or 0."""
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(f"{what} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, ValueError, TimeoutError):
            return 0

    def check_alive(self) -> None:
        """Note a process that has ended by itself."""
        for name, process in self.processes.items():
            if process.poll() is not None and name not in self.expected_ends:
                self.expected_ends.add(name)
                self.record.breach("crash", name, "exited with", process.returncode)

    def end(self) -> None:
        """End all processes that are left, and remove the folder."""
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
            with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as log:
                for line in log.read().splitlines()[:200]:
                    if any(word in line.lower() for word in ("error", "warning", "traceback", "trouble")):
                        self.record.note("log", name, line[:300])
        for log_file in self.logs:
            log_file.close()
        if self.listener is not None:
            self.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)
