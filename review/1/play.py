"""New configurations under load: each reply has to reach the call that it was made for."""

import asyncio
import os
import random
import signal
import sys
import time
from typing import Any

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standin_agent import Agent, Ledger  # noqa: E402
from standin_front import FrontEnd, Try  # noqa: E402
from standin_node import Platform  # noqa: E402
from standin_play import run_play  # noqa: E402
from standin_record import Record  # noqa: E402
from standin_settings import brazos  # noqa: E402

LENGTH_S = 75.0
RATE = 60.0  # first tries a second
RELOAD_S = 2.5  # the old addresses' connections close after 1.5 s
PIECES_S = 0.01  # what the agent writes comes in two pieces, so long apart
# Chances of a run's first and second call: 1.4 calls in the mean.
CALLS = {"box": [0.9, 0.5], "checkout": [0.9, 0.5]}
GIVE_UP_S = {"box": 8.7, "checkout": 7.2}


class Play:
    """One deployment with one node, whose addresses below move."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rng = random.Random(1)
        self.platform = Platform(record, brazos())
        self.agent = Agent(record, self.rng, "agent")
        self.agent.calls_of = CALLS
        self.agent.pieces_s = PIECES_S
        self.ledger = Ledger(record, self.rng)
        self.fronts: list[FrontEnd] = []
        self.sending: list[asyncio.Task[Any]] = []
        self.end = 0.0

    async def play(self, trouble: bool) -> None:
        """Play it; raises RuntimeError if the node does not come up."""
        agent, ledger = await self.agent.listen(), await self.ledger.listen()
        self.platform.start("node", agent=agent, ledger=ledger, registry="127.0.0.1:9")
        if not await self.platform.wait_ready("node"):
            raise RuntimeError("the node does not say yes")
        host, port = self.platform.listen.split(":")
        for number in range(3):
            front = FrontEnd(self.record, self.rng, number, (host, int(port)))
            front.on_write = self._know
            self.fronts.append(front)
        self.end = time.time() + LENGTH_S
        await asyncio.gather(self._load(), *([self._reload()] if trouble else []))
        await asyncio.gather(*self.sending)
        await asyncio.sleep(3.0)
        self.platform.check_alive()

    def _know(self, one: Try) -> None:
        self.agent.known[one.trace] = (one.klass, one.body)

    async def _load(self) -> None:
        while time.time() < self.end:
            self.sending.append(asyncio.create_task(self._request()))
            await asyncio.sleep(self.rng.expovariate(RATE))

    async def _request(self) -> None:
        klass = self.rng.choice(("box", "checkout"))
        nonce = f"{self.rng.getrandbits(128):032x}" if klass == "checkout" else None
        front = self.rng.choice(self.fronts)
        await front.send(front.new_try(klass, GIVE_UP_S[klass], self.rng.randbytes(100), nonce))

    async def _reload(self) -> None:
        await asyncio.sleep(RELOAD_S)
        while time.time() < self.end:
            self.platform.write("node", agent=await self.agent.listen(), ledger=await self.ledger.listen())
            self.platform.signal("node", signal.SIGHUP)
            self.record.count("configurations")
            await asyncio.sleep(RELOAD_S)

    def stop(self) -> None:
        """End what was started."""
        self.platform.end()


if __name__ == "__main__":
    sys.exit(run_play(HERE, Play))
