"""Server for front ends: listens, and manages their connections."""

from beechrock.connections.table import CloseReason, ends_at_sweep
from beechrock.core.actor import ModuleActor
from beechrock.core.requests import RequestCancelled
from beechrock.net.connection_server import ConnectionServer
from beechrock.net.frame_codec import ANSWER, NO_MORE, REFUSED, Reply
from beechrock.net.frame_connection import FrameConnection

# Weight of a sweep in which a part of a message came: a message that comes slowly has 8 s to be complete.
SLOW_SWEEP_WEIGHT = 0.25


class FrameServer(ConnectionServer[FrameConnection]):
    """Listens for front ends and manages their connections."""

    where = "frames"

    def __init__(self, module: ModuleActor, max_connections: int, frames_name_tenants: bool = True) -> None:
        """Create the server.

        ``frames_name_tenants`` is whether frames name the tenants of the settings; they do not if the
        tenants are the teams of an inventory.
        """
        super().__init__(module, max_connections)
        self.frames_name_tenants = frames_name_tenants
        self.routes: dict[str, int] = {}
        self.tenants: dict[str, int] = {}
        self.leaving = False
        self.renew()

    def renew(self) -> None:
        """Apply new settings. Each route maps to the first of its classes, as frames name no team."""
        self.routes = {}
        for index, settings in enumerate(self.module.settings.classes):
            if not settings.removed:
                self.routes.setdefault(settings.name, index)
        tenants = self.module.settings.tenants if self.frames_name_tenants else ()
        self.tenants = {tenant.name: index for index, tenant in enumerate(tenants) if not tenant.removed}

    def tenant(self, name: str | None) -> int | None:
        """Return the index in the settings of the tenant that a frame names.

        Returns None if the frame names no tenant, or one that the settings do not list: such a request is
        served without a tenant, so that no tenant's share limits it. The module treats an index that is not
        in its list the same way.
        """
        if not name or not self.tenants:
            return None
        index = self.tenants.get(name)
        if index is None:
            self.module.counters.add("intake.tenants_unknown")
        return index

    def peer(self) -> FrameConnection:
        """Create the actor for a new connection; while draining, tell the peer to send no requests on it."""
        peer = FrameConnection(self)
        if self.leaving:
            peer.post(Reply(NO_MORE))
        return peer

    def reject_full(self, peer: FrameConnection) -> None:
        """Notify the peer that the table is full, and that it must send no requests."""
        peer.post(Reply(ANSWER, 0, REFUSED, body=b"too many connections"))
        peer.post(Reply(NO_MORE))

    def on_connection_ended(self, peer: FrameConnection) -> None:
        """Cancel the open requests of a connection that has ended."""
        for request in peer.open.values():
            if request is not None:
                self.module.post(RequestCancelled(request))

    def check_idle(self, peer: FrameConnection, now: float) -> None:
        """Close a connection that sends no complete message in time, or is idle for too long.

        A message that arrives slowly but steadily is given more sweeps than one that has stalled.
        """
        if not peer.messages_received or len(peer.inbox) or peer.skipping:
            peer.silent += 1.0 if peer.received == peer.received_at_sweep else SLOW_SWEEP_WEIGHT
        peer.received_at_sweep = peer.received
        callers_s = self.module.settings.idle_timeout_s or 0.0
        match ends_at_sweep(peer, peer.silent, now, self.module.status.idle_s or callers_s, callers_s):
            case CloseReason.STALE:
                self.module.counters.add("intake.frames_stale")
                peer.bad_input("nothing whole came in time")
                peer.close_when_idle()
            case CloseReason.IDLE if not len(peer.inbox) and peer.close_if_idle():
                self.module.counters.add("intake.frames_idle")

    def leave(self) -> None:
        """Tell the peers of all current and new connections to send no new requests; keep reading them."""
        self.leaving = True
        for peer in self.peers:
            if not peer.rejected:  # a rejected peer got NO_MORE when it connected
                peer.post(Reply(NO_MORE))
