"""Messages between replicas, and the states and values inside, as an earlier version wrote them."""

from pathlib import Path

from sample_files import DATA, files_of, read_messages, write_messages

from beechrock.replica import leases, messages, records, telling
from beechrock.replica.health import Word
from beechrock.replica.leases import Budgets, Granted, Lease, Pot, PotKey, Result
from beechrock.replica.messages import (
    TYPES,
    Ack,
    Answer,
    Ask,
    Batch,
    Held,
    Hello,
    Message,
    Piece,
    Pull,
    Welcome,
)
from beechrock.replica.records import Causal, Dot, Own, State, Tally

SAMPLE = "replica/messages"
FORMAT_1, FORMAT_2 = "format1.json", "format2.json"
STATES_FILE, ADVICE, COMMANDS_FILE, LEASES = "states.json", "advice.bin", "lease_commands.json", "leases.bin"
WRITER = "n1/00ff"
LIFE = 1_000_000
HELD = Held(b"d" * 16, 40)
STATES: dict[str, State] = {
    "tally": Tally({WRITER: (12.5, 2.0), "n2/00aa": (3.0, 0.0)}),
    "causal": Causal({Dot(WRITER, 3): b"one", Dot("n2/00aa", 8): b"other"}, {WRITER: 3, "n2/00aa": 9}),
    "deleted": Causal({Dot(WRITER, 4): None}, {WRITER: 4}),
    "own": Own(LIFE, 2, b"value"),
}
ENTRIES = [[b"note\0key", records.pack(STATES["causal"])]]
MESSAGES: dict[str, Message] = {
    "hello": Hello(b"mark", "whole", 12, b"r" * 16, 1),
    "welcome": Welcome(b"d" * 16, "outdated", True, 12, "repair"),
    "batch": Batch(7, ENTRIES),  # type: ignore[arg-type]  # Decoding gives lists
    "ack": Ack(7, True, False),
    "ask": Ask(3, 1, [[1, 5, [[0, 0]] * 16]], [[4, 1000, [[b"note\0key", b"s" * 16]]]]),
    "answer": Answer(3, 1, [[2, 80]], [b"note\0a"], [b"note\0b"], True),
    "pull": Pull(100),
    "piece": Piece(100, 200, ENTRIES),  # type: ignore[arg-type]
}
SLOWNESS = 1.25
WORDS = [Word("127.0.0.1:9101", 0.02, 40, 1.5, 0.0), Word("127.0.0.1:9102", 0.0, 3, 2.5, 9.0)]
BUDGET: PotKey = ("budget", "packagers", 100)
RATE: PotKey = ("rate", "127.0.0.1:9101", 0)
# Commands in the order of the log, from index 1; a lease's id is 256 * index + position in the command.
LEASE_COMMANDS: dict[str, bytes] = {
    "ask": leases.ask("n1", LIFE, [(BUDGET, 1000.0, 3, 100.0), (RATE, 50.0, 3, 10.0)]),
    "ask of another": leases.ask("n2", LIFE + 1, [(BUDGET, 1000.0, 3, 200.0)]),
    "back": leases.back("n1", LIFE, BUDGET, 256, 1, 25.0),
    "close": leases.close(BUDGET, 512, 1),
}
LEASE_RESULTS = [
    [Granted(BUDGET, 256, 100.0, 1, 0), Granted(RATE, 257, 10.0, 1, 0)],
    [Granted(BUDGET, 512, 200.0, 1, 0)],
    [Granted(BUDGET, 256, 75.0, 2, 1)],
    Result.DONE,
]
POTS = {
    BUDGET: Pot(
        "budget",
        "packagers",
        100,
        1000.0,
        3,
        {
            256: Lease(256, "n1", LIFE, 75.0, 2, 1),
            512: Lease(512, "n2", LIFE + 1, 200.0, 1, 0, False),
        },
    ),
    RATE: Pot("rate", "127.0.0.1:9101", 0, 50.0, 3, {257: Lease(257, "n1", LIFE, 10.0)}),
}


def write(folder: Path) -> None:
    write_messages(folder / FORMAT_1, {name: messages.encode(m) for name, m in MESSAGES.items()})
    write_messages(folder / FORMAT_2, {name: messages.encode(m, HELD) for name, m in MESSAGES.items()})
    write_messages(folder / STATES_FILE, {name: records.pack(state) for name, state in STATES.items()})
    (folder / ADVICE).write_bytes(telling.pack(SLOWNESS, WORDS))
    write_messages(folder / COMMANDS_FILE, LEASE_COMMANDS)
    budgets = Budgets()
    for index, command in enumerate(LEASE_COMMANDS.values(), 1):
        budgets.apply(index, command)
    (folder / LEASES).write_bytes(budgets.snapshot())


def test_the_same_values_have_the_same_bytes(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_message_is_read_in_both_formats() -> None:
    for file, held in ((FORMAT_1, None), (FORMAT_2, HELD)):
        encoded = read_messages(DATA / SAMPLE / file)
        assert {name: messages.decode(data) for name, data in encoded.items()} == {
            name: (message, held) for name, message in MESSAGES.items()
        }


def test_each_state_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / STATES_FILE)
    assert {name: records.unpack(type(STATES[name]), data) for name, data in encoded.items()} == STATES


def test_advice_is_read() -> None:
    assert telling.unpack((DATA / SAMPLE / ADVICE).read_bytes()) == (SLOWNESS, WORDS)


def test_commands_of_the_log_are_applied() -> None:
    budgets, commands = Budgets(), read_messages(DATA / SAMPLE / COMMANDS_FILE)
    assert list(commands) == list(LEASE_COMMANDS)
    results = [budgets.apply(index, command) for index, command in enumerate(commands.values(), 1)]
    assert results == LEASE_RESULTS and budgets.pots == POTS


def test_a_snapshot_of_leases_is_read() -> None:
    budgets = Budgets()
    budgets.restore((DATA / SAMPLE / LEASES).read_bytes())
    assert budgets.pots == POTS


def test_every_type_is_in_the_sample() -> None:
    assert {type(message) for message in MESSAGES.values()} == set(TYPES)
    assert {type(state) for state in STATES.values()} == {Tally, Causal, Own}
