"""The replica as a part of its node: connects the core to the channel ``replica`` of talk/, the disk's
thread, the leases in agree/ and its callers.

Other parts use ``put``, ``delete``, ``own``, ``get`` and ``on(kind, changed)``; ``await kept(name)`` waits
until a majority's disks hold a change. All decisions are in ``core``, ``leases``, ``holder`` and
``spending``.
"""

import asyncio
import os
import secrets
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from beechrock import clocks, logs
from beechrock.errors import OperatorError
from beechrock.parts import Context
from beechrock.replica import journal, operators
from beechrock.replica.budgets import Leasing
from beechrock.replica.core import Core
from beechrock.replica.disk import Disk
from beechrock.replica.errors import NotKeptError, ReplicaError
from beechrock.replica.heard import Say
from beechrock.replica.messages import Formats, Hello, Message, decode, encode
from beechrock.replica.table import named, spending_key
from beechrock.replica.told import ReplicaSettings
from beechrock.store.errors import StoreError, StoreFailedError, StoreFullError
from beechrock.store.folder import open_folder

if TYPE_CHECKING:
    from beechrock.replica.advice import Advising

CHANNEL = "replica"
TICK_S = 0.05  # Seconds between two ticks.
IDLE_TICKS = 5  # While the core is idle, only one of this many ticks runs; that halved an idle node's cost.
GATHER_S = 0.005  # Seconds in which writes are collected for one sync.
DISK_RETRY_S = 5.0  # Seconds until a full or failing disk is tried again.
# Maximum number of messages that wait for a sync. Beyond it the oldest are dropped; the protocol sends them
# again.
MAX_WAITING = 65_536


class Replica:
    """This node's replicated records, and its side of the leases."""

    def __init__(
        self,
        settings: ReplicaSettings,
        context: Context,
        talk: Any,
        agree: Any | None,
        clock: Callable[[], float] = clocks.boot,
    ) -> None:
        self.settings, self.context, self.talk, self.clock = settings, context, talk, clock
        self.counters = context.counters
        self.disk = Disk(open_folder(talk.told.state / "replica"), int(settings.most_mb))
        self.core: Core = self.disk.core(
            talk.name,
            f"{talk.name}/{secrets.token_hex(8)}",
            talk.peers,
            secrets.randbits(32),
            repair_s=settings.repair_s,
            give_bytes_per_s=1024 * settings.give_kb_per_s,
            most_records=int(settings.most_records),
        )
        self.core.changed = self._changed
        self.kinds = self.core.kinds
        self.listeners: dict[str, list[Callable[[str], None]]] = {}
        self.waiting: list[Say] = []  # Messages that wait for a sync.
        self.synced = 0  # Number of changes that are on disk.
        self.writes_due = asyncio.Event()  # Set when there may be something to write or to send.
        self.broken: OperatorError | None = None
        self.refused = False  # Whether the disk refused the newest changes.
        self.last_logged: tuple[Any, ...] = ()  # Stage and older peers as last logged.
        self.sent_bytes: Counter[str] = Counter()  # Bytes sent, by type of message.
        self.received_bytes: Counter[str] = Counter()  # Bytes received, by type of message.
        self.formats = Formats()
        self.trial: Any | None = None
        self.leasing = Leasing(self, agree) if agree is not None and settings.leases else None
        self.advising: Advising | None = None
        if settings.advice and context.program.servers is not None:
            from beechrock.replica import advice

            self.advising = advice.Advising(self, context.program.servers)
        talk.on(CHANNEL, self._receive)

    # --- for the other parts

    def put(self, kind: str, key: str, value: bytes) -> bytes:
        """Write a value in place of all that this node knows; return the record's name. Raises ReplicaError
        if refused."""
        return self._change(lambda: self.core.write(kind, key, value))

    def delete(self, kind: str, key: str) -> bytes:
        """Delete a record; return its name. Raises UnknownRecordError if there is none."""
        return self._change(lambda: self.core.write(kind, key, None))

    def own(self, kind: str, key: str, value: bytes) -> bytes:
        """Write a record whose key only this node writes; return its name."""
        return self._change(
            lambda: self.core.own_change(self.core.table.own(kind, key, self.talk.life, value))
        )

    def tally(self, kind: str, key: str, spent: float, back: float) -> None:
        """Set the total amounts that this start of the node has spent and given back."""
        name = self.core.table.tally(kind, key, spent, back)
        if name is not None:
            self._change(lambda: self.core.own_change(name))

    def get(self, kind: str, key: str) -> bytes | None:
        """Return the value in effect, chosen by the kind's rule if there are conflicting values; None if
        there is none."""
        return self.core.table.acting(kind, key)

    def on(self, kind: str, changed: Callable[[str], None]) -> None:
        """Call ``changed(key)`` after each change of a record of this kind, by any node; it must not
        block."""
        self.listeners.setdefault(kind, []).append(changed)

    async def kept(self, name: bytes, within_s: float = 5.0) -> None:
        """Wait until a majority's disks hold the record's present state. Raises NotKeptError after
        ``within_s`` seconds; the change is still sent to the others."""
        done = asyncio.Event()
        waiter = self.core.when_kept(name, done.set)
        try:
            async with asyncio.timeout(within_s):
                await done.wait()
        except TimeoutError:
            raise NotKeptError(
                f"no majority within {within_s:g} s",
                where=" ".join(named(name)),
                do="see /replica for the peers that are present; the change is still sent to them",
            ) from None
        finally:
            self.core.waiters.drop(waiter)

    def resolve(self, kind: str, key: str, value: bytes | None) -> bytes:
        """Replace all values of a record, and the state set aside, by one value; None deletes. Return its
        name."""
        return self._change(lambda: self.core.resolve(kind, key, value))

    def _change(self, change: Callable[[], bytes]) -> bytes:
        if self.broken is not None:
            raise ReplicaError(str(self.broken), where="replica", do="see /replica")
        name = change()
        self.writes_due.set()
        return name

    def _changed(self, name: bytes) -> None:
        kind, key = named(name)
        for listener in self.listeners.get(kind, ()):
            try:
                listener(key)
            except Exception as error:  # A fault in one listener must not keep the others from being called.
                self.counters.record_error(f"replica.{kind}", error)

    # --- as a part of its node

    async def listen(self) -> None:
        """Do nothing: the replica has no socket of its own, it uses the links of [fleet]."""

    async def run(self) -> None:
        """Run until cancelled. After an error the replica stops, and the node goes on serving."""
        if self.settings.trial_per_s:
            from beechrock.replica.trial import Trial

            self.counters.spawn(Trial(self).run(), "replica.trial")
        work: list[Coroutine[Any, Any, None]] = [self._run_ticks(), self._run_disk()]
        if self.leasing is not None:
            work.append(self.leasing.run())
        if self.advising is not None:
            work.append(self.advising.run())
        async with asyncio.TaskGroup() as tasks:
            for coroutine in work:
                tasks.create_task(self._guard(coroutine))

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except (ReplicaError, StoreError) as error:
            self._fail(error)

    def _fail(self, error: OperatorError) -> None:
        if self.broken is None:
            self.broken = error
            logs.event(error.event, "error", **error.fields())
            if self.leasing is not None:
                self.leasing.stop()

    async def leave(self) -> None:
        """Give back the unspent amounts of all leases."""
        if self.leasing is not None and self.broken is None:
            await self.leasing.leave()

    def close(self) -> None:
        self.disk.store.close()

    async def _run_ticks(self) -> None:
        turn = 0
        while self.broken is None:
            if turn % IDLE_TICKS == 0 or self.core.busy:
                self._send_after_sync(self.core.tick(self.clock()))
                self._log_changes()
                if self.core.writes or self.core.reset:
                    self.writes_due.set()
            turn += 1
            await asyncio.sleep(TICK_S)

    def _receive(self, sender: str, life: int, data: bytes) -> None:
        if self.broken is not None:
            return
        try:
            message, held = decode(data)
            self.formats.received(sender, life, 1 if held is None else 2)
            self.received_bytes[type(message).__name__] += len(data)
            self._send_after_sync(self.core.take(self.clock(), sender, message, held))
            if isinstance(message, Hello):
                self._log_changes()  # Logged now, as the verdict may have changed by the next tick.
                # A new mark has to be saved even if nothing else is written. Otherwise this node would not
                # know the peer's accepted store after a restart, and take it for another one.
                if self.disk.marks_unsaved:
                    self.writes_due.set()
        except ReplicaError as error:
            if error.event == "replica.broken":
                return self._fail(error)
            self._count_refused()
        except StoreError:
            self._count_refused()  # The message held an invalid mark.

    def _count_refused(self) -> None:
        self.counters.add("replica.refused")
        self.core.refused += 1  # So that ``refused`` in the view also counts messages of an unknown format.

    def _send_after_sync(self, messages: list[Say]) -> None:
        for say in messages:
            if say.after > self.synced:
                self.waiting.append(say)
            else:
                self._send(say.to, say.message)
        if self.waiting:
            del self.waiting[:-MAX_WAITING]
            self.writes_due.set()

    def _send(self, to: str, message: Message) -> None:
        name = type(message).__name__
        new = self.formats.format_for(to, name == "Hello") > 1
        data = encode(message, self.disk.held() if new else None)
        if self.talk.send(to, CHANNEL, data):
            self.sent_bytes[name] += len(data)
        elif name == "Batch":
            self.core.spread.requeue_unsent(to, message.n, self.clock())  # type: ignore[union-attr]

    # --- the disk, one operation at a time

    async def _run_disk(self) -> None:
        while self.broken is None:
            await self.writes_due.wait()
            await asyncio.sleep(GATHER_S)
            self.writes_due.clear()
            seq = self.core.table.seq
            if self.disk.append(self.core):
                try:
                    await asyncio.to_thread(self.disk.sync)
                except (StoreFullError, StoreFailedError) as error:
                    await self._handle_disk_error(error)
                    continue
                if self.refused:
                    self.refused = False
                    logs.event("replica.disk_room")
            self.synced = max(self.synced, seq)
            ready = [say for say in self.waiting if say.after <= self.synced]
            self.waiting = [say for say in self.waiting if say.after > self.synced]
            for say in ready:
                self._send(say.to, say.message)
            # Sends own changes without waiting for the next tick.
            self._send_after_sync(self.core.tick(self.clock()))
            if self.disk.long:
                await self._compact()

    async def _handle_disk_error(self, error: StoreFullError | StoreFailedError) -> None:
        """Handle a failed write or sync: make room in a full store by a snapshot, or else wait and try
        again."""
        self.refused = True
        self.counters.add("replica.disk_full")
        logs.event("replica.disk_full", "warning", **error.fields())
        if isinstance(error, StoreFailedError) or not await self._compact():
            await asyncio.sleep(DISK_RETRY_S)
            self.writes_due.set()

    async def _compact(self) -> bool:
        """Write a snapshot in place of the log; return whether it was written. Changes made meanwhile are
        logged after it."""
        index, parts, aside = self.disk.store.last, list[bytes](), len(self.core.aside)
        noted = len(self.disk.pending)  # Entries that a full disk refused: the snapshot contains them.
        for part in journal.snapshot(self.core):
            parts.append(part)
            await asyncio.sleep(0)
            if self.core.reset or len(self.core.aside) > aside:
                return False  # Records were set aside meanwhile, so this snapshot would be inconsistent.
        try:
            await asyncio.to_thread(self.disk.save, index, parts)
        except (StoreFullError, StoreFailedError) as error:
            logs.event(error.event, "warning", **error.fields())
            return False
        del self.disk.pending[:noted]
        self.writes_due.set()
        return True

    # --- events

    def _log_changes(self) -> None:
        """Log each change of the stage, and each change of the peers whose stores are older than known."""
        stage = self.core.catchup.stage.value
        if self.last_logged[:1] != (stage,):
            logs.event(
                "replica.stage",
                stage=stage,
                forgot=self.core.catchup.forgot,
                records=len(self.core.table.records),
            )
        # The opening is compared too, so that a peer that comes back older twice in a second is logged twice.
        older = sorted(
            (peer, state.opening)
            for peer, state in self.core.peer_states.items()
            if state.verdict in ("older", "other")
        )
        if older and self.last_logged[1:] != (older,):
            logs.event("replica.older", "warning", peers=[name for name, _ in older])
        self.last_logged = (stage, older)

    def spent(self, team: str, period: int, spent: float, back: float) -> None:
        """Record and log the total amounts that this start of the node has spent and given back in a
        period."""
        self.tally("spending", spending_key(team, period), spent, back)
        logs.event("budget.spent", team=team, period=period, spent=spent, back=back, life=self.talk.life)


def begin(settings: object, context: Context) -> Replica:
    """Return the part. Raises ReplicaError without [fleet], and StoreError if its folder cannot be used."""
    assert isinstance(settings, ReplicaSettings)
    if "fleet" not in context.parts:
        raise ReplicaError("[fleet] is not enabled", where="replica", do="enable [fleet], or not [replica]")
    talk = context.parts["fleet"]
    os.makedirs(talk.told.state, exist_ok=True)
    replica = Replica(settings, context, talk, context.parts.get("agree"))
    operators.register(replica, context)
    return replica
