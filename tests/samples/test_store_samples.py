"""The store's files, the witness's file and a life's number, as an earlier version wrote them."""

from pathlib import Path

from sample_files import DATA, files_of, fixed_random, sample_copy

from beechrock.store import codec as store_codec
from beechrock.store import life
from beechrock.store.codec import Kind, Mark
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store
from beechrock.store.recover import Condition
from beechrock.store.witness import Verdict, Witness

SAMPLE = "store"
CUT, RESET = "cut", "reset"  # Prefixes: a log in two segments with a cut, and one after a snapshot
RULES = StoreLimits(segment_bytes=200)
LIFE_START_S = 1000.0
PEER_MARK = Mark(b"i" * 16, 2, 7, b"d" * 16, ((b"c" * 16, 0), (b"d" * 16, 5)))


def write(folder: Path) -> None:
    files = Files(folder)
    with fixed_random():
        log = Store.open(files, CUT, RULES)
        for data in (b"one", b"two", b"cut off"):
            log.append(data)
        log.sync()
        log.cut_after(2)
        log.append(b"three")
        log.append(b"four")
        log.sync()
        behind = Store.open(files, RESET)
        behind.append(b"before")
        behind.save_snapshot(5, b"state at 5")
        behind.append(b"six")
        behind.sync()
    Witness(files).receive("n2", PEER_MARK)
    life.next_life(folder, LIFE_START_S)
    files.close()


def test_the_same_calls_write_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_a_log_with_a_cut_is_read(tmp_path: Path) -> None:
    store = Store.open(Files(sample_copy(SAMPLE, tmp_path)), CUT, RULES)
    assert store.recovered.condition is Condition.CLEAN and store.snapshot() is None
    assert (store.first, store.last, store.synced) == (1, 4, 4)
    assert store.entries(1, 1000) == [b"one", b"two", b"three", b"four"]
    assert store.segments.number == 2  # segments
    store.close()


def test_a_log_behind_a_snapshot_is_read(tmp_path: Path) -> None:
    store = Store.open(Files(sample_copy(SAMPLE, tmp_path)), RESET)
    assert store.recovered.condition is Condition.CLEAN and store.snapshot() == (5, b"state at 5")
    assert (store.first, store.last) == (6, 6) and store.entry(6) == b"six"
    store.close()


def test_the_mark_is_read_and_follows_from_the_former_one(tmp_path: Path) -> None:
    data = (DATA / SAMPLE / f"{CUT}.mark").read_bytes()
    mark, hinted = store_codec.decode_mark(data, CUT)
    assert mark == Mark(b"\1" * 16, 1, 0, b"\2" * 16, ((b"\2" * 16, 0),)) and hinted == 6
    store = Store.open(Files(sample_copy(SAMPLE, tmp_path)), CUT, RULES)
    assert (store.opening_mark.id, store.opening_mark.epoch, store.opening_mark.openings[0]) == (
        mark.id,
        2,
        (b"\2" * 16, 0),
    )
    store.close()


def test_every_kind_of_record_is_in_the_sample() -> None:
    kinds = set()
    for path in (DATA / SAMPLE).glob("*.log"):
        ident = store_codec.decode_mark((DATA / SAMPLE / f"{path.name[:-15]}.mark").read_bytes(), "")[0].id
        data, at = path.read_bytes(), store_codec.SEGMENT_HEADER.size
        while at < len(data):
            record = store_codec.decode_record(ident, data, at)
            assert record is not None
            kinds.add(record.kind)
            at += store_codec.RECORD_HEAD.size + len(record.data)
    assert kinds == set(Kind)


def test_what_a_witness_kept_is_read(tmp_path: Path) -> None:
    witness = Witness(Files(sample_copy(SAMPLE, tmp_path)))
    assert witness.known == {"n2": PEER_MARK} and witness.judge("n2", PEER_MARK) is Verdict.SAME


def test_a_life_follows_the_kept_one(tmp_path: Path) -> None:
    folder = sample_copy(SAMPLE, tmp_path)
    assert (folder / life.LIFE_FILE).read_bytes() == b"1000000\n"
    assert life.next_life(folder, 0.0) == 1_000_001
