"""The queue that a member of an edge keeps on its disk, as an earlier version wrote it."""

from pathlib import Path

from sample_files import DATA, files_of, fixed_random, sample_copy

from beechrock.edges import build
from beechrock.edges.causal import Dot, Seen
from beechrock.edges.edge import ENTRY, ORDER, Edge
from beechrock.edges.words import Entry, Names, State, WhenGone, Write
from beechrock.store.files import Files
from beechrock.store.log import Store

SAMPLE = "edges/member"
PREFIX = "edge"
WRITER = "north/n1/life1"
NOW_S, UNIX_S = 5.0, 1_700_000_000.0
LARGE = bytes(3000)  # Large enough that the log is compacted once the write has ended
DOTS = [Dot(WRITER, n) for n in range(1, 6)]
SHARES = {"packagers": 0.5, "readers": 0.5}
WRITES = (
    Write(1, "packagers", "resolve", "key-1", LARGE, b"a" * 16),
    Write(2, "packagers", "resolve", "key-2", b"refused", b"b" * 16),
    Write(3, "packagers", "resolve", "key-3", b"three", b"c" * 16, subject="subject", keep_s=600.0),
    Write(
        4, "readers", "resolve", "key-4", b"four", b"d" * 16, subject="subject", when_gone=WhenGone.CASCADE
    ),
)
AFTER_COMPACTING = Write(5, "readers", "resolve", "key-5", b"five", b"e" * 16)


def edge(life: str, store: Store) -> Edge:
    names = Names("north", "n1", life, ("n1", "n2"), "up")
    return build.edge(names, store, 0.0, probe_s=1.0, copies=1, most_bytes=1 << 20, shares=SHARES)


def write(folder: Path) -> None:
    """Queue writes while the link is cut, end some of them, compact the log, then append more."""
    files = Files(folder)
    with fixed_random():
        store = Store.open(files, PREFIX)
    member = edge("life1", store)
    for one in WRITES:
        member.write(NOW_S, UNIX_S, one)
    member.order(DOTS[3], "discard")
    member.end(DOTS[0], State.APPLIED, "")
    member.end(DOTS[1], State.REFUSED, "the service refused it")
    member.slack_bytes = 0
    member.compact()
    member.write(NOW_S, UNIX_S, AFTER_COMPACTING)
    member.order(DOTS[2], "release")
    store.sync()
    files.close()


def opened(folder: Path) -> Edge:
    """Open the files as a later incarnation of the member does."""
    store = Store.open(Files(sample_copy(SAMPLE, folder)), PREFIX)
    member, saved = edge("life2", store), store.snapshot()
    assert saved is not None
    member.restore(saved[1], store.first, [store.entry(n) for n in range(store.first, store.last + 1)])
    return member


def test_the_same_writes_have_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_what_waited_and_what_had_ended_is_read(tmp_path: Path) -> None:
    member = opened(tmp_path)
    assert member.have.plain() == {WRITER: [[1, 5]]} and member.ended.plain() == {WRITER: [[1, 2]]}
    assert member.gone == {DOTS[1]: (State.REFUSED, "the service refused it")}
    assert member.orders == {DOTS[2]: "release", DOTS[3]: "discard"}
    assert [dot for dot, _, _ in member.queue.live()] == DOTS[2:]


def test_each_write_that_waits_is_read_whole(tmp_path: Path) -> None:
    member = opened(tmp_path)
    third, fourth, fifth = (member.entry(dot) for dot in DOTS[2:])
    assert third == Entry(
        DOTS[2],
        Seen(),
        "packagers",
        "resolve",
        "key-3",
        b"three",
        b"c" * 16,
        "subject",
        keep_s=600.0,
        accepted_at=UNIX_S,
    )
    # The second write of a subject depends on the first.
    assert fourth.seen == Seen(frozenset((DOTS[2],)), {}, {WRITER: 3}, 1)
    assert (fourth.body, fourth.when_gone) == (b"four", WhenGone.CASCADE)
    assert (fifth.dot, fifth.body, fifth.seen) == (DOTS[4], b"five", Seen())


def test_both_kinds_of_records_are_in_the_log(tmp_path: Path) -> None:
    store = Store.open(Files(sample_copy(SAMPLE, tmp_path)), PREFIX)
    kinds = {store.entry(n)[:1] for n in range(store.first, store.last + 1)}
    assert kinds == {ENTRY, ORDER}
