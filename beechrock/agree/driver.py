"""Drives the core of the agreed log: events in, its actions executed in their order.

A write is queued for the disk task, all else is done at once. States: taking part; broken, after a broken
invariant or a failed disk: then it does not lead, no event reaches the core any more, and the node serves on.
Events: ticks, messages, writes that are synced, proposals and reads of this node. Times are of the monotonic
clock.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from beechrock import logs
from beechrock.agree import codec
from beechrock.agree.core import ConsensusCore
from beechrock.agree.disk import Disk
from beechrock.agree.errors import AgreeError, BadMessageError
from beechrock.agree.machines import StateMachines
from beechrock.agree.messages import (
    Action,
    Apply,
    ForwardedProposal,
    LeadershipChanged,
    Message,
    Persist,
    ProposalRejected,
    ReadIndexReady,
    Readmitted,
    Restore,
    Send,
)
from beechrock.agree.proposal_client import ProposalClient
from beechrock.agree.read_client import ReadClient
from beechrock.agree.rules import MAX_APPEND_ENTRIES
from beechrock.agree.term_state import Role
from beechrock.errors import OperatorError
from beechrock.talk.part import PeerTransport

CHANNEL = "agree"
COMMIT_EVENT_EACH = 16  # every so many commits one is an event, with its digest
COMPACT_PART = 4  # a snapshot is taken once the log holds this part of its bound


class LeadershipListeners:
    """Who is called with True once this node leads and has applied all before, with False when that ends."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[bool], None]] = []
        self._reported = False

    def add(self, listener: Callable[[bool], None]) -> None:
        """Register a listener."""
        self._listeners.append(listener)

    def report(self, leading: bool) -> None:
        """Call the listeners where that has changed."""
        if leading is not self._reported:
            self._reported = leading
            for listener in self._listeners:
                listener(leading)


class CoreDriver:
    """One member of the log at this node: its core, its disk, and the machines that it applies entries to."""

    def __init__(
        self,
        core: ConsensusCore,
        disk: Disk,
        transport: PeerTransport,
        machines: StateMachines,
        proposals: ProposalClient,
        reads: ReadClient,
        listeners: LeadershipListeners,
        counters: Any,
        clock: Callable[[], float],
    ) -> None:
        self.core = core
        self.disk = disk
        self.broken: OperatorError | None = None
        self._name = transport.name
        self._rules = core.context.rules
        self._transport = transport
        self._machines = machines
        self._proposals = proposals
        self._reads = reads
        self._listeners = listeners
        self._counters = counters
        self._clock = clock
        self._followed = ""  # the leader at the last event
        self._flush_scheduled = False
        self._stopped = asyncio.Event()  # never set: a broken member waits for its end

    @property
    def leader(self) -> str:
        """The node that this one follows, or empty."""
        return "" if self.broken else self.core.leader

    @property
    def applied(self) -> int:
        """The index up to which the machines have applied the log."""
        return self.core.applied

    def leading(self) -> bool:
        """Return whether this node holds a valid lease now."""
        return not self.broken and self.core.leading(self._clock())

    # --- running ---------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Tick and write until cancelled; after an error the node takes no further part, and serves on."""
        ticking = asyncio.ensure_future(self._tick())
        writing = asyncio.ensure_future(self.disk.run(self._on_written))
        try:
            done, _ = await asyncio.wait({ticking, writing}, return_when=asyncio.FIRST_EXCEPTION)
            for task in done:
                task.result()
        except OperatorError as error:
            self._stop_taking_part(error)
            await self._stopped.wait()
        except OSError as error:
            self._stop_taking_part(
                AgreeError(
                    str(error),
                    where=f"disk of the agreed log at {self._name}",
                    do="look at the disk, then start the node again",
                )
            )
            await self._stopped.wait()
        finally:
            for task in (ticking, writing):
                task.cancel()
            await asyncio.gather(ticking, writing, return_exceptions=True)

    async def _tick(self) -> None:
        while not self.broken:
            self.run_event(lambda: self.core.tick(self._clock()))
            self._proposals.forward_due(self)
            await asyncio.sleep(self._rules.tick_s)

    def _on_written(self, number: int) -> None:
        self.run_event(lambda: self.core.on_written(self._clock(), number))

    def run_event(self, event: Callable[[], list[Action]]) -> None:
        """Execute the actions of an event of the core; nothing once it is broken."""
        if self.broken:
            return
        try:
            self.execute(event())
        except OperatorError as error:
            self._stop_taking_part(error)

    def _stop_taking_part(self, error: OperatorError) -> None:
        if self.broken:
            return
        self.broken = error
        logs.event(error.event, "error", node=self._name, **error.fields())
        self._counters.add("agree.broken")
        self._report_leadership()

    # --- messages, proposals, reads --------------------------------------------------------------------

    def receive(self, sender: str, data: bytes) -> None:
        """Take a message of another node in."""
        if self.broken:
            return
        try:
            message = codec.decode(data)
        except BadMessageError:
            self._counters.add("agree.bad_messages")
            return
        match message:
            case ForwardedProposal():
                self._on_proposal(sender, message)
            case ProposalRejected():
                self._proposals.on_rejected(message)
            case _:
                self.run_event(lambda: self.core.receive(self._clock(), sender, message))

    def _send(self, to: str, message: Message) -> None:
        if not self._transport.send(to, CHANNEL, codec.encode(message)):
            self._counters.add("agree.unsent")  # it is sent again

    def submit(self, message: ForwardedProposal) -> None:
        """Send a proposal of this node to the leader, or append it where that is this node."""
        if self.leader == self._name:
            self._on_proposal(self._name, message)
        else:
            self._send(self.leader, message)

    def _on_proposal(self, sender: str, message: ForwardedProposal) -> None:
        """Append a proposal at the leader; what came in one turn of the loop goes out in one round."""
        if self._machines.is_applied(message.proposer, message.life, message.seq):
            return
        index = self._append(message)
        if not index:
            if sender != self._name:
                full = self.core.role is Role.LEADER
                self._send(sender, ProposalRejected(message.life, message.seq, full))
        elif not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _append(self, message: ForwardedProposal) -> int:
        """Return the index of the proposal's entry, 0 where the core refuses it."""
        index = 0
        if self.broken:
            return index
        try:
            index = self.core.propose(
                self._clock(), message.command, message.proposer, message.life, message.seq, message.acked
            )
            self.execute(self.core.drain_actions())
        except OperatorError as error:
            self._stop_taking_part(error)
        return index

    def _flush(self) -> None:
        self._flush_scheduled = False
        self.run_event(lambda: self.core.flush(self._clock()))

    def read(self, token: int) -> None:
        """Begin a read of this node."""
        self.run_event(lambda: self.core.read(self._clock(), token))

    def leave(self) -> None:
        """Transfer the leadership to the voter that is furthest; be no candidate any more."""
        self.run_event(lambda: self.core.leave(self._clock()))

    # --- actions of the core ---------------------------------------------------------------------------

    def execute(self, actions: list[Action]) -> None:
        """Execute the actions in their order, then what follows from the core's new state."""
        for action in actions:
            self._execute_action(action)
        self._reads.on_applied(self.core.applied)
        self._report_leadership()
        self._compact_if_due()

    def _execute_action(self, action: Action) -> None:
        match action:
            case Persist():
                self.disk.put(action)
            case Send():
                self._send(action.to, action.message)
            case Apply():
                self._apply(action)
            case Restore():
                self._restore(action)
            case LeadershipChanged():
                event = "agree.lead" if action.leads else "agree.follow"
                logs.event(event, node=self._name, term=action.term)
            case ReadIndexReady():
                self._reads.on_index(action)
            case Readmitted():
                logs.event("agree.readmit", node=self._name, member=action.name, epoch=action.count)

    def _apply(self, action: Apply) -> None:
        entry = action.entry
        result = self._machines.apply(entry)
        if entry.index % COMMIT_EVENT_EACH == 0:
            logs.event(
                "agree.commit",
                node=self._name,
                index=entry.index,
                term=entry.term,
                digest=action.digest.hex(),
            )
        self._proposals.on_applied(entry, result)

    def _restore(self, action: Restore) -> None:
        snapshot = action.snapshot
        self._machines.restore(snapshot.data)
        logs.event("agree.restored", node=self._name, index=snapshot.index, digest=snapshot.digest.hex())
        self._proposals.on_restored(self._machines)

    def _report_leadership(self) -> None:
        if self.core.leader != self._followed:
            self._followed = self.core.leader
            self._proposals.on_new_leader()
        self._listeners.report(not self.broken and self.core.has_committed_in_term)

    def _compact_if_due(self) -> None:
        core = self.core
        snapshot_index = core.log.snapshot.index if core.log.snapshot else 0
        new = core.applied - snapshot_index  # without a quorum nothing is applied: a snapshot frees nothing
        large = core.log.bytes > self._rules.max_bytes // COMPACT_PART and new >= MAX_APPEND_ENTRIES
        if new > self._rules.snapshot_each or large:
            data = self._machines.snapshot()
            snapshot = core.snapshot(self._clock(), core.applied, core.replicated.digest, data)
            self.disk.compact(snapshot, core.writer.last_write)
