"""What recording costs a node: CPU a request with and without, in windows that take turns in one process.

A node on real sockets serves SCGI callers under its capacity. Its recorder is taken out and put back every
two seconds, and the process's CPU time, the writing thread's included, is set against the requests of each
window: whole runs in pairs spread by 10%, which hides what is to be measured. Exits 1 where recording costs
more than 5% in the median of neighbouring windows, or a row was dropped.

    python benchmarks/trace_cost.py [--short] [--windows N]
"""

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import inventory_reload as load_tool  # puts the tree on the path

from beechrock.lab.scgi_servers import Server

MOST, WINDOW_S, RATE = 0.05, 2.0, 200.0


async def node(windows: int) -> None:
    """The node's process: prints its port, then for each window whether it recorded and the CPU a request."""
    from beechrock import config
    from beechrock.program import Program

    program = Program(config.load(os.environ))
    await program.start()
    recorder, module = program.recorder, program.module
    assert recorder is not None and program.scgi is not None and program.scgi.server is not None
    print(program.scgi.server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(2 * WINDOW_S)
    for number in range(windows):
        module.ports.tracer = recorder if number % 2 else None
        if not number % 2:
            await recorder.write()  # so that the window without has none of the other's rows
        cpu, asked = time.process_time(), module.counters["intake.requests"]
        await asyncio.sleep(WINDOW_S)
        if number % 2:
            await recorder.write()
        used, served = time.process_time() - cpu, module.counters["intake.requests"] - asked
        print(json.dumps([number % 2, 1e6 * used / max(1, served)]), flush=True)
    await recorder.finish()
    print(
        json.dumps([recorder.flow.lost, recorder.counters["trace.bytes"], recorder.counters["trace.rows"]]),
        flush=True,
    )


async def measured(windows: int) -> tuple[list[list[float]], list[float]]:
    """What the node printed, under load."""
    servers = [Server(0.005) for _ in range(2)]
    ports = [(await server.start())[1] for server in servers]
    load_tool.OFFERED = RATE
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "main.yaml").write_text(load_tool.services(ports, 500))
        (folder / "scgi.toml").write_text(
            f'enabled = true\nlisten = "127.0.0.1:0"\ninventory = "{folder}/main.yaml"\n'
            f'[trace]\nenabled = true\nfolder = "{folder}/traces"\nflush_s = 0.5\n'
        )
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            __file__,
            "--node",
            str(windows),
            stdout=subprocess.PIPE,
            env={**os.environ, "LB_SCGI": str(folder / "scgi.toml"), "LB_CONFIG": ""},
        )
        assert child.stdout is not None
        port = int(await child.stdout.readline())
        loading = asyncio.create_task(
            load_tool.load(("127.0.0.1", port), (windows + 2) * WINDOW_S, load_tool.Run(), "k")
        )
        lines = [json.loads(line) async for line in child.stdout]
        await child.wait()
        loading.cancel()
    for server in servers:
        server.close()
    return lines[:-1], lines[-1]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--windows", type=int, default=40)
    parser.add_argument("--node", type=int, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.node:
        asyncio.run(node(told.node))
        return 0
    windows, (lost, size, rows) = asyncio.run(measured(12 if told.short else told.windows))
    plain, traced = ([cost for on, cost in windows if on == which] for which in (0, 1))
    ratios = sorted(b / a - 1 for a, b in zip(plain, traced, strict=False))
    cost = statistics.median(ratios)
    good = cost <= MOST and not lost
    print(
        f"without {statistics.median(plain):.0f} us a request, recorded "
        f"{statistics.median(traced):.0f} us; {size / max(1, rows):.1f} bytes a row"
    )
    print(
        f"recording costs {cost:+.1%} in the median of {len(ratios)} pairs, the middle half from "
        f"{ratios[len(ratios) // 4]:+.1%} to {ratios[-len(ratios) // 4]:+.1%}; {lost:g} rows dropped; "
        f"target {MOST:.0%}: {'kept' if good else 'MISSED'}"
    )
    return not good


if __name__ == "__main__":
    sys.exit(main())
