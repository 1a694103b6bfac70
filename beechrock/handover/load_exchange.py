"""Load reports between the two processes, so that both together keep to the node's limits."""

from collections.abc import Callable

from beechrock.core.actor import ModuleActor
from beechrock.handover.messages import LoadReport
from beechrock.handover.peer import PeerLinks
from beechrock.interface import OtherProcessLoad

NO_LOAD = LoadReport(0, 0.0, 0, 0)  # Report of a process without any work


class LoadExchange:
    """Exchange of load reports; keeps the last report sent and the other process's connections."""

    def __init__(
        self,
        module: ModuleActor,
        links: PeerLinks,
        connections: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self.other_connections = 0
        self._module = module
        self._links = links
        self._connections = connections
        self._on_change = on_change
        self._sent = NO_LOAD

    def receive(self, report: LoadReport, present: bool = True) -> None:
        """Post the other process's load to the module; ``present`` is true if that process exists."""
        self.other_connections = report.connections
        self._count_memory(report)
        self._module.post(OtherProcessLoad(report.runs, report.kb, report.calls, present))
        self._on_change()

    def _count_memory(self, report: LoadReport) -> None:
        """Keep the most memory that both processes are known to have used together."""
        if report.kb:
            both_kb = round(report.kb + self._module.load().held_kb)
            self._module.counters.raise_max("handover.most_memory_kb", both_kb)

    def other_appeared(self) -> None:
        """Note that another process exists that has not reported its load yet."""
        self.receive(NO_LOAD)

    def other_lost(self) -> None:
        """Note that the other process has ended, so that it has no load."""
        self.receive(NO_LOAD, present=False)

    def send(self, unchanged: bool = False) -> None:
        """Send the own load if it has changed, or in any case with ``unchanged``.

        Nothing is sent while earlier messages are unwritten.
        """
        own = self._module.load()
        report = LoadReport(own.running, own.held_kb, own.open_calls, self._connections())
        peer = self._links.current
        due = unchanged or report != self._sent
        if peer is not None and due and peer.flushed:  # else a later report will be more recent
            self._sent = report
            peer.send(report)
