"""The thin actor of the agreed log: its core over talk and the disk, the machines that others host on it.

Times are of the monotonic clock. What the core asks for is carried out in its order; a write is handed to
the disk task, all else is done at once. After a broken invariant or a failed disk the node takes no further
part: it does not lead, and what is proposed here is refused; it goes on serving.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from beechrock import clocks, logs
from beechrock.agree import codec
from beechrock.agree.asking import CHANNEL, Asking
from beechrock.agree.core import Core
from beechrock.agree.disk import Disk
from beechrock.agree.errors import AgreeError, BadMessageError, UnsureError, VotersError
from beechrock.agree.messages import (
    Action,
    Apply,
    Forward,
    Lead,
    Persist,
    ReadAt,
    Readmitted,
    Refused,
    Restore,
    Send,
)
from beechrock.agree.probe import NAME, Probe
from beechrock.agree.rules import MOST_ENTRIES
from beechrock.agree.told import Agree
from beechrock.agree.view import view
from beechrock.config.errors import ConfigError
from beechrock.errors import OperatorError
from beechrock.parts import Context
from beechrock.store.files import at
from beechrock.talk.part import PeerTransport

SAMPLE = 16  # of commits that are told as events, with their digest
COMPACT_PART = 4  # a snapshot is taken once the log holds this part of its bound


class Agreed(Asking):
    """Drives the core."""

    def __init__(
        self, told: Agree, talk: PeerTransport, counters: Any, clock: Callable[[], float] = clocks.boot,
    ) -> None:
        super().__init__(told, talk, counters, clock)
        self.disk: Disk | None = None
        self.led, self.followed = False, ""
        self.stopped = asyncio.Event()
        self.probe = Probe(self)
        self.host(NAME, self.probe.machine)
        talk.on(CHANNEL, self._take)

    # --- as a part -------------------------------------------------------------------------------------

    async def listen(self) -> None:
        """Open the journal, restore the machines. OperatorError, OSError."""
        self.disk = Disk(at(self.talk.settings.state / "agree"), self.rules.most_bytes)
        found = self.disk.found
        if found.snap is not None:
            self.hosts.restore(found.snap.data)
        opening = self.identity
        self.core = Core(
            self.name, self.nodes, self.told.voters, self.rules, opening, found, opening, self.clock()
        )
        self._carry(self.core.drain())
        logs.event(
            "agree",
            node=self.name,
            voters=list(self.core.voters.names),
            term=found.term,
            last=self.core.log.last,
            position=found.position,
            standing=self.core.standing.name.lower(),
        )

    async def run(self) -> None:
        assert self.disk is not None
        ticking = asyncio.ensure_future(self._tick())
        writing = asyncio.ensure_future(self.disk.run(self._wrote))
        try:
            done, _ = await asyncio.wait({ticking, writing}, return_when=asyncio.FIRST_EXCEPTION)
            for task in done:
                task.result()
        except OperatorError as error:
            self._break(error)
            await self.stopped.wait()  # the node serves on
        except OSError as error:
            self._break(
                AgreeError(
                    str(error),
                    where=f"disk of the agreed log at {self.name}",
                    do="look at the disk, then start the node again",
                )
            )
            await self.stopped.wait()
        finally:
            for task in (ticking, writing):
                task.cancel()
            await asyncio.gather(ticking, writing, return_exceptions=True)

    async def leave(self) -> None:
        """Give up leading to who is furthest; stand no more."""
        if self.core is not None and not self.broken:
            core = self.core
            core.resting = True
            self._event(lambda: core.hand_over(self.clock()))
            await asyncio.sleep(self.rules.tick_s)  # for the message to leave

    def close(self) -> None:
        self.probe.close()
        if self.disk is not None:
            self.disk.close()

    # --- inside ----------------------------------------------------------------------------------------

    async def _tick(self) -> None:
        core = self.core
        assert core is not None
        while not self.broken:
            self._event(lambda: core.tick(self.clock()))
            self._hand_on()
            await asyncio.sleep(self.rules.tick_s)

    def _event(self, what: Callable[[], list[Action]]) -> None:
        if self.broken:
            return
        try:
            self._carry(what())
        except OperatorError as error:
            self._break(error)

    def _wrote(self, number: int) -> None:
        core = self.core
        assert core is not None
        self._event(lambda: core.wrote(self.clock(), number))

    def _break(self, error: OperatorError) -> None:
        if self.broken:
            return
        self.broken = error
        logs.event(error.event, "error", node=self.name, **error.fields())
        self.counters.add("agree.broken")
        self._tell_lead()

    def _take(self, sender: str, life: int, data: bytes) -> None:
        core = self.core
        if core is None or self.broken:
            return
        try:
            message = codec.decode(data)
        except BadMessageError:
            self.counters.add("agree.bad_messages")
            return
        match message:
            case Forward():
                self._propose(sender, message)
            case Refused():
                if message.life == self.proposals.life:
                    self.proposals.refused(message.seq, self.clock())
            case _:
                self._event(lambda: core.hear(self.clock(), sender, message))

    def _carry(self, actions: list[Action]) -> None:
        core, disk = self.core, self.disk
        assert core is not None and disk is not None
        for action in actions:
            match action:
                case Persist():
                    disk.put(action)
                case Send():
                    self._send(action.to, action.message)
                case Apply():
                    self._apply(action)
                case Restore():
                    self._restore(action)
                case Lead():
                    logs.event(
                        "agree.lead" if action.on else "agree.follow", node=self.name, term=action.term
                    )
                case ReadAt():
                    answer = self.reads.get(action.token)
                    if answer is not None and not answer.done():
                        answer.set_result(action.index)
                case Readmitted():
                    logs.event("agree.readmit", node=self.name, member=action.name, epoch=action.count)
        for wait in [one for one in self.waits if core.applied >= one[0] or one[1].done()]:
            self.waits.remove(wait)
            if not wait[1].done():
                wait[1].set_result(wait[0])
        self._tell_lead()
        snap = core.log.snap.index if core.log.snap else 0
        new = core.applied - snap   # without a quorum nothing is applied, and a snapshot frees nothing
        large = core.log.bytes > self.rules.most_bytes // COMPACT_PART and new >= MOST_ENTRIES
        if new > self.rules.snapshot_each or large:
            self._compact()

    def _tell_lead(self) -> None:
        core = self.core
        if core is not None and core.leader != self.followed:
            self.followed = core.leader
            self.proposals.new_leader()
        on = core is not None and not self.broken and core.settled_term
        if on is not self.led:
            self.led = on
            for told in self.leaders:
                told(on)

    def _apply(self, action: Apply) -> None:
        entry = action.entry
        result = self.hosts.apply(entry)
        if entry.index % SAMPLE == 0:
            logs.event(
                "agree.commit",
                node=self.name,
                index=entry.index,
                term=entry.term,
                digest=action.digest.hex(),
            )
        if entry.proposer == self.identity and self.proposals.settle(entry.seq):
            future = self.results.get(entry.seq)
            if future is not None and not future.done():
                future.set_result(result)

    def _restore(self, action: Restore) -> None:
        self.hosts.restore(action.snap.data)
        logs.event(
            "agree.restored", node=self.name, index=action.snap.index, digest=action.snap.digest.hex()
        )
        for seq in list(self.proposals.open):
            if self.hosts.was_applied(self.identity, self.proposals.life, seq):
                self.proposals.settle(seq)
                future = self.results.get(seq)
                if future is not None and not future.done():
                    future.set_exception(
                        UnsureError(
                            "applied, but its result came by in a snapshot",
                            where=f"agreed log at {self.name}",
                            do="look at the state before acting",
                        )
                    )

    def _compact(self) -> None:
        core, disk = self.core, self.disk
        assert core is not None and disk is not None
        snap = core.snapshot(self.clock(), core.applied, core.digest, self.hosts.snapshot())
        disk.compact(snap, core.number)

    # --- for operators ---------------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        return view(self.core, self.disk, self.broken, self.clock(), len(self.proposals.open))

    def change(self, told: dict[str, str]) -> dict[str, Any]:
        """``add=NAME``, ``remove=NAME``, or ``trust=NAME`` at that node itself; VotersError."""
        core = self.core
        if core is None or self.broken:
            raise VotersError(
                "this node takes no part", where=f"agreed log at {self.name}", do="ask another node"
            )
        if "trust" in told:
            if told["trust"] != self.name:
                raise VotersError(f"this is {self.name}", where="trust", do=f"ask {told['trust']} itself")
            core.trust()
            logs.event("agree.trusted", "warning", node=self.name)
            actions = core.drain()
        else:
            actions = core.change_voters(self.clock(), told.get("add", ""), told.get("remove", ""))
            logs.event(
                "agree.voters", node=self.name, voters=list(core.voters.names), index=core.voters.index
            )
        self._event(lambda: actions)
        return self.view()


def begin(told: object, context: Context) -> Agreed:
    """ConfigError where a voter is no node of the fleet."""
    assert isinstance(told, Agree)
    talk = context.parts["fleet"]
    for name in told.voters:
        if name != talk.name and name not in talk.peers:
            raise ConfigError(
                f"{name} is no node of the fleet",
                where=f"{told.where}: voters",
                wanted="names of [fleet] peers, or this node's own",
            )
    agreed = Agreed(told, talk, context.counters)
    context.views["/agree"] = agreed.view
    context.calls["/agree/voters"] = agreed.change
    context.views["/agree/probe"] = agreed.probe.view
    context.calls["/agree/probe"] = agreed.probe.begin
    return agreed
