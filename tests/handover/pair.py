"""Test stand for handovers: two processes of one node in one event loop."""

import asyncio
import os
import socket
from pathlib import Path
from typing import TypeVar

from play import Stand
from test_admin import ASKED
from wires import HANG_S, until

from beechrock.handover import messages, wire
from beechrock.handover.lifecycle import SuccessorStage

Message = TypeVar("Message", bound=messages.Message)

UP = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5\\r\\n"\ncounter agent.links 1\n'
LAUNCH = 'g < "launch %016d submit 1\\r\\nx\\r\\n"\n'
OK = 'a < {02 %08d 00 01 06"advice" 0006"0.0000" "ok"}\n'
FAILED = 'a < {02 %08d 0d 01 06"advice" 0006"0.0000"}\n'


REFUSAL = 'g > "refusal launch %016d\\r\\n"\n'
DOUBT = 'a < {02 %08d 08 02 06"advice" 0006"0.0000" 05"pause" 0003"300"}\n'
PASS = 'g > "outcome %d %016d PASS 5 2\\r\\nok\\r\\n"\n'
CHECK = 'a > {04 %08d 00}\na < {05 %08d 00 01 06"advice" 0006"0.0000"}\n'
DRAIN_COMMAND = 's = connect admin\ns > "POST /healthcheck/%s HTTP/1.0\\r\\n\\r\\n"\ns ... "%s\\n"\n'


def request_line(stream: int, trace: int, key: int) -> str:
    return ASKED % ("a", stream, 7, trace, "24.5", key, "x")


class Pair:
    """A shared listening socket, a shared folder, and the processes that were started on them."""

    def __init__(self, folder: Path, shared: socket.socket) -> None:
        self.folder, self.shared = folder, shared
        self.stands: list[Stand] = []

    async def start(self, up: bool = True, admin: bool = False, stand: Stand | None = None) -> Stand:
        stand = stand or Stand()
        self.stands.append(stand)
        await stand.open(
            admin=admin,
            listen=self.shared.getsockname(),
            listen_fd=self.shared.fileno(),
            handover=self.folder,
        )
        if up:
            await stand.play(UP + "beat BEAT n1 ready\n")
        return stand

    async def start_both(self) -> tuple[Stand, Stand]:
        """Start a process, and a successor that is ready, and return both."""
        old = await self.start()
        await self.serving(old)
        new = await self.start()
        await self.following(old, new)
        return old, new

    async def serving(self, stand: Stand) -> None:
        handover = stand.program.handover
        assert handover is not None
        await until(
            lambda: handover.lifecycle.accepting and stand.program.frames.server is not None,  # type: ignore
            lambda: f"{handover.lifecycle.predecessor}, {handover.lifecycle.successor}",
        )

    async def following(self, old: Stand, new: Stand) -> None:
        await self.serving(new)
        await until(
            lambda: old.program.handover.lifecycle.successor is SuccessorStage.READY, lambda: "not ready"
        )  # type: ignore

    async def end(self, stand: Stand) -> None:
        """End a process, with all of its sockets closed as by the kernel."""
        await stand.close()
        assert stand.program.handover is not None
        stand.program.handover.close()
        for peer in list(stand.program.frames.peers):  # type: ignore[union-attr]
            peer.drop()

    async def connect_caller(self, stand: Stand, others: list[Stand]) -> None:
        """Open a connection named ``a`` to this process; the others pause accepting meanwhile."""
        for other in others:
            assert other.program.frames is not None
            other.program.frames.pause()
        had = stand.program.counters["intake.frames_connections"]
        await stand.step(["a", "=", "connect", "frames"], "")
        await until(
            lambda: stand.program.counters["intake.frames_connections"] > had,
            lambda: "connection not accepted",
        )
        for other in others:
            await other.program.shared_socket.listen()


class ScriptedPeer:
    """One end of a channel whose messages the test sends and receives itself."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.got = sock, b""

    def send_messages(self, *messages: messages.Message) -> None:
        self.sock.sendall(b"".join(map(wire.encode, messages)))

    async def receive(self, kind: type[Message]) -> Message:
        """Return the next message of this type, skipping others."""
        while True:
            size = wire.decode_length(self.got) if len(self.got) >= 4 else 0
            if not size or len(self.got) < 4 + size:
                async with asyncio.timeout(HANG_S):
                    more = await asyncio.get_running_loop().sock_recv(self.sock, 4096)
                assert more, "the channel ended"
                self.got += more
                continue
            message = wire.decode(self.got[4], self.got[5 : 4 + size])
            self.got = self.got[4 + size :]
            if isinstance(message, kind):
                return message

    def kill(self) -> None:
        """Close the socket, as the kernel does for a killed process; what was sent remains readable."""
        self.sock.close()


class ScriptedPredecessor:
    """A predecessor that the test plays itself; its socket name is older than that of any real process."""

    def __init__(self, pair: Pair) -> None:
        host, port = pair.shared.getsockname()
        self.listening = socket.socket(socket.AF_UNIX)
        self.listening.bind(str(pair.folder / f"beechrock-{host}_{port}-{0:020d}-1.sock"))
        self.listening.listen(8)
        self.listening.setblocking(False)
        self.end: ScriptedPeer | None = None

    async def accept(self) -> ScriptedPeer:
        async with asyncio.timeout(HANG_S):
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listening)
        sock.setblocking(False)
        self.end = ScriptedPeer(sock)
        return self.end

    def remove_socket_name(self) -> None:
        """Remove the name of its socket from the folder, as a process does that exits cleanly."""
        os.unlink(self.listening.getsockname())

    def kill(self) -> None:
        self.listening.close()
        if self.end is not None:
            self.end.kill()


def run(work, folder: Path) -> None:  # type: ignore[no-untyped-def]
    async def whole() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=64) as shared:
            pair = Pair(folder, shared)
            try:
                await work(pair)
            finally:
                for stand in pair.stands:
                    await pair.end(stand)

    asyncio.run(whole())
