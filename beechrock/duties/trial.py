"""The laboratory's duty: its holder sends an effect to every node each 20 ms; who receives them keeps the
fence.

Only with ``trial = true`` in [duties]. Between the check and the act there is a gap of ``GAP_S`` in which the
process does nothing else, so that a test that stops it hits that place about as often as not.
``POST /duties/trial?works=no`` at a node: as holder it does nothing there, and tells that work waits.
"""

import asyncio
import time
from typing import TYPE_CHECKING, Any, ClassVar

import msgpack

from beechrock import logs
from beechrock.duties.fences import Fences
from beechrock.duties.model import Duty, Kind
from beechrock.parts import Context
from beechrock.store.files import at
from beechrock.store.log import Store

if TYPE_CHECKING:
    from beechrock.duties.part import Duties

CHANNEL = "duties.trial"
EACH_S, GAP_S = 0.02, 0.01
SEAL_S = 0.5            # for receivers to say that they have the fence; one that is down has it from its log


class Trial:
    DUTY: ClassVar[Duty] = Duty("trial", Kind.FLEET)

    def __init__(self, duties: "Duties", context: Context) -> None:
        self.duties, self.talk, self.counters = duties, context.parts["fleet"], context.counters
        self.store = Store.open(at(self.talk.settings.state), "trial")
        self.fences = Fences(self.store, floor=duties.floor)
        self.task: asyncio.Task[None] | None = None
        self.sealed: set[str] = set()
        self.count, self.works = 0, True
        self.all = asyncio.Event()
        self.talk.on(CHANNEL, self._take)
        context.calls["/duties/trial"] = self._told

    def _told(self, told: dict[str, str]) -> dict[str, bool]:
        self.works = told.get("works") != "no"
        return {"works": self.works}

    async def take_over(self, fence: int) -> None:
        self.sealed.clear()
        self.all.clear()
        try:
            async with asyncio.timeout(SEAL_S):
                while not self.all.is_set():
                    self._send("seal", fence)
                    try:
                        async with asyncio.timeout(0.1):
                            await self.all.wait()
                    except TimeoutError:
                        continue
        except TimeoutError:
            logs.event("trial.unsealed", fence=fence, sealed=sorted(self.sealed))
        self.lost()
        self.task = self.counters.spawn(self._run(), "duties.trial.run")

    async def give_up(self) -> None:
        self.lost()

    def lost(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def progress(self) -> tuple[int, int]:
        return self.count, 1

    async def _run(self) -> None:
        while True:
            fence = self.duties.may(self.DUTY.name)
            if fence is not None and self.works:
                logs.event("trial.act", fence=fence)
                time.sleep(GAP_S)       # here a test stops the process
                self.count += 1
                self._send("effect", fence)
            await asyncio.sleep(EACH_S - GAP_S)

    def _send(self, kind: str, fence: int) -> None:
        message: bytes = msgpack.packb((kind, fence))
        for peer in (*self.talk.peers, self.talk.name):
            self.talk.send(peer, CHANNEL, message)

    def _take(self, sender: str, life: int, data: bytes) -> None:
        told: Any = msgpack.unpackb(data)
        kind, fence = str(told[0]), int(told[1])
        if kind == "sealed":
            self.sealed.add(sender)
            if len(self.sealed) > len(self.talk.peers):
                self.all.set()
            return
        accepted = self.fences.accept(self.DUTY.name, fence)
        if kind == "effect":
            logs.event("effect", duty=self.DUTY.name, fence=fence, accepted=accepted, sender=sender,
                       life=life)
        elif accepted:
            self.talk.send(sender, CHANNEL, msgpack.packb(("sealed", fence)))
