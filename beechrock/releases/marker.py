"""Files that outlive a node's process: the marker ``OUT`` of its permit, and the version to start.

After a disk error, the caller retries ``out`` and ``wanted``. A pending removal of ``OUT`` is kept here
(``removal_pending``) until it is durable, or until a later permit has written its own marker.
"""

import asyncio

from beechrock.store import rewrite
from beechrock.store.files import Files

OUT, WANTED = "out", "wanted"  # file names; WANTED holds the version that the supervisor is to start


class Marker:
    """Writes and removes the files in threads, as a disk may be slow. Raises the disk's OSError."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.lock = asyncio.Lock()  # serializes writes and removals of OUT
        self.removal_pending = False  # OUT is to be removed, and its removal is not durable yet

    def found(self) -> bool:
        """Return whether the marker OUT exists."""
        return OUT in self.files.names()

    async def out(self, fence: int) -> None:
        """Write the marker OUT with the permit's fence."""
        # Without the lock, a removal whose thread starts late would remove the marker of a later permit.
        async with self.lock:
            self.removal_pending = False
            await asyncio.to_thread(self._write, OUT, str(fence))

    async def back(self) -> None:
        """Remove the marker OUT."""
        self.removal_pending = True
        await self.finish_removal()

    async def finish_removal(self) -> None:
        """Remove the marker OUT if that is pending; after an error it stays pending."""
        async with self.lock:
            if self.removal_pending:
                await asyncio.to_thread(self._remove)
                self.removal_pending = False

    async def wanted(self, version: str) -> None:
        """Write the version that the supervisor is to start."""
        await asyncio.to_thread(self._write, WANTED, version)

    def _write(self, name: str, text: str) -> None:
        rewrite.replace_file(self.files, name, text.encode())

    def _remove(self) -> None:
        if self.found():
            self.files.remove(OUT)
        # Sync even if the file is gone: after a failed sync of the folder, the retry found no file and did
        # nothing, and after a power cut the node came up drained by a permit that had ended long before.
        self.files.sync_names()
