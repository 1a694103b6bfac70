"""What a node's folder says over a restart: that it is out under a permit, and the version it is to have."""

import asyncio
from collections.abc import Callable

from beechrock.store import rewrite
from beechrock.store.files import Files

OUT, WANTED = "out", "wanted"       # WANTED: the version that the supervisor is to start


class Marker:
    """Written in threads of their own, as a disk may be slow; OSError as the disk gives it."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.turn = asyncio.Lock()

    def found(self) -> bool:
        return OUT in self.files.names()

    async def out(self, fence: int) -> None:
        await self._one(self._write, OUT, str(fence))

    async def back(self) -> None:
        await self._one(self._remove)

    async def wanted(self, version: str) -> None:
        await asyncio.to_thread(self._write, WANTED, version)

    async def _one(self, work: Callable[..., None], *told: str) -> None:
        # A thread that is slow to begin would take away the marker of the permit that came after.
        async with self.turn:
            await asyncio.to_thread(work, *told)

    def _write(self, name: str, text: str) -> None:
        rewrite.whole(self.files, name, text.encode())

    def _remove(self) -> None:
        if self.found():
            self.files.remove(OUT)
            self.files.sync_names()
