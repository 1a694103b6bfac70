"""A node's copies on its disk, with records of every kind, as an earlier version wrote them."""

from pathlib import Path

import msgpack
from sample_files import DATA, files_of, fixed_random, sample_copy

from beechrock.replica import journal
from beechrock.replica.core import Core
from beechrock.replica.disk import PREFIX, Disk
from beechrock.replica.kinds import BUILT_IN
from beechrock.replica.records import Causal, Dot, Own, Tally
from beechrock.replica.table import ident, named, spending_key
from beechrock.store.codec import Mark
from beechrock.store.files import Files

SAMPLE = "replica/disk"
WRITER, LATER_WRITER, LIFE = "n1/00ff", "n1/11ff", 1_000_000
CURSOR = 1000  # Cursor of a copy that is in progress
PEER_MARK = Mark(b"i" * 16, 1, 7, b"d" * 16, ((b"d" * 16, 0),))
SPENDING = spending_key("packagers", 100)
ENTRY_KINDS = {"records", "aside", "copy"}
SNAPSHOT_KINDS = {"records", "settled", "set aside", "copy"}


def set_aside(core: Core) -> None:
    """Set all records aside, as a replica does that finds its stored state rolled back."""
    core.aside |= core.table.set_aside()
    core.reset = True


def save(disk: Disk, core: Core) -> None:
    assert disk.append(core)
    disk.sync()


def write_before_the_snapshot(disk: Disk, core: Core) -> None:
    core.write("note", "set aside first", b"1")
    core.own_change(core.table.tally("spending", SPENDING, 12.5, 2.0) or b"")
    core.own_change(core.table.own("learned", "n1", LIFE, b"learned"))
    save(disk, core)
    set_aside(core)
    save(disk, core)
    core.write("note", "deleted", b"2")
    core.write("note", "deleted", None)
    core.write("ejection", "127.0.0.1:9101", b"until")
    assert core.table.settle(core.table.seq) == 1
    save(disk, core)


def write_after_the_snapshot(disk: Disk, core: Core) -> None:
    core.write("note", "set aside later", b"3")
    save(disk, core)
    set_aside(core)
    save(disk, core)
    core.write("note", "stands", b"4")
    core.write("ejection", "127.0.0.1:9102", b"-")
    core.catchup.cursor = CURSOR
    save(disk, core)


def write(folder: Path) -> None:
    files = Files(folder)
    with fixed_random():
        disk = Disk(files)
    core = disk.core("n1", WRITER, ("n2", "n3"), 0)
    disk.judge("n2", PEER_MARK.to_bytes(), False)
    write_before_the_snapshot(disk, core)
    disk.save(disk.store.last, list(journal.snapshot(core)))
    write_after_the_snapshot(disk, core)
    files.close()


def test_the_same_changes_have_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_the_copies_are_read(tmp_path: Path) -> None:
    disk = Disk(Files(sample_copy(SAMPLE, tmp_path)))
    core = disk.core("n1", LATER_WRITER, ("n2", "n3"), 0)
    assert {named(name): record.state for name, record in core.table.records.items()} == {
        ("spending", SPENDING): Tally({WRITER: (12.5, 2.0)}),
        ("learned", "n1"): Own(LIFE, 1, b"learned"),
        ("note", "stands"): Causal({Dot(WRITER, 6): b"4"}, {WRITER: 6}),
        ("ejection", "127.0.0.1:9102"): Causal({Dot(WRITER, 7): b"-"}, {WRITER: 7}),
    }
    assert core.aside == {
        ident("note", "set aside first"): Causal({Dot(WRITER, 1): b"1"}, {WRITER: 1}),
        ident("ejection", "127.0.0.1:9101"): Causal({Dot(WRITER, 4): b"until"}, {WRITER: 4}),
        ident("note", "set aside later"): Causal({Dot(WRITER, 5): b"3"}, {WRITER: 5}),
    }
    assert (core.cursor, core.forgot) == (CURSOR, True)
    assert disk.witness.known == {"n2": PEER_MARK}


def test_a_snapshot_alone_is_read() -> None:
    loaded = journal.Loaded()
    loaded.snapshot(snapshot_data())
    deleted = Causal({Dot(WRITER, 3): None}, {WRITER: 3})
    assert loaded.table.settled == {ident("note", "deleted"): deleted}
    assert set(loaded.aside) == {ident("note", "set aside first")}
    assert {named(name)[0] for name in loaded.table.records} == {"spending", "learned", "ejection"}


def snapshot_data() -> bytes:
    store = (DATA / SAMPLE / f"{PREFIX}.snap").read_bytes()
    return store[store.index(b"\x93\x01\xa7records") :]


def test_every_kind_of_entry_and_record_is_in_the_sample(tmp_path: Path) -> None:
    disk = Disk(Files(sample_copy(SAMPLE, tmp_path)))
    store = disk.store
    entries = [msgpack.unpackb(store.entry(n)) for n in range(store.first, store.last + 1)]
    assert {entry[1] for entry in entries} == ENTRY_KINDS
    unpacker = msgpack.Unpacker()
    unpacker.feed(snapshot_data())
    parts = list(unpacker)
    assert {part[1] for part in parts} == SNAPSHOT_KINDS
    names = [name for told in (*entries, *parts) if told[1] == "records" for name, _ in told[2]]
    assert {named(name)[0] for name in names} == {kind.name for kind in BUILT_IN}
