"""The actor of an edge's member and of upstream: it handles events in turns. Thin.

In each turn the events since the last one are passed to the pure modules, then the stores are synced in a
thread, once for the whole turn, and only then answers, messages and runs go out.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock import clocks, logs
from beechrock.core.requests import Request
from beechrock.edges.actions import Accepted, Action, Done, Noted, Run, Send, Turned
from beechrock.edges.errors import EdgeError, EdgeSettingError, UnknownReceiptError
from beechrock.edges.member import MARKS, Member
from beechrock.edges.recovering import CHECK_BYTES, STOPPED_DO, Disk, Recovering, heals, no_room
from beechrock.edges.runs import Runs
from beechrock.edges.told import Told
from beechrock.edges.words import MIN_FENCE, Offer, Settle, StraightDone, pack, unpack
from beechrock.errors import OperatorError
from beechrock.net.scgi_codec import ScgiError
from beechrock.net.scgi_reply import Reply
from beechrock.parts import Context
from beechrock.store import folder as state_folder
from beechrock.store.errors import StoreFailedError, at_start
from beechrock.store.log import Store
from beechrock.store.witness import Witness

if TYPE_CHECKING:
    from beechrock.inventory.model import Inventory
    from beechrock.talk.part import Talk

CHANNEL = "edges"
TICK_S = 0.02
MAX_EVENTS = 20_000  # Maximum number of waiting events; further messages are dropped and sent again
CHECK_FILE = "edges.room"  # File that a disk check writes and removes again
Event = Callable[[float, float], list[Action]]


class EdgesPart:
    """The edges on one node: ``member`` if the node belongs to an edge, ``runs`` if it is upstream."""

    def __init__(self, told: Told, context: Context) -> None:
        self.told, self.context, self.name = told, context, context.name
        self.module, self.counters = context.module, context.counters
        talk = context.parts.get("fleet")
        if talk is None or context.program.scgi is None:
            raise EdgeSettingError(
                "the tables fleet and an SCGI front are needed",
                where="edges",
                do="switch [fleet] on, and name an inventory",
            )
        if told.at_edge and self.name not in told.members:
            raise EdgeSettingError(
                f"this node, {self.name}, is none of the members",
                where="edges: members",
                wanted="the names of all members, this node's own among them",
            )
        self.talk: Talk = talk
        self.key = talk.key
        self.duties = context.parts.get("duties")
        self.events: list[Event] = []
        self.wake = asyncio.Event()
        self.disk = Recovering()
        folder = self.talk.told.state
        with at_start(folder):
            at = self.files = state_folder.open_folder(folder)
            at.remove(CHECK_FILE)
        self.member: Member | None = None
        self.runs: Runs | None = None
        if told.at_edge:
            store = Store.open(at, "edge", Member.rules(told))
            self.member = Member(self, told, store, Witness(at, "edge.witness"))
        if told.upstream_here:
            self.runs = Runs(self, Store.open(at, "marks", Runs.rules(told.most_bytes)), at)
        self.stores = [owner.store for owner in (self.member, self.runs) if owner is not None]
        self.all_stores = [*self.stores, *([self.runs.named.fences] if self.runs and self.runs.named else [])]
        self.talk.on(CHANNEL, self._heard)
        context.program.scgi.edges = self
        context.views["/edges"] = self.view
        self.named = self.runs.named if self.runs is not None else None
        if self.member is not None or self.named is not None:
            context.calls["/edges/release"] = lambda query: self._release(query.get("receipt", ""))
        if self.member is not None:
            member = self.member
            if self.duties is not None:
                from beechrock.duties.model import Duty, Kind

                hall = self.talk.hall
                self.duties.declare(Duty(f"edge:{told.edge}", Kind.HALL, hall, (hall,)), member)
            context.calls["/edges/discard"] = lambda query: member.order(query.get("receipt", ""), "discard")
            context.calls["/edges/state"] = lambda query: member.state(query.get("receipt", ""))

    @property
    def broken(self) -> bool:
        """Whether this part has stopped until the node is restarted."""
        return self.disk.state is Disk.STOPPED

    @property
    def inventory(self) -> "Inventory":
        """The inventory in force."""
        found: Inventory = self.context.program.meaning
        return found

    def team(self, request: Request) -> str:
        tenants = self.module.settings.tenants
        return tenants[request.tenant].name if request.tenant is not None else ""

    # --- incoming requests and messages

    def takes(self, request: Request, headers: dict[str, str], send_reply: Callable[[Reply], None]) -> bool:
        """Return whether this part answers a request; after a stop the service goes on without it."""
        if self.broken:
            terms = self.inventory.when_cut.get((self.team(request), request.route), {})
            if terms.get("when_cut") == "queue":  # Without the marks it could run twice
                raise ScgiError(503, "this node's queue has failed")
            return False
        if self.member is not None:
            return self.member.callers.takes(request, headers, send_reply)
        return self.runs is not None and self.runs.takes(request, headers, send_reply)

    def post(self, event: Event) -> None:
        self.events.append(event)
        self.wake.set()

    def _heard(self, sender: str, life: int, message: bytes) -> None:
        if len(self.events) > MAX_EVENTS:
            self.counters.add("edges.dropped")
            return
        try:
            word = unpack(message)
        except EdgeError as error:
            self.counters.record_error("edges", error)
            return

        def turn(now: float, now_s: float) -> list[Action]:
            out: list[Action] = []
            if self.member is not None:
                self.member.check_mark(sender, word)
                out += self.member.edge.hear(now, now_s, sender, word)
            if self.runs is not None:
                self.runs.hear(now, now_s, sender, word)
            return out

        self.post(turn)

    # --- turns

    async def listen(self) -> None:
        """Do nothing: this part uses the fleet's links."""

    async def run(self) -> None:
        while not self.broken:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), TICK_S)
            self.wake.clear()
            await self.step()

    async def step(self) -> None:
        """Check the disk if a check is due, then take a turn."""
        try:
            if self.disk.due(clocks.mono()):
                await self._check_disk()
            await self._turn()
        except (OSError, OperatorError) as error:
            if heals(error):
                self.fell(clocks.mono(), error)
            else:
                assert isinstance(error, OperatorError)
                self._stop(error)

    async def _turn(self) -> None:
        now, now_s = clocks.mono(), clocks.wall()
        events, self.events = self.events, []
        out: list[Action] = []
        if self.runs is not None:
            self.runs.begin()
        for event in events:
            self._note_disk_errors(now, lambda event=event: out.extend(event(now, now_s)))  # type: ignore[misc]
        if (member := self.member) is not None:
            member.follow(self.inventory)
            # A failed read of a write that was to be offered once stopped the queue for good.
            self._note_disk_errors(now, lambda: out.extend(member.edge.duty(self._fence(), now)))
            self._note_disk_errors(now, lambda: out.extend(member.edge.tick(now, now_s)))
            self._note_disk_errors(now, member.trust_proven)
            if (met := member.edge.copies.disk_error) is not None:
                member.edge.copies.disk_error = None
                self.fell(now, met)
        if self.named is not None and self.runs is not None:
            self.runs.expire(now)
            self._note_disk_errors(now, self._before_sync)
        await self._synced(now)
        if self.runs is not None:
            out += self.runs.finish_turn()
        if self.named is not None and self.disk.running:
            out += self.named.after_sync()
        for action in out if member is None else member.filter_promises(out):
            self._carry_out(action)
        if member is not None and not member.store.failed:
            member.edge.compact()
        if self.runs is not None and self.disk.running:
            (self.named or self.runs.upstream).compact()
        for store in self.all_stores:  # A snapshot or a fence may have failed to be written
            if store.failed:
                self.fell(now, StoreFailedError(store.failed, where=str(self.files.folder / store.prefix)))

    async def _synced(self, now: float) -> None:
        """Sync the records of this turn; if that fails, none of them counts.

        See ``Runs.fell`` and ``Member.filter_promises``.
        """
        stores = [
            store
            for store in self.stores
            if not store.failed
            and store.synced < store.last
            and (self.runs is None or store is not self.runs.store or not self.runs.fallen)
        ]  # Records that are to be cut again are not made durable
        if not stores:
            return
        for store, error in await asyncio.to_thread(self._sync, stores):
            if self.runs is not None and store is self.runs.store:
                self.runs.fell(now, error)
            else:
                self.fell(now, error)
        if self.member is not None:  # Other nodes remember the marks of these folders
            self.member.edge.folder = self.member.store.mark().to_bytes()
        if self.runs is not None and self.named is None:
            self.runs.upstream.folder = self.runs.store.mark().to_bytes()

    def _before_sync(self) -> None:
        """Send new records to the other named nodes, so that their disks sync while this one does."""
        if self.named is not None and self.disk.running:
            for action in self.named.before_sync(clocks.mono()):
                self._carry_out(action)

    def _sync(self, stores: list[Store]) -> list[tuple[Store, StoreFailedError]]:
        """Sync stores, and return those that failed with their errors."""
        failed = []
        for store in stores:
            try:
                store.sync()
            except StoreFailedError as error:
                failed.append((store, error))
        return failed

    # --- full or failing disks

    def _note_disk_errors(self, now: float, do: Callable[[], None]) -> None:
        """Call ``do`` and note a disk error that can heal, instead of raising it.

        Writes and copies handle a full disk themselves. Here it is an operator's order, the mark of another
        folder, or a read that fails.
        """
        try:
            do()
        except (OSError, OperatorError) as error:
            if not heals(error):
                raise
            self.fell(now, error)

    def fell(self, now: float, error: Exception) -> None:
        """Refuse everything that needs the disk until a check finds that it works again."""
        if not self.disk.fell(now, error):
            return
        name = "edges.disk_full" if no_room(error) else "edges.disk_failing"
        logs.event(name, "warning", what=self.disk.reason, wait_s=self.disk.wait_s, do=self.disk.do)
        self.counters.add(name)
        self._update_copies()
        if self.runs is not None:
            self.runs.fail_callers()

    def _update_copies(self) -> None:
        if self.member is not None:
            copies = self.member.edge.copies
            copies.full, copies.disk = not self.disk.running, self.disk.message

    async def _check_disk(self) -> None:
        met: Exception | None = None
        try:
            await asyncio.to_thread(self._write_check_file)
            # After a failed sync the next one succeeds though the kernel has dropped the data, so all records
            # that are not known to be durable are rewritten.
            for store in self.all_stores:
                await asyncio.to_thread(store.rewrite)
            if self.runs is not None:
                await self.runs.reload()
        except (OSError, OperatorError) as error:
            if not heals(error):
                raise
            met = error
        self.disk.tried(clocks.mono(), met is None, met)
        self._update_copies()
        if met is None:
            logs.event("edges.disk_room", looks=self.disk.looks)

    def _write_check_file(self) -> None:
        """Write, sync and remove a test file, in a thread.

        Raises OSError if the disk takes no writes yet.
        """
        try:
            self.files.write(CHECK_FILE, 0, bytes(CHECK_BYTES))
            self.files.sync(CHECK_FILE)
        finally:
            self.files.remove(CHECK_FILE)

    def _stop(self, error: OperatorError) -> None:
        """Stop this part for good; waiting callers are told that their write failed and may still run."""
        error.do = error.do or STOPPED_DO
        self.disk.stop(clocks.mono(), error)
        logs.event("edges.stopped", "error", **error.fields())
        self.counters.record_error("edges", error)
        if self.member is not None:
            self.member.callers.fail_all(b"this node's queue has failed; it may still run\n")
        if self.runs is not None:
            self.runs.fail_callers()

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send(to, word):
                if (
                    isinstance(word, StraightDone)
                    and to == self.name
                    and self.runs is not None
                    and (self.runs.answer(word))
                ):
                    return
                # The sync may have taken long and the lease may have expired, so the fence is checked again.
                if isinstance(word, Offer | Settle) and self._fence() != word.fence:
                    self.counters.add("edges.offers_kept_back")
                    return
                self.talk.send(
                    to, CHANNEL, pack(self.named.with_mark(word) if self.named is not None else word)
                )
            case Run() if self.named is not None and not self.named.may():
                self.named.report_not_run(action)
            case Run() if self.runs is not None:
                self.runs.run(action)
            case Noted() if self.runs is not None:
                self.runs.note(action)
            case Accepted() | Turned() | Done() if self.member is not None:
                self.member.callers.answer(action)

    def _fence(self) -> int | None:
        if self.duties is not None:
            found: int | None = self.duties.may(f"edge:{self.told.edge}")
            return found
        # Fences without duties are below every log index, so that a fleet may enable duties later.
        return int(self.talk.life) + MIN_FENCE if self.told.replayer == self.name else None

    async def leave(self) -> None:
        """Do nothing: queued writes stay on disk, and the duties part gives the duty back."""

    def close(self) -> None:
        for store in self.stores:
            store.close()
        if self.named is not None:
            self.named.close()

    def _release(self, receipt: str) -> dict[str, str]:
        if self.named is not None and receipt == MARKS:
            self.named.order("release")
            if self.member is None:
                return {"receipt": receipt, "order": "release"}
        if self.member is None:
            raise UnknownReceiptError(
                f"{receipt!r}",
                where="receipt",
                wanted=MARKS,
                do="ask a member of the edge that gave the receipt",
            )
        return self.member.order(receipt, "release")

    def view(self) -> dict[str, Any]:
        return {
            **({"member": self.member.view()} if self.member is not None else {}),
            **({"upstream": self.runs.view()} if self.runs is not None else {}),
            "broken": self.broken,
            "disk": self.disk.view(clocks.mono()),
        }


def begin(told: object, context: Context) -> EdgesPart:
    """Create the part.

    Raises EdgeSettingError, or StoreDamagedError and similar errors if the state folder cannot be used.
    """
    assert isinstance(told, Told)
    return EdgesPart(told, context)
