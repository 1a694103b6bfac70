"""Datagrams of the membership: round trips, other fleets, replays, truncation at each byte; life numbers."""

from dataclasses import replace
from pathlib import Path

import msgpack
import pytest
from hypothesis import given
from hypothesis import settings as test_settings
from hypothesis import strategies as st

from beechrock.members import codec
from beechrock.members.codec import Codec, DroppedError, DropReason, key_from
from beechrock.members.messages import (
    MAX_PARTS,
    MAX_UPDATES,
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
from beechrock.store.errors import LifeError
from beechrock.store.life import LIFE_FILE, next_life

KEY = key_from(b"a secret of the fleet's own")
names = st.text(st.characters(codec="ascii", min_codepoint=33), min_size=1, max_size=codec.MAX_NAME_BYTES)
counts = st.integers(0, 2**40)
statuses = st.builds(Status, counts, counts, st.sampled_from(MemberState))
optional_names = names | st.just("")
any_update = st.builds(Update, names, names, statuses, optional_names, optional_names)
updates = st.lists(any_update, max_size=MAX_UPDATES).map(tuple)
messages = st.one_of(
    st.builds(Ping, counts, optional_names, updates),
    st.builds(Ack, counts, names, updates),
    st.builds(PingRequest, counts, names, names, updates),
    st.builds(PingRequestAck, counts, updates),
    st.builds(FullState, st.integers(0, MAX_PARTS - 1), updates),
    st.builds(FullState, st.just(0), st.just(()), st.binary(min_size=512, max_size=512)),
)
SUSPICION = Update("n2", "127.0.0.1:9", Status(3, 1, MemberState.SUSPECT))
MESSAGE = PingRequest(7, "n2", "127.0.0.1:9", (SUSPICION,))


def codecs(**receiver_options: object) -> tuple[Codec, Codec]:
    """Return a sender and a receiver; keyword arguments override the receiver's options."""
    options = {"key": KEY, "fleet": "east", "name": "n2", "life": 1, **receiver_options}
    return Codec(KEY, "east", "n1", 5), Codec(**options)  # type: ignore[arg-type]


def drop_reason(codec: Codec, data: bytes) -> DropReason:
    with pytest.raises(DroppedError) as caught:
        codec.decode(data)
    return caught.value.reason


@test_settings(max_examples=200, deadline=None, derandomize=True)
@given(messages)
def test_message_survives_a_round_trip_but_for_updates_without_room(message: Message) -> None:
    sender, receiver = codecs()
    data = sender.encode(message)
    assert len(data) <= codec.MAX_DATAGRAM_BYTES
    name, decoded = receiver.decode(data)
    assert name == "n1" and replace(decoded, updates=()) == replace(message, updates=())
    assert decoded.updates == message.updates[: len(decoded.updates)]


def test_datagram_with_another_key_fleet_version_or_size_is_dropped_with_its_reason() -> None:
    sender, receiver = codecs()
    stranger = codecs(key=key_from(b"another fleet's secret"))[1]
    assert drop_reason(stranger, sender.encode(MESSAGE)) is DropReason.TAG
    assert drop_reason(codecs(fleet="west")[1], sender.encode(MESSAGE)) is DropReason.FLEET
    body = msgpack.packb([2, "east", "n1", 5, 9, 0, [1, ""], []])
    assert drop_reason(receiver, body + sender._tag(body)) is DropReason.VERSION
    assert drop_reason(receiver, b"") is drop_reason(receiver, b"\0" * 2000) is DropReason.SIZE


def test_datagram_cut_or_changed_at_any_byte_is_dropped() -> None:
    sender, receiver = codecs()
    data = sender.encode(MESSAGE)
    for at in range(len(data)):
        assert drop_reason(receiver, data[:at]) in (DropReason.SIZE, DropReason.TAG)
        assert drop_reason(receiver, data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]) is DropReason.TAG
    assert receiver.decode(data) == ("n1", MESSAGE)


@pytest.mark.parametrize(
    "listed",
    [
        7,
        [],
        [1],
        [1, "east", 5, 5, 1, 0, [1, ""], []],
        [1, "east", "", 5, 1, 0, [1, ""], []],
        [1, "east", "n" * 65, 5, 1, 0, [1, ""], []],
        [1, "east", "n1", -1, 1, 0, [1, ""], []],
        [1, "east", "n1", True, 1, 0, [1, ""], []],
        [1, "east", "n1", 5, 2**63, 0, [1, ""], []],
        [1, "east", "n1", 5, 1, 9, [1, ""], []],
        [1, "east", "n1", 5, 1, 0, [], []],
        [1, "east", "n1", 5, 1, 0, 4, []],
        [1, "east", "n1", 5, 1, 0, [1, ""], [["a", "b", 1, 1, 4, ""]]],
        [1, "east", "n1", 5, 1, 0, [1, ""], [["a"]]],
        [1, "east", "n1", 5, 1, 0, [1, ""], [["a", "b", 1, 1, 0, ""]] * 9],
        [1, "east", "n1", 5, 1, 0, [1, ""], {}],
    ],
)
def test_malformed_datagram_with_a_valid_tag_is_dropped(listed: object) -> None:
    sender, receiver = codecs()
    body = msgpack.packb(listed)
    assert drop_reason(receiver, body + sender._tag(body)) is DropReason.FORM


def test_fields_that_a_newer_version_adds_at_the_end_are_ignored() -> None:
    sender, receiver = codecs()
    fields = ["a", "b", 1, 1, 0, "", "h1", "new"]
    body = msgpack.packb([1, "east", "n1", 5, 1, 0, [3, "", "new"], [fields], {"new": 1}])
    updates = (Update("a", "b", Status(1, 1, MemberState.ALIVE), hall="h1"),)
    assert receiver.decode(body + sender._tag(body)) == ("n1", Ping(3, "", updates))
    # An older version sends no halls, and finds the first six fields of each update unchanged.
    body = msgpack.packb([1, "east", "n1", 5, 2, 0, [3, ""], [fields[:6]]])
    assert receiver.decode(body + sender._tag(body))[1].updates == (replace(updates[0], hall=""),)
    assert msgpack.unpackb(sender.encode(Ping(1, updates=updates))[: -codec.TAG_BYTES])[7] == [fields[:7]]


def test_each_counter_is_accepted_once_within_the_window_and_a_new_life_has_its_own_window() -> None:
    sender, receiver = codecs()
    sent = [sender.encode(PingRequestAck(n)) for n in range(codec.REPLAY_WINDOW + 2)]
    for data in (sent[3], sent[1], sent[2], sent[-1]):
        receiver.decode(data)
    for data in (sent[3], sent[1], sent[-1], sent[0]):
        assert drop_reason(receiver, data) is DropReason.REPLAYED
    assert receiver.decode(sent[4])[1] == PingRequestAck(4)
    restarted = Codec(KEY, "east", "n1", 6)
    assert receiver.decode(restarted.encode(PingRequestAck(1)))[1] == PingRequestAck(1)


@test_settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 700), max_size=60))
def test_no_datagram_is_accepted_twice_in_any_order(order: list[int]) -> None:
    sender, receiver = codecs()
    sent, accepted = [sender.encode(PingRequestAck(n)) for n in range(701)], set()
    for n in order:
        try:
            receiver.decode(sent[n])
        except DroppedError as error:
            assert error.reason is DropReason.REPLAYED
            continue
        assert n not in accepted
        accepted.add(n)


def test_number_of_senders_with_replay_state_is_bounded() -> None:
    _, receiver = codecs()
    for n in range(codec.MAX_SENDERS + 10):
        receiver.decode(Codec(KEY, "east", "n1", n).encode(PingRequestAck(1)))
    assert len(receiver.received) == codec.MAX_SENDERS


def test_short_secret_is_refused() -> None:
    with pytest.raises(ValueError, match="16 bytes"):
        key_from(b"short")


# The life number.


def test_each_life_number_is_greater_than_the_one_before_though_the_clock_goes_back(tmp_path: Path) -> None:
    lives = [next_life(tmp_path, now) for now in (1000.0, 2000.0, 500.0, 500.0)]
    assert lives == [1_000_000, 2_000_000, 2_000_001, 2_000_002]
    assert next_life(None, 7.5) == 7500


@pytest.mark.parametrize("text", ["", "x", "-4", "1.5", "٣"])
def test_life_file_that_holds_no_number_is_an_error(tmp_path: Path, text: str) -> None:
    (tmp_path / LIFE_FILE).write_text(text)
    with pytest.raises(LifeError, match=LIFE_FILE):
        next_life(tmp_path, 1000.0)
    assert (tmp_path / LIFE_FILE).read_text() == text


def test_interrupted_write_of_the_life_file_leaves_the_old_number(tmp_path: Path) -> None:
    first = next_life(tmp_path, 1000.0)
    (tmp_path / LIFE_FILE).with_suffix(".new").write_text("9")  # As left by a write that was interrupted
    assert next_life(tmp_path, 10.0) == first + 1


def test_full_state_of_too_many_parts_or_with_digests_of_another_size_is_dropped() -> None:
    sender, receiver = codecs()
    assert receiver.decode(sender.encode(FullState(MAX_PARTS - 1)))[1] == FullState(MAX_PARTS - 1)
    assert drop_reason(receiver, sender.encode(FullState(MAX_PARTS))) is DropReason.FORM
    assert drop_reason(receiver, sender.encode(FullState(0, (), b"x" * 511))) is DropReason.FORM
