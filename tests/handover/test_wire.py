"""Encoding of handover messages: each survives a round trip, and invalid bytes raise WireError."""

import math

import pytest
from claim_processes import BODY, KEYS
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.handover import messages, wire

TIMES = st.floats(allow_nan=False, allow_infinity=False)  # Other times are rejected; a test below checks it


MESSAGES = st.one_of(
    st.builds(messages.Hello, st.integers(0, 65_535), st.integers(0, 255)),
    st.sampled_from(
        [messages.Deferral(), messages.ClaimsSynced(), messages.SuccessorReady(), messages.Leaving()]
    ),
    st.builds(messages.KeyClaimed, *[st.binary(min_size=16, max_size=16)] * 2, TIMES),
    st.builds(messages.GrantRequest, *[st.binary(min_size=16, max_size=16)] * 2, TIMES, TIMES),
    *(
        st.builds(made, st.binary(min_size=16, max_size=16))
        for made in (messages.KeyGranted, messages.KeyDenied, messages.KeyReleased)
    ),
    st.builds(
        messages.RunEnded,
        st.binary(min_size=16, max_size=16),
        st.booleans(),
        st.text(max_size=50),
        st.binary(max_size=3000),
    ),
    st.builds(
        messages.LoadReport,
        st.integers(0, 2**32 - 1),
        TIMES,
        st.integers(0, 2**32 - 1),
        st.integers(0, 2**32 - 1),
    ),
    *(
        st.builds(made, TIMES)
        for made in (messages.MemoryLimit, messages.MemoryRequest, messages.MemoryGrant)
    ),
    st.builds(messages.DrainCommand, st.booleans()),
)


@settings(deadline=None, derandomize=True)
@given(MESSAGES)
def test_every_message_survives_encoding_and_decoding(message: messages.Message) -> None:
    data = wire.encode(message)
    assert wire.decode_length(data) == len(data) - 4
    assert wire.decode(data[4], data[5:]) == message


@settings(deadline=None, derandomize=True)
@given(st.integers(0, 255), st.binary(max_size=200))
def test_invalid_bytes_raise_only_wire_errors(number: int, payload: bytes) -> None:
    try:
        wire.decode(number, payload)
    except wire.WireError:
        return
    assert number in (wire.HELLO_NUMBER, wire.RUN_ENDED_NUMBER) or number in wire.LAYOUTS


def test_an_oversized_result_is_not_sent() -> None:
    data = wire.encode(messages.RunEnded(KEYS[0], True, "", b"x" * (wire.MAX_RESULT_BYTES + 1)))
    assert wire.decode(data[4], data[5:]) == messages.RunEnded(KEYS[0], False)
    with pytest.raises(wire.WireError):
        wire.decode_length((wire.MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"))


@pytest.mark.parametrize("time", [math.nan, math.inf, -math.inf])
def test_non_finite_times_and_truncated_media_types_are_rejected(time: float) -> None:
    for message in (
        messages.KeyClaimed(KEYS[0], BODY, time),
        messages.GrantRequest(KEYS[0], BODY, 1.0, time),
        messages.LoadReport(1, time, 1, 1),
    ):
        data = wire.encode(message)
        with pytest.raises(wire.WireError):
            wire.decode(data[4], data[5:])
    data = wire.encode(messages.RunEnded(KEYS[0], True, "text/plain"))
    with pytest.raises(wire.WireError):
        wire.decode(data[4], data[5:-1])


def test_an_oversized_media_type_is_not_truncated() -> None:
    data = wire.encode(messages.RunEnded(KEYS[0], True, "\u00e4" * wire.MAX_MEDIA_BYTES, b"r"))
    assert wire.decode(data[4], data[5:]) == messages.RunEnded(KEYS[0], False)
