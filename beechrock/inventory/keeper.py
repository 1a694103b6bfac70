"""Actor that drives ``Watch``: checks the files, runs the reader process, hands over new generations."""

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from beechrock import logs
from beechrock.core.counters import Counters
from beechrock.core.mailbox import Mailbox
from beechrock.inventory import reader, snapshot, watch
from beechrock.inventory.generation import Generation
from beechrock.inventory.plan import Change

Taken = Callable[[Generation], bool]  # Returns False if it must be called again later
Result = TypeVar("Result")
ReadApart = Callable[[Path, Path, int, float], watch.Done]
AGAIN_S = 0.05  # Seconds between calls of ``taken`` while it returns False
KEEP_S = 5.0  # Seconds between attempts to save a generation after a disk error


class Keeper:
    """Keeps the inventory up to date, in one task.

    File stamps are taken in a thread and files are read in a separate process, so neither blocks the event
    loop. ``first`` holds its entries; they are written to the state folder, or to a temporary one, and then
    dropped. A generation that the state folder failed to store is retried until it is stored.
    """

    def __init__(
        self,
        path: Path,
        first: Generation,
        rules: watch.Rules,
        counters: Counters,
        taken: Taken,
        watch_s: float,
        most_removed: float,
        state: Path | None = None,
        clock: Callable[[], float] = time.monotonic,
        read: ReadApart = reader.read_apart,
    ) -> None:
        self.path, self.counters, self.taken, self.watch_s = path, counters, taken, watch_s
        self.most_removed, self.clock, self.read = most_removed, clock, read
        self._first: Generation | None = first
        # An empty stamp, so that a write since ``first`` was read counts as a change.
        self.life = watch.Watch(rules, Generation(first.number, first.digest, first.meaning), ())
        self.state = state
        self._apart: tempfile.TemporaryDirectory[str] | None = None
        self.mailbox: Mailbox[watch.Word] = Mailbox(4)
        self._read_at = 0.0
        # Next attempt to save the generation in force, in clock seconds; None if the state folder has it.
        self._save_retry_at: float | None = None
        self._writing: asyncio.Task[Any] | None = None  # Last write to a folder; it may still be running

    def word(self) -> None:
        """Handle the operator's request to read the files now, or to confirm a held change."""
        self.mailbox.put(watch.Word())

    async def run(self) -> None:
        """Check the files every ``watch_s`` seconds, or at the operator's request, until cancelled."""
        while True:
            alarm = asyncio.get_running_loop().call_later(self.watch_s, self.mailbox.wake)
            await self.mailbox.wait()
            alarm.cancel()
            requests = self.mailbox.drain()
            try:
                await self.look(bool(requests))
            except Exception as error:  # The inventory in force stays; the next round tries again
                self.counters.record_error("inventory", error)

    async def finish(self) -> None:
        """Wait for a running write after ``run`` was cancelled; do not wait for a reader process."""
        if self._writing is not None:
            await asyncio.wait((self._writing,))
        if self._apart is not None:
            with contextlib.suppress(OSError):  # A reader process may still write there
                self._apart.cleanup()

    async def _write(self, step: Callable[..., Result], *arguments: object) -> Result:
        """Run ``step`` in a thread; it continues if this call is cancelled, and ``finish`` waits for it."""
        self._writing = asyncio.create_task(asyncio.to_thread(step, *arguments))
        return await asyncio.shield(self._writing)

    async def look(self, word: bool = False) -> None:
        """Check the files once and carry out every action that results."""
        if self._first is not None:
            await self._write(self._keep_first, self._first)
            self._first = None
        if self._save_retry_at is not None and self.clock() >= self._save_retry_at:
            await self._retry_save()
        stamp = await asyncio.to_thread(reader.stamp, self.path)
        actions = self.life.take(self.clock(), watch.Word() if word else watch.Seen(stamp))
        while actions:
            actions = [more for action in actions for more in await self._carry_out(action)]

    def _keep_first(self, first: Generation) -> None:
        """Save the first generation; fall back to a temporary folder if the state folder fails."""
        if self.state is not None:
            try:
                snapshot.save(self.state, first)
                return
            except OSError as error:
                self._record_save_error(self.state, error)
        if self._apart is None:
            self._apart = tempfile.TemporaryDirectory(prefix="beechrock-")
        snapshot.save(Path(self._apart.name), first)

    @property
    def folder(self) -> Path:
        """Folder that holds the generation in force and the reader's candidate."""
        if self._apart is not None:
            return Path(self._apart.name)
        return self.state if self.state is not None else Path(".")

    async def _carry_out(self, action: watch.Action) -> list[watch.Action]:
        number = self.life.running.number
        match action:
            case watch.Read():
                self._read_at = self.clock()
                done = await asyncio.to_thread(
                    self.read, self.path, self.folder, number + 1, self.most_removed
                )
                return self.life.take(self.clock(), done)
            case watch.Take(new, change, before):
                try:
                    while not self.taken(new):
                        await asyncio.sleep(AGAIN_S)
                except Exception as error:
                    # Tell the watch to go back: it already counts the new generation as running and would
                    # otherwise never take it again.
                    self.counters.record_error("inventory", error)
                    return self.life.take(self.clock(), watch.Undone(before, f"can't be taken up: {error}"))
                await self._adopt()
                self.counters.add("inventory.taken")
                self.counters.set("inventory.generation", new.number)
                self._log_change("inventory.taken", new, change)
            case watch.Hold(new, change):
                self.counters.add("inventory.held")
                self._log_change("inventory.held", new, change, why=list(change.held))
            case watch.Refuse(problems):
                self.counters.add("inventory.refused")
                logs.event("inventory.refused", "error", generation=number, problems=list(problems))
            case watch.Same():
                self.counters.add("inventory.same")
        return []

    async def _adopt(self) -> None:
        """Rename the reader's candidate to the generation in force.

        If that fails, a restart with broken files finds an older generation.
        """
        try:
            await self._write(snapshot.adopt, self.folder / reader.CANDIDATE, self.folder)
        except OSError as error:
            self._record_save_error(self.folder, error)
        else:
            if self._apart is None:  # A save still due belongs to an earlier generation
                self._save_retry_at = None

    async def _retry_save(self) -> None:
        """Retry saving the generation in force to the state folder."""
        # Without this retry, a disk that was full at the start or during a change left the node with no last
        # good inventory, or an older one, until its next start or change.
        if self.state is None:
            return
        found = (self.folder / snapshot.NAME, self.folder / reader.CANDIDATE)
        try:
            kept = await self._write(snapshot.keep_again, found, self.state, self.life.running.digest)
        except OSError as error:
            self._record_save_error(self.state, error)
            return
        self._save_retry_at = None if kept else self.clock() + KEEP_S
        if kept:
            apart, self._apart = self._apart, None
            if apart is not None:
                await self._write(apart.cleanup)
            logs.event("inventory.kept", folder=str(self.state), generation=self.life.running.number)

    def _record_save_error(self, folder: Path, error: OSError) -> None:
        self.counters.add("trouble.inventory_snapshot")
        if self._save_retry_at is None:  # Logged once until a save succeeds
            logs.event(
                "inventory.not_kept",
                "error",
                folder=str(folder),
                why=error.strerror,
                do="look at the disk; it is tried again, and goes on by itself",
            )
        self._save_retry_at = self.clock() + KEEP_S

    def _log_change(self, name: str, new: Generation, change: Change, **more: object) -> None:
        fields = {
            "generation": new.number,
            "digest": new.digest[:12],
            **change.counts,
            "took_s": round(self.clock() - self._read_at, 3),
            **more,
        }
        logs.event(name, "info", **fields)
