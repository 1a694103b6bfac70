"""Messages between the members of an edge and upstream, and tokens, as an earlier version wrote them."""

from pathlib import Path

from sample_files import DATA, files_of, read_messages, write_messages

from beechrock.edges import words
from beechrock.edges.causal import Dot, Seen, Token
from beechrock.edges.kept import Elsewhere, Keep, Kept, Led, Snap, Stand, Stood
from beechrock.edges.words import (
    Copied,
    Copy,
    Ends,
    Entry,
    Have,
    Offer,
    Probe,
    ProbeAck,
    Said,
    Settle,
    State,
    Straight,
    StraightDone,
    Told,
    WhenGone,
    Word,
)

SAMPLE = "edges/messages"
MESSAGES_FILE, ENTRIES_FILE, TOKENS_FILE = "messages.json", "entries.json", "tokens.json"
WRITER = "north/n1/life1"
KEY = b"k" * 32
SEEN = Seen(
    frozenset((Dot(WRITER, 3), Dot("north/n2/life1", 8))),
    {"south/s1/life4": 20},
    {WRITER: 3, "south/s1/life4": 20},
    5,
)
ENTRIES = {
    "plain": Entry(Dot(WRITER, 1), Seen(), "packagers", "resolve", "key-1", b"body", b"d" * 16),
    "after others": Entry(
        Dot(WRITER, 4),
        SEEN,
        "packagers",
        "resolve",
        "key-4",
        b"\x00\xff",
        b"e" * 16,
        "subject",
        WhenGone.SKIP,
        600.0,
        1_700_000_000.5,
    ),
    "cascades": Entry(
        Dot(WRITER, 5), SEEN, "readers", "resolve", "key-5", b"", b"", when_gone=WhenGone.CASCADE
    ),
}
TOKENS = {"one write": Token(Seen(frozenset((Dot(WRITER, 4),)), {}, {WRITER: 4}, 6), ("n1", "n2"))}
SPANS = {WRITER: [[1, 4], [7, 9]]}
# Decoding a message gives lists inside its fields, so the values here use lists too.
MESSAGES: dict[str, Word] = {
    "copy": Copy((ENTRIES["plain"].pack(), ENTRIES["after others"].pack())),
    "copied": Copied(([WRITER, 1], [WRITER, 4]), b"mark"),  # type: ignore[arg-type]
    "have": Have(SPANS, {WRITER: [[1, 1]]}, b"mark", True),
    "told": Told(([WRITER, 1, State.REFUSED.value, "no"],), ([WRITER, 4, "release"],)),  # type: ignore[arg-type]
    "probe": Probe(9, "north", 12, WRITER, 3),
    "probe ack": ProbeAck(
        9,
        SPANS,
        4,
        ([WRITER, 2, State.EXPIRED.value],),  # type: ignore[arg-type]
        ("north/n2/life0",),
        4,
        b"mark",
    ),
    "offer": Offer("north", 7, (ENTRIES["plain"].pack(),), (True,)),
    "settle": Settle("north", 7, ([WRITER, 2, State.DISCARDED.value, "by ann"],)),  # type: ignore[arg-type]
    "ends": Ends(
        "north",
        (
            [WRITER, 1, Said.ENDED.value, State.APPLIED.value, "", 0.0, []],  # type: ignore[arg-type]
            [WRITER, 4, Said.HELD.value, State.WAITING.value, "", 0.5, [["north/n2/life1", 8]]],  # type: ignore[arg-type]
        ),
        4,
        7,
    ),
    "straight": Straight(31, "north", ENTRIES["plain"].pack(), True),
    "straight done": StraightDone(31, "served", b"result", "text/plain", 0.5),
    "led": Led(21, b"\x00"),
    "elsewhere": Elsewhere("n2", 21),
    "stand": Stand(21, b"mark"),
    "stood": Stood(21, ([21, 40], [12, 30]), True, False, 22, b"mark"),  # type: ignore[arg-type]
    "keep": Keep(21, 40, 21, (b"record 41", b"record 42"), 40, True, (["n2", b"mark"],)),  # type: ignore[arg-type]
    "kept": Kept(21, 42, True, ([21, 42],), 30, 100, True, 22, b"mark"),  # type: ignore[arg-type]
    "snap": Snap(21, 30, 200, 100, b"part"),
}


def write(folder: Path) -> None:
    write_messages(folder / MESSAGES_FILE, {name: words.pack(word) for name, word in MESSAGES.items()})
    write_messages(folder / ENTRIES_FILE, {name: entry.pack() for name, entry in ENTRIES.items()})
    write_messages(folder / TOKENS_FILE, {name: token.encode(KEY).encode() for name, token in TOKENS.items()})


def test_the_same_values_have_the_same_bytes(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_message_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / MESSAGES_FILE)
    assert {name: words.unpack(data) for name, data in encoded.items()} == MESSAGES


def test_each_write_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / ENTRIES_FILE)
    assert {name: Entry.unpack(data) for name, data in encoded.items()} == ENTRIES


def test_tokens_are_believed_and_read() -> None:
    encoded = read_messages(DATA / SAMPLE / TOKENS_FILE)
    assert {name: Token.decode(data.decode(), KEY) for name, data in encoded.items()} == TOKENS


def test_every_kind_is_in_the_sample() -> None:
    assert {type(word) for word in MESSAGES.values()} == set(words.KINDS)
    assert {entry.when_gone for entry in ENTRIES.values()} == set(WhenGone)
