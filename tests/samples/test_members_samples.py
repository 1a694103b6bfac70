"""Datagrams of the membership and the stream of a full state, as an earlier version wrote them."""

from pathlib import Path

from sample_files import DATA, files_of, read_messages, write_messages

from beechrock.members import codec
from beechrock.members.actor import SIZE_BYTES
from beechrock.members.codec import MESSAGE_TYPES, Codec
from beechrock.members.messages import (
    BUCKETS,
    DIGEST_BYTES,
    Ack,
    FullState,
    MemberState,
    Message,
    Ping,
    PingRequest,
    PingRequestAck,
    Status,
    Update,
)

SAMPLE = "members"
DATAGRAMS, STREAM = "datagrams.json", "full_state.bin"
SECRET, FLEET, SENDER, LIFE = b"a secret of the fleet", "fleet 1", "n1", 1_000_000
UPDATES = (
    Update("n1", "10.0.0.1:7000", Status(1_000_000, 0, MemberState.ALIVE), hall="hall-a"),
    Update("n2", "10.0.0.2:7000", Status(1_000_001, 3, MemberState.SUSPECT), accuser="n1"),
    Update("n3", "10.0.0.3:7000", Status(1_000_002, 1, MemberState.DEAD), "n2", "hall-b"),
    Update("n4", "10.0.0.4:7000", Status(1_000_003, 2, MemberState.LEFT)),
)
DIGESTS = bytes(number % 256 for number in range(BUCKETS * DIGEST_BYTES))
MESSAGES: dict[str, Message] = {
    "ping": Ping(1, updates=UPDATES),
    "ping for another": Ping(2, "n3"),
    "ping request": PingRequest(3, "n2", "10.0.0.2:7000", UPDATES[:1]),
    "ack": Ack(4, updates=UPDATES[1:2]),
    "ack passed on": Ack(5, "n2"),
    "ping request ack": PingRequestAck(6, UPDATES[2:]),
    "full state": FullState(1, UPDATES, DIGESTS),
    "last part of a full state": FullState(0, UPDATES[3:]),
}
PARTS = (FullState(1, UPDATES[:2], DIGESTS), FullState(0, UPDATES[2:]))


def sender() -> Codec:
    return Codec(codec.key_from(SECRET), FLEET, SENDER, LIFE)


def receiver() -> Codec:
    return Codec(codec.key_from(SECRET), FLEET, "n9", 1)


def write(folder: Path) -> None:
    member = sender()
    write_messages(folder / DATAGRAMS, {name: member.encode(message) for name, message in MESSAGES.items()})
    parts = [member.encode(part) for part in PARTS]
    (folder / STREAM).write_bytes(b"".join(len(p).to_bytes(SIZE_BYTES, "big") + p for p in parts))


def test_the_same_messages_have_the_same_bytes(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_datagram_is_read() -> None:
    member = receiver()
    datagrams = read_messages(DATA / SAMPLE / DATAGRAMS)
    assert {name: member.decode(data) for name, data in datagrams.items()} == {
        name: (SENDER, message) for name, message in MESSAGES.items()
    }
    assert member.received[SENDER, LIFE].newest == len(MESSAGES)


def test_a_full_state_in_parts_is_read() -> None:
    data, member, found = (DATA / SAMPLE / STREAM).read_bytes(), receiver(), []
    while data:
        size = int.from_bytes(data[:SIZE_BYTES], "big")
        found.append(member.decode(data[SIZE_BYTES : SIZE_BYTES + size])[1])
        data = data[SIZE_BYTES + size :]
    assert tuple(found) == PARTS


def test_every_type_of_message_and_every_state_is_in_the_sample() -> None:
    assert {type(message) for message in MESSAGES.values()} == set(MESSAGE_TYPES)
    assert {update.status.state for update in UPDATES} == set(MemberState)
