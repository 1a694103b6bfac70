"""The end of a call crosses another event of its link, in an order that the test forces."""

import pytest
from play import Stand, run, until

from beechrock.core.requests import Answer, CallDone, Request
from beechrock.interface import Outcome
from beechrock.net.ledger import IDLE_S, LedgerLink

TRACE = "00000000000000aa"


def request(trace: str = TRACE) -> Request:
    def answer(said: Answer) -> None:
        raise AssertionError(said)

    return Request(trace=trace, klass=0, route="resolve", born=0.0, body=b"", answer=answer)


def drain_outcomes(stand: Stand) -> list[Outcome]:
    """Return the outcomes of ended calls, taken from the module's mailbox before the module reads them."""
    return [m.outcome for m in stand.program.module.mailbox.drain() if isinstance(m, CallDone)]


async def free_link(stand: Stand) -> LedgerLink:
    """Start a node whose ledger has one connection, on which one call has got its reply."""
    await stand.open()
    assert stand.program.ledger is not None
    stand.program.ledger.call(request(), b"x", 1.0)
    await stand.play(
        f'l = accept ledger\nl < "post {TRACE} 1000 1\\r\\nx\\r\\n"\nl > "{TRACE} posted 2\\r\\nok\\r\\n"\n'
    )
    [link] = stand.program.ledger.links
    while link.open:
        await stand.play("clock 0")
    return link


def test_a_call_that_times_out_while_its_link_connects_is_never_sent_and_never_ran() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        ledger, module = stand.program.ledger, stand.program.module
        assert ledger is not None
        ledger.call(request(), b"x", 0.2)  # no connection is made, as nothing is awaited until the call ends
        stand.now += 0.25
        module.timers.advance(stand.now)
        assert drain_outcomes(stand) == [Outcome.UNREACHABLE]
        await stand.play("l = accept ledger\nl closed\ncounter sent.abandons 0\n")

    run(work)


def test_a_call_abandoned_while_its_link_connects_leaves_the_link_to_other_calls() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        ledger = stand.program.ledger
        assert ledger is not None
        ledger.call(request(), b"x", 0.2)
        ledger.abandon(request())
        await stand.play("l = accept ledger\ncounter ledger.links 1\n")
        ledger.call(request("00000000000000bb"), b"y", 0.2)
        await stand.play('l < "post 00000000000000bb 200 1\\r\\ny\\r\\n"\ncounter sent.abandons 0\n')

    run(work)


def test_the_time_that_a_connect_took_is_subtracted_from_the_limit_sent_to_the_ledger() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        assert stand.program.ledger is not None
        stand.program.ledger.call(request(), b"x", 0.3)
        stand.now += 0.1
        await stand.play(f'l = accept ledger\nl < "post {TRACE} 200 1\\r\\nx\\r\\n"\n')

    run(work)


def test_a_link_with_an_unread_end_of_stream_gets_no_call() -> None:
    async def work(stand: Stand) -> None:
        link = await free_link(stand)
        assert link.accepts_call("another")
        assert link._reader is not None
        link._reader.feed_eof()
        assert not link.accepts_call("another")

    run(work)


def test_after_a_pause_beyond_the_ledgers_idle_limit_no_call_goes_out_on_the_old_link() -> None:
    async def work(stand: Stand) -> None:
        link = await free_link(stand)
        stand.now += IDLE_S + 4.0
        stand.program.module.timers.advance(stand.now)  # timers run first in a batch
        assert not link.accepts_call("another")

    run(work)


def test_after_a_pause_of_the_process_a_reply_that_arrived_counts_and_a_missing_one_times_out() -> None:
    async def work(stand: Stand) -> None:
        link = await free_link(stand)
        ledger, module = stand.program.ledger, stand.program.module
        assert ledger is not None
        for trace, seconds, reads in (("bb", 3.0, True), ("cc", 3.0, False)):
            ledger.call(request(trace), b"y", 1.0)
            stand.now += seconds
            module.timers.advance(stand.now)
            assert trace in link.open
            assert drain_outcomes(stand) == []
            if reads:
                link.receive_line([trace, "posted", "2"], b"ok")
                assert drain_outcomes(stand) == [Outcome.OK]
        stand.now += 0.03
        module.timers.advance(stand.now)
        assert drain_outcomes(stand) == [Outcome.TIMED_OUT]

    run(work)


def test_a_link_that_does_not_close_is_cut() -> None:
    async def work(stand: Stand) -> None:
        link = await free_link(stand)
        link.settled = lambda: False  # type: ignore[method-assign]   # it never counts as settled
        link.close_when_answered()
        await stand.play("clock 1.1\nclock 2.1\ncounter ledger.cut_not_closed 1\nl closed\n")
        assert stand.program.ledger is not None
        assert stand.program.ledger.links == []

    run(work)


@pytest.mark.parametrize(
    "noise",
    [
        "ID posted 3\r\nabcd\r\n",
        "ID posted 200001\r\n",
        "ID posted -1\r\n",
        "ID posted\r\n",
        "ID posted 1 1\r\nx\r\n",
        "ID queue_full now\r\n",
        "ID full\r\n",
        "ID\r\n",
        "\r\n",
        "\xff\x00\r\n",
        "n" * 5000,
    ],
)
def test_a_corrupt_reply_ends_its_connection_and_all_calls_on_it_once_and_no_other(noise: str) -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        ledger = stand.program.ledger
        assert ledger is not None
        ledger.max_links = 2
        for trace in (TRACE, "bb", "cc"):  # the third call has to share a connection
            ledger.call(request(trace), b"x", 1.0)
        [shared] = [k for k in ledger.links if len(k.open) == 2]
        await stand.play("l = accept ledger\nm = accept ledger\ncounter ledger.links 2\n")
        wires = [stand.wires[name] for name in "lm"]
        await until(lambda: sum(wire.got.count(b"post") for wire in wires) == 3, lambda: "not sent")
        [bad] = [wire for wire in wires if wire.got.count(b"post") == 2]
        bad.writer.write(noise.replace("ID", TRACE).encode("latin-1"))
        await until(lambda: shared not in ledger.links, lambda: f"still there: {noise[:40]!r}")
        assert [len(link.open) for link in ledger.links] == [1]
        assert stand.program.counters["intake.ledger_malformed"] == 1
        # The module may have read the outcomes already.
        assert drain_outcomes(stand) in ([], [Outcome.CONNECTION_LOST] * 2)
        await until(lambda: bad.ended, lambda: "not closed")

    run(work)


def test_a_call_beyond_the_connection_limit_is_rejected_unsent() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        assert stand.program.ledger is not None
        stand.program.ledger.max_links = 0
        stand.program.ledger.call(request(), b"x", 1.0)
        assert drain_outcomes(stand) == [Outcome.REJECTED]

    run(work)


def test_of_a_reply_and_an_abandonment_only_the_first_counts() -> None:
    async def work(stand: Stand) -> None:
        link = await free_link(stand)
        ledger = stand.program.ledger
        assert ledger is not None
        ledger.call(request("bb"), b"y", 1.0)
        link.receive_line(["bb", "posted", "2"], b"ok")
        ledger.abandon(request("bb"))
        assert drain_outcomes(stand) == [Outcome.OK]
        link.drop()
        await until(lambda: link not in ledger.links, lambda: "still there")
        assert drain_outcomes(stand) == []
        assert stand.program.counters["sent.abandons"] == 0

    run(work)
