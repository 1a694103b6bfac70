"""Changes of the voters, one name at a time, as an operator requests them at the leader.

States: no change is open; one change is open, as its entry is not committed yet. Event: ``change``.
Invariant: two changes are never open at once, as their majorities need not overlap.
"""

from beechrock.agree.context import EventContext
from beechrock.agree.errors import VotersError
from beechrock.agree.lease import LeaderLease
from beechrock.agree.messages import EntryKind, MemoryStatus
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.replication import Replication
from beechrock.agree.rules import MAX_VOTERS, Guard
from beechrock.agree.term_state import TermState
from beechrock.agree.voters import pack


class VoterChanges:
    """Checks a change and appends it to the leader's log."""

    def __init__(
        self,
        context: EventContext,
        terms: TermState,
        replicated: ReplicatedLog,
        lease: LeaderLease,
        replication: Replication,
    ) -> None:
        self._rules = context.rules
        self._terms = terms
        self._replicated = replicated
        self._lease = lease
        self._replication = replication
        self._where = f"voters of the agreed log, at {context.name}"

    def change(self, add: str, remove: str) -> None:
        """Add or remove one voter, with effect once it is in the log. Raises VotersError for a refusal."""
        self._check_may_change(add, remove)
        if add:
            self._check_addition(add)
        else:
            self._check_removal(remove)
        names = tuple(sorted({*self._replicated.voters.names, add} - {"", remove}))
        self._replication.append_own(EntryKind.VOTERS, pack(names))
        self._replication.broadcast()

    def _check_may_change(self, add: str, remove: str) -> None:
        if not self._lease.has_committed_in_term:
            do = f"ask {self._terms.leader or 'again in a second'}"
            raise VotersError("not the leader", where=self._where, do=do)
        if bool(add) == bool(remove):
            raise VotersError(
                "a change adds or removes one name", where=self._where, wanted="add=NAME or remove=NAME"
            )
        # Two open changes could have majorities that do not overlap.
        if self._replicated.voters.index > self._replicated.commit and self._rules.on(Guard.SINGLE_CHANGE):
            raise VotersError(
                "the previous change is not committed yet", where=self._where, do="ask again in a second"
            )

    def _check_addition(self, add: str) -> None:
        names = self._replicated.voters.names
        peer = self._replication.peers.get(add)
        if add in names or peer is None or len(names) >= MAX_VOTERS:
            raise VotersError(
                f"{add} cannot be added to {', '.join(names)}",
                where=self._where,
                wanted=f"a node of the fleet that is none of them, at most {MAX_VOTERS} in all",
            )
        late = peer.memory is not MemoryStatus.PROVEN or peer.match < self._replicated.commit
        if late and self._rules.on(Guard.OLD_DISK):
            raise VotersError(
                f"{add} has not caught up or is not proved", where=self._where, do="wait, then ask again"
            )

    def _check_removal(self, remove: str) -> None:
        names = self._replicated.voters.names
        if remove not in names or len(names) == 1:
            raise VotersError(
                f"{remove} cannot be removed from {', '.join(names)}",
                where=self._where,
                wanted="one of them, and not the last",
            )
