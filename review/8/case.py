"""Play one keyed request and its repeat over SCGI, and check how often a server ran it.

Exit 1: some request ran twice within its window; 0: none did; 2: the case could not be played.
TROUBLE=0: the first callers write as soon as they have connected, and all else is the same.
"""

import asyncio
import contextlib
import os
import re
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from pathlib import Path

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
TROUBLE = os.environ.get("TROUBLE") != "0"
QUIET_S = 1.0  # for so long a first caller is quiet after it has connected
WINDOW_S = 10.677  # BRIEF, table 5: `submit` may come again within 10,677 ms
REPEAT_S = 10.1  # from the writing of the first try to that of its repeat: 0.57 s inside the window
REQUESTS = 5
RUN_S = 0.1
LIMIT_S = 60.0

INVENTORY = """
all:
  vars: {{cores: 6, memory_mb: 64}}
  children:
    teams: {{hosts: {{releases: {{}}}}}}
    services: {{hosts: {{submit: {{upstreams: ["127.0.0.1:{port}"]}}}}}}
    contracts:
      hosts:
        releases-submit: {{team: releases, service: submit, share: 1.0, rate: 65, aim_ms: 1400,
          due_ms: 3600, effect: keyed, window_ms: 10677, worth: 2}}
"""


class Record:
    """The lines of record.txt: what was sent, answered and run, with the time of each."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.file = (HERE / "record.txt").open("w")

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Server:
    """A small SCGI server: runs each whole request once, and answers with a result of that run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.runs: dict[str, list[float]] = defaultdict(list)  # times of the runs, by idempotency key

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            size = int((await reader.readuntil(b":"))[:-1])
            parts = (await reader.readexactly(size + 1))[:-2].decode("latin-1").split("\0")
            headers = dict(zip(parts[::2], parts[1::2], strict=True))
            await reader.readexactly(int(headers["CONTENT_LENGTH"]))
            key = headers["HTTP_IDEMPOTENCY_KEY"]
            self.runs[key].append(time.monotonic())
            self.record.add(f"server: run {len(self.runs[key])} of {key}")
            await asyncio.sleep(RUN_S)
            body = f"{key} run {len(self.runs[key])}".encode()
            writer.write(b"Status: 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (OSError, ValueError, KeyError, asyncio.IncompleteReadError) as error:
            self.record.add(f"server: {error!r}")
        finally:
            writer.close()


def netstring(key: str) -> bytes:
    """Return a whole SCGI request for `submit` with this key."""
    body = f"build {key}".encode()
    headers = {
        "CONTENT_LENGTH": str(len(body)),
        "SCGI": "1",
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/submit",
        "HTTP_X_TEAM": "releases",
        "HTTP_X_ROUTE": "submit",
        "HTTP_IDEMPOTENCY_KEY": key,
    }
    block = "".join(f"{name}\0{value}\0" for name, value in headers.items()).encode()
    return b"%d:%s,%s" % (len(block), block, body)


class Play:
    """One play: a server, the node, the first tries and their repeats."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = Server(record)
        self.port = 0

    async def ask(self, name: str, key: str, at: float, quiet_s: float) -> tuple[float, str]:
        """Connect ``quiet_s`` before the time ``at``, write the request then; return when, and the answer."""
        await asyncio.sleep(max(0.0, at - quiet_s - time.monotonic()))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.record.add(f"{name} of {key}: connected")
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        written = time.monotonic()
        writer.write(netstring(key))
        self.record.add(f"{name} of {key}: written whole")
        answer = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode()
        self.record.add(f"{name} of {key}: answered {status!r} {body!r}")
        return written, status

    async def pair(self, number: int, at: float) -> bool | None:
        """Send one request and its repeat; return whether it ran twice, or None if that cannot be told."""
        key = f"nonce{number}"
        first, status = await self.ask("first", key, at, QUIET_S if TROUBLE else 0.0)
        if not status.startswith("Status: 200") or len(self.server.runs[key]) != 1:
            return None
        again, _ = await self.ask("repeat", key, at + REPEAT_S, 0.0)
        runs = self.server.runs[key]
        if again - first > WINDOW_S - 0.2:  # this machine was late: the repeat came too near to the end
            return None
        twice = len(runs) > 1
        if twice:
            self.record.add(f"BROKEN: {key} ran {len(runs)} times, {runs[1] - runs[0]:.3f} s apart")
        return twice

    async def play(self) -> list[bool | None]:
        """Send all requests, 0.2 s apart; return what ``pair`` says of each."""
        start = time.monotonic() + QUIET_S + 0.5
        return list(await asyncio.gather(*(self.pair(n, start + 0.2 * n) for n in range(REQUESTS))))


async def start_node(folder: Path, port: int) -> tuple[asyncio.subprocess.Process, int]:
    """Start the node with the deploy file's command, in its own process group; return it and its port."""
    (folder / "inventory.yaml").write_text(INVENTORY.format(port=port))
    (folder / "scgi.toml").write_text(
        f'enabled = true\nlisten = "127.0.0.1:0"\ninventory = "{folder}/inventory.yaml"\n'
    )
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    node = await asyncio.create_subprocess_exec(
        *("/bin/sh", "-c", command),
        cwd=ROOT,
        env={**kept, "LB_SCGI": str(folder / "scgi.toml"), "TMPDIR": str(folder)},
        stderr=asyncio.subprocess.PIPE,
    )
    assert node.stderr is not None
    async with asyncio.timeout(20.0):
        while line := (await node.stderr.readline()).decode():
            if found := re.search(r"SCGI on 127\.0\.0\.1:(\d+)", line):
                return node, int(found[1])
            print(line, end="", file=sys.stderr)
    raise OSError(f"{shlex.quote(command)} did not start")


async def drain(stream: asyncio.StreamReader) -> None:
    """Read what the node logs, so that it never waits for this process."""
    while await stream.readline():
        pass


async def main() -> int:
    """Play the case once; return the exit code."""
    record = Record()
    record.add(f"TROUBLE={int(TROUBLE)}")
    play = Play(record)
    server = await asyncio.start_server(play.server.serve, "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        node = None
        try:
            node, play.port = await start_node(Path(folder), server.sockets[0].getsockname()[1])
            assert node.stderr is not None
            log = asyncio.create_task(drain(node.stderr))
            async with asyncio.timeout(LIMIT_S):
                found = await play.play()
            log.cancel()
        except (OSError, TimeoutError, AssertionError) as error:
            record.add(f"could not be played: {error!r}")
            return 2
        finally:
            if node is not None and node.returncode is None:
                node.send_signal(signal.SIGTERM)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(node.wait(), 6.0)
                if node.returncode is None:
                    node.kill()
            server.close()
    record.add(f"ran twice: {found.count(True)}, once: {found.count(False)}, not told: {found.count(None)}")
    print((HERE / "record.txt").read_text().splitlines()[-1])
    if True in found:
        return 1
    return 0 if False in found else 2


sys.exit(asyncio.run(main()))
