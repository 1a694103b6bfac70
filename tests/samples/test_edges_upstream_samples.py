"""Upstream's marks on the disk, of one node and of one among several, as an earlier version wrote them."""

from pathlib import Path

import msgpack
from sample_files import DATA, files_of, fixed_random, sample_copy

from beechrock.duties.fences import Fences
from beechrock.edges.causal import Dot, Heads, Seen
from beechrock.edges.differ import Differing, Standing
from beechrock.edges.kept import DUTY
from beechrock.edges.marks import KEY_SLACK_S, Known, Marks
from beechrock.edges.standby import WHOLE, Standby
from beechrock.edges.upstream import SNAPSHOT, Upstream
from beechrock.edges.words import Entry, State
from beechrock.store.codec import Mark
from beechrock.store.files import Files
from beechrock.store.log import Store
from beechrock.store.witness import Witness

SAMPLE = "edges/upstream"
PREFIX, FENCES_PREFIX, WITNESS, OF_ONE = "marks", "marks.fence", "marks.witness", "marks_of_one.bin"
NOW_S, KEEP_S = 1_700_000_000.0, 600.0
WRITER, CLOSED, OVER = "north/n1/life1", "north/n2/life1", "south/s1/life1"
GROUP, FENCE = b"g" * 16, 21
PEER_MARK = Mark(b"i" * 16, 1, 7, b"d" * 16, ((b"d" * 16, 0),))
RECORD_KINDS = {"fence", "intent", "end", "not_run", "doubt", "reign", "over", "close"}


def entry(n: int, writer: str = WRITER, subject: str = "") -> Entry:
    key = f"key-{n}"
    return Entry(
        Dot(writer, n),
        Seen(),
        "packagers",
        "resolve",
        key,
        b"body",
        bytes([n]) * 16,
        subject,
        keep_s=KEEP_S,
        accepted_at=NOW_S,
    )


def new_marks() -> Marks:
    return Marks(lambda service: Differing.LAST)


def lived(marks: Marks) -> list[bytes]:
    """Mark three incarnations: one over and closed, one over, and one declared over too early."""
    records = [marks.end(entry(1, writer), State.APPLIED) for writer in (CLOSED, OVER, "south/s2/life2")]
    marks.lives["north/n2"] = "north/n2/life2"
    records += marks.sweep(NOW_S)
    marks.lives |= {"south/s1": "south/s1/life2", "south/s2": "south/s2/life3"}
    records += marks.sweep(NOW_S + 100)
    marks.lives["south/s2"] = "south/s2/life2"
    return records + marks.sweep(NOW_S + 101)


def marked(marks: Marks) -> list[bytes]:
    """Mark a write for each final state; the last write is still running."""
    judged = [entry(n) for n in range(8)]
    third, fourth = judged[3], judged[4]
    fence = marks.fence("north", 7)
    assert fence is not None
    return [
        fence,
        marks.intend(entry(1, subject="subject"), NOW_S),
        marks.end(entry(1, subject="subject"), State.APPLIED, ran=True),
        marks.intend(judged[2], NOW_S),
        marks.end(judged[2], State.REFUSED, "the service refused it", ran=True),
        marks.intend(third, NOW_S),
        marks.not_run(third),
        marks.intend(fourth, NOW_S),
        marks.in_doubt(fourth),
        marks.end(judged[5], State.EXPIRED, "older than keep_s"),
        marks.settle(Dot(WRITER, 6), State.DISCARDED),
        marks.intend(judged[7], NOW_S),
    ]


def write(folder: Path) -> None:
    """Write a snapshot in the middle of the records, so that both are read."""
    files, marks = Files(folder), new_marks()
    with fixed_random():
        store, fences = Store.open(files, PREFIX), Store.open(files, FENCES_PREFIX)
    for record in (marks.reigns(FENCE, GROUP, 0), *lived(marks), *marked(marks)):
        store.append(record)
    store.save_snapshot(store.last, SNAPSHOT + marks.plain())
    later = marks.fence("south", 9)
    assert later is not None
    for record in (later, marks.intend(entry(9), NOW_S), marks.end(entry(9), State.APPLIED, ran=True)):
        store.append(record)
    store.sync()
    kept = Fences(fences)
    assert kept.accept(DUTY, FENCE) and kept.accept(WHOLE, 1)
    Witness(files, WITNESS).receive("n2", PEER_MARK)
    alone = new_marks()
    marked(alone)
    (folder / OF_ONE).write_bytes(SNAPSHOT + alone.plain())
    files.close()


def check_ends(marks: Marks) -> None:
    """Check the marks that ``marked`` made, except that of the running write."""
    until = NOW_S + KEEP_S + KEY_SLACK_S
    assert {dot.n: state for dot, state in marks.gone.items()} == {
        2: State.REFUSED,
        5: State.EXPIRED,
        6: State.DISCARDED,
    }
    assert marks.keys[Marks.key(entry(1))] == Known(b"\1" * 16, until, State.APPLIED)
    assert marks.keys[Marks.key(entry(2))] == Known(b"\2" * 16, until, State.REFUSED)
    assert Marks.key(entry(3)) not in marks.keys
    assert marks.doubts[Marks.key(entry(4))] == Dot(WRITER, 4)
    assert marks.fences["north"] == 7
    subject = Heads.place("resolve", "subject")
    assert marks.differ.subjects == {subject: Standing(Dot(WRITER, 1), Seen())}


def test_the_same_events_have_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_the_marks_of_one_node_are_read() -> None:
    upstream = Upstream(None, new_marks())  # type: ignore[arg-type]  # Nothing is written to a store here
    upstream.marks.restore((DATA / SAMPLE / OF_ONE).read_bytes().removeprefix(SNAPSHOT))
    check_ends(upstream.marks)
    assert upstream.marks.intents == {Dot(WRITER, 7): Marks.key(entry(7))}
    assert upstream.marks.ended.plain() == {WRITER: [[1, 2], [5, 6]]}
    assert (upstream.marks.reign, upstream.marks.group) == (0, b"")


def test_snapshot_and_records_are_read(tmp_path: Path) -> None:
    store = Store.open(Files(sample_copy(SAMPLE, tmp_path)), PREFIX)
    saved, upstream = store.snapshot(), Upstream(store, new_marks())
    assert saved is not None
    upstream.restore(saved[1], [store.entry(n) for n in range(store.first, store.last + 1)])
    marks = upstream.marks
    check_ends(marks)
    assert marks.ended.plain() == {
        OVER: [[1, 1]],
        "south/s2/life2": [[1, 1]],
        WRITER: [[1, 2], [5, 6], [9, 9]],
    }
    assert list(marks.ended.closed) == [CLOSED] and marks.closings == 1
    assert marks.over == {OVER: NOW_S + 100}
    assert marks.fences == {"north": 7, "south": 9}
    assert (marks.reign, marks.group, marks.begun, marks.openings) == (FENCE, GROUP, 1, ((FENCE, 0),))
    # The write was running when the process ended, so whether it ran is unknown.
    assert marks.doubts[Marks.key(entry(7))] == Dot(WRITER, 7) and not marks.intents


def test_a_standby_takes_up_its_folder(tmp_path: Path) -> None:
    files = Files(sample_copy(SAMPLE, tmp_path))
    store, fences = Store.open(files, PREFIX), Fences(Store.open(files, FENCES_PREFIX))
    witness = Witness(files, WITNESS)
    standby = Standby("n1", ("n1", "n2", "n3"), store, fences, witness, lambda service: Differing.LAST)
    assert (standby.fence, standby.whole, standby.applied) == (FENCE, True, store.first - 1)
    assert standby.told() == ((FENCE, store.last),) and store.last - store.first == 2
    assert witness.known == {"n2": PEER_MARK}
    check_ends(standby.marks)


def test_every_kind_of_record_is_written() -> None:
    marks = new_marks()
    records = [marks.reigns(FENCE, GROUP, 0), *lived(marks), *marked(marks)]
    assert {msgpack.unpackb(record)[0] for record in records} == RECORD_KINDS
    assert ["over", "south/s2/life2", None] in [msgpack.unpackb(record) for record in records]
