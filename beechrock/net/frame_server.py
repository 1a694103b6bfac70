"""The server of front ends: listens, and keeps their connections."""

from beechrock.connections.table import CloseReason, ends_at_sweep
from beechrock.core.actor import ModuleActor
from beechrock.core.requests import RequestCancelled
from beechrock.net.connection_server import ConnectionServer
from beechrock.net.frame_codec import ANSWER, NO_MORE, REFUSED, Reply
from beechrock.net.frame_connection import FrameConnection

SLOW_SWEEP = 0.25  # what a sweep counts in which a part of a message came; a complete one has 8 s to come


class FrameServer(ConnectionServer[FrameConnection]):
    """Listens for front ends and keeps their connections."""

    where = "frames"

    def __init__(self, module: ModuleActor, max_connections: int, customers: bool = True) -> None:
        """Create it; ``customers``: frames name the settings' tenants, as these are no inventory's teams."""
        super().__init__(module, max_connections)
        self.customers = customers
        self.routes: dict[str, int] = {}
        self.tenants: dict[str, int] = {}
        self.leaving = False
        self.renew()

    def renew(self) -> None:
        """Read the settings: by route the first of its classes, as frames name no team."""
        self.routes = {}
        for index, settings in enumerate(self.module.settings.classes):
            if not settings.removed:
                self.routes.setdefault(settings.name, index)
        tenants = self.module.settings.tenants if self.customers else ()
        self.tenants = {tenant.name: index for index, tenant in enumerate(tenants) if not tenant.removed}

    def tenant(self, name: str | None) -> int | None:
        """Return the index in the settings of the tenant that a frame names.

        One that the settings do not list is served as a request of nobody, which has no share to be beyond:
        so the module treats an index that is not in its list.
        """
        if not name or not self.tenants:
            return None
        index = self.tenants.get(name)
        if index is None:
            self.module.counters.add("intake.tenants_unknown")
        return index

    def peer(self) -> FrameConnection:
        """Return one end of a new connection; while draining it is asked for no requests."""
        peer = FrameConnection(self)
        if self.leaving:
            peer.post(Reply(NO_MORE))
        return peer

    def send_full(self, peer: FrameConnection) -> None:
        """Say that the table is full, and ask for no requests."""
        peer.post(Reply(ANSWER, 0, REFUSED, body=b"too many connections"))
        peer.post(Reply(NO_MORE))

    def ended(self, peer: FrameConnection) -> None:
        """Cancel the requests that are open on it."""
        for request in peer.open.values():
            if request is not None:
                self.module.post(RequestCancelled(request))

    def look_at(self, peer: FrameConnection, now: float) -> None:
        """End a connection without a complete message in time, or idle for as long as callers keep it.

        A message that comes slowly and steadily has more sweeps than one that does not go on.
        """
        if not peer.uses or len(peer.inbox) or peer.skipping:
            peer.silent += 1.0 if peer.received == peer.received_at_sweep else SLOW_SWEEP
        peer.received_at_sweep = peer.received
        callers_s = self.module.settings.idle_timeout_s or 0.0
        match ends_at_sweep(peer, peer.silent, now, self.module.status.idle_s or callers_s, callers_s):
            case CloseReason.STALE:
                self.module.counters.add("intake.frames_stale")
                peer.bad_input("nothing whole came in time")
                peer.end()
            case CloseReason.IDLE if not len(peer.inbox) and peer.shut():
                self.module.counters.add("intake.frames_idle")

    def leave(self) -> None:
        """Ask for no new requests on any connection, those to come included; go on reading all the same."""
        self.leaving = True
        for peer in self.peers:
            if not peer.rejected:  # those were asked when they came
                peer.post(Reply(NO_MORE))
