"""The laboratory's duty: its holder sends an effect to every node each 20 ms; receivers keep the fence.

Only with ``trial = true`` in [duties]. Between the check and the act there is a gap of ``GAP_S`` in which the
process does nothing else, so that a test that stops it hits that place about as often as not.
``POST /duties/trial?works=no`` at a node: as holder it does nothing there, and reports that work waits.
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
EFFECT_INTERVAL_S = 0.02
CHECK_TO_EFFECT_S = 0.01  # between the check and the act
SEAL_RETRY_S = 0.1  # from one sending of the fence to the next
SEAL_TIMEOUT_S = 0.5  # for receivers to say that they have the fence; one that is down has it from its log


class TrialMessage(StrEnum):
    """The kinds of messages between holder and receivers."""

    SEAL = "seal"  # keep this fence
    SEALED = "sealed"  # it is kept
    EFFECT = "effect"


class TrialWorker:
    """The worker of the duty, and the receiver of its effects."""

    DUTY: ClassVar[Duty] = Duty("trial", Kind.FLEET)

    def __init__(self, duties: "Duties", context: Context) -> None:
        self.duties = duties
        self.transport = context.parts["fleet"]
        self.counters = context.counters
        self.store = Store.open(open_folder(self.transport.settings.state), "trial")
        self.fences = Fences(self.store, floor=duties.floor)
        self.task: asyncio.Task[None] | None = None
        self.sealed: set[str] = set()  # receivers that have the fence
        self.all_sealed = asyncio.Event()
        self.effects = 0
        self.working = True
        self.transport.on(CHANNEL, self._receive)
        context.calls["/duties/trial"] = self._set_working

    def _set_working(self, query: dict[str, str]) -> dict[str, bool]:
        self.working = query.get("works") != "no"
        return {"works": self.working}

    async def take_over(self, fence: int) -> None:
        """Let the receivers keep the fence, then send effects."""
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
        """Stop: nothing is in hand."""
        self.lost()

    def lost(self) -> None:
        """Stop sending effects."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def progress(self) -> tuple[int, int]:
        """Return the effects sent; there is always one more to send."""
        return self.effects, 1

    async def _run(self) -> None:
        while True:
            fence = self.duties.may(self.DUTY.name)
            if fence is not None and self.working:
                logs.event("trial.act", fence=fence)
                time.sleep(CHECK_TO_EFFECT_S)  # here a test stops the process
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
