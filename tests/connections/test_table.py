"""Eviction policy of the connection table: over random histories, and as the server applies it."""

from dataclasses import dataclass, field
from itertools import count

import pytest
from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st
from play import Stand, run

from beechrock.connections import table
from beechrock.connections.table import CloseReason, Placement, State
from beechrock.net.frame_connection import FrameConnection

MOST = 5
IDLE_S, CALLERS_IDLE_S = 1.0, 30.0
# A health check before the link to the agent is up, which gets a negative result.
CHECKED = (
    "%(name)s = connect frames\n%(name)s > {04 0000000%(stream)s 00}\n"
    "%(name)s < {05 0000000%(stream)s 01 00}\n"
)


@dataclass(eq=False)
class One:
    opened_at: float
    last_message_at: float
    uses: int = 0
    back_from: float = 0.0
    back_at: float = 0.0
    closing: bool = False
    rejected: bool = False
    open: int = 0
    unread: bool = False
    part: bool = False
    silent: int = 0

    def owes(self) -> bool:
        return self.open > 0

    def input_waits(self) -> bool:
        return self.unread

    def begun(self) -> bool:
        return self.part


def one(uses: int, last_message_at: float = 0.0, **more: float) -> One:
    return One(0.0, last_message_at, uses, **more)  # type: ignore[arg-type]


@dataclass
class History:
    """Model of a server that follows the table's decisions, and checks the invariants after each step."""

    now: float = 100.0
    connections: list[One] = field(default_factory=list)

    def connect(self) -> None:
        most, spare = table.accept_budget(self.connections, MOST, 0, 1, self.now)
        if spare is not None:
            assert spare.rejected and not (spare.open or spare.unread or spare.part)
            self.connections.remove(spare)
        if not most:
            return  # the connection waits in the backlog
        room, least = table.place_connection(self.connections, MOST, self.now)
        if least is not None:
            self.check_replaced(least)
            self.connections.remove(least)
        new = One(self.now, self.now, rejected=room is Placement.REJECT)
        if new.rejected:
            assert all(c.open or c.unread for c in self.connections if not c.rejected), "one could be evicted"
        self.connections.append(new)

    def check_replaced(self, least: One) -> None:
        """Check the invariants of a connection that is evicted for a new one."""
        assert not (least.open or least.unread)
        better = [
            c
            for c in self.connections
            if c is not least and not c.rejected and table.state_of(c, self.now) is State.ONCE
        ]
        kept = sum(c.uses > 1 for c in self.connections)
        assert not (
            better
            and least.uses > 1
            and not least.closing
            and not least.rejected
            and kept <= table.PROTECTED_SHARE * MOST
        ), "a returning connection was evicted before one used once"
        if least.back_at and self.now <= least.back_at and not least.rejected:
            assert all(
                table.state_of(c, self.now) >= State.EXPECTED for c in self.connections if not c.rejected
            )
        if least.part and not least.closing:
            assert all(
                table.state_of(c, self.now) >= State.BEGUN for c in self.connections if not c.rejected
            ), "a connection was ended in the middle of a message"

    def ask(self, c: One) -> None:
        if not c.closing:
            c.uses, c.open, c.last_message_at, c.back_at, c.unread, c.silent = (
                c.uses + 1,
                1,
                self.now,
                0.0,
                False,
                0,
            )
            c.part = False

    def refuse(self, c: One, after: float) -> None:
        if c.open:
            c.open, c.back_from, c.back_at = 0, self.now, self.now + after

    def sweep(self) -> None:
        for c in list(self.connections):
            c.silent += not c.uses
            end = table.ends_at_sweep(c, c.silent, self.now, IDLE_S, CALLERS_IDLE_S)
            if end is CloseReason.IDLE:
                assert not (c.open or c.unread or c.closing)
                assert self.now > c.last_message_at + (table.REJECTED_IDLE_S if c.rejected else IDLE_S)
                assert (
                    c.rejected
                    or not c.back_at
                    or self.now > min(c.back_at, c.last_message_at + CALLERS_IDLE_S)
                )
                c.closing = True

    def act(self, kind: str, connection: One, seconds: float) -> None:
        """Make one step of an open connection."""
        match kind:
            case "ask":
                self.ask(connection)
            case "serve":
                connection.open = 0
            case "refuse":
                self.refuse(connection, seconds)
            case "bytes":
                connection.unread = not connection.closing
            case "part":
                connection.part = not connection.closing
            case "end":
                self.connections.remove(connection)

    def check(self) -> None:
        rejected = sum(c.rejected for c in self.connections)
        assert len(self.connections) - rejected <= MOST and rejected <= table.MAX_REJECTED


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["connect", "connect", "ask", "serve", "refuse", "bytes", "part", "sweep", "end"]),
        st.integers(0, 30),
        st.floats(0.0, 4.0),
    ),
    max_size=120,
)


@options(max_examples=600, deadline=None, derandomize=True)
@given(STEPS)
def test_random_histories_keep_needed_connections_and_respect_the_bounds(
    steps: list[tuple[str, int, float]],
) -> None:
    history = History()
    for kind, which, seconds in steps:
        history.now += seconds / 8
        if kind == "connect":
            history.connect()
        elif kind == "sweep":
            history.sweep()
        elif history.connections:
            history.act(kind, history.connections[which % len(history.connections)], seconds)
        history.check()


def test_a_rush_of_one_time_callers_evicts_no_returning_connection() -> None:
    """If only age counted, clients that send one request and stay connected would fill the table."""
    now = count(100)
    front_ends = [one(9, 50.0 + n) for n in range(3)]
    connections = [*front_ends]
    for _ in range(200):
        room, least = table.place_connection(connections, MOST, at := float(next(now)))
        assert room is not Placement.REJECT
        connections = [c for c in connections if c is not least] + [One(at, at, 1)]
    assert all(c in connections for c in front_ends)


def test_rejected_connections_are_ended_for_others_once_nothing_is_pending_on_them() -> None:
    busy = [one(1, open=1) for _ in range(MOST)]
    answered, silent, new = (
        One(at, at, uses, rejected=True) for at, uses in ((99.99, 1), (99.9, 0), (99.99, 0))
    )
    owed, unread = (One(90.0, 90.0, 1, rejected=True, **more) for more in ({"open": 1}, {"unread": True}))
    half = One(90.0, 90.0, 1, rejected=True, part=True)
    others = [One(90.0, 90.0, 1, rejected=True, open=1) for _ in range(table.MAX_REJECTED - 3)]

    def accept_budget(*rejected: One, arriving: int = 0) -> tuple[int, One | None]:
        return table.accept_budget([*busy, *others, *rejected], MOST, arriving, 16, 100.0)

    assert table.accept_budget(busy[1:], MOST, 0, 16, 100.0) == (16, None)
    assert accept_budget() == (3, None) and accept_budget(owed, arriving=1) == (1, None)
    assert accept_budget(owed, unread, new) == accept_budget(owed, unread, arriving=1) == (0, None)
    assert accept_budget(owed, half, new) == (0, None)
    assert accept_budget(owed, unread, silent) == (1, silent)
    assert accept_budget(owed, unread, answered) == (1, answered)
    rests = [table.ends_at_sweep(c, 0, 101.1, IDLE_S, CALLERS_IDLE_S) for c in (answered, owed, unread)]
    assert rests == [CloseReason.IDLE, None, None]


def test_only_age_counts_if_returning_connections_take_most_of_the_table() -> None:
    returning = [one(9, 50.0 + n) for n in range(MOST - 1)]
    newest = one(1, 99.0)
    assert table.victim([*returning, newest], MOST, 100.0) is newest
    returning.append(one(2, 98.0))
    assert table.victim(returning, MOST, 100.0) is returning[0]
    assert table.victim([*returning, newest], MOST, 100.0) is returning[0]


@pytest.mark.parametrize(
    ("c", "state"),
    [
        (one(1, closing=True), State.CLOSING),
        (One(90.0, 90.0), State.SILENT),
        (One(99.96, 99.96), State.FRESH),
        (one(1), State.ONCE),
        (one(2), State.RETURNING),
        (one(2, back_from=98.0, back_at=100.0), State.EXPECTED),
        (one(2, back_from=98.0, back_at=99.4), State.RETURNING),
        (one(2, back_from=98.0, back_at=99.6), State.EXPECTED),
        (one(2, part=True), State.BEGUN),
        (One(90.0, 90.0, part=True), State.BEGUN),
        (one(2, open=1, closing=True), State.NEEDED),
    ],
)
def test_the_state_of_each_kind_of_connection(c: One, state: State) -> None:
    assert table.state_of(c, 100.0) is state


def test_a_connection_with_a_retry_time_is_kept_until_then_unless_callers_close_it_earlier() -> None:
    refused = one(1, 100.0, back_from=100.2, back_at=103.2)
    assert table.idle_until(one(1, 100.0), 1.0, 30.0) == 101.0
    assert table.idle_until(refused, 1.0, 30.0) == pytest.approx(103.2 + 0.75 + 0.05)
    assert table.idle_until(refused, 1.0, 2.0) == 102.0
    assert table.idle_until(refused, 1.0, 0.0) == 101.0


def test_a_full_table_never_evicts_a_connection_with_unread_input() -> None:
    """On a lagging loop, input may stay unread for longer than callers resend what crossed a close."""

    async def work(stand: Stand) -> None:
        await stand.open()
        frames = stand.program.frames
        assert frames is not None
        await stand.play("".join(CHECKED % {"name": name, "stream": 1} for name in "ab"))
        frames.max_connections = 2
        for name in "ab":  # all in one turn of the loop, so that the checks are written and not read
            stand.wires[name].writer.write(bytes.fromhex("00000006040000000300"))
        assert not frames._evict_if_full() and len(frames.peers) == 2
        await stand.play("a < {05 00000003 01 00}\nb < {05 00000003 01 00}\n")
        assert frames._evict_if_full() and len(frames.peers) == 1

    run(work)


def test_a_refused_caller_finds_its_connection_open_when_it_retries() -> None:
    """Idle connections are closed early to keep the table free; the retry would need a new connection."""

    async def work(stand: Stand) -> None:
        await stand.open()
        frames = stand.program.frames
        assert frames is not None
        await stand.play(CHECKED % {"name": "a", "stream": 1})
        [peer] = frames.peers
        assert isinstance(peer, FrameConnection)
        stand.program.module.status.idle_s = 1.0
        peer.back_from, peer.back_at = stand.now, stand.now + 3.0  # as ``_send_answer`` sets it
        await stand.play("clock 2.9\n")
        assert not peer.closing
        await stand.play("a > {04 00000003 00}\na < {05 00000003 01 00}\n")
        assert peer.back_at == 0.0
        await stand.play("clock 0.9\nclock 0.6\na closed\n")

    run(work)
