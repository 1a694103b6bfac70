"""Tests of causal order: ranges, tokens, heads, and the bounds of a write's dependencies."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.edges.causal import (
    MAX_DOTS,
    MAX_KNOWN,
    NOTHING,
    Dot,
    Heads,
    Seen,
    Spans,
    Token,
    Vector,
    read_tokens,
)
from beechrock.edges.errors import ForgedTokenError

KEY = b"k" * 32


@given(st.lists(st.tuples(st.integers(1, 40), st.integers(0, 5)), max_size=30), st.integers(1, 45))
@settings(max_examples=100, deadline=None)
def test_spans_are_a_set(ranges: list[tuple[int, int]], probe: int) -> None:
    spans, plain = Spans(), set[int]()
    for first, more in ranges:
        spans.add(first, first + more)
        plain |= set(range(first, first + more + 1))
        assert len(spans) == len(plain) and (probe in spans) == (probe in plain)
        assert spans.upto == next(n for n in itertools.count() if n + 1 not in plain)
        assert all(b + 1 < a for (_, b), (a, _) in itertools.pairwise(spans.spans))
    assert Spans().gaps(spans, 100) == sorted(plain)


def test_a_token_is_accepted_only_with_a_valid_tag() -> None:
    seen = Seen(frozenset({Dot("e/m/1", 4)}), {}, {"e/m/1": 4}, 3)
    text = Token(seen, ("m", "n")).encode(KEY)
    assert read_tokens(f"{text}, {text}", KEY) == seen and Token.decode(text, KEY).dot == Dot("e/m/1", 4)
    for bad in (text[:-3] + "AAA", Token(seen).encode(b"other key" * 3), "", "?", "e/m/1:4"):
        with pytest.raises(ForgedTokenError):
            Token.decode(bad, KEY)


def test_heads_beyond_their_bound_keep_order() -> None:
    heads = Heads(4)
    for n in range(1, 12):
        heads.put(n, NOTHING, Dot("w", n), Vector())
    assert len(heads.held) == 4
    for n in range(1, 12):  # Each place still depends on its own write
        assert Dot("w", n) in _closure(heads.of(n), 11)


def _closure(seen: Seen, most: int) -> set[Dot]:
    return set(seen.dots) | {Dot(w, n) for w, up in seen.upto.items() for n in range(1, min(up, most) + 1)}


def test_too_many_dots_of_one_writer_are_folded_and_none_is_dropped() -> None:
    parts = [Seen(frozenset({Dot("w", n)})) for n in range(2, 2 * MAX_DOTS + 4, 2)]
    seen = NOTHING.merge(*parts)
    assert not seen.dots and seen.upto == {"w": 2 * MAX_DOTS + 2}
    assert seen.missing(Vector({"w": Spans([[1, 5]])})) == [Dot("w", 6)]


def test_known_lives_are_bounded_and_those_with_waiting_writes_are_kept() -> None:
    ended = Vector({f"e/m/{n}": Spans([(1, 5)]) for n in range(100)})
    seen = Seen(known={f"e/m/{n}": 5 if n else 6 for n in range(100)}).less(ended)
    assert len(seen.known) == MAX_KNOWN and "e/m/0" in seen.known and "e/m/99" in seen.known
