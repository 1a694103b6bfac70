"""When a request came to this machine: by the kernel's record of its connection, or without one."""

import socket
import time

import pytest

from beechrock.net.arrival import GRANULARITY_S, MAX_UNDELAYED_BYTES, InputAge, birth, since_input_s

ACCEPTED_AT, UNSEEN_S = 100.0, 3.6


def test_the_kernel_tells_the_age_of_the_last_data_of_a_connection_that_nobody_has_read() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.socket() as caller:
        for data in (None, b"a", b"b"):  # the connection itself, then data before and after the accept
            began = time.monotonic()
            if data is None:
                caller.connect(server.getsockname())
                accepted, _ = server.accept()
            else:
                caller.sendall(data)
            ended = time.monotonic()
            for old_s in (0.0, 0.05):
                while time.monotonic() < ended + old_s:
                    pass
                age = InputAge.read(time.monotonic, since_input_s, accepted)
                assert age.earliest is not None
                assert age.earliest <= ended and began <= age.latest
                assert age.latest - age.earliest <= 2 * GRANULARITY_S + age.after - age.before + 1e-9
        accepted.close()


def test_a_socket_without_such_a_record_has_no_known_age() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        assert since_input_s(ours) is None
        age = InputAge.read(time.monotonic, since_input_s, ours)
        assert age.earliest is None and age.latest == age.after
    closed = socket.socket()
    closed.close()
    assert since_input_s(closed) is None


@pytest.mark.parametrize(
    ("since_s", "size", "is_last_input", "born", "earliest", "latest"),
    [
        (0.0, 100, True, 104.99, 104.99, 105.0),  # read at once
        (0.2, 100, True, 104.79, 104.79, 104.81),  # read late
        # It may have waited at its sender, or what came last was not its own: it may be older.
        (0.2, MAX_UNDELAYED_BYTES + 1, True, 104.79, 96.4, 104.81),
        (0.2, 100, False, 100.0, 96.4, 104.81),
        (5.5, 100, False, 99.51, 95.91, 99.51),  # received before its connection was accepted
        (None, 100, True, 100.0, 96.4, 105.0),
    ],
)
def test_the_bounds_of_a_birth_contain_the_time_of_writing(
    since_s: float | None, size: int, is_last_input: bool, born: float, earliest: float, latest: float
) -> None:
    found = birth(InputAge(105.0, since_s, 105.0), ACCEPTED_AT, size, is_last_input, UNSEEN_S)
    assert (found.born, found.earliest, found.latest) == pytest.approx((born, earliest, latest))


def test_a_pause_while_the_age_is_asked_for_widens_the_bounds() -> None:
    found = birth(InputAge(105.0, 0.3, 105.2), ACCEPTED_AT, 100, True, UNSEEN_S)
    assert (found.earliest, found.latest) == pytest.approx((104.69, 104.91))
