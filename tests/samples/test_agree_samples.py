"""Messages of the agreed log, its journal and the snapshot of its machines, from an earlier version."""

import asyncio
from pathlib import Path

from sample_files import DATA, files_of, fixed_random, read_messages, sample_copy, write_messages

from beechrock.agree import codec
from beechrock.agree import messages as m
from beechrock.agree.codec import FIRST_RECORD_NUMBER, TYPES
from beechrock.agree.disk import Disk
from beechrock.agree.machines import NoEffect, Session, StateMachines, wrap
from beechrock.agree.messages import Entry, EntryKind, Epoch, Mark, MemoryStatus, Persist, Verdict
from beechrock.store.files import Files

SAMPLE = "agree"
MESSAGES_FILE, RECORDS, MACHINES = "messages.json", "records.bin", "machines.bin"
MAX_BYTES = 1 << 20
MARK, EPOCH = Mark(2, "e2.2", 40), Epoch(2, "e2.2", 30)
KNOWN = (("n1", 2), ("n2", 5))
COMMAND = wrap("duties", b"command")
ENTRIES = (
    Entry(1, 1, EntryKind.NO_OP),
    Entry(2, 1, EntryKind.VOTERS, b"\x93\xa2n1\xa2n2\xa2n3"),
    Entry(3, 2, EntryKind.COMMAND, COMMAND, "n1/1", 1_000_000, 4, 3),
    Entry(4, 2, EntryKind.READMIT, b"\x93\xa2n3\x02\xa4e3.2"),
)
DIGEST = bytes(range(32))
SNAPSHOT = m.Snapshot(2, 1, 2, ("n1", "n2", "n3"), DIGEST, b"machines")
MESSAGES: dict[str, m.Message] = {
    "memory query": m.MemoryQuery((Epoch(1, "e1.1", 0), EPOCH), False),
    "memory report": m.MemoryReport(
        "e2.2", Verdict.NEWER, 2, True, MemoryStatus.PROVEN, 3, 4, 2, 2, ("n1", "n2")
    ),
    "pre-vote": m.PreVote(3, 4, 2),
    "pre-vote reply": m.PreVoteReply(3, True),
    "vote": m.Vote(3, 4, 2, True),
    "vote reply": m.VoteReply(3, False, MARK, KNOWN),
    "leadership transfer": m.LeadershipTransfer(3),
    "append": m.Append(3, 7, 0, 0, 2, MARK, ENTRIES, 2, DIGEST),
    "heartbeat": m.Append(3, 8, 4, 2, 4, MARK),
    "append reply": m.AppendReply(3, 7, True, 4, 0, MemoryStatus.UNPROVEN, MARK, KNOWN),
    "snapshot chunk": m.SnapshotChunk(3, 9, 2, 0, 8, b"machines", 1, 2, ("n1", "n2", "n3"), DIGEST),
    "snapshot chunk reply": m.SnapshotChunkReply(3, 9, 2, 8, MemoryStatus.BARRED, MARK),
    "forwarded proposal": m.ForwardedProposal("n1/1", 1_000_000, 4, 3, COMMAND),
    "proposal rejected": m.ProposalRejected(1_000_000, 4, True),
    "read index request": m.ReadIndexRequest(1_000_000, 5),
    "read index reply": m.ReadIndexReply(1_000_000, 5, 4),
}
POSITION = 9
FIRST_RECORDS: tuple[m.Record, ...] = (
    m.EpochOpened(Epoch(1, "e1.1", 0)),
    m.HardState(1, "n1"),
    m.PeerMark("n2", MARK),
    m.BarredState(True),
    *ENTRIES[:3],
)
LATER_RECORDS: tuple[m.Record, ...] = (m.HardState(2, "?"), ENTRIES[3])
ALL_RECORDS = (*FIRST_RECORDS, SNAPSHOT, *LATER_RECORDS)


class BytesMachine:
    """State machine whose state is the last command."""

    def __init__(self) -> None:
        self.state = b""

    def apply(self, index: int, command: bytes) -> int:
        self.state = command
        return index

    def snapshot(self) -> bytes:
        return self.state

    def restore(self, data: bytes) -> None:
        self.state = data


async def write_journal(folder: Path) -> None:
    """Write a snapshot at entry 2 of the log, then two records."""
    with fixed_random():
        disk = Disk(Files(folder), MAX_BYTES)
    written: asyncio.Queue[int] = asyncio.Queue()
    task = asyncio.create_task(disk.run(written.put_nowait))
    disk.put(Persist(1, FIRST_RECORDS))
    assert await written.get() == 1
    disk.compact(SNAPSHOT, 1)
    assert await written.get() == 1
    disk.put(Persist(2, LATER_RECORDS))
    assert await written.get() == 2
    task.cancel()
    disk.close()


def machines_snapshot() -> bytes:
    machines = StateMachines({"duties": BytesMachine(), "releases": BytesMachine()})
    assert machines.apply(ENTRIES[2]) == 3
    return machines.snapshot()


def write(folder: Path) -> None:
    write_messages(
        folder / MESSAGES_FILE, {name: codec.encode(message) for name, message in MESSAGES.items()}
    )
    (folder / RECORDS).write_bytes(codec.encode_records(ALL_RECORDS, POSITION))
    (folder / MACHINES).write_bytes(machines_snapshot())
    asyncio.run(write_journal(folder))


def test_the_same_values_give_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_message_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / MESSAGES_FILE)
    assert {name: codec.decode(data) for name, data in encoded.items()} == MESSAGES


def test_records_are_read() -> None:
    assert codec.decode_records((DATA / SAMPLE / RECORDS).read_bytes()) == (POSITION, ALL_RECORDS)


def test_the_journal_is_read(tmp_path: Path) -> None:
    disk = Disk(Files(sample_copy(SAMPLE, tmp_path)), MAX_BYTES)
    state = disk.recovered
    disk.close()
    assert (state.term, state.vote, state.barred) == (2, "?", True)
    assert state.snapshot == SNAPSHOT and state.entries == list(ENTRIES[2:])
    assert state.epochs == (Epoch(1, "e1.1", 0),) and state.peer_marks == {"n2": MARK}
    assert state.position == len(FIRST_RECORDS) + len(LATER_RECORDS)


def test_the_machines_and_sessions_are_read() -> None:
    hosted = BytesMachine()
    machines = StateMachines({"duties": hosted})
    machines.restore((DATA / SAMPLE / MACHINES).read_bytes())
    assert hosted.state == b"command" and machines.unhosted == {"releases": b""}
    assert machines.sessions == {"n1/1": Session(1_000_000, 3, {4}, 3)}
    assert machines.apply(ENTRIES[2]) is NoEffect.DUPLICATE


def test_every_type_is_in_the_sample() -> None:
    messages = {type(message) for message in MESSAGES.values()}
    assert messages == {kind for number, kind in TYPES.items() if number < FIRST_RECORD_NUMBER}
    records = {type(record) for record in ALL_RECORDS}
    assert records | {Epoch, Mark} == set(TYPES.values()) - messages
    assert {entry.kind for entry in ENTRIES} == set(EntryKind)
