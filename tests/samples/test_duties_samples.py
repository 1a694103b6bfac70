"""Messages about duties, and their commands and files, as an earlier version wrote them."""

from pathlib import Path
from unittest.mock import patch

import msgpack
from sample_files import DATA, files_of, fixed_random, read_messages, sample_copy, write_messages

from beechrock.duties import fences, grants, messages
from beechrock.duties.fences import Fences
from beechrock.duties.generations import AgreedGeneration, ProposalResult
from beechrock.duties.grants import HANDLERS, GrantTable, Result
from beechrock.duties.messages import (
    HeldFence,
    Message,
    MessageKind,
    MoveRequest,
    RenewalReply,
    RenewalRequest,
    RenewedLease,
)
from beechrock.duties.model import Duty, Grant, Kind, WithoutQuorum
from beechrock.store.files import Files
from beechrock.store.log import Store

SAMPLE = "duties"
MESSAGES_FILE, COMMANDS_FILE, TABLE = "messages.json", "commands.json", "grants.bin"
GENERATION_COMMAND, GENERATION = "generation_command.bin", "generation.bin"
FENCES_PREFIX, COMPACTED_PREFIX = "fences", "compacted"
LIFE = 1_000_000
FLEET_DUTY = Duty("index", lease_s=2.0)
HALL_DUTY = Duty("cool", Kind.HALL, "hall-a", ("hall-a",), ("large",), 5.0, WithoutQuorum.FINISH)
SHARD_DUTY = Duty("pack", Kind.SHARD, "shard-7", (), (), 1.5)
MESSAGES: dict[str, Message] = {
    "renewal request": RenewalRequest(
        7, LIFE, "hall-a", "large", True, False, 1 << 40, ("cool", "index"), (HeldFence("index", 3, 20, 1),)
    ),
    "renewal request without names": RenewalRequest(8, LIFE, "", "", False, True, 5, None, ()),
    "renewal reply": RenewalReply(7, LIFE, (RenewedLease(3, 2.0),), (4, 5), True),
    "move request": MoveRequest("index"),
}
# Commands in the order of the log, from index 1, by a descriptive name.
COMMANDS: dict[str, bytes] = {
    "declare": grants.declare(FLEET_DUTY),
    "declare of a hall": grants.declare(HALL_DUTY),
    "declare of a shard": grants.declare(SHARD_DUTY),
    "begin": grants.begin("n1", LIFE, 3),
    "grant": grants.grant("index", "n2", LIFE + 1, 0, 4),
    "grant of a hall": grants.grant("cool", "n3", LIFE + 2, 0, 4),
    "back": grants.back("cool", 6),
    "grant of a shard": grants.grant("pack", "n3", LIFE + 2, 0, 4),
    "revoke": grants.revoke("pack", 8, 4),
    "retire": grants.retire("pack"),
    "waits": grants.waits({"n3": 8.0, "n2\0index": 2.0}, 4),
}
DIGEST = "5f" * 32


def write_fences(files: Files) -> None:
    """Write one store with entries only, and one with a snapshot and a later entry."""
    with fixed_random():
        few = Fences(Store.open(files, FENCES_PREFIX))
        for fence in (3, 5, 9):
            assert few.accept("index", fence)
        assert few.accept("cool", 6)
        # With the default number of entries the sample would have 50 KB.
        with patch.object(fences, "SNAPSHOT_ENTRIES", 2):
            many = Fences(Store.open(files, COMPACTED_PREFIX))
            for fence in (2, 4, 8, 16):
                assert many.accept("index", fence)


def write(folder: Path) -> None:
    encoded = {name: messages.encode(message) for name, message in MESSAGES.items()}
    write_messages(folder / MESSAGES_FILE, encoded)
    write_messages(folder / COMMANDS_FILE, COMMANDS)
    table = GrantTable()
    for index, command in enumerate(COMMANDS.values(), 1):
        assert table.apply(index, command) is Result.DONE
    (folder / TABLE).write_bytes(table.snapshot())
    generation, command = AgreedGeneration(), msgpack.packb((9, 1, DIGEST))
    assert generation.apply(12, command) is ProposalResult.DONE
    (folder / GENERATION_COMMAND).write_bytes(command)
    (folder / GENERATION).write_bytes(generation.snapshot())
    files = Files(folder)
    write_fences(files)
    files.close()


def check_table(table: GrantTable) -> None:
    assert table.duties == {"index": FLEET_DUTY, "cool": HALL_DUTY}
    assert table.held == {"index": Grant("n2", LIFE + 1, 5, 2.0)}
    assert table.floor == {"index": 5, "cool": 6, "pack": 8}
    assert table.waits == {"n3": 8.0, "n2\0index": 2.0}
    assert (table.leader_epoch, table.leader, table.leader_life, table.applied) == (4, "n1", LIFE, 11)


def test_the_same_values_give_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_message_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / MESSAGES_FILE)
    assert {name: messages.decode(data) for name, data in encoded.items()} == MESSAGES


def test_commands_of_the_log_are_applied() -> None:
    table = GrantTable()
    commands = read_messages(DATA / SAMPLE / COMMANDS_FILE)
    assert list(commands) == list(COMMANDS)
    for index, command in enumerate(commands.values(), 1):
        assert table.apply(index, command) is Result.DONE
    check_table(table)


def test_a_snapshot_of_grants_is_read() -> None:
    table = GrantTable()
    table.restore((DATA / SAMPLE / TABLE).read_bytes())
    check_table(table)


def test_the_agreed_generation_is_read() -> None:
    restored, applied = AgreedGeneration(), AgreedGeneration()
    restored.restore((DATA / SAMPLE / GENERATION).read_bytes())
    command = (DATA / SAMPLE / GENERATION_COMMAND).read_bytes()
    assert applied.apply(12, command) is ProposalResult.DONE
    for found in (restored, applied):
        assert (found.number, found.digest, found.fence, found.earlier) == (1, DIGEST, 9, [DIGEST])


def test_fences_are_read(tmp_path: Path) -> None:
    files = Files(sample_copy(SAMPLE, tmp_path))
    few = Fences(Store.open(files, FENCES_PREFIX))
    assert few.highest == {"index": 9, "cool": 6} and not few.accept("index", 8)
    store = Store.open(files, COMPACTED_PREFIX)
    assert store.snapshot() is not None and (store.first, store.last) == (4, 4)
    assert Fences(store).highest == {"index": 16}
    files.close()


def test_every_kind_is_in_the_sample() -> None:
    assert {msgpack.unpackb(messages.encode(message))[1] for message in MESSAGES.values()} == set(MessageKind)
    assert {msgpack.unpackb(command)[0] for command in COMMANDS.values()} == set(HANDLERS)
    assert {duty.kind for duty in (FLEET_DUTY, HALL_DUTY, SHARD_DUTY)} == set(Kind)
