"""Driver of the agreed log's core: passes events to it and executes its actions in their order.

Writes are queued for the disk task; all other actions are executed at once. States: taking part; broken,
after a broken invariant or a failed disk: then this member does not lead, the core receives no further event,
and the node keeps serving. Events: ticks, messages, synced writes, proposals and reads of this node. Times
are of the monotonic clock.
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

CHANNEL = "agree"  # Name of the transport channel
COMMIT_EVENT_INTERVAL = 16  # An entry whose index is a multiple of this is logged with its digest
COMPACT_DIVISOR = 4  # A snapshot is due once the log uses more than 1/4 of ``Rules.max_bytes``


class LeadershipListeners:
    """Listeners called with True once this node leads with all earlier commits applied, then with False."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[bool], None]] = []
        self._reported = False

    def add(self, listener: Callable[[bool], None]) -> None:
        """Register a listener."""
        self._listeners.append(listener)

    def report(self, leading: bool) -> None:
        """Call the listeners if the value differs from the one reported last."""
        if leading is not self._reported:
            self._reported = leading
            for listener in self._listeners:
                listener(leading)


class CoreDriver:
    """Connects this node's core with its disk, its transport, its machines and its clients."""

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
        self._last_leader = ""  # leader after the last event, to detect a new one
        self._flush_scheduled = False
        self._never_set = asyncio.Event()  # never set: a broken member waits on it until it is cancelled

    @property
    def leader(self) -> str:
        """Name of the current leader; empty if none is known, or if this member is broken."""
        return "" if self.broken else self.core.leader

    @property
    def applied(self) -> int:
        """Index up to which the machines have applied the log."""
        return self.core.applied

    def leading(self) -> bool:
        """Return whether this node holds a valid lease now."""
        return not self.broken and self.core.leading(self._clock())

    # --- running ---------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Tick and write until cancelled; after an error this node stops taking part but keeps serving."""
        ticking = asyncio.ensure_future(self._tick())
        writing = asyncio.ensure_future(self.disk.run(self._on_written))
        try:
            done, _ = await asyncio.wait({ticking, writing}, return_when=asyncio.FIRST_EXCEPTION)
            for task in done:
                task.result()
        except OperatorError as error:
            self._stop_taking_part(error)
            await self._never_set.wait()
        except OSError as error:
            self._stop_taking_part(
                AgreeError(
                    str(error),
                    where=f"disk of the agreed log at {self._name}",
                    do="look at the disk, then start the node again",
                )
            )
            await self._never_set.wait()
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
        """Pass an event to the core and execute its actions; do nothing once this member is broken."""
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
        """Handle a message of another node."""
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
            self._counters.add("agree.unsent")  # the protocol sends it again

    def submit(self, message: ForwardedProposal) -> None:
        """Send a proposal of this node to the leader, or append it if this node leads."""
        if self.leader == self._name:
            self._on_proposal(self._name, message)
        else:
            self._send(self.leader, message)

    def _on_proposal(self, sender: str, message: ForwardedProposal) -> None:
        """Append a proposal at the leader; one round sends all proposals of the same event loop turn."""
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
        """Append the proposal to the log; return its index, or 0 if the core refuses it."""
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
        """Begin a read of this node; ``ReadClient.on_index`` receives its index."""
        self.run_event(lambda: self.core.read(self._clock(), token))

    def leave(self) -> None:
        """Transfer the leadership to the most up-to-date voter, and never start an election again."""
        self.run_event(lambda: self.core.leave(self._clock()))

    # --- actions of the core ---------------------------------------------------------------------------

    def execute(self, actions: list[Action]) -> None:
        """Execute the actions in their order, then update reads, listeners and snapshots to the new state."""
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
        if entry.index % COMMIT_EVENT_INTERVAL == 0:
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
        if self.core.leader != self._last_leader:
            self._last_leader = self.core.leader
            self._proposals.on_new_leader()
        self._listeners.report(not self.broken and self.core.has_committed_in_term)

    def _compact_if_due(self) -> None:
        core = self.core
        snapshot_index = core.log.snapshot.index if core.log.snapshot else 0
        # A snapshot frees applied entries only: without a quorum there are none, and it would free nothing.
        new = core.applied - snapshot_index
        large = core.log.bytes > self._rules.max_bytes // COMPACT_DIVISOR and new >= MAX_APPEND_ENTRIES
        if new > self._rules.snapshot_each or large:
            data = self._machines.snapshot()
            snapshot = core.snapshot(self._clock(), core.applied, core.replicated.digest, data)
            self.disk.compact(snapshot, core.writer.last_write)
