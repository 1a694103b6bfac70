"""A short scenario for each guard of the replica that random histories exercise too rarely."""

import pytest

from beechrock.lab.replica_sim import Held
from beechrock.replica import table as tables
from beechrock.replica.catchup import Catchup, Stage
from beechrock.replica.core import Core
from beechrock.replica.disk import Disk
from beechrock.replica.giving import Giving
from beechrock.replica.heard import Say
from beechrock.replica.messages import Ack, Batch, Hello, Pull, Welcome
from beechrock.replica.spread import WINDOW, PeerQueue, Spread
from beechrock.replica.sums import RANGES
from beechrock.store.codec import Mark
from beechrock.store.witness import Verdict


def core(name: str, *others: str, verdict: Verdict = Verdict.NEWER) -> Core:
    """Return a core without a disk, which judges every peer's store by ``verdict``."""
    mark = Mark(name.encode() * 16, 1, 1, b"d" * 16, ((b"d" * 16, 1),))
    made = Core(
        name,
        f"{name}/1",
        others,
        0,
        lambda: (mark.to_bytes(), mark.digest),
        lambda peer, packed, believe: Verdict.NEWER if believe else verdict,
        repair_s=0.1,
    )
    return made


def talk(cores: list[Core], until_s: float, start_s: float = 0.0, lost: tuple[str, ...] = ()) -> list[Say]:
    """Run the cores and deliver their messages, except those from and to ``lost``. Return all messages."""
    now, by_name, sent = start_s, {each.name: each for each in cores}, list[Say]()
    while now < until_s:
        now += 0.1
        queue = [(each.name, say) for each in cores for say in each.tick(now)]
        while queue:
            sender, say = queue.pop(0)
            sent.append(say)
            if sender not in lost and say.to not in lost and say.to in by_name:
                queue += [(say.to, reply) for reply in by_name[say.to].take(now, sender, say.message)]
    return sent


def test_an_acknowledgement_waits_for_the_sync() -> None:
    a, b = core("a", "b"), core("b", "a")
    talk([a, b], 2.0)
    name = a.write("note", "k", b"v")
    replies = b.take(2.1, "a", Batch(77, [(name, a.table.records[name].packed)]))
    acks = [reply for reply in replies if isinstance(reply.message, Ack)]
    assert acks and all(ack.after == b.table.seq > 0 for ack in acks)


def test_a_node_that_is_not_whole_counts_for_no_majority() -> None:
    a = core("a", "b", "c")
    kept: list[bool] = []
    a.take(0.0, "b", Hello(a.mark()[0], "repair", 0, b"", 0))
    name = a.write("note", "k", b"v")
    a.when_kept(name, lambda: kept.append(True))
    batch = next(say.message for say in a.tick(0.1) if say.to == "b" and isinstance(say.message, Batch))
    a.take(0.2, "b", Ack(batch.n, False, True))
    assert not kept


def test_a_settled_tombstone_does_not_come_back_into_the_digests() -> None:
    a, b = core("a", "b"), core("b", "a")
    a.write("note", "k", b"v")
    talk([a, b], 2.0)
    b.write("note", "k", None)
    tombstone = b.table.records[b"note\0k"].packed
    talk([a, b], 6.0, 2.0)
    assert not a.table.fresh and not b.table.fresh and a.table.settled
    a.table.merge_state(b"note\0k", tombstone)
    late = b.table.settled[b"note\0k"].merge(a.table.settled[b"note\0k"])
    from beechrock.replica.records import Causal, pack

    wider = Causal(late.values, {**late.seen, "z/1": 1})
    a.table.merge_state(b"note\0k", pack(wider))
    assert a.table.sums.root[1] == 0 and not a.table.fresh


def test_a_peer_that_missed_a_dropped_tombstone_takes_a_full_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tables, "MAX_FRESH", 4)
    a, b = core("a", "b"), core("b", "a")
    for n in range(10):
        a.write("note", f"k{n}", b"v")
    talk([a, b], 3.0)
    assert b.catchup.stage is Stage.WHOLE and len(b.table.records) == 10
    for n in range(10):
        a.write("note", f"k{n}", None)
    talk([a, b], 9.0, 3.0, lost=("b",))
    assert len(a.table.fresh) == 4 and a.peer_states["b"].outdated
    monkeypatch.setattr(tables, "MAX_SETTLED", 0)
    for name in list(a.table.settled):  # No settled tombstone is remembered any more.
        del a.table.settled[name]
    talk([a, b], 20.0, 9.0)
    assert Stage.SNAPSHOT in b.catchup.history and b.catchup.stage is Stage.WHOLE
    assert all(core_.table.acting("note", f"k{n}") is None for core_ in (a, b) for n in range(10))


def test_the_records_of_an_older_store_are_set_aside_and_copied_again() -> None:
    b = core("b", "a")
    b.write("note", "gone", b"v")
    b.take(0.0, "a", Welcome(b.mark()[1], "older", False, 0, "whole"))
    assert b.catchup.stage is Stage.SNAPSHOT and not b.catchup.may_spend and not b.catchup.whole
    assert b.table.acting("note", "gone") is None and b.differs() == [b"note\0gone"] and b.reset


def test_an_interrupted_copy_continues_at_its_cursor_and_takes_no_piece_twice() -> None:
    catchup = Catchup(3, cursor=100, forgot=True)
    catchup.on_verdict(0.0, "a", Verdict.NEWER, False, 0)
    assert catchup.stage is Stage.SNAPSHOT and catchup.next_giver(0.1, ["a", "b"]) == "a"
    assert catchup.piece(0.2, "a", 100, 200) and not catchup.piece(0.3, "a", 100, 300)
    assert not catchup.piece(0.3, "b", 250, 300) and catchup.cursor == 200
    assert catchup.next_giver(9.0, ["a", "b"]) == "b"  # The giver "a" has been silent for too long.
    assert catchup.piece(9.1, "b", 200, RANGES) and catchup.stage is Stage.REPAIR
    # After a loss of memory two peers are needed, so that every majority of the three nodes is met.
    assert not catchup.repaired("a") and catchup.repaired("b")


def test_the_queue_for_an_absent_peer_is_bounded() -> None:
    spread = Spread(0, {"b": PeerQueue("b")}, lambda name: (name * 200, 1), lambda name: 0, max_queued=50)
    for n in range(200):
        spread.changed(b"%06d" % n, 1)
    assert spread.peers["b"].lag <= 50 and spread.peers["b"].behind
    for n in range(4000):
        spread.max_queued = 10_000
        spread.changed(b"%06d" % n, 1)
    assert len(spread.batches(0.0)) == WINDOW and not spread.batches(0.1)
    assert not spread.batches(1.0) and spread.batches(1.3)  # Unacknowledged batches are sent again.


def test_a_giver_stays_within_its_rate_limit() -> None:
    giving = Giving(10_000.0, lambda at: [b"%d" % at], lambda name: (bytes(500), 1))
    given, now = 0, 0.0
    for n in range(200):
        now += 0.05
        giving.ask("b", 4 * n)
        given += sum(len(state) for _, piece in giving.pieces(now) for _, state in piece.entries)
    assert given <= 10_000 * now + 10_000 + 140_000
    assert isinstance(Pull(1), Pull)


def test_a_change_that_was_set_aside_is_never_reported_as_kept() -> None:
    """Found in 40 random histories: another node's later write of the same record ended the wait for the
    change."""
    a = core("a", "b", "c")
    kept: list[bool] = []
    a.when_kept(a.write("note", "k", b"mine"), lambda: kept.append(True))
    a.take(0.0, "b", Welcome(a.mark()[1], "older", False, 0, "whole"))
    assert a.differs() == [b"note\0k"]
    theirs = core("c", "a")
    name = theirs.write("note", "k", b"theirs")
    a.take(0.1, "c", Batch(7, [(name, theirs.table.records[name].packed)]))
    a.own_change(name)
    for batch in [say.message for say in a.tick(0.2) if isinstance(say.message, Batch)]:
        a.take(0.3, "b", Ack(batch.n, True, True))
        a.take(0.3, "c", Ack(batch.n, True, True))
    assert not a.waiters.waiting and not kept


def test_a_store_that_was_empty_is_known_as_such_until_a_full_copy_is_there() -> None:
    """Found in 40 random histories: a node that was killed before its first copy restarted as if it had lost
    nothing."""
    files = Held()

    def opened() -> Disk:
        disk = Disk(files)
        made = disk.core("a", "a/1", ("b", "c"), 0)
        made.write("note", "k", b"v")
        disk.append(made)
        assert made.forgot
        return disk

    opened()
    files.crash()  # Only the opening itself was on the disk.
    opened().sync()
    files.crash()
    made = Disk(files).core("a", "a/2", ("b", "c"), 0)
    assert made.table.acting("note", "k") == b"v" and made.forgot and made.catchup.need == 2
