"""Format of the replica's data on disk: entries of the store's log, and the snapshot. Pure.

An entry holds records, the cursor of a full copy, or the note that all causal records were set aside.
Replayed in order, entries rebuild the same table. A record is a whole state that merges, so replaying one
twice is harmless.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgpack

from beechrock.replica.core import Core
from beechrock.replica.errors import ReplicaRecordError
from beechrock.replica.records import Causal, pack, unpack
from beechrock.replica.sums import RANGES
from beechrock.replica.table import MAX_RECORDS, Table

FORMAT = 1
MAX_ENTRY_BYTES = 1 << 20  # Size at which an entry of records is closed, in bytes.
PART_RECORDS = 1000  # Number of records in a part of a snapshot.


@dataclass(slots=True)
class Loaded:
    """The contents of a store, loaded before its core is made."""

    table: Table = field(default_factory=lambda: Table("", max_records=2 * MAX_RECORDS))
    aside: dict[bytes, Causal] = field(default_factory=dict)
    cursor: int = RANGES
    forgot: bool = False

    def entry(self, data: bytes) -> None:
        """Replay an entry of the log. Raises ReplicaRecordError if it cannot be read."""
        self._replay(_decode(data))

    def _replay(self, fields: list[Any]) -> None:
        match fields:
            case ["records", entries]:
                for name, packed in entries:
                    self.table.merge_state(name, packed)
            case ["aside"]:
                self.aside |= self.table.set_aside()
            case ["settled", entries]:
                for name, packed in entries:
                    state = unpack(Causal, packed)
                    if isinstance(state, Causal) and name not in self.table.records:
                        self.table.remember(name, state)
            case ["set aside", entries]:
                for name, packed in entries:
                    state = unpack(Causal, packed)
                    if isinstance(state, Causal):
                        self.aside[name] = state
            case ["copy", int(cursor), bool(forgot)]:
                self.cursor, self.forgot = cursor, forgot
            case _:
                raise ReplicaRecordError("an entry of an unknown kind", where="store replica")

    def snapshot(self, data: bytes) -> None:
        """Load a snapshot, which is a sequence of entries. Raises ReplicaRecordError if it cannot be read."""
        unpacker = msgpack.Unpacker(max_buffer_size=len(data) + 1)
        unpacker.feed(data)
        for fields in unpacker:
            self._replay(_check_format(fields))

    def install_into(self, core: Core) -> None:
        """Hand the loaded records to a new core."""
        table = self.table
        table.writer, table.kinds, table.max_records = (
            core.table.writer,
            core.table.kinds,
            core.table.max_records,
        )
        table.on_change = core.table.on_change
        core.hold(table)
        core.aside = self.aside


def entries(core: Core) -> list[bytes]:
    """Return the log entries for all changes since the last call, in order."""
    encoded = []
    if core.reset:
        core.reset = False
        encoded.append(_encode("aside"))
    size, batch = 0, list[Any]()
    for name, packed in core.take_writes():
        batch.append((name, packed))
        size += len(name) + len(packed)
        if size >= MAX_ENTRY_BYTES:
            encoded.append(_encode("records", batch))
            size, batch = 0, []
    if batch:
        encoded.append(_encode("records", batch))
    copy = (core.catchup.cursor, core.catchup.forgot and not core.catchup.whole)
    if copy != core.noted:
        core.noted = copy
        encoded.append(_encode("copy", *copy))
    return encoded


def blank() -> bytes:
    """Return the first entry of an empty store. It marks the node as one that lost its memory until it is
    whole."""
    return _encode("copy", RANGES, True)


def snapshot(core: Core) -> Iterator[bytes]:
    """Return a snapshot in parts, so that other work can run between them. Changes made meanwhile are in
    later entries of the log, and merge. If records are set aside meanwhile, the snapshot must be
    discarded."""
    names = list(core.table.records)
    for at in range(0, len(names), PART_RECORDS):
        yield _encode(
            "records",
            [
                (name, pack(state))
                for name in names[at : at + PART_RECORDS]
                if (state := core.table.state(name)) is not None
            ],
        )
    settled = list(core.table.settled.items())
    for at in range(0, len(settled), PART_RECORDS):
        yield _encode("settled", [(name, pack(state)) for name, state in settled[at : at + PART_RECORDS]])
    yield _encode("set aside", [(name, pack(state)) for name, state in core.aside.items()])
    yield _encode("copy", *core.noted)


def _encode(*fields: Any) -> bytes:
    data: bytes = msgpack.packb((FORMAT, *fields))
    return data


def _decode(data: bytes) -> list[Any]:
    try:
        return _check_format(msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException):
        return _check_format(None)


def _check_format(found: Any) -> list[Any]:
    version, *fields = found if isinstance(found, list) and found else [0]
    if version != FORMAT:
        raise ReplicaRecordError(
            f"format {version}",
            where="store replica",
            wanted=f"{FORMAT}",
            do="run the version that wrote it, or a later one",
        )
    return fields
