"""The actor's side of an edge's member: its store, messages of other nodes and operators' calls. Thin."""

import secrets
from typing import TYPE_CHECKING, Any

from beechrock import clocks, logs
from beechrock.edges import build
from beechrock.edges.actions import Accepted, Action, Done, Send
from beechrock.edges.callers import Callers
from beechrock.edges.causal import Dot, Token
from beechrock.edges.errors import EdgeDiskWaitsError, EdgeError, UnknownReceiptError
from beechrock.edges.kept import Led
from beechrock.edges.told import Told
from beechrock.edges.words import Copied, Have, Names, ProbeAck, Word, unpack
from beechrock.store.codec import Mark
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store
from beechrock.store.witness import Verdict as Judged
from beechrock.store.witness import Witness

if TYPE_CHECKING:
    from beechrock.edges.part import EdgesPart
    from beechrock.inventory.model import Inventory

SYNC_FAILED = b"the disk of this node failed; it may still run\n"
MARKS = "marks"  # In place of a receipt: names upstream's marks


class Member:
    """Owner of the edge's state machine and its store on this node."""

    def __init__(self, part: "EdgesPart", told: Told, store: Store, witness: Witness) -> None:
        self.part, self.told, self.store, self.witness = part, told, store, witness
        self.inventory = part.inventory
        # Each start draws a new life, so a folder restored from an old copy cannot reuse a write's name.
        names = Names(told.edge, part.name, secrets.token_hex(4), told.members, told.upstreams)
        self.edge = build.edge(
            names,
            store,
            clocks.mono(),
            probe_s=told.probe_s,
            copies=told.copies,
            most_bytes=told.most_bytes,
            shares=self._shares(),
            folder=store.mark().to_bytes(),
        )
        snapshot = store.snapshot()
        first = store.first
        self.edge.restore(
            snapshot[1] if snapshot is not None else None,
            first,
            (store.entry(index) for index in range(first, store.last + 1)),
        )
        self.callers = Callers(part, self.edge)
        logs.event(
            "edge.opened",
            edge=told.edge,
            writer=names.writer,
            waiting=len(self.edge.queue),
            store=store.recovered.condition.value,
        )

    @staticmethod
    def rules(told: Told) -> StoreLimits:
        """Return the store's limits: the queue's bound plus room for ended and for rewritten writes."""
        return StoreLimits(max_bytes=4 * told.most_bytes + (8 << 20))

    @property
    def marks(self) -> str:
        """Name under which the witness keeps upstream's mark, which covers one folder or all named nodes."""
        return f"{self.told.upstreams[0]} {MARKS}" if len(self.told.upstreams) == 1 else MARKS

    def _shares(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for (team, _), terms in self.part.inventory.when_cut.items():
            if terms["when_cut"] == "queue":
                found[team] = found.get(team, 0.0) + float(terms.get("share", 0.0))
        total = sum(found.values())
        return {team: share / total for team, share in found.items()} if total else {}

    def follow(self, inventory: "Inventory") -> None:
        """Use the shares of a new inventory; waiting writes keep the terms they were accepted under."""
        if inventory is not self.inventory:
            self.inventory, self.edge.shares = inventory, self._shares()

    def filter_promises(self, actions: list[Action]) -> list[Action]:
        """Return the actions to carry out after the turn's sync, without promises if that sync failed."""
        if not self.store.failed or self.store.synced == self.store.last:
            return actions
        # Callers still need an answer: when a failed sync ended the turn, callers of its writes got none.
        out: list[Action] = []
        for action in actions:
            match action:
                case Accepted(ref):
                    out.append(Done(ref, "failed", SYNC_FAILED))
                case Send(_, Copied()):
                    continue  # The other member sends the copy again
                case _:
                    out.append(action)
        return out

    # --- messages of other nodes

    def check_mark(self, sender: str, word: Word) -> None:
        """Check the folder mark in a message, of a member or of upstream, before the message is handled."""
        if (
            isinstance(word, Led)
            and sender in self.told.upstreams
            and word.fence >= self.edge.upstream_choice.fence
        ):
            word = unpack(word.word)
        elif isinstance(word, ProbeAck) and len(self.told.upstreams) > 1:
            return
        if isinstance(word, ProbeAck) and word.folder and sender in self.told.upstreams:
            judged = self.witness.receive(self.marks, Mark.from_bytes(word.folder))
            if judged in (Judged.OLDER, Judged.OTHER) and not self.edge.older:
                # Upstream no longer knows what ran before: a replayed or retried write could run twice.
                self.edge.older = True
                logs.event(
                    "edge.marks",
                    "warning",
                    upstream=sender,
                    judged=judged.value,
                    do=f"beechrock edges release {MARKS}, once what was under way is known",
                )
        if not isinstance(word, Copied | Have) or not word.folder or sender not in self.told.members:
            return
        judged = self.witness.receive(sender, Mark.from_bytes(word.folder))
        if judged in (Judged.OLDER, Judged.OTHER) and sender not in self.edge.copies.distrusted:
            logs.event(
                "edge.folder",
                "warning",
                member=sender,
                judged=judged.value,
                do="its copies do not count until it holds all that waits here again",
            )
            self.edge.copies.distrust(sender, older=True)

    def trust_proven(self) -> None:
        """Trust distrusted members again that now hold all waiting writes, and accept their new mark."""
        for name in self.edge.proven & self.edge.copies.distrusted:
            self.witness.forget(name)
            self.edge.copies.distrust(name, older=False)
            logs.event("edge.folder", member=name, judged="caught up")
        self.edge.proven.clear()

    # --- worker of the duty: it does little, as each turn checks again whether this member may act

    async def take_over(self, fence: int) -> None:
        """Do nothing: upstream's marks hold the state of the predecessor."""

    async def give_up(self) -> None:
        """Do nothing: offered writes end upstream, whose marks record it."""

    def lost(self) -> None:
        self.part.post(lambda now, now_s: self.edge.duty(None, now))

    def progress(self) -> tuple[int, int]:
        return self.edge.holder.applied, self.edge.holder.ready_count() if self.edge.link.replays else 0

    # --- operators

    def view(self) -> dict[str, Any]:
        edge, now, now_s = self.edge, clocks.mono(), clocks.wall()
        held = [
            {"receipt": str(dot), "said": parked.said.name.lower(), "for": [str(d) for d in parked.dots]}
            for dot, parked in list(edge.holder.picker.parked.items())[:200]
        ]
        # Entries are not read during a disk check, which replaces the files that hold them.
        heads = [
            (edge.entry(dot).accepted_at, dot, state)
            for dot, state in edge.queue.heads()
            if self.part.disk.running
        ]
        oldest = min(heads, key=lambda found: found[0], default=None)
        return {
            "edge": self.told.edge,
            "member": self.part.name,
            "link": edge.link.state.value,
            "marks": "lost" if edge.older else "known",
            "since_s": round(now - edge.link.since, 1),
            "fence": edge.holder.fence,
            "waiting": {team: n for team, n in edge.queue.counts_by_team.items() if n},
            "bytes": edge.queue.bytes_held,
            "most_bytes": edge.queue.most_bytes,
            "oldest": None
            if oldest is None
            else {
                "receipt": str(oldest[1]),
                "state": oldest[2].name.lower(),
                "age_s": round(now_s - oldest[0], 1),
            },
            "pace": {
                "window": round(edge.holder.pace.window, 1),
                "credit": edge.holder.pace.credit,
                "in_flight": len(edge.holder.picker.flights),
            },
            "applied": edge.holder.applied,
            "held": held,
            "orders": len(edge.orders),
            "members": {name: name in edge.copies.reachable(now) for name in edge.copies.others()},
        }

    def dot(self, receipt: str) -> Dot:
        """Return the dot of a receipt, given as a token or in the short form that ``/edges`` shows.

        Raises UnknownReceiptError.
        """
        writer, colon, n = receipt.rpartition(":")
        if colon and n.isdigit():
            return Dot(writer, int(n))
        try:
            return Token.decode(receipt, self.part.key).dot
        except EdgeError as error:
            raise UnknownReceiptError(
                str(error),
                where="receipt",
                wanted="a receipt, or EDGE/MEMBER/LIFE:N",
                do="beechrock edges list",
            ) from None

    def order(self, receipt: str, order: str) -> dict[str, str]:
        if receipt == MARKS and order == "release":
            self.witness.forget(self.marks)
            self.edge.older = False
            return {"receipt": MARKS, "order": order}
        dot = self.dot(receipt)
        if not self.edge.queue.waits(dot):
            raise UnknownReceiptError(
                f"{dot} does not wait here", where=f"edge {self.told.edge}", do="beechrock edges list"
            )
        if self.edge.copies.full:
            raise EdgeDiskWaitsError(
                self.edge.copies.disk,
                1.0,
                where=f"edge {self.told.edge}",
                wanted="a disk that keeps a word",
                do=f"{self.part.disk.do}; say it again then",
            )
        self.part.post(lambda now, now_s: self._ordered(dot, order))
        return {"receipt": str(dot), "order": order}

    def _ordered(self, dot: Dot, order: str) -> list[Action]:
        try:
            return self.edge.order(dot, order)
        except UnknownReceiptError as error:
            # The write may end between the call and this turn; on a busy machine that once stopped the part.
            self.part.counters.record_error("edges", error)
            return []

    def state(self, receipt: str) -> dict[str, str]:
        dot = self.dot(receipt)
        state, why = self.edge.state(dot)
        return {"receipt": str(dot), "state": state.name.lower(), "why": why}
