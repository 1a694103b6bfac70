"""A node process with [limits]: a flood, a spent budget, silent connections, a crash and an orderly stop."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path

from beechrock.lab.scgi_servers import Server
from beechrock.net.scgi_codec import decode_reply, request_bytes

ROOT = Path(__file__).parent.parent.parent
TEAMS = [f"t{index}" for index in range(10)]
BUDGETS = {"t8": 5, "t9": 64}  # amount by team
KEYS = count()  # numbers of idempotency keys


def inventory(port: int) -> str:
    contracts = "".join(
        f"        {t}: {{team: {t}, share: 0.1, rate: 4, burst: 40, at_once: 10, borrows: false}}\n"
        for t in TEAMS
    )
    return (
        "all:\n  vars: {cores: 8, memory_mb: 64}\n  children:\n"
        f"    teams:\n      hosts: {{{', '.join(f'{t}: {{}}' for t in TEAMS)}}}\n"
        f"    services:\n      hosts: {{s: {{upstreams: ['127.0.0.1:{port}']}}}}\n"
        "    contracts:\n      vars: {service: s, effect: keyed, window_ms: 60000,"
        " aim_ms: 9000, due_ms: 15000}\n"
        f"      hosts:\n{contracts}"
        "    budgets:\n      vars: {period_s: 1.0e+9}\n      hosts:\n"
        + "".join(f"        {t}: {{team: {t}, amount: {amount}}}\n" for t, amount in BUDGETS.items())
    )


@contextmanager
def node(
    folder: Path,
    program: tuple[str, str] = ("-m", "beechrock"),
) -> Iterator[tuple["subprocess.Popen[str]", int]]:
    """Run a node and yield its process and port."""
    with subprocess.Popen(
        [sys.executable, *program],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_SCGI": str(folder / "op.toml"), "LB_CONFIG": ""},
    ) as process:
        assert process.stderr is not None
        try:
            log = []
            while line := process.stderr.readline():
                log.append(line)
                if found := re.search(r"SCGI on 127\.0\.0\.1:(\d+)", line):
                    break
            assert found is not None, log
            yield process, int(found[1])
        finally:
            process.kill()


async def ask(
    port: int, team: str, whole: bool = True, key: str = "", host: str = "127.0.0.1"
) -> tuple[int, dict[str, str], bytes]:
    """Send a request and return its answer.

    Retries after the given time where the budget's next ceiling is not on the disk yet. ``whole`` False: the
    body is not sent.
    """
    data = request_bytes(
        {"HTTP_X_TEAM": team, "HTTP_X_ROUTE": "s", "HTTP_IDEMPOTENCY_KEY": key or f"k{next(KEYS)}"},
        b"x" * 60_000,
    )
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(host, 0))
        try:
            writer.write(data if whole else data[:-60_000])
            answer = decode_reply(await asyncio.wait_for(reader.read(), 30))
        finally:
            writer.close()
        if answer[1].get("x-limit") != "spending":
            return answer
        await asyncio.sleep(int(answer[1]["x-retry-after-ms"]) / 1000)


async def many(port: int, team: str, tries: int, at_once: int, pause_s: float = 0.0) -> Counter[int]:
    """Send requests from ``at_once`` callers; return the number of answers by status."""
    statuses: Counter[int] = Counter()

    async def caller() -> None:
        for _ in range(tries // at_once):
            statuses[(await ask(port, team))[0]] += 1
            await asyncio.sleep(pause_s)

    await asyncio.gather(*(caller() for _ in range(at_once)))
    return statuses


async def play(folder: Path) -> None:
    server = Server(0.002)
    _, port = await server.start()
    (folder / "i.yaml").write_text(inventory(port))
    (folder / "op.toml").write_text(
        f'enabled = true\nlisten = "127.0.0.1:0"\ninventory = "{folder}/i.yaml"\n'
        f'[limits]\nenabled = true\nstate = "{folder}/state"\n'
    )
    with node(folder) as (process, port):
        # One team asks at fifty times its rate, or as near to it as this machine can; seven others get
        # everything they ask for.
        began = time.monotonic()
        flood, *others = await asyncio.gather(
            many(port, "t0", 600, 8), *(many(port, t, 12, 2, 0.3) for t in TEAMS[1:8])
        )
        took_s = time.monotonic() - began
        assert all(statuses == {200: 12} for statuses in others), others
        assert flood[200] <= 41 + 4 * took_s and flood[200] + flood[503] == 600, (flood, took_s)
        # A budget of five starts, then retries without limit; a repeated key gets its stored answer.
        assert (await ask(port, "t8", key="ran"))[0] == 200
        assert await many(port, "t8", 205, 5) == {200: 4, 503: 201}
        ran = server.runs
        assert (await ask(port, "t8", key="ran"))[0] == 200 and server.runs == ran
        status, headers, _ = await ask(port, "t8", whole=False)  # rejected without waiting for the body
        assert (status, headers["x-limit"], headers["x-budget-left"]) == (503, "budget", "0")
        assert int(headers["retry-after"]) >= int(headers["x-budget-ends-ms"]) // 1000 > 0
        assert (await many(port, "t9", 10, 1))[200] == 10
        ran = server.runs
        process.kill()
    with node(folder) as (process, port):  # after a crash no spending is forgotten and little is lost
        status, headers, _ = await ask(port, "t8")
        assert (status, headers["x-limit"]) == (503, "budget")
        status, headers, _ = await ask(port, "t9")
        assert status == 200 and 64 - 11 - 3 <= float(headers["x-budget-left"]) <= 64 - 11
        left = float(headers["x-budget-left"])
        process.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(process.wait, 60) == 0
    with node(folder) as (process, port):  # after an orderly stop exactly what was left is there
        status, headers, _ = await ask(port, "t9")
        assert (status, float(headers["x-budget-left"])) == (200, left - 1)
        assert server.runs == ran + 2  # no rejected request ran
        # The budget is cut below what is spent, while the node runs.
        path = folder / "i.yaml"
        path.write_text(path.read_text().replace("amount: 64", "amount: 11"))
        for _ in range(50):
            status, headers, _ = await ask(port, "t9")
            if status == 503 and headers.get("x-limit") == "budget":
                break
            await asyncio.sleep(0.5)
        assert status == 503 and headers["x-budget-left"] == "0"
    server.close()


def test_contracts_and_budgets_hold_over_floods_and_restarts(tmp_path: Path) -> None:
    asyncio.run(play(tmp_path))


# Connection limit of a node with 64 descriptors, 5/8 of them; low, so that a slow machine can reach it.
MAX_CONNECTIONS = 40
FEW_SOCKETS = (
    "-c",
    "from beechrock.config import platform; platform.SOCKETS = 64.0\n"
    "from beechrock.__main__ import main; main()",
)
BOUND = "127.0.0.2"  # address of a front end that is bound to the team t1


async def send(port: int, host: str, data: bytes) -> bytes:
    """Send these bytes and return all that comes back; empty where the connection was reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(host, 0))
    try:
        writer.write(data)
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


async def silence(folder: Path) -> None:
    server = Server(0.002)
    _, port = await server.start()
    (folder / "i.yaml").write_text(
        inventory(port).replace(" t1: {}, t2: {}", " t1: {connections: 4}, t2: {connections: 2}")
        + "    front_ends:\n      hosts:\n        a: {address: 127.0.0.1}\n"
        f"        b: {{address: {BOUND}, team: t1}}\n"
    )
    (folder / "op.toml").write_text(
        f'enabled = true\nlisten = "127.0.0.1:0"\ninventory = "{folder}/i.yaml"\n[limits]\nenabled = true\n'
    )
    heads = {
        team: request_bytes({"HTTP_X_TEAM": team, "HTTP_X_ROUTE": "s", "HTTP_IDEMPOTENCY_KEY": "k"}, b"x")[
            :-1
        ]
        for team in ("t1", "t2")
    }
    cases = [  # held connections (address, bytes sent); a new one; the answer that one of them gets
        ((BOUND, b""), (BOUND, b""), b"a newer connection of its team"),
        ((BOUND, heads["t1"][:9]), (BOUND, b""), b"X-Limit: connections"),
        (("127.0.0.1", heads["t2"]), ("127.0.0.1", heads["t2"]), b"X-Limit: connections"),
    ]
    with node(folder, FEW_SOCKETS) as (_, port):
        for held, new, expected in cases:
            for _ in range(10):  # on a slow machine the held connections may be too new, or timed out already
                holding = [asyncio.create_task(send(port, *held)) for _ in range(4)]
                await asyncio.sleep(0.3)
                answers = [await send(port, *new), *await asyncio.gather(*holding)]
                if any(expected in answer for answer in answers):
                    break
            assert any(expected in answer for answer in answers), (held, answers)
        # A caller holds every connection of the node and more without sending anything; when one is reset or
        # answered, it opens another.
        evicted = 0

        async def silent(index: int) -> None:
            nonlocal evicted
            await asyncio.sleep(index / 50)  # a short backlog delays connections that open all at once
            while True:
                answer = await send(port, "127.0.0.1", b"")  # not inside +=, which reads the count first
                evicted += b"this connection ends" in answer
                await asyncio.sleep(0.2)

        flood = [asyncio.create_task(silent(index)) for index in range(MAX_CONNECTIONS + 20)]
        try:
            async with asyncio.timeout(60):
                while evicted < 20:  # the table is full
                    await asyncio.sleep(0.1)
            before, ran = evicted, server.runs
            # The other teams are served, and t1 by its bound front end, which has connections of its own.
            statuses = await asyncio.gather(many(port, "t3", 30, 3, 0.2), many(port, "t4", 30, 3, 0.2))
            assert statuses == [{200: 30}, {200: 30}] and server.runs == ran + 60, statuses
            assert evicted > before and (await ask(port, "t1", host=BOUND))[0] == 200
        finally:
            for task in flood:
                task.cancel()
            await asyncio.gather(*flood, return_exceptions=True)
    server.close()


def test_silent_connections_cost_other_teams_no_request(tmp_path: Path) -> None:
    asyncio.run(silence(tmp_path))
