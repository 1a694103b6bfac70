"""Test duty for the laboratory: its holder sends an effect to every node every 20 ms.

Receivers keep the highest fence and refuse effects under a lower one. The duty exists only with
``trial = true`` in [duties]. Between the check of ``may`` and the effect, the process sleeps for
``CHECK_TO_EFFECT_S``, so that a test that pauses the process hits this gap about every other time.
``POST /duties/trial?works=no`` makes a node, while it is the holder, send nothing and report waiting work.
"""

import asyncio
import time
from enum import StrEnum
from typing import TYPE_CHECKING, Any, ClassVar

import msgpack

from beechrock import logs
from beechrock.duties.fences import Fences
from beechrock.duties.model import Duty, Kind
from beechrock.parts import Context
from beechrock.store.folder import open_folder
from beechrock.store.log import Store

if TYPE_CHECKING:
    from beechrock.duties.part import Duties

CHANNEL = "duties.trial"
EFFECT_INTERVAL_S = 0.02  # seconds between two effects
CHECK_TO_EFFECT_S = 0.01  # seconds between the check of ``may`` and the effect
SEAL_RETRY_S = 0.1  # seconds after which the fence is sent again to the receivers
# Seconds to wait for all receivers to confirm the fence. A receiver that is down learns it from its log.
SEAL_TIMEOUT_S = 0.5


class TrialMessage(StrEnum):
    """Kind of a message between the holder and the receivers."""

    SEAL = "seal"  # the holder asks a receiver to make this fence durable
    SEALED = "sealed"  # the receiver confirms that the fence is durable
    EFFECT = "effect"  # the holder sends an effect under this fence


class TrialWorker:
    """Worker of the duty and receiver of its effects."""

    DUTY: ClassVar[Duty] = Duty("trial", Kind.FLEET)

    def __init__(self, duties: "Duties", context: Context) -> None:
        self.duties = duties
        self.transport = context.parts["fleet"]
        self.counters = context.counters
        self.store = Store.open(open_folder(self.transport.settings.state), "trial")
        self.fences = Fences(self.store, floor=duties.floor)
        self.task: asyncio.Task[None] | None = None  # task that sends effects while this node is the holder
        self.sealed: set[str] = set()  # names of the receivers that have confirmed the fence
        self.all_sealed = asyncio.Event()  # set when all receivers have confirmed the fence
        self.effects = 0  # number of effects sent
        self.working = True  # whether this node sends effects while it is the holder
        self.transport.on(CHANNEL, self._receive)
        context.calls["/duties/trial"] = self._set_working

    def _set_working(self, query: dict[str, str]) -> dict[str, bool]:
        self.working = query.get("works") != "no"
        return {"works": self.working}

    async def take_over(self, fence: int) -> None:
        """Ask the receivers to make the fence durable, then start to send effects."""
        self.sealed.clear()
        self.all_sealed.clear()
        try:
            async with asyncio.timeout(SEAL_TIMEOUT_S):
                await self._seal(fence)
        except TimeoutError:
            logs.event("trial.unsealed", fence=fence, sealed=sorted(self.sealed))
        self.lost()
        self.task = self.counters.spawn(self._run(), "duties.trial.run")

    async def _seal(self, fence: int) -> None:
        while not self.all_sealed.is_set():
            self._send(TrialMessage.SEAL, fence)
            try:
                async with asyncio.timeout(SEAL_RETRY_S):
                    await self.all_sealed.wait()
            except TimeoutError:
                continue

    async def give_up(self) -> None:
        """Stop sending effects; no other work is in progress."""
        self.lost()

    def lost(self) -> None:
        """Stop sending effects."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def progress(self) -> tuple[int, int]:
        """Return the number of effects sent, and 1, because there is always one more to send."""
        return self.effects, 1

    async def _run(self) -> None:
        while True:
            fence = self.duties.may(self.DUTY.name)
            if fence is not None and self.working:
                logs.event("trial.act", fence=fence)
                time.sleep(CHECK_TO_EFFECT_S)  # a test pauses the process here, between check and effect
                self.effects += 1
                self._send(TrialMessage.EFFECT, fence)
            await asyncio.sleep(EFFECT_INTERVAL_S - CHECK_TO_EFFECT_S)

    def _send(self, kind: TrialMessage, fence: int) -> None:
        message: bytes = msgpack.packb((kind.value, fence))
        for peer in (*self.transport.peers, self.transport.name):
            self.transport.send(peer, CHANNEL, message)

    def _receive(self, sender: str, life: int, data: bytes) -> None:
        fields: Any = msgpack.unpackb(data)
        kind, fence = str(fields[0]), int(fields[1])
        if kind == TrialMessage.SEALED:
            self.sealed.add(sender)
            if len(self.sealed) > len(self.transport.peers):
                self.all_sealed.set()
            return
        accepted = self.fences.accept(self.DUTY.name, fence)
        if kind == TrialMessage.EFFECT:
            logs.event(
                "effect", duty=self.DUTY.name, fence=fence, accepted=accepted, sender=sender, life=life
            )
        elif accepted:
            self.transport.send(sender, CHANNEL, msgpack.packb((TrialMessage.SEALED.value, fence)))
