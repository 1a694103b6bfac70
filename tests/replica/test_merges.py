"""Merging of record states: the result depends on neither order, grouping nor repetition."""

from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.replica.records import Causal, Dot, Own, State, Tally, merge, pack, unpack
from beechrock.replica.sums import RANGES, Sums, digest
from beechrock.replica.table import Table, ident, spending_key

WRITERS = st.sampled_from(["a/1", "a/2", "b/1", "c/1"])
TALLIES = st.dictionaries(
    WRITERS, st.tuples(st.integers(0, 9), st.integers(0, 9)).map(lambda two: (float(sum(two)), float(two[1])))
).map(Tally)
OWNS = st.builds(Own, st.integers(0, 3), st.integers(0, 3), st.binary(max_size=2))


@st.composite
def causals(draw: st.DrawFn) -> list[State]:
    """Draw three states that result from writes, deletes and merges of four writers, as real ones do."""
    held = {writer: Causal({}, {}) for writer in ("a/1", "a/2", "b/1", "c/1")}
    counts = dict.fromkeys(held, 0)
    for _ in range(draw(st.integers(0, 12))):
        writer, other = draw(WRITERS), draw(WRITERS)
        if draw(st.booleans()):
            counts[writer] += 1
            value = draw(st.none() | st.binary(min_size=1, max_size=2))
            held[writer] = held[writer].write(Dot(writer, counts[writer]), value)
        else:
            held[writer] = held[writer].merge(held[other])
    return [held[draw(WRITERS)] for _ in range(3)]


@settings(max_examples=150, deadline=None)
@given(
    st.one_of(st.lists(TALLIES, min_size=3, max_size=3), st.lists(OWNS, min_size=3, max_size=3), causals())
)
def test_merging_is_commutative_associative_and_idempotent(three: list[State]) -> None:
    a, b, c = three
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a and merge(merge(a, b), b) == merge(a, b)
    assert pack(merge(a, b)) == pack(merge(b, a)) and unpack(type(a), pack(a)) == a


def test_a_write_replaces_the_values_it_saw_and_conflicts_with_the_others() -> None:
    a = Causal({}, {}).write(Dot("a/1", 1), b"x")
    late = a.write(Dot("b/1", 1), b"late")
    gone = a.write(Dot("c/1", 1), None)
    assert merge(gone, a).deleted and not merge(gone, a).live_values  # type: ignore[union-attr]
    both = merge(gone, late)
    assert isinstance(both, Causal) and both.live_values == [b"late"] and len(both.values) == 2
    assert both.write(Dot("a/2", 1), b"settled").live_values == [b"settled"]


@settings(max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 3)), max_size=60))
def test_sums_depend_on_the_entries_alone_not_on_the_order_of_changes(steps: list[tuple[int, int]]) -> None:
    grown, held = Sums(), dict[bytes, int]()
    for key, value in steps:
        name = f"k{key}".encode()
        if value:
            held[name] = digest(name, bytes([value]))
        else:
            held.pop(name, None)
        grown.put(name, held.get(name))
    made = Sums()
    for name in reversed(held):
        made.put(name, held[name])
    assert grown.levels == made.levels and grown.leaves == made.leaves
    assert grown.root[1] == len(held) == len(grown.listed((0, 0)))
    assert all(0 <= at < RANGES for at in grown.leaves)


def test_old_periods_are_dropped_and_not_accepted_again() -> None:
    table, other = Table("a/1"), Table("b/1")
    for period in range(6):
        table.tally("spending", spending_key("t", period), 1.0, 0.0)
    assert len(table.records) == 4
    other.tally("spending", spending_key("t", 0), 1.0, 0.0)
    ((name, record),) = other.records.items()
    assert not table.merge_state(name, pack(record.state)).changed_here and name not in table.records


def test_a_settled_tombstone_rejects_the_states_it_covers() -> None:
    a, b = Table("a/1"), Table("b/1")
    name = a.write("note", "k", b"x")
    early = pack(a.records[name].state)
    b.merge_state(name, early)
    a.write("note", "k", None)
    assert a.settle(a.seq) == 1 and a.sums.root[1] == 0 and name not in a.records
    merged = a.merge_state(name, early)
    assert not merged.changed_here and merged.sender_lacks and a.acting("note", "k") is None
    assert b.merge_state(name, pack(a.state(name))).changed_here and b.acting("note", "k") is None  # type: ignore[arg-type]
    b.write("note", "k", b"anew")
    assert (
        a.merge_state(ident("note", "k"), pack(b.records[name].state)).changed_here
        and a.acting("note", "k") == b"anew"
    )
