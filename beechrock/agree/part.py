"""The agreed log as a part of its node, for the node's other parts and for operators.

``host`` a machine before the part listens; then ``propose``, ``settled``, ``leading``. States: starting (no
journal is open), taking part, broken (driver.py). Times are of the monotonic clock.
"""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

from beechrock import clocks, logs
from beechrock.agree.core import ConsensusCore
from beechrock.agree.disk import Disk
from beechrock.agree.driver import CHANNEL, CoreDriver, LeadershipListeners
from beechrock.agree.errors import AgreeError, NoQuorumError, VotersError
from beechrock.agree.machines import Machine, StateMachines
from beechrock.agree.messages import MemoryStatus
from beechrock.agree.probe import NAME, LogProbe
from beechrock.agree.proposal_client import ProposalClient
from beechrock.agree.read_client import ReadClient
from beechrock.agree.settings import AgreeSettings
from beechrock.agree.view import view
from beechrock.config.errors import ConfigError
from beechrock.errors import OperatorError
from beechrock.parts import Context
from beechrock.store.folder import open_folder
from beechrock.talk.part import PeerTransport


class AgreedLog:
    """The member of the log at this node, from its start on."""

    def __init__(
        self,
        settings: AgreeSettings,
        transport: PeerTransport,
        counters: Any,
        clock: Callable[[], float] = clocks.boot,
    ) -> None:
        self.settings = settings
        self.rules = settings.rules
        self.transport = transport
        self.counters = counters
        self.clock = clock
        self.name = transport.name
        self.identity = f"{transport.name}/{secrets.token_hex(6)}"  # of this start
        self._hosted: dict[str, Machine] = {}
        self._machines = StateMachines(self._hosted)
        self._proposals = ProposalClient(self.name, self.identity, transport.life, self.rules, clock)
        self._reads = ReadClient(self.name, self.rules, self._participant)
        self._listeners = LeadershipListeners()
        self._disk: Disk | None = None  # None before the journal is open
        self._driver: CoreDriver | None = None  # None before the machines are restored
        self.probe = LogProbe(self)
        self.host(NAME, self.probe.machine)
        transport.on(CHANNEL, self._receive)

    def _participant(self) -> CoreDriver | None:
        """Return the driver; None before the start, and once it is broken."""
        if self._driver is None or self._driver.broken:
            return None
        return self._driver

    @property
    def _broken(self) -> OperatorError | None:
        return self._driver.broken if self._driver is not None else None

    # --- for the other parts ---------------------------------------------------------------------------

    def host(self, name: str, machine: Machine) -> None:
        """Register a machine, before ``listen``, which restores its state."""
        self._hosted[name] = machine

    async def propose(self, name: str, command: bytes, within_s: float) -> Any:
        """Return the result of the machine ``name`` at this node.

        Raises NoQuorumError: not accepted; UnsureError: may still be; FullError: too long, or too many open.
        """
        driver = self._participant()
        if driver is None:
            raise NoQuorumError(
                "this node takes no part", where=f"agreed log at {self.name}", do=str(self._broken or "")
            )
        return await self._proposals.propose(driver, name, command, within_s)

    async def settled(self, within_s: float) -> int:
        """Wait until what is read here is not older than the call (a linearizable read); return the index.

        Raises NoQuorumError.
        """
        return await self._reads.settled(within_s)

    def leading(self) -> bool:
        """Return whether this node holds a valid lease now; to be asked right before each act."""
        driver = self._participant()
        return driver is not None and driver.leading()

    @property
    def leader(self) -> str:
        """The node that this one follows, or empty."""
        return self._driver.leader if self._driver is not None else ""

    @property
    def term(self) -> int:
        """The term, 0 before the start."""
        return self._driver.core.term if self._driver is not None else 0

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters in force, sorted; of the first start, before this one."""
        if self._driver is None:
            return tuple(sorted(self.settings.voters))
        return self._driver.core.voters.names

    def on_lead(self, listener: Callable[[bool], None]) -> None:
        """Register a listener.

        Called with True once all that was committed before is applied here, with False when leading ends.
        """
        self._listeners.add(listener)

    # --- as a part -------------------------------------------------------------------------------------

    async def listen(self) -> None:
        """Open the journal, restore the machines. OperatorError, OSError."""
        disk = Disk(open_folder(self.transport.settings.state / "agree"), self.rules.max_bytes)
        self._disk = disk
        recovered = disk.recovered
        if recovered.snapshot is not None:
            self._machines.restore(recovered.snapshot.data)
        core = ConsensusCore(
            self.name,
            tuple(sorted({self.name, *self.transport.peers})),
            self.settings.voters,
            self.rules,
            self.identity,
            recovered,
            self.identity,
            self.clock(),
        )
        self._driver = CoreDriver(
            core,
            disk,
            self.transport,
            self._machines,
            self._proposals,
            self._reads,
            self._listeners,
            self.counters,
            self.clock,
        )
        self._driver.execute(core.drain_actions())
        logs.event(
            "agree",
            node=self.name,
            voters=list(core.voters.names),
            term=recovered.term,
            last=core.log.last,
            position=recovered.position,
            standing=core.memory.name.lower(),
        )
        self._warn_of_unchecked_memory(core)

    def _warn_of_unchecked_memory(self, core: ConsensusCore) -> None:
        """Log where the memory counts as proved at the start, as there is no other node to ask."""
        if core.memory is MemoryStatus.PROVEN:
            logs.event(
                "agree.memory_unchecked",
                "warning",
                node=self.name,
                last=core.log.last,
                do="no other node can show whether this folder is an older copy (docs/agree.md, Bounds)",
            )

    async def run(self) -> None:
        """Tick and write until cancelled; after an error the node takes no further part, and serves on."""
        if self._driver is None:
            raise AgreeError(
                "no journal is open", where=f"agreed log at {self.name}", wanted="listen() before run()"
            )
        await self._driver.run()

    async def leave(self) -> None:
        """Transfer the leadership to the voter that is furthest; be no candidate any more."""
        driver = self._participant()
        if driver is not None:
            driver.leave()
            await asyncio.sleep(self.rules.tick_s)  # for the message to leave

    def close(self) -> None:
        """End a probe, close the journal."""
        self.probe.close()
        if self._disk is not None:
            self._disk.close()

    def _receive(self, sender: str, life: int, data: bytes) -> None:
        if self._driver is not None:
            self._driver.receive(sender, data)

    # --- for operators ---------------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """Return what ``/agree`` shows."""
        if self._driver is None:
            return {"state": "starting"}
        return view(self._driver, self.clock(), self._proposals.open_count)

    def change_voters(self, query: dict[str, str]) -> dict[str, Any]:
        """Execute ``add=NAME``, ``remove=NAME``, or ``trust=NAME`` at that node itself; return the view.

        Raises VotersError.
        """
        driver = self._participant()
        if driver is None:
            raise VotersError(
                "this node takes no part", where=f"agreed log at {self.name}", do="ask another node"
            )
        core = driver.core
        if "trust" in query:
            if query["trust"] != self.name:
                raise VotersError(f"this is {self.name}", where="trust", do=f"ask {query['trust']} itself")
            actions = core.trust()
            logs.event("agree.trusted", "warning", node=self.name)
        else:
            actions = core.change_voters(self.clock(), query.get("add", ""), query.get("remove", ""))
            logs.event(
                "agree.voters", node=self.name, voters=list(core.voters.names), index=core.voters.index
            )
        driver.run_event(lambda: actions)
        return self.view()


def begin(settings: AgreeSettings, context: Context) -> AgreedLog:
    """Make the actor, and show its views. Raises ConfigError where a voter is no node of the fleet."""
    transport = context.parts["fleet"]
    for name in settings.voters:
        if name != transport.name and name not in transport.peers:
            raise ConfigError(
                f"{name} is no node of the fleet",
                where=f"{settings.where}: voters",
                wanted="names of [fleet] peers, or this node's own",
            )
    log = AgreedLog(settings, transport, context.counters)
    context.views["/agree"] = log.view
    context.calls["/agree/voters"] = log.change_voters
    context.views["/agree/probe"] = log.probe.view
    context.calls["/agree/probe"] = log.probe.start
    return log
