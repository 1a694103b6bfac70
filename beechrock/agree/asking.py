"""What other parts ask of the agreed log at this node: proposals and reads, each with its caller's time
limit.

The base of ``part.Agreed``, which drives the core. Times are of the monotonic clock.
"""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

from beechrock import clocks
from beechrock.agree import codec
from beechrock.agree.core import Core
from beechrock.agree.errors import FullError, NoQuorumError, UnsureError
from beechrock.agree.machine import Hosts, Machine, wrap
from beechrock.agree.messages import Action, Forward, Message, Refused
from beechrock.agree.proposals import Proposals
from beechrock.agree.rules import MOST_COMMAND_BYTES
from beechrock.agree.state import Role
from beechrock.agree.told import Agree
from beechrock.errors import OperatorError
from beechrock.talk.part import PeerTransport

CHANNEL = "agree"
AGAIN_LEASES = 0.4          # from one sending of a proposal or a read to the next, in leases


class Asking:
    """``host`` before it runs; then ``propose``, ``settled``, ``leading``."""

    def __init__(
        self, told: Agree, talk: PeerTransport, counters: Any, clock: Callable[[], float] = clocks.boot
    ) -> None:
        self.told, self.rules, self.talk, self.counters, self.clock = (
            told,
            told.rules,
            talk,
            counters,
            clock,
        )
        self.machines: dict[str, Machine] = {}
        self.hosts = Hosts(self.machines)
        self.name, self.nodes = talk.name, tuple(sorted({talk.name, *talk.peers}))
        self.identity = f"{talk.name}/{secrets.token_hex(6)}"
        self.core: Core | None = None
        self.broken: OperatorError | None = None
        self.proposals = Proposals(self.identity, talk.life, AGAIN_LEASES * self.rules.lease_s)
        self.results: dict[int, asyncio.Future[Any]] = {}
        self.reads: dict[int, asyncio.Future[int]] = {}
        self.waits: list[tuple[int, asyncio.Future[int]]] = []
        self.token = 0
        self.leaders: list[Callable[[bool], None]] = []
        self.flushing = False

    # --- for the other parts ---------------------------------------------------------------------------

    def host(self, name: str, machine: Machine) -> None:
        """Before ``listen``; its state is restored there."""
        self.machines[name] = machine

    async def propose(self, name: str, command: bytes, within_s: float) -> Any:
        """The machine's result at this node. NoQuorumError: not taken; UnsureError: may still be;
        FullError.
        """
        if self.core is None or self.broken:
            raise NoQuorumError(
                "this node takes no part", where=f"agreed log at {self.name}", do=str(self.broken or "")
            )
        data = wrap(name, command)
        if len(data) > MOST_COMMAND_BYTES:
            raise FullError(
                f"a command of {len(data)} bytes",
                where=f"agreed log, machine {name}",
                wanted=f"at most {MOST_COMMAND_BYTES}",
                do="send less at once",
            )
        one = self.proposals.add(data)
        self.results[one.seq] = result = asyncio.get_running_loop().create_future()
        self._hand_on()
        try:
            return await asyncio.wait_for(result, within_s)
        except TimeoutError:
            handed = self.proposals.give_up(one.seq)
            where = f"agreed log at {self.name}, leader {self.leader or 'unknown'}"
            if handed:
                raise UnsureError(
                    f"no end within {within_s} s", where=where, do="look at the state before acting"
                ) from None
            raise NoQuorumError(
                f"no leader within {within_s} s", where=where, do="come back once there is one"
            ) from None
        except asyncio.CancelledError:
            self.proposals.give_up(one.seq)     # with nobody yet: nobody gets it once its caller is gone
            raise
        finally:
            self.results.pop(one.seq, None)

    async def settled(self, within_s: float) -> int:
        """What is read here after it is not older than the call. NoQuorumError."""
        try:
            async with asyncio.timeout(within_s):
                while True:
                    index = await self._read_once()
                    if index:
                        await self._applied(index)
                        return index
        except TimeoutError:
            raise NoQuorumError(
                f"no read within {within_s} s",
                where=f"agreed log at {self.name}",
                do="come back once there is a leader",
            ) from None

    def leading(self) -> bool:
        """With a valid lease, now; asked right before each act."""
        return self.core is not None and not self.broken and self.core.leading(self.clock())

    @property
    def leader(self) -> str:
        """Whom this node follows, or empty."""
        return self.core.leader if self.core is not None and not self.broken else ""

    @property
    def term(self) -> int:
        return self.core.term if self.core is not None else 0

    def on_lead(self, told: Callable[[bool], None]) -> None:
        """Called with True once all that was committed before is applied here, with False when it ends."""
        self.leaders.append(told)

    # --- inside ----------------------------------------------------------------------------------------

    def _event(self, what: Callable[[], list[Action]]) -> None:
        """Carry out what the core asks for."""
        raise NotImplementedError

    def _send(self, to: str, message: Message) -> None:
        if not self.talk.send(to, CHANNEL, codec.encode(message)):
            self.counters.add("agree.unsent")  # it is sent again

    def _hand_on(self) -> None:
        """Own proposals that are due go to whoever leads."""
        if not self.leader or not self.proposals.open:
            return
        for one in self.proposals.due(self.clock()):
            one.handed = True
            message = Forward(
                self.identity, self.proposals.life, one.seq, self.proposals.acked, one.command
            )
            if self.leader == self.name:
                self._propose(self.name, message)
            else:
                self._send(self.leader, message)

    def _propose(self, sender: str, message: Forward) -> None:
        """At the leader; what came in one turn of the loop goes out in one round."""
        core = self.core
        assert core is not None
        if self.hosts.was_applied(message.proposer, message.life, message.seq):
            return
        taken = 0

        def take() -> list[Action]:
            nonlocal taken
            taken = core.propose(self.clock(), message.command, message.proposer, message.life, message.seq,
                                 message.acked)
            return core.drain()

        self._event(take)
        if not taken:
            if sender != self.name:
                self._send(sender, Refused(message.life, message.seq, core.role is Role.LEADER))
        elif not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        core = self.core
        assert core is not None
        self._event(lambda: core.flush(self.clock()))

    async def _read_once(self) -> int:
        """0: ask again."""
        core = self.core
        if core is None or self.broken:
            await asyncio.sleep(self.rules.tick_s)
            return 0
        self.token += 1
        token = self.token
        answer: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.reads[token] = answer
        try:
            self._event(lambda: core.read(self.clock(), token))
            index = await asyncio.wait_for(answer, AGAIN_LEASES * self.rules.lease_s)
        except TimeoutError:
            return 0
        finally:
            self.reads.pop(token, None)
        if not index:
            await asyncio.sleep(self.rules.tick_s)
        return index

    async def _applied(self, index: int) -> None:
        core = self.core
        assert core is not None
        if core.applied < index:
            wait: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            self.waits.append((index, wait))
            await wait

