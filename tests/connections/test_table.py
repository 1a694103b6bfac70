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

MAX_CONNECTIONS = 5
IDLE_S, CALLERS_IDLE_S = 1.0, 30.0
# A health check before the link to the agent is up, which gets a negative result.
CHECKED = (
    "%(name)s = connect frames\n%(name)s > {04 0000000%(stream)s 00}\n"
    "%(name)s < {05 0000000%(stream)s 01 00}\n"
)


@dataclass(eq=False)
class FakeConnection:
    opened_at: float
    last_message_at: float
    messages_received: int = 0
    refused_at: float = 0.0
    retry_at: float = 0.0
    closing: bool = False
    rejected: bool = False
    open: int = 0
    unread: bool = False
    part: bool = False
    silent: int = 0

    def has_pending_answer(self) -> bool:
        return self.open > 0

    def has_unread_input(self) -> bool:
        return self.unread

    def has_partial_message(self) -> bool:
        return self.part


def connection_with(messages_received: int, last_message_at: float = 0.0, **more: float) -> FakeConnection:
    return FakeConnection(0.0, last_message_at, messages_received, **more)  # type: ignore[arg-type]


@dataclass
class History:
    """Model of a server that follows the table's decisions, and checks the invariants after each step."""

    now: float = 100.0
    connections: list[FakeConnection] = field(default_factory=list)

    def connect(self) -> None:
        budget, closable = table.accept_budget(self.connections, MAX_CONNECTIONS, 0, 1, self.now)
        if closable is not None:
            assert closable.rejected and not (closable.open or closable.unread or closable.part)
            self.connections.remove(closable)
        if not budget:
            return  # the connection waits in the backlog
        placement, evicted = table.place_connection(self.connections, MAX_CONNECTIONS, self.now)
        if evicted is not None:
            self.check_evicted(evicted)
            self.connections.remove(evicted)
        new = FakeConnection(self.now, self.now, rejected=placement is Placement.REJECT)
        if new.rejected:
            assert all(c.open or c.unread for c in self.connections if not c.rejected), "one could be evicted"
        self.connections.append(new)

    def check_evicted(self, evicted: FakeConnection) -> None:
        """Check the invariants of a connection that is evicted for a new one."""
        assert not (evicted.open or evicted.unread)
        better = [
            c
            for c in self.connections
            if c is not evicted and not c.rejected and table.state_of(c, self.now) is State.ONCE
        ]
        kept = sum(c.messages_received > 1 for c in self.connections)
        assert not (
            better
            and evicted.messages_received > 1
            and not evicted.closing
            and not evicted.rejected
            and kept <= table.PROTECTED_SHARE * MAX_CONNECTIONS
        ), "a returning connection was evicted before one used once"
        if evicted.retry_at and self.now <= evicted.retry_at and not evicted.rejected:
            assert all(
                table.state_of(c, self.now) >= State.EXPECTED for c in self.connections if not c.rejected
            )
        if evicted.part and not evicted.closing:
            assert all(
                table.state_of(c, self.now) >= State.BEGUN for c in self.connections if not c.rejected
            ), "a connection was ended in the middle of a message"

    def ask(self, c: FakeConnection) -> None:
        if not c.closing:
            c.messages_received, c.open, c.last_message_at, c.retry_at, c.unread, c.silent = (
                c.messages_received + 1,
                1,
                self.now,
                0.0,
                False,
                0,
            )
            c.part = False

    def refuse(self, c: FakeConnection, after: float) -> None:
        if c.open:
            c.open, c.refused_at, c.retry_at = 0, self.now, self.now + after

    def sweep(self) -> None:
        for c in list(self.connections):
            c.silent += not c.messages_received
            end = table.ends_at_sweep(c, c.silent, self.now, IDLE_S, CALLERS_IDLE_S)
            if end is CloseReason.IDLE:
                assert not (c.open or c.unread or c.closing)
                assert self.now > c.last_message_at + (table.REJECTED_IDLE_S if c.rejected else IDLE_S)
                assert (
                    c.rejected
                    or not c.retry_at
                    or self.now > min(c.retry_at, c.last_message_at + CALLERS_IDLE_S)
                )
                c.closing = True

    def act(self, kind: str, connection: FakeConnection, seconds: float) -> None:
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
        assert len(self.connections) - rejected <= MAX_CONNECTIONS and rejected <= table.MAX_REJECTED


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
    front_ends = [connection_with(9, 50.0 + n) for n in range(3)]
    connections = [*front_ends]
    for _ in range(200):
        placement, evicted = table.place_connection(connections, MAX_CONNECTIONS, at := float(next(now)))
        assert placement is not Placement.REJECT
        connections = [c for c in connections if c is not evicted] + [FakeConnection(at, at, 1)]
    assert all(c in connections for c in front_ends)


def test_rejected_connections_are_ended_for_others_once_nothing_is_pending_on_them() -> None:
    busy = [connection_with(1, open=1) for _ in range(MAX_CONNECTIONS)]
    answered, silent, new = (
        FakeConnection(at, at, messages_received, rejected=True)
        for at, messages_received in ((99.99, 1), (99.9, 0), (99.99, 0))
    )
    owed, unread = (
        FakeConnection(90.0, 90.0, 1, rejected=True, **more) for more in ({"open": 1}, {"unread": True})
    )
    partial = FakeConnection(90.0, 90.0, 1, rejected=True, part=True)
    others = [FakeConnection(90.0, 90.0, 1, rejected=True, open=1) for _ in range(table.MAX_REJECTED - 3)]

    def accept_budget(*rejected: FakeConnection, arriving: int = 0) -> tuple[int, FakeConnection | None]:
        return table.accept_budget([*busy, *others, *rejected], MAX_CONNECTIONS, arriving, 16, 100.0)

    assert table.accept_budget(busy[1:], MAX_CONNECTIONS, 0, 16, 100.0) == (16, None)
    assert accept_budget() == (3, None) and accept_budget(owed, arriving=1) == (1, None)
    assert accept_budget(owed, unread, new) == accept_budget(owed, unread, arriving=1) == (0, None)
    assert accept_budget(owed, partial, new) == (0, None)
    assert accept_budget(owed, unread, silent) == (1, silent)
    assert accept_budget(owed, unread, answered) == (1, answered)
    rests = [table.ends_at_sweep(c, 0, 101.1, IDLE_S, CALLERS_IDLE_S) for c in (answered, owed, unread)]
    assert rests == [CloseReason.IDLE, None, None]


def test_only_age_counts_if_returning_connections_take_most_of_the_table() -> None:
    returning = [connection_with(9, 50.0 + n) for n in range(MAX_CONNECTIONS - 1)]
    newest = connection_with(1, 99.0)
    assert table.victim([*returning, newest], MAX_CONNECTIONS, 100.0) is newest
    returning.append(connection_with(2, 98.0))
    assert table.victim(returning, MAX_CONNECTIONS, 100.0) is returning[0]
    assert table.victim([*returning, newest], MAX_CONNECTIONS, 100.0) is returning[0]


@pytest.mark.parametrize(
    ("c", "state"),
    [
        (connection_with(1, closing=True), State.CLOSING),
        (FakeConnection(90.0, 90.0), State.SILENT),
        (FakeConnection(99.96, 99.96), State.FRESH),
        (connection_with(1), State.ONCE),
        (connection_with(2), State.RETURNING),
        (connection_with(2, refused_at=98.0, retry_at=100.0), State.EXPECTED),
        (connection_with(2, refused_at=98.0, retry_at=99.4), State.RETURNING),
        (connection_with(2, refused_at=98.0, retry_at=99.6), State.EXPECTED),
        (connection_with(2, part=True), State.BEGUN),
        (FakeConnection(90.0, 90.0, part=True), State.BEGUN),
        (connection_with(2, open=1, closing=True), State.NEEDED),
    ],
)
def test_the_state_of_each_kind_of_connection(c: FakeConnection, state: State) -> None:
    assert table.state_of(c, 100.0) is state


def test_a_connection_with_a_retry_time_is_kept_until_then_unless_callers_close_it_earlier() -> None:
    refused = connection_with(1, 100.0, refused_at=100.2, retry_at=103.2)
    assert table.idle_until(connection_with(1, 100.0), 1.0, 30.0) == 101.0
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
        peer.refused_at, peer.retry_at = stand.now, stand.now + 3.0  # as ``_send_answer`` sets it
        await stand.play("clock 2.9\n")
        assert not peer.closing
        await stand.play("a > {04 00000003 00}\na < {05 00000003 01 00}\n")
        assert peer.retry_at == 0.0
        await stand.play("clock 0.9\nclock 0.6\na closed\n")

    run(work)
