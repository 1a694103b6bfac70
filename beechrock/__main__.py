"""One real api node: wiring, signals and the way out."""

import asyncio
import logging
import os
import signal
import sys
import time

from beechrock import config
from beechrock.core.counters import Counters
from beechrock.core.module import ModuleActor
from beechrock.core.requests import Leave
from beechrock.net.agent import Agent
from beechrock.net.frames import FramesFront
from beechrock.net.ledger import Ledger
from beechrock.net.registry import Registry

log = logging.getLogger("beechrock")
EXIT_MARGIN_S = 0.25    # the process has ended this long before it would be killed


async def serve(told: config.Config) -> None:
    """Run until the notice to leave has been worked off."""
    counters = Counters()
    loop = asyncio.get_running_loop()
    module = ModuleActor(told.settings, told.seed, time.time, counters)
    registry = Registry(told.name, told.registry, counters) if told.registry else None
    front = FramesFront(module, told.sockets * 5 // 8)
    agent = Agent(module, told.gauges, told.agent)
    module.work = agent
    if told.ledger:
        module.calls = Ledger(module, told.ledger)
    leaving = asyncio.Event()

    def leave() -> None:
        if not leaving.is_set():
            leaving.set()
            module.post(Leave(told.stop_s))
            front.leave()
            if registry is not None:
                registry.mailbox.put("draining")

    loop.add_signal_handler(signal.SIGTERM, leave)
    loop.add_signal_handler(signal.SIGINT, leave)
    loop.add_signal_handler(signal.SIGUSR1, counters.report)
    await front.start(*told.listen)
    tasks = [counters.spawn(module.run(), "module"), counters.spawn(agent.run(), "agent")]
    if registry is not None:
        tasks.append(counters.spawn(registry.run(), "registry"))
    log.info("%s listens on %s:%d", told.name, *told.listen)
    await leaving.wait()
    # Requests in the backlog of the listening socket are ours too: it stays open, and read, to the end.
    await asyncio.sleep(max(0.0, told.stop_s - EXIT_MARGIN_S))
    front.close()
    await asyncio.sleep(EXIT_MARGIN_S / 3)
    for task in tasks:
        task.cancel()
    counters.report()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        told = config.load(os.environ)
    except config.ConfigError as error:
        print(f"beechrock: {error}", file=sys.stderr)
        return config.EXIT_CODE
    try:
        asyncio.run(serve(told))
    except OSError as error:
        print(f"beechrock: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
