"""Limits and windows of SCGI requests, which count from the request and not from its connection."""

import socket
from collections.abc import Callable

import pytest
from play import Stand, run
from test_exchanges import open_both

from beechrock.core.requests import Verdict
from beechrock.net.scgi_codec import request_bytes
from beechrock.net.scgi_extensions import Allowed, ContractRejection

WINDOW_S, DUE_S = 10.0, 3.6  # of the service ``pack``
STOPPED_S = 0.2  # how long the node is stopped
HEADERS = {"HTTP_X_ROUTE": "pack", "HTTP_X_TEAM": "releases", "HTTP_IDEMPOTENCY_KEY": "k"}
REQUEST = request_bytes(HEADERS, b"pk")
RUN = 'u = accept server\nu ... ",pk"\nu > "Status: 200 OK\\r\\n\\r\\ndone"\nu end\n'
JUNK = b"behind the body"


def quoted(data: bytes) -> str:
    """Return bytes in the notation of ``play``."""
    return '"' + repr(data)[2:-1].replace('"', '\\"') + '"'


def counter(stand: Stand, name: str) -> float:
    return stand.program.counters[name]


class Caller:
    """A caller whose connection and bytes the node sees only when its event loop runs again."""

    def __init__(self, stand: Stand) -> None:
        assert stand.program.scgi is not None and stand.program.scgi.server is not None
        self.stand = stand
        self.socket = socket.create_connection(stand.program.scgi.server.sockets[0].getsockname())

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)
        self.stand.written_at[self.socket.getsockname()] = self.stand.now

    async def answered(self, status: int, body: bytes) -> None:
        await self.stand.read_to_end(self.socket, f"Status: {status} ".encode(), b"\r\n\r\n" + body)


@pytest.mark.parametrize("kernel_tells", [True, False])
@pytest.mark.parametrize("quiet_s", [0.0, 1.0, 1.7])
def test_a_window_counts_from_the_request_though_its_connection_was_quiet_before(
    quiet_s: float, kernel_tells: bool
) -> None:
    """The end of the window was missing, so that a repeat ran again; after 1.4 s all was refused as late."""

    async def work(stand: Stand) -> None:
        await open_both(stand, aim_ms=1400)
        front = stand.program.scgi
        if not kernel_tells:
            front.since_input_s = lambda connection: None
        await stand.play(f"a = connect scgi\ncounter intake.scgi_connections 1\nclock {quiet_s}\n")
        await stand.play("a ask pack releases pk k\n" + RUN + "a answered 200 done\n")
        front.since_input_s = stand.since_input_s
        await stand.play(f"clock {WINDOW_S - 0.05}\nb = connect scgi\nb ask pack releases pk k\n")
        await stand.play("b answered 200 done\ncounter sent.launches 1\n")
        # Nor does the window last longer than it must.
        await stand.play("clock 0.2\nc = connect scgi\nc ask pack releases pk k\n" + RUN)
        await stand.play("c answered 200 done\ncounter sent.launches 2\n")

    run(work)


@pytest.mark.parametrize("cut_at", [1, 40, len(REQUEST) - 2, len(REQUEST) - 1])
def test_a_window_counts_from_the_last_byte_of_a_request_in_pieces(cut_at: int) -> None:
    """Counted from the accept, the window of a request in pieces ended early, and its repeat ran again."""

    async def work(stand: Stand) -> None:
        await open_both(stand)
        first, rest = quoted(REQUEST[:cut_at]), quoted(REQUEST[cut_at:])
        await stand.play(f"a = connect scgi\na > {first}\ncounter intake.scgi_connections 1\nclock 1.0\n")
        await stand.play(f"a > {rest}\n" + RUN + "a answered 200 done\n")
        await stand.play(f"clock {WINDOW_S - 0.05}\nb = connect scgi\nb ask pack releases pk k\n")
        await stand.play("b answered 200 done\ncounter sent.launches 1\n")

    run(work)


@pytest.mark.parametrize("accepted", [True, False])
@pytest.mark.parametrize("trailing", [b"", JUNK])
def test_a_repeat_written_in_its_window_is_one_though_the_node_was_stopped_until_after_it(
    accepted: bool, trailing: bytes
) -> None:
    """It ran again, as it counted from its accept, or from what came behind its body."""

    async def work(stand: Stand) -> None:
        await open_both(stand)
        await stand.play("a = connect scgi\na ask pack releases pk k\n" + RUN + "a answered 200 done\n")
        await stand.play(f"clock {WINDOW_S - 0.1}\n")
        caller = Caller(stand)
        if accepted:
            await stand.play("counter intake.scgi_connections 2\n")
        caller.write(REQUEST)  # the event loop does not run until the node goes on
        stand.now += STOPPED_S
        if trailing:
            caller.write(trailing)
        await caller.answered(200, b"done")
        assert counter(stand, "sent.launches") == 1

    run(work)


def test_a_repeat_written_in_its_window_is_one_on_a_kernel_that_records_nothing() -> None:
    async def work(stand: Stand) -> None:
        await open_both(stand)
        stand.program.scgi.since_input_s = lambda connection: None
        await stand.play("a = connect scgi\na ask pack releases pk k\n" + RUN + "a answered 200 done\n")
        await stand.play(f"clock {WINDOW_S - 0.1}\n")
        caller = Caller(stand)
        caller.write(REQUEST)
        stand.now += STOPPED_S
        await caller.answered(200, b"done")
        assert counter(stand, "sent.launches") == 1 and counter(stand, "intake.scgi_uncertain_births") == 2

    run(work)


def test_a_due_time_counts_from_the_request_and_not_from_when_it_was_read() -> None:
    async def work(stand: Stand) -> None:
        await open_both(stand)
        await stand.play("a = connect scgi\ncounter intake.scgi_connections 1\nclock 1.0\n")
        await stand.play('a ask pack releases pk k\nu = accept server\nu ... ",pk"\n')
        await stand.play(f"clock {DUE_S - 0.1}\n")
        assert not stand.wires["a"].got, "the time in which the connection was quiet counted"
        await stand.play('clock 0.1\na ... "\\r\\n\\r\\nfailed\\n"\nu end\n')
        caller = Caller(stand)
        await stand.play("counter intake.scgi_connections 2\n")
        caller.write(request_bytes({**HEADERS, "HTTP_IDEMPOTENCY_KEY": "l"}, b"pk"))
        stand.now += STOPPED_S
        await stand.play(f'v = accept server\nv ... ",pk"\nclock {DUE_S - STOPPED_S}\n')
        await caller.answered(500, b"failed\n")
        assert counter(stand, "intake.scgi_most_unread_ms") >= 1000 * (STOPPED_S - 0.02)

    run(work)


@pytest.mark.parametrize(("written_after_s", "runs"), [(1.5, True), (2.3, False)])
def test_what_is_written_late_after_the_notice_on_an_older_connection_does_not_run(
    written_after_s: float, runs: bool
) -> None:
    """It ran, as it counted as having come when its connection was accepted, before the notice."""

    async def work(stand: Stand) -> None:
        # A connection may then be quiet for 2.5 s, and the time in which it was does not make it too late.
        await open_both(stand, aim_ms=5000, due_ms=7000)
        await stand.play("a = connect scgi\ncounter intake.scgi_connections 1\n")
        await stand.play(f"leave\nclock {written_after_s}\na ask pack releases pk k\n")
        if runs:
            await stand.play(RUN + "a answered 200 done\n")
        else:
            await stand.play('a ... "\\r\\n\\r\\nturned away; it never ran\\n"\n')
        assert counter(stand, "sent.launches") == runs

    run(work)


def test_a_request_that_came_whole_in_time_is_not_rejected_as_incomplete_while_it_is_unread() -> None:
    """After a pause the check for incomplete requests ran before the event loop had read the rest."""

    async def work(stand: Stand) -> None:
        await open_both(stand)
        caller = Caller(stand)
        caller.write(REQUEST[:40])
        await stand.play("counter intake.scgi_connections 1\nclock 1.7\n")
        caller.write(REQUEST[40:])
        stand.now += STOPPED_S
        stand.program.module.tick(stand.now)
        await stand.play(RUN)
        await caller.answered(200, b"done")

    run(work)


class Contract:
    """Stands for the limits: admits or rejects all requests, and counts those that it was asked for."""

    def __init__(self) -> None:
        self.spent = False
        self.asked = 0

    def admit(self, contract: tuple[str, str], size: int) -> Allowed | ContractRejection:
        self.asked += 1
        if self.spent:
            return ContractRejection(1.0, "rate", ())
        return Allowed(0, lambda cost_s: None, lambda: ())

    def connect(self, team: str, own: object) -> None:
        return None

    def apply_inventory(self, meaning: object) -> None:
        pass


def stop_until_after_the_window(stand: Stand, caller: Caller) -> None:
    caller.write(REQUEST)
    stand.now += STOPPED_S


def write_the_end_after_the_window(stand: Stand, caller: Caller) -> None:
    caller.write(REQUEST[:-1])


@pytest.mark.parametrize(
    ("write", "is_repeat"), [(stop_until_after_the_window, True), (write_the_end_after_the_window, False)]
)
def test_a_contract_takes_as_a_repeat_just_what_the_module_does(
    write: Callable[[Stand, Caller], None], is_repeat: bool
) -> None:
    """A repeat of what ran was rejected as one that never ran, and a new run passed by its contract."""

    async def work(stand: Stand) -> None:
        await open_both(stand)
        contract = stand.program.scgi.limits = Contract()
        await stand.play("a = connect scgi\na ask pack releases pk k\n" + RUN + "a answered 200 done\n")
        contract.spent = True
        await stand.play(f"clock {WINDOW_S - 0.1}\n")
        caller = Caller(stand)
        write(stand, caller)
        if is_repeat:
            await caller.answered(200, b"done")
            assert contract.asked == 1
        else:
            await stand.play("counter intake.scgi_connections 2\nclock 0.3\n")
            caller.write(REQUEST[-1:])
            await caller.answered(503, b"beyond its contract (rate); this try never ran\n")
            assert contract.asked == 2
            table = stand.program.module.table
            assert table.counts.replies["pack", Verdict.REFUSED] == 1
        assert counter(stand, "sent.launches") == 1

    run(work)
