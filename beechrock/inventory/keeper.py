"""The actor round ``Watch``: looks at the files, reads them apart, hands on what is to be taken."""

import asyncio
import functools
import time
from collections.abc import Callable
from pathlib import Path

from beechrock import logs
from beechrock.core.counters import Counters
from beechrock.core.mailbox import Mailbox
from beechrock.inventory import reader, snapshot, watch
from beechrock.inventory.plan import Plan

Taken = Callable[[Plan], bool]      # False: not now, ask again soon
AGAIN_S = 0.05


class Keeper:
    """One task. Files are looked at and read off the event loop; its mailbox takes the operator's word."""

    def __init__(
        self, path: Path, life: watch.Watch, counters: Counters, taken: Taken, watch_s: float,
        state: Path | None = None, clock: Callable[[], float] = time.monotonic,
        read: Callable[[Path, int], watch.Done] = reader.read_apart,
    ) -> None:
        self.path, self.life, self.counters, self.taken = path, life, counters, taken
        self.watch_s, self.state, self.clock, self.read = watch_s, state, clock, read
        self.mailbox: Mailbox[watch.Word] = Mailbox(4)
        self._read_at = 0.0

    def word(self) -> None:
        """The operator asks to read now, or gives leave to what is held."""
        self.mailbox.put(watch.Word())

    async def run(self) -> None:
        """For as long as the node lives."""
        await self._save()
        while True:
            alarm = asyncio.get_running_loop().call_later(self.watch_s, self.mailbox.wake)
            await self.mailbox.wait()
            alarm.cancel()
            words = self.mailbox.drain()
            try:
                await self.look(bool(words))
            except Exception as error:      # the inventory in force goes on, and is looked at again
                self.counters.trouble("inventory", error)

    async def look(self, word: bool = False) -> None:
        """One look at the files, and all that follows from it."""
        stamp = await asyncio.to_thread(reader.stamp, self.path)
        actions = self.life.take(self.clock(), watch.Word() if word else watch.Seen(stamp))
        while actions:
            actions = [more for action in actions for more in await self._carry_out(action)]

    async def _carry_out(self, action: watch.Action) -> list[watch.Action]:
        number = self.life.running.number
        match action:
            case watch.Read():
                self._read_at = self.clock()
                done = await asyncio.to_thread(self.read, self.path, number + 1)
                return self.life.take(self.clock(), done)
            case watch.Take(plan):
                while not self.taken(plan):
                    await asyncio.sleep(AGAIN_S)
                self.counters.add("inventory.taken")
                self.counters.set("inventory.generation", plan.new.number)
                await self._save()
                self._tell("inventory.taken", plan)
            case watch.Hold(plan):
                self.counters.add("inventory.held")
                self._tell("inventory.held", plan, why=list(plan.held))
            case watch.Refuse(problems):
                self.counters.add("inventory.refused")
                logs.event("inventory.refused", "error", generation=number, problems=list(problems))
            case watch.Same():
                self.counters.add("inventory.same")
        return []

    def _tell(self, name: str, plan: Plan, **more: object) -> None:
        fields = {"generation": plan.new.number, "digest": plan.new.digest[:12], **plan.counts(),
                  "took_s": round(self.clock() - self._read_at, 3), **more}
        logs.event(name, "info", **fields)

    async def _save(self) -> None:
        """Keep the generation in force for a start with broken files; a full disk costs only that."""
        if self.state is None:
            return
        try:
            await asyncio.to_thread(functools.partial(snapshot.save, self.state, self.life.running))
        except OSError as error:
            self.counters.add("trouble.inventory_snapshot")
            logs.event("inventory.not_kept", "error", folder=str(self.state), why=error.strerror)
