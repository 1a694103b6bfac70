"""Hand-over messages between two processes of one node, as an earlier version wrote them."""

from pathlib import Path

from sample_files import DATA, files_of, read_messages, write_messages

from beechrock.handover import wire
from beechrock.handover.messages import (
    ClaimsSynced,
    Deferral,
    DrainCommand,
    GrantRequest,
    Hello,
    KeyClaimed,
    KeyDenied,
    KeyGranted,
    KeyReleased,
    Leaving,
    LoadReport,
    MemoryGrant,
    MemoryLimit,
    MemoryRequest,
    Message,
    RunEnded,
    SuccessorReady,
)

SAMPLE = "handover"
FILE = "messages.json"
MEMORY_FILE = "memory_messages.json"  # of a later version, which appended features to the hello
KEY, DIGEST = bytes(range(16)), bytes(range(16, 32))
MESSAGES: dict[str, Message] = {
    "hello": Hello(),
    "wait": Deferral(),
    "claimed": KeyClaimed(KEY, DIGEST, 1234.5),
    "synced": ClaimsSynced(),
    "ready": SuccessorReady(),
    "ask": GrantRequest(KEY, DIGEST, 1200.25, 1234.5),
    "granted": KeyGranted(KEY),
    "denied": KeyDenied(KEY),
    "released": KeyReleased(KEY),
    "ended": RunEnded(KEY, True, "text/plain; charset=utf-8", b"the result"),
    "ended without a result": RunEnded(KEY, False),
    "load": LoadReport(3, 190.5, 2, 40),
    "word": DrainCommand(True),
    "leaving": Leaving(),
}
MEMORY_MESSAGES: dict[str, Message] = {
    "hello": Hello(features=1),
    "limit": MemoryLimit(21_000.0),
    "request": MemoryRequest(4_200.5),
    "grant": MemoryGrant(0.0),
}


def write(folder: Path) -> None:
    for file, messages in ((FILE, MESSAGES), (MEMORY_FILE, MEMORY_MESSAGES)):
        write_messages(folder / file, {name: wire.encode(message) for name, message in messages.items()})


def decoded(data: bytes) -> Message:
    size = wire.decode_length(data[: wire.MESSAGE_HEAD.size - 1])
    assert size == len(data) - wire.MESSAGE_HEAD.size + 1
    return wire.decode(data[wire.MESSAGE_HEAD.size - 1], data[wire.MESSAGE_HEAD.size :])


def test_the_same_messages_have_the_same_bytes(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_message_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / FILE)
    assert {name: decoded(data) for name, data in encoded.items()} == MESSAGES
    encoded = read_messages(DATA / SAMPLE / MEMORY_FILE)
    assert {name: decoded(data) for name, data in encoded.items()} == MEMORY_MESSAGES


def test_every_type_is_in_the_sample() -> None:
    samples = [data for file in (FILE, MEMORY_FILE) for data in read_messages(DATA / SAMPLE / file).values()]
    numbers = {data[wire.MESSAGE_HEAD.size - 1] for data in samples}
    assert numbers == {wire.HELLO_NUMBER, wire.RUN_ENDED_NUMBER, *wire.LAYOUTS}
    written = [*MESSAGES.values(), *MEMORY_MESSAGES.values()]
    assert {type(message) for message in written} == {Hello, RunEnded, *wire.NUMBERS}
