"""The actor's side of ``standby`` and ``lead``, on a node that is one of several named upstream. Thin.

It is the worker of the duty ``edges:upstream``. It checks again that it may act before it accepts an edge's
message, and right before each run.
"""

import asyncio
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from beechrock import clocks, logs
from beechrock.duties.fences import Fences
from beechrock.duties.model import Duty, Kind
from beechrock.edges.actions import Action, Run, Send
from beechrock.edges.errors import EdgeSettingError
from beechrock.edges.kept import DUTY, Elsewhere, Kept, Stand, Stood
from beechrock.edges.lead import State
from beechrock.edges.standby import Standby
from beechrock.edges.upstream import Came, Upstream
from beechrock.edges.words import Offer, Settle, Straight, StraightDone, Word
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store
from beechrock.store.witness import Witness

if TYPE_CHECKING:
    from beechrock.edges.runs import Runs

POLL_S = 0.02
LATER_S = 0.5


class Named:
    """Owner of this node's copy of the marks' records, and of the highest fence that it accepted."""

    def __init__(self, runs: "Runs", store: Store, files: Files) -> None:
        self.runs, self.part, self.store = runs, runs.part, store
        names, duties = self.part.told.upstreams, self.part.duties
        if self.part.name not in names:
            raise EdgeSettingError(
                f"this node, {self.part.name}, is none of those named",
                where="edges: upstream",
                wanted="the names of all that are upstream, this node's own among them",
            )
        if duties is None:
            raise EdgeSettingError(
                "more than one node is named",
                where="edges: upstream",
                do="enable [duties], which gives one of them the marks, or name one node",
            )
        self.duties = duties
        self.fences = Store.open(files, "marks.fence", StoreLimits(max_bytes=4 << 20))
        self.standby = Standby(
            self.part.name,
            names,
            store,
            Fences(self.fences, duties.floor),
            Witness(files, "marks.witness"),
            runs.rule,
        )
        self.forced = False  # An operator's order to lead with every node that answers; for one take-over
        self.logged_state = ("", 0)
        self.runs_done = 0
        duties.declare(Duty(DUTY, Kind.FLEET), self)

    def may(self) -> bool:
        lead = self.standby.lead
        return lead is not None and self.duties.may(DUTY) == lead.fence

    def able(self) -> bool:
        lead = self.standby.lead
        return lead is not None and not lead.closing and self.may() and lead.able(clocks.mono())

    @property
    def holder(self) -> str:
        """Name of the node that callers' writes go to; empty if none is known or able to accept them."""
        if self.standby.lead is not None:
            return self.part.name if self.able() else ""
        return self.standby.holder if self.standby.holder != self.part.name else ""

    # --- turns

    def hear(self, now: float, now_s: float, sender: str, word: Word) -> list[Action]:
        lead = self.standby.lead
        if self.able() and lead is not None:
            edge = lead.edge(now, now_s, sender, word)
        elif isinstance(word, Straight) and sender in self.standby.names:  # The write was not accepted
            edge = [Send(sender, StraightDone(word.number, "refused", b"", "", LATER_S))]
        elif isinstance(word, Offer | Settle | Straight) and self.holder not in ("", self.part.name):
            edge = [Send(sender, Elsewhere(self.holder, self.standby.fence))]
        else:
            edge = []
        return self.standby.hear(now, sender, word) + edge

    def ran(
        self, upstream: Upstream, now: float, key: int, came: Came, body: bytes, media: str, after_s: float
    ) -> list[Action]:
        """Report the outcome of a run to the current lead.

        A run from an earlier term of this process as holder is in doubt already, so its outcome is ignored.
        """
        lead = self.standby.lead
        if lead is None or lead.upstream is not upstream:
            return []
        self.runs_done += 1
        return lead.hold(upstream.ran(now, key, came, body, media, after_s))

    def before_sync(self, now: float) -> list[Action]:
        """Return the actions to carry out before the sync."""
        out = self.standby.tick(now)
        lead = self.standby.lead
        return out + (lead.pump(now) if lead is not None else [])

    def after_sync(self) -> list[Action]:
        """Return the actions to carry out after the sync, and follow a change of the marks."""
        lead = self.standby.lead
        upstream = lead.upstream if lead is not None else None
        # The standby replaces its marks after it receives a snapshot and each time it stops leading.
        if upstream is None and self.runs.upstream.marks is not self.standby.marks:
            upstream = Upstream(self.store, self.standby.marks)
        if upstream is not None and upstream is not self.runs.upstream:
            self.runs.follow(upstream)
        if lead is not None and lead.fresh:
            self.forced = False
        out = lead.release() if lead is not None else []
        self._show()
        return out

    def compact(self) -> None:
        if self.standby.lead is not None and self.standby.lead.upstream is not None:
            self.standby.lead.upstream.compact()
        self.standby.compact()

    def with_mark(self, word: Word) -> Word:
        """Return the message with the mark of this folder, whose records are all synced now."""
        if isinstance(word, Stand | Stood | Kept):
            return replace(word, folder=self.store.mark().to_bytes())
        return word

    def report_not_run(self, run: Run) -> None:
        """Report a run as not run, as this node may no longer start it."""
        self.part.counters.add("edges.runs_kept_back")
        upstream = self.runs.upstream
        self.runs.post(lambda now: self.ran(upstream, now, run.key, Came.NOT_RUN, b"", "", LATER_S))

    def on_disk_error(self) -> None:
        """Stop leading because this disk is full or fails, as the marks in memory no longer match the log.

        The duty makes no progress here then and is taken back, so that another node can lead.
        """
        self.standby.step_down()

    def _show(self) -> None:
        lead = self.standby.lead
        if lead is None:
            shown = ("standby", self.standby.fence)
        elif lead.state is State.LEADING and lead.held < lead.start:
            shown = ("copying", lead.fence)
        else:
            shown = (lead.state.value, lead.fence)
        if shown == self.logged_state:
            return
        self.logged_state = shown
        marks = self.standby.marks
        logs.event(
            "edges.upstream",
            state=shown[0],
            fence=shown[1],
            holder=self.standby.holder,
            last=self.store.last,
            held=self.standby.held,
            doubts=len(marks.doubts),
            group=marks.group.hex()[:8],
            fresh=lead is not None and lead.fresh,
        )

    # --- the duty's worker

    async def take_over(self, fence: int) -> None:
        """Begin to lead, and wait until a majority of the named nodes holds this reign's first record.

        That majority then holds all earlier records too. If a later fence is in use, wait until cancelled.
        """
        self.runs.post(lambda now: self.standby.take(now, fence, secrets.token_bytes(16), self.forced))
        while not self._has_taken_over(fence):
            await asyncio.sleep(POLL_S)

    def _has_taken_over(self, fence: int) -> bool:
        lead = self.standby.lead
        return (
            lead is not None
            and lead.fence == fence
            and lead.state is State.LEADING
            and lead.held >= lead.start
        )

    async def give_up(self) -> None:
        """Stop leading once all running writes have ended; no new ones are begun.

        The duty's lease bounds the wait.
        """
        lead = self.standby.lead
        if lead is not None:
            lead.closing = True
            while lead is self.standby.lead and (lead.waiting or (lead.upstream and lead.upstream.running)):
                await asyncio.sleep(POLL_S)
            self.runs.post(self._down)

    def _down(self, now: float) -> list[Action]:
        lead = self.standby.lead
        if lead is not None and lead.closing:
            self.standby.down()
        return []

    def lost(self) -> None:
        """Do nothing: ``may`` returns False from now on, and the same fence may be granted again."""

    def progress(self) -> tuple[int, int]:
        return self.runs_done, int(not self.able())

    # --- operators

    def order(self, order: str) -> dict[str, str]:
        """Let the take-over go on though the disks of a majority were lost.

        Every node that answers counts, and a new group id tells the edges that records may be lost.
        """
        self.forced = True
        if self.standby.lead is not None:
            self.standby.lead.forced = True
        return {"receipt": "marks", "order": order}

    def view(self) -> dict[str, Any]:
        standby, lead, now = self.standby, self.standby.lead, clocks.mono()
        peers = lead.peers if lead is not None else {}
        return {
            "state": self.logged_state[0],
            "fence": standby.fence,
            "holder": standby.holder,
            "able": self.able(),
            "held": standby.held,
            "last": self.store.last,
            "whole": standby.whole,
            "distrusted": lead is not None and lead.distrusted,
            "group": standby.marks.group.hex()[:8],
            "named": {
                name: {
                    "behind": self.store.last - peer.match,
                    "whole": peer.whole,
                    "wrong": peer.untrusted,
                    "silent_s": round(min(999.0, now - peer.heard_at), 1),
                }
                for name, peer in peers.items()
            },
            "heard": {name: counts for name, (_, counts) in (lead.heard if lead is not None else {}).items()},
        }

    def close(self) -> None:
        self.fences.close()
