"""Stores plans on disk and in memory, and fetches them in chunks from other nodes."""

from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

import msgpack

from beechrock import clocks, logs
from beechrock.errors import OperatorError
from beechrock.lowering.compile import Plan, read_plan
from beechrock.store.files import Files
from beechrock.store.folder import open_folder

CHANNEL = "lowering"
CHUNK = 256 << 10  # Maximum number of bytes of a plan in one message
KEPT = 4  # Number of plans kept in memory and on disk, and maximum number being fetched
PREFIX = "plan."
TURN_S = 2.0  # Seconds for which one holder is asked before switching to the next


class Plans:
    """Plans that this node holds or fetches.

    ``got`` is called when a plan is complete, ``bad`` with the error text if a plan can't be read.
    """

    def __init__(self, talk: Any, folder: Path, got: Callable[[], None], bad: Callable[[str], None]) -> None:
        self.talk, self.folder, self.got, self.bad = talk, folder, got, bad
        self.held: dict[str, Plan] = {}  # By digest; the plan stored last is last
        self.coming: dict[str, bytearray] = {}  # By digest: bytes received so far
        self.heard: dict[str, float] = {}  # By peer: time of its last message, in monotonic seconds
        self.files: Files | None = None

    def open(self) -> None:
        """Load the plans that an earlier process stored. Raises OSError if the folder can't be used."""
        self.files = open_folder(self.folder)
        for name in self.files.names():
            if name.startswith(PREFIX):
                self.keep(self.files.read(name), ())

    def close(self) -> None:
        if self.files is not None:
            self.files.close()

    def ask(self, digest: str, holders: Collection[str]) -> None:
        """Ask one of the holders for the next chunk of a plan; change the holder every TURN_S seconds."""
        coming = self.coming.setdefault(digest, bytearray())
        while len(self.coming) > KEPT:
            del self.coming[next(iter(self.coming))]
        others = [name for name in holders if name != self.talk.name]
        if others:
            holder = others[int(clocks.mono() / TURN_S) % len(others)]
            self.talk.send(holder, CHANNEL, msgpack.packb(["want", digest, len(coming)]))

    def take(self, sender: str, life: int, message: bytes) -> None:
        self.heard[sender] = clocks.mono()
        try:
            match msgpack.unpackb(message):
                case ["want", str(digest), int(start)] if digest in self.held and start >= 0:
                    data = self.held[digest].data
                    piece = data[start : start + CHUNK]
                    self.talk.send(sender, CHANNEL, msgpack.packb(["have", digest, start, len(data), piece]))
                case ["have", str(digest), int(start), int(size), bytes(data)] if digest in self.coming:
                    self._more(sender, digest, start, size, data)
        except (ValueError, msgpack.UnpackException):
            logs.event("lowering.bad_message", "warning", sender=sender)

    def _more(self, sender: str, digest: str, start: int, size: int, data: bytes) -> None:
        coming = self.coming[digest]
        if start != len(coming) or not data or start + len(data) > size:
            return
        coming += data
        if len(coming) < size:
            self.talk.send(sender, CHANNEL, msgpack.packb(["want", digest, len(coming)]))
            return
        del self.coming[digest]
        if self.keep(bytes(coming), (digest,)) == digest:
            self.got()

    def keep(self, data: bytes, wanted: Collection[str]) -> str:
        """Store a plan and return its digest; log and return "" if this program can't read the bytes.

        The oldest plans beyond KEPT are deleted, except those in ``wanted``.
        """
        try:
            plan = read_plan(data)
        except OperatorError as error:
            logs.event(error.event, "warning", **error.fields())
            self.bad(str(error))
            return ""
        name = PREFIX + plan.digest
        if plan.digest not in self.held and self.files is not None and name not in self.files.names():
            self.files.write("new", 0, data)
            self.files.truncate("new", len(data))
            self.files.sync("new")
            self.files.replace("new", name)
            self.files.sync_names()
        self.held[plan.digest] = plan
        spare = [digest for digest in self.held if digest not in wanted and digest != plan.digest]
        for old in spare[: max(0, len(self.held) - KEPT)]:
            del self.held[old]
            if self.files is not None:
                self.files.remove(PREFIX + old)
        return plan.digest
