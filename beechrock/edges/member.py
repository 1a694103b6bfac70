"""The actor's side of an edge's member: callers' requests and answers, its store, and operators' calls.
Thin."""

import hashlib
import math
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock import clocks, logs
from beechrock.core.requests import Request, Verdict
from beechrock.edges import build
from beechrock.edges.actions import Accepted, Action, Done, Send, Turned
from beechrock.edges.causal import NOTHING, Dot, Token, read_tokens
from beechrock.edges.errors import EdgeDiskWaitsError, EdgeError, UnknownReceiptError
from beechrock.edges.kept import Led
from beechrock.edges.told import Told
from beechrock.edges.words import Copied, Have, Names, ProbeAck, WhenGone, Word, Write, unpack
from beechrock.interface import Idempotency
from beechrock.net.scgi_codec import ScgiError
from beechrock.net.scgi_reply import Reply
from beechrock.store.codec import Mark
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store
from beechrock.store.witness import Verdict as Judged
from beechrock.store.witness import Witness

if TYPE_CHECKING:
    from beechrock.edges.part import EdgesPart
    from beechrock.inventory.model import Inventory

KEEP_S = 86_400.0
SYNC_FAILED = b"the disk of this node failed; it may still run\n"
MARKS = "marks"  # In place of a receipt: names upstream's marks
READ_AFTER_S = 0.5
ANSWER_SHARE = 0.8  # share of the time to its due time within which a write is accepted or rejected


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
        self.callers: dict[int, tuple[Request, Callable[[Reply], None]]] = {}
        self.refs = 0
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

    # --- callers

    def takes(self, request: Request, headers: dict[str, str], send_reply: Callable[[Reply], None]) -> bool:
        # Upstream steered this request here, so its key has an intent already. Queued again, it was reported
        # as served upstream and as another attempt of its key here, and never ran.
        if request.generation:
            return False
        inventory, edge = self.part.inventory, self.edge
        terms = inventory.when_cut.get((self.part.team(request), request.route))
        text = headers.get("HTTP_X_SEEN", "")
        try:
            seen = read_tokens(text, self.part.key) if text else NOTHING
        except EdgeError as error:
            raise ScgiError(400, str(error)) from None
        keyed = self.part.module.settings.classes[request.klass].idempotency is Idempotency.KEYED
        if terms is None or terms["when_cut"] != "queue" or not keyed:
            after_s = edge.reads(seen) if seen else None
            if after_s is None and terms is not None and not edge.link.straight:
                after_s = READ_AFTER_S * 10
            if after_s is None:
                return False
            self._refuse(
                request,
                send_reply,
                after_s,
                "not now: what it has seen is not upstream yet\n"
                if seen
                else "not now: this edge is cut off from upstream\n",
            )
            return True
        self.refs += 1
        request.answered = True
        self.callers[self.refs] = request, send_reply
        module = self.part.module
        waited_s = module.clock() - request.born  # in the kernel, while the node lagged
        answer_within_s = ANSWER_SHARE * module.settings.classes[request.klass].deadline_s - waited_s
        self.part.post(
            lambda now, now_s: edge.write(
                now,
                now_s,
                Write(
                    self.ref_of(request),
                    self.part.team(request),
                    request.route,
                    request.nonce or "",
                    request.body,
                    hashlib.blake2b(request.body, digest_size=16).digest(),
                    seen,
                    headers.get("HTTP_X_SESSION", ""),
                    request.entity or "",
                    WhenGone(terms.get("when_gone", "hold")),
                    terms.get("keep_s", KEEP_S),
                    int(terms.get("copies", 0)),
                    request.retry,
                    now + answer_within_s,
                ),
            )
        )
        return True

    def ref_of(self, request: Request) -> int:
        return next(ref for ref, (held, _) in reversed(self.callers.items()) if held is request)

    def _refuse(
        self, request: Request, send_reply: Callable[[Reply], None], after_s: float, why: str
    ) -> None:
        request.answered = True
        if self.part.runs is not None:
            self.part.runs.refused += 1
        self.part.module.table.counts.on_front_answer(request.route, Verdict.REFUSED)
        send_reply(
            Reply(
                503,
                why.encode(),
                (("Retry-After", str(math.ceil(after_s))), ("X-Retry-After-Ms", str(round(1000 * after_s)))),
            )
        )

    def answer(self, action: Action) -> None:
        """Answer the caller of an Accepted, Turned or Done action."""
        match action:
            case Accepted(ref, dot, seen, places) if (caller := self.callers.pop(ref, None)) is not None:
                request, send_reply = caller
                logs.event("edge.accepted", receipt=str(dot), nonce=request.nonce, places=list(places))
                self.part.counters.add("edges.accepted")
                send_reply(
                    Reply(
                        202,
                        b"accepted; it runs once upstream is reached\n",
                        (("X-Receipt", Token(seen, places).encode(self.part.key)),),
                    )
                )
            case Turned(ref, after_s, why) if (caller := self.callers.pop(ref, None)) is not None:
                self.part.counters.add("edges.turned")
                self._refuse(*caller, after_s, why + "\n")
            case Done(ref, verdict, body, media, after_s) if (
                caller := self.callers.pop(ref, None)
            ) is not None:
                request, send_reply = caller
                if verdict == "refused":
                    self._refuse(request, send_reply, after_s or READ_AFTER_S, "turned away; it never ran\n")
                    return
                served = verdict == "served"
                self.part.module.table.counts.on_front_answer(
                    request.route, Verdict.SERVED if served else Verdict.FAILED
                )
                send_reply(
                    Reply(
                        200 if served else 500,
                        body or (b"" if served else b"failed\n"),
                        (("Content-Type", media or "application/octet-stream"),),
                    )
                )

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
