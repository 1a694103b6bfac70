"""Two processes of one node, in one loop: the stand that the tests of a handover play on."""

import asyncio
import socket
from pathlib import Path

from play import Stand, until
from test_admin import ASKED

from beechrock.handover.life import After

UP = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5\\r\\n"\ncounter agent.links 1\n'
LAUNCH = 'g < "launch %016d submit 1\\r\\nx\\r\\n"\n'
OK = 'a < {02 %08d 00 01 06"advice" 0006"0.0000" "ok"}\n'
FAILED = 'a < {02 %08d 0d 01 06"advice" 0006"0.0000"}\n'


REFUSAL = 'g > "refusal launch %016d\\r\\n"\n'
DOUBT = 'a < {02 %08d 08 02 06"advice" 0006"0.0000" 05"pause" 0003"300"}\n'
PASS = 'g > "outcome %d %016d PASS 5 2\\r\\nok\\r\\n"\n'
CHECK = 'a > {04 %08d 00}\na < {05 %08d 00 01 06"advice" 0006"0.0000"}\n'
WORD = 's = connect admin\ns > "POST /healthcheck/%s HTTP/1.0\\r\\n\\r\\n"\ns ... "%s\\n"\n'


def asked(stream: int, trace: int, key: int) -> str:
    return ASKED % ("a", stream, 7, trace, "24.5", key, "x")


class Pair:
    """A shared socket, a shared folder, and the processes that are started one beside the other."""

    def __init__(self, folder: Path, shared: socket.socket) -> None:
        self.folder, self.shared = folder, shared
        self.stands: list[Stand] = []

    async def start(self, up: bool = True, admin: bool = False, stand: Stand | None = None) -> Stand:
        stand = stand or Stand()
        self.stands.append(stand)
        await stand.open(admin=admin, listen=self.shared.getsockname(), listen_fd=self.shared.fileno(),
                         handover=self.folder)
        if up:
            await stand.play(UP + "beat BEAT n1 ready\n")
        return stand

    async def both(self) -> tuple[Stand, Stand]:
        """One that serves, and its successor, ready."""
        old = await self.start()
        await self.serving(old)
        new = await self.start()
        await self.following(old, new)
        return old, new

    async def serving(self, stand: Stand) -> None:
        handover = stand.program.handover
        assert handover is not None
        await until(lambda: handover.life.accepting and stand.program.frames.server is not None,   # type: ignore
                    lambda: f"{handover.life.before}, {handover.life.after}")

    async def following(self, old: Stand, new: Stand) -> None:
        await self.serving(new)
        await until(lambda: old.program.handover.life.after is After.READY, lambda: "not ready")    # type: ignore

    async def end(self, stand: Stand) -> None:
        """The process is gone: the kernel closes what it had."""
        await stand.close()
        assert stand.program.handover is not None
        stand.program.handover.close()
        for peer in list(stand.program.frames.peers):   # type: ignore[union-attr]
            peer.drop()

    async def caller(self, stand: Stand, others: list[Stand]) -> None:
        """A connection named ``a`` that this process takes: the others do not look for one meanwhile."""
        for other in others:
            assert other.program.frames is not None
            other.program.frames.pause()
        had = stand.program.counters["intake.frames_connections"]
        await stand.step(["a", "=", "connect", "frames"], "")
        await until(lambda: stand.program.counters["intake.frames_connections"] > had, lambda: "not taken")
        for other in others:
            await other.program._take_connections()


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
