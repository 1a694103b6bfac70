"""One API node: composes its parts, handles signals and shuts down gracefully."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from beechrock import clocks, config
from beechrock.configuration_file import ConfigurationFile, warn_of_start_only_changes
from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.core.requests import ShutdownRequested, Work
from beechrock.departure import GracefulShutdown
from beechrock.net.agent import Agent
from beechrock.net.frame_server import FrameServer
from beechrock.net.ledger import Ledger
from beechrock.net.listener import Listener
from beechrock.net.registry import Registry
from beechrock.settings import settings_from

if TYPE_CHECKING:  # imported at run time only if the configuration enables the part
    from pathlib import Path

    from beechrock.admin.http import AdminFront
    from beechrock.admin.serving import Serving
    from beechrock.handover.node import Handover
    from beechrock.inventory.generation import Generation
    from beechrock.inventory.keeper import Keeper
    from beechrock.members.actor import MembersActor
    from beechrock.members.settings import MembersSettings
    from beechrock.net.scgi import ScgiServer
    from beechrock.net.scgi_work import ScgiWork
    from beechrock.parts import Context, Part
    from beechrock.shared_socket import SharedSocket
    from beechrock.trace.recorder import Recorder

log = logging.getLogger("beechrock")


def _address_of(server: Listener | None) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2]) if server is not None else "nothing"


def _create_module(
    configuration: config.Config,
    clock: Callable[[], float],
    counters: Counters,
    unix_clock: Callable[[], float],
) -> ModuleActor:
    """Create the module's actor; two processes may share a socket, and then each has half the memory."""
    memory_mb = configuration.memory_mb / (2 if configuration.listen_fd is not None else 1)
    return ModuleActor(configuration.settings, configuration.seed, clock, counters, memory_mb, unix_clock)


class Program:
    """Composes a node of its parts, and runs them until the graceful shutdown is complete."""

    def __init__(
        self,
        configuration: config.Config,
        clock: Callable[[], float] = clocks.steady,
        file: ConfigurationFile | None = None,
        unix_clock: Callable[[], float] = clocks.unix,
        origin_s: float = clocks.ORIGIN_S,
    ) -> None:
        """``file`` is reloaded; ``origin_s``: seconds by which ``clock`` leads the monotonic clock."""
        self.configuration = configuration
        self.origin_s = origin_s
        self.counters = Counters()
        self.configuration_file = file or ConfigurationFile()
        self.module = _create_module(configuration, clock, self.counters, unix_clock)
        self.tasks: list[asyncio.Task[None]] = []
        self.leaving = asyncio.Event()  # set when the graceful shutdown begins
        self.graceful_shutdown = GracefulShutdown(configuration.stop_s)
        self.replaced = False  # whether another process continues as this node
        self.recorder: Recorder | None = None
        self.scgi: ScgiServer | None = None
        self.servers: ScgiWork | None = None
        self.keeper: Keeper | None = None
        self.handover: Handover | None = None
        self.shared_socket: SharedSocket | None = None
        self.serving: Serving | None = None
        self.admin: AdminFront | None = None
        self.members: MembersActor | None = None
        self.parts: dict[str, Part] = {}
        self.context: Context | None = None
        if configuration.trace is not None:
            from beechrock import optional_parts

            self.recorder = optional_parts.recorder(
                configuration.trace, configuration.name, self.module, unix_clock
            )
        self._connect_platform()
        self._add_optional_parts()

    def _connect_platform(self) -> None:
        """Create the frame server, the links to agent, ledger and registry, and what runs requests."""
        configuration = self.configuration
        sockets = configuration.sockets
        # Front ends use up to half of the descriptors; the agent, the ledger and SCGI share the rest.
        self.frames: FrameServer | None = None
        if configuration.listen:
            self.frames = FrameServer(
                self.module, sockets * 5 // 8, frames_name_tenants=configuration.scgi is None
            )
        self.agent: Agent | None = None
        if configuration.agent:
            self.agent = Agent(self.module, configuration.gauges, configuration.agent)
            self.module.can_run = self.agent.able
            self.agent.on_unreachable = self.reload_if_changed
        self.registry: Registry | None = None
        if configuration.registry:
            self.registry = Registry(
                configuration.name, configuration.registry, self.counters, self.module.can_run
            )
        work: Work | None = self.agent
        if configuration.scgi is not None:
            work = self._create_scgi_front(configuration.scgi)
            self._create_inventory_keeper(configuration.scgi)
        self.module.ports.work = work
        self.ledger: Ledger | None = None
        if configuration.ledger:
            self.ledger = Ledger(self.module, configuration.ledger, sockets // 8)
        self.module.ports.calls = self.ledger

    def _add_optional_parts(self) -> None:
        """Create the parts that the configuration enables; modules of the others are not imported."""
        configuration = self.configuration
        if configuration.listen_fd is not None and self.frames is not None and configuration.listen:
            self._share_socket(self.frames, configuration.listen, configuration.handover)
        if configuration.members is not None:
            self._create_members(configuration.members)
        if configuration.parts:
            self._create_parts(configuration.parts)
        if configuration.admin is not None:
            self._create_admin_front()

    def _share_socket(self, frames: FrameServer, listen: tuple[str, int], folder: "Path | None") -> None:
        """Set up the hand-over from an older process of this node, and to a newer one, on a shared socket."""
        from beechrock.handover.node import Handover
        from beechrock.shared_socket import SharedSocket

        node = "{}_{}".format(*listen)
        self.handover = Handover(self.module, folder, node, lambda: len(frames.peers), self.origin_s)
        self.shared_socket = SharedSocket(self.configuration, frames, self.handover, self.counters)
        self.module.ports.partner = self.handover.keys
        self.handover.on_change = self._follow_handover

    def _follow_handover(self) -> None:
        """Apply the hand-over's state: accept connections or not, and announce whether it is replaced."""
        if self.handover is None or self.shared_socket is None:
            return
        self.shared_socket.follow_handover()
        # After the shutdown began, a successor may agree to take over, or end and leave this node unreplaced.
        lifecycle = self.handover.lifecycle
        if self.leaving.is_set() and self.replaced is not lifecycle.replaced and not lifecycle.ended:
            self.replaced = lifecycle.replaced
            self._announce_leave()

    def _create_admin_front(self) -> None:
        """Create the operators' HTTP front at the second address, with the calls that the parts offer."""
        from beechrock import optional_parts
        from beechrock.admin.http import MOST_CONNECTIONS, AdminFront

        self.serving = optional_parts.serving_state(self.module, self.handover)
        agent = self.agent if self.servers is None else None
        dispatches = None if agent is None else lambda: agent.dispatches
        calls = optional_parts.operator_calls(self.module, self.serving, dispatches)
        if self.members is not None:
            calls.offer("/members", self.members.view)
        if self.context is not None:
            calls.offer_parts(self.context)
        max_connections = min(MOST_CONNECTIONS, self.configuration.sockets // 8)
        self.admin = AdminFront(self.module, calls, max_connections)

    def _create_members(self, settings: "MembersSettings") -> None:
        from beechrock.members import actor
        from beechrock.store import life

        try:
            life_number = life.next_life(settings.state, clocks.wall())
        except OSError as error:
            raise config.ConfigError(str(error), where="members: state") from None
        self.members = actor.MembersActor(
            settings, self.configuration.name, life_number, self.counters, self.configuration.seed
        )

    def _create_parts(self, settings: Mapping[str, object]) -> None:
        from beechrock import parts

        self.context = parts.Context(
            self.configuration.name, self.configuration.seed, self.counters, self.module, self
        )
        self.parts = parts.create_parts(settings, self.context)

    def _create_scgi_front(self, settings: config.Scgi) -> Work:
        """Create the SCGI front, and return the work that runs requests at its services' upstreams."""
        # Imported here, as platform nodes do not use SCGI and have little memory.
        from beechrock.core.work_router import WorkRouter
        from beechrock.net.scgi import ScgiServer
        from beechrock.net.scgi_work import ScgiWork

        meaning = settings.generation.meaning
        self.scgi = ScgiServer(
            self.module, meaning, self.configuration.sockets * (1 if self.configuration.listen else 5) // 8
        )
        self.servers = ScgiWork(self.module, meaning.upstreams)
        return WorkRouter(self.servers, self.agent) if self.agent is not None else self.servers

    def _create_inventory_keeper(self, settings: config.Scgi) -> None:
        from beechrock import optional_parts
        from beechrock.inventory import layout

        self.meaning = settings.generation.meaning
        self.places = layout.first(self.meaning)
        self.keeper = optional_parts.inventory_keeper(settings, self.module, self.adopt_generation)

    def adopt_generation(self, new: "Generation") -> bool:
        """Apply a new inventory generation to new requests; open requests keep the contract they began with.

        The module's settings change first, then the upstream servers, then the fronts that accept requests.
        Return False, with nothing changed, if the generation cannot be applied now.
        """
        from beechrock.inventory import layout, model

        if self.scgi is None or self.servers is None:
            return False
        places, meaning = layout.follow(self.places, self.meaning, new.meaning, self.module.clock())
        settings = meaning.settings
        if self.configuration.raw is not None:
            settings = model.over(self.configuration.raw, meaning)
        if not self.module.update_settings(settings_from(settings)[0]):
            return False
        self.places, self.meaning = places, meaning
        self.servers.renew(meaning.upstreams)
        self.scgi.inventory = meaning
        if self.scgi.limits is not None:
            self.scgi.limits.apply_inventory(meaning)
        if self.frames is not None:
            self.frames.renew()
        return True

    def leave(self) -> None:
        """Begin the graceful shutdown: notify every part; connections are still accepted and read."""
        if self.leaving.is_set():
            return
        self.leaving.set()
        self.graceful_shutdown.begin()
        if self.serving is not None:
            self.serving.leave()
        self.replaced = self.handover is not None and self.handover.leave()
        self._announce_leave()
        if self.frames is not None:
            self.frames.leave()
        if self.recorder is not None:  # now: the first write creates a file, and the end has little time
            self.tasks.append(self.counters.spawn(self.recorder.write(), "trace"))
        if self.members is not None:
            self.members.leave()
        for name, part in self.parts.items():
            self.tasks.append(self.counters.spawn(part.leave(), f"{name}.leave"))
        if self.handover is not None:
            self._follow_handover()

    def _announce_leave(self) -> None:
        """Send the module its time limit; report to the registry whether this node drains or is replaced."""
        self._post_shutdown_request(self.graceful_shutdown.steps.module_s())
        if self.registry is not None:
            self.registry.mailbox.put("ready" if self.replaced else "draining")

    def reload(self) -> None:
        """Reload the configuration: links move to new peer addresses; open connections and requests go on."""
        configuration = self.configuration_file.read(self.configuration, self.counters)
        if configuration is None:
            return
        if self.agent is not None and configuration.agent is not None:
            self.agent.move(configuration.agent)
        if self.ledger is not None and configuration.ledger is not None:
            self.ledger.move(configuration.ledger)
        if self.registry is not None and configuration.registry is not None:
            self.registry.move(configuration.registry)
        if self.keeper is not None:
            self.keeper.word()
        warn_of_start_only_changes(self.configuration, configuration)

    def reload_if_changed(self) -> None:
        """Reload the configuration file if it has changed, without a SIGHUP.

        Otherwise a node that started while the file was being replaced, or that read it half written, would
        look for its agent at the old address for ever.
        """
        if self.configuration_file.has_stable_change():
            self.counters.add("reload.unasked")
            self.reload()

    async def listen(self) -> None:
        """Open the listening sockets. Raises ConfigError, or OSError for frames and SCGI, if one fails."""
        if self.admin is not None and self.configuration.admin is not None:
            try:
                await self.admin.start(*self.configuration.admin)
            except OSError as error:
                raise config.ConfigError(
                    error.strerror or str(error), where=self.configuration.admin_at
                ) from None
            log.info("%s: second address %s", self.configuration.name, _address_of(self.admin.server))
        if self.members is not None:
            try:
                await self.members.listen()
            except OSError as error:
                raise config.ConfigError(error.strerror or str(error), where="members: listen") from None
        for name, part in self.parts.items():
            try:
                await part.listen()
            except OSError as error:
                raise config.ConfigError(error.strerror or str(error), where=f"{name}: listen") from None
        if self.frames is not None and self.configuration.listen is not None and self.handover is None:
            await self.frames.start(*self.configuration.listen, self.configuration.listen_fd)
            log.info("%s: frames on %s", self.configuration.name, _address_of(self.frames.server))
        if self.scgi is not None and self.configuration.scgi is not None:
            await self.scgi.start(*self.configuration.scgi.listen)
            log.info("%s: SCGI on %s", self.configuration.name, _address_of(self.scgi.server))

    async def start(self) -> None:
        """Open the listening sockets and start the actors."""
        await self.listen()
        actors = {
            "module": self.module,
            "registry": self.registry,
            "inventory": self.keeper,
            "trace": self.recorder,
            "handover": self.handover,
            "members": self.members,
            **self.parts,
        }
        self.tasks += [self.counters.spawn(a.run(), name) for name, a in actors.items() if a is not None]
        if self.agent is not None:
            self.agent.start()

    def close(self) -> None:
        """Close the listening sockets, and the parts in reverse order of their creation."""
        if self.handover is not None:
            self.handover.end()
        for front in (self.frames, self.scgi, self.admin):
            if front is not None:
                front.close()
        for part in reversed(self.parts.values()):
            part.close()

    async def run(self) -> None:
        """Run the node until its graceful shutdown, which a signal or a part begins, is complete."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        loop.add_signal_handler(signal.SIGUSR1, self.module.report)
        if self.configuration_file.has_changed():  # SIGHUP was ignored until here
            self.reload()
        await self.start()
        gc.freeze()  # full collections skip objects made so far, which would put them off
        await self.leaving.wait()
        await self.graceful_shutdown.wait(self._may_exit, self._post_shutdown_request)
        await self._end_connections()
        self.close()
        for task in self.tasks:
            if task.get_name() != "trace":
                task.cancel()
        if self.recorder is not None:  # no more events to record; a write may be in progress
            await self.recorder.finish()
        for task in self.tasks:
            task.cancel()
        if self.keeper is not None:
            await self.keeper.finish()
        if self.handover is not None:  # last, as a run may start until here
            self.handover.close()
        self.module.report()

    @property
    def has_tasks_to_end(self) -> bool:
        """Return whether fleet parts are enabled, whose tasks may have work left after ``run``."""
        return self.members is not None or bool(self.parts)

    def _may_exit(self) -> bool:
        return self.handover is not None and self.handover.may_exit()

    def _post_shutdown_request(self, remaining_s: float) -> None:
        self.module.post(ShutdownRequested(remaining_s, self.replaced))

    async def _end_connections(self) -> None:
        """Answer all requests read, and end each connection in order, in time for the process to exit itself.

        Requests in the backlog of a listening socket are answered too: it is emptied before it is closed.
        """
        # If no other process accepts from a shared socket, this process answers its backlog as well.
        if self.handover is not None and not self.handover.lifecycle.accepting:
            self.handover.end()  # new connections are the other process's
        await self.graceful_shutdown.end_connections(
            front for front in (self.frames, self.scgi) if front is not None
        )
