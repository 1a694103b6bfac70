"""The agreed log as a part of its node, for the node's other parts and for operators.

Other parts register their machines with ``host`` before ``listen``; afterwards they call ``propose``,
``settled`` and ``leading``. States: starting (the journal is not open yet), taking part, broken (driver.py).
Times are of the monotonic clock.
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
    """The member of the agreed log at this node."""

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
        self.identity = f"{transport.name}/{secrets.token_hex(6)}"  # unique name of this start of the node
        self._hosted: dict[str, Machine] = {}
        self._machines = StateMachines(self._hosted)
        self._proposals = ProposalClient(self.name, self.identity, transport.life, self.rules, clock)
        self._reads = ReadClient(self.name, self.rules, self._participant)
        self._listeners = LeadershipListeners()
        self._disk: Disk | None = None  # None until the journal is open
        self._driver: CoreDriver | None = None  # None until the machines are restored
        self.probe = LogProbe(self)
        self.host(NAME, self.probe.machine)
        transport.on(CHANNEL, self._receive)

    def _participant(self) -> CoreDriver | None:
        """Return the driver; None before the start, and after the driver has failed."""
        if self._driver is None or self._driver.broken:
            return None
        return self._driver

    @property
    def _broken(self) -> OperatorError | None:
        return self._driver.broken if self._driver is not None else None

    # --- for the other parts ---------------------------------------------------------------------------

    def host(self, name: str, machine: Machine) -> None:
        """Register a state machine; must be called before ``listen``, which restores the machine's state."""
        self._hosted[name] = machine

    async def propose(self, name: str, command: bytes, within_s: float) -> Any:
        """Propose a command; return its result from the machine ``name`` at this node.

        Raises NoQuorumError if it was not accepted, UnsureError if it may still be accepted, and FullError if
        it is too long or too many proposals are open.
        """
        driver = self._participant()
        if driver is None:
            raise NoQuorumError(
                "this node takes no part", where=f"agreed log at {self.name}", do=str(self._broken or "")
            )
        return await self._proposals.propose(driver, name, command, within_s)

    async def settled(self, within_s: float) -> int:
        """Wait until this node has applied all entries that were committed before the call; return the index.

        A later read of a machine's state is linearizable. Raises NoQuorumError if this takes too long.
        """
        return await self._reads.settled(within_s)

    def leading(self) -> bool:
        """Return whether this node holds a valid lease now; must be called right before each act."""
        driver = self._participant()
        return driver is not None and driver.leading()

    @property
    def leader(self) -> str:
        """Name of the current leader, or empty if none is known."""
        return self._driver.leader if self._driver is not None else ""

    @property
    def term(self) -> int:
        """Current term of this member; 0 before the start."""
        return self._driver.core.term if self._driver is not None else 0

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters in force, sorted; before the start, the voters of the settings."""
        if self._driver is None:
            return tuple(sorted(self.settings.voters))
        return self._driver.core.voters.names

    def on_lead(self, listener: Callable[[bool], None]) -> None:
        """Register a listener for changes of leadership.

        It is called with True once this node leads and has applied all earlier commits, and with False when
        it stops leading.
        """
        self._listeners.add(listener)

    # --- as a part -------------------------------------------------------------------------------------

    async def listen(self) -> None:
        """Open the journal and restore the machines. Raises OperatorError or OSError."""
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
        """Log a warning if the memory counts as proved from the start, as there is no other node to ask."""
        if core.memory is MemoryStatus.PROVEN:
            logs.event(
                "agree.memory_unchecked",
                "warning",
                node=self.name,
                last=core.log.last,
                do="no other node can show whether this folder is an older copy (docs/agree.md, Bounds)",
            )

    async def run(self) -> None:
        """Tick and write until cancelled; after an error this node stops taking part but keeps serving."""
        if self._driver is None:
            raise AgreeError(
                "no journal is open", where=f"agreed log at {self.name}", wanted="listen() before run()"
            )
        await self._driver.run()

    async def leave(self) -> None:
        """Transfer the leadership to the most up-to-date voter, and never start an election again."""
        driver = self._participant()
        if driver is not None:
            driver.leave()
            await asyncio.sleep(self.rules.tick_s)  # time for the transfer message to be sent

    def close(self) -> None:
        """Cancel a running probe and close the journal."""
        self.probe.close()
        if self._disk is not None:
            self._disk.close()

    def _receive(self, sender: str, life: int, data: bytes) -> None:
        if self._driver is not None:
            self._driver.receive(sender, data)

    # --- for operators ---------------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """Return the view shown at ``/agree``."""
        if self._driver is None:
            return {"state": "starting"}
        return view(self._driver, self.clock(), self._proposals.open_count)

    def change_voters(self, query: dict[str, str]) -> dict[str, Any]:
        """Add or remove a voter at the leader, or trust this node's folder; return the view.

        ``query`` holds ``add=NAME``, ``remove=NAME``, or ``trust=NAME`` with this node's own name. Raises
        VotersError for a refusal.
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
    """Create the part and register its views and calls. Raises ConfigError for a voter outside the fleet."""
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
