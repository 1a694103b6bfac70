"""Client for proposals of this node's parts: sends each until its outcome is known, then answers its caller.

States and events of one proposal: proposals.py. Events here: a call, ticks, a new leader, an applied entry, a
restored snapshot, a rejection. Invariants: a caller gets the result of its own proposal exactly once, or an
error whose type tells whether it may still be applied; times are of the monotonic clock.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from beechrock.agree.errors import FullError, NoQuorumError, UnsureError
from beechrock.agree.machines import StateMachines, wrap
from beechrock.agree.messages import Entry, ForwardedProposal, ProposalRejected
from beechrock.agree.proposals import Proposal, Proposals
from beechrock.agree.rules import MAX_COMMAND_BYTES, Rules
from beechrock.errors import OperatorError

RETRY_LEASES = 0.4  # Interval between two attempts to send a proposal or a read, in leases


class LeaderLink(Protocol):
    """Interface for sending proposals to the leader."""

    @property
    def leader(self) -> str:
        """Name of the current leader, or empty if none is known."""

    def submit(self, message: ForwardedProposal) -> None:
        """Send a proposal to the leader, or append it if this node leads."""


class ProposalClient:
    """Proposals of one start of a node. ``identity``: unique name of that start, sent with each proposal."""

    def __init__(self, name: str, identity: str, life: int, rules: Rules, clock: Callable[[], float]) -> None:
        self._name = name
        self._identity = identity
        self._clock = clock
        self._proposals = Proposals(identity, life, RETRY_LEASES * rules.lease_s)
        self._results: dict[int, asyncio.Future[Any]] = {}  # awaited result of each proposal, by its number

    @property
    def open_count(self) -> int:
        """Number of open proposals."""
        return len(self._proposals.open)

    # --- for callers -----------------------------------------------------------------------------------

    async def propose(self, link: LeaderLink, machine: str, command: bytes, within_s: float) -> Any:
        """Propose a command; return its result from the machine at this node.

        Raises NoQuorumError if it was not accepted, UnsureError if it may still be accepted, and FullError if
        it is too long or too many proposals are open.
        """
        data = wrap(machine, command)
        if len(data) > MAX_COMMAND_BYTES:
            raise FullError(
                f"a command of {len(data)} bytes",
                where=f"agreed log, machine {machine}",
                wanted=f"at most {MAX_COMMAND_BYTES}",
                do="send less at once",
            )
        proposal = self._proposals.add(data)
        result: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._results[proposal.seq] = result
        self.forward_due(link)
        try:
            return await asyncio.wait_for(result, within_s)
        except TimeoutError:
            raise self._timed_out(link, proposal, within_s) from None
        except asyncio.CancelledError:
            # A proposal that was never forwarded is dropped, and so is not sent after its caller has left.
            self._proposals.give_up(proposal.seq)
            raise
        finally:
            self._results.pop(proposal.seq, None)

    def _timed_out(self, link: LeaderLink, proposal: Proposal, within_s: float) -> OperatorError:
        forwarded = self._proposals.give_up(proposal.seq)
        where = f"agreed log at {self._name}, leader {link.leader or 'unknown'}"
        if forwarded:
            return UnsureError(
                f"no outcome within {within_s} s", where=where, do="look at the state before acting"
            )
        return NoQuorumError(f"no leader within {within_s} s", where=where, do="retry once there is one")

    # --- events ----------------------------------------------------------------------------------------

    def forward_due(self, link: LeaderLink) -> None:
        """Send all due proposals to the leader, if a leader is known."""
        if not link.leader or not self._proposals.open:
            return
        for proposal in self._proposals.collect_due(self._clock()):
            proposal.forwarded = True
            link.submit(
                ForwardedProposal(
                    self._identity,
                    self._proposals.life,
                    proposal.seq,
                    self._proposals.acked,
                    proposal.command,
                )
            )

    def on_new_leader(self) -> None:
        """Make all open proposals due now."""
        self._proposals.on_new_leader()

    def on_rejected(self, message: ProposalRejected) -> None:
        """Postpone the rejected proposal's next attempt, unless a former process of this node sent it."""
        if message.life == self._proposals.life:
            self._proposals.on_rejected(message.seq, self._clock())

    def on_applied(self, entry: Entry, result: object) -> None:
        """Answer the caller with the result, if the entry is a proposal of this start of this node."""
        if entry.proposer == self._identity and self._proposals.settle(entry.seq):
            future = self._results.get(entry.seq)
            if future is not None and not future.done():
                future.set_result(result)

    def on_restored(self, machines: StateMachines) -> None:
        """Settle the proposals that a restored snapshot includes; their results are unknown."""
        for seq in list(self._proposals.open):
            if machines.is_applied(self._identity, self._proposals.life, seq):
                self._proposals.settle(seq)
                self._fail_without_result(seq)

    def _fail_without_result(self, seq: int) -> None:
        future = self._results.get(seq)
        if future is not None and not future.done():
            future.set_exception(
                UnsureError(
                    "applied, but its result is unknown, as a snapshot replaced the entry",
                    where=f"agreed log at {self._name}",
                    do="look at the state before acting",
                )
            )
