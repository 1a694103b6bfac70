"""Callers that disconnect, and requests beyond the limit of a connection, over loopback."""

from play import Stand, run, until

from beechrock.net.frame_connection import MAX_OPEN

UP = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5000\\r\\n"\nup agent\n'
ADVICE = '06"advice" 0006"0.0000"'


def ask(name: str, stream: int, trace: int, nonce: int) -> str:
    return (
        f'{name} > {{01 {stream:08x} 07 05"route" 0006"submit" 05"trace" 0010"{trace:016d}" '
        '04"born" 000d"1700000000000" 06"client" 0001"4" 04"size" 0004"24.5" 05"order" 0006"0.6250" '
        f'05"nonce" 0004"{nonce:04d}" "x"}}\n'
    )


def launched(trace: int) -> str:
    return f'g < "launch {trace:016d} submit 1\\r\\nx\\r\\n"\n'


def passed(notice: int, trace: int) -> str:
    return f'g > "outcome {notice} {trace:016d} PASS 5 2\\r\\nok\\r\\n"\n'


def answered(name: str, stream: int) -> str:
    return f'{name} < {{02 {stream:08x} 00 01 {ADVICE} "ok"}}\n'


def test_a_reset_connection_cancels_its_request_and_a_retry_of_that_runs() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play(UP + "a = connect frames\nb = connect frames\n")
        for n in (1, 2, 3):  # as many runs as the cores allow at once
            await stand.play(ask("b", n, n, n) + launched(n))
        await stand.play(ask("a", 1, 4, 4) + "counter intake.requests 4\na reset\ncounter intake.gone 1\n")
        assert stand.program.counters["sent.launches"] == 3
        await stand.play(
            ask("b", 4, 5, 4)
            + "counter intake.requests 5\n"
            + passed(1, 1)
            + answered("b", 1)
            + launched(5)
            + passed(2, 5)
            + answered("b", 4)
            + "counter sent.launches 4\n"
        )

    run(work)


def test_a_repeat_beyond_the_limit_of_open_requests_is_refused_and_its_key_stays_in_use() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play(UP + "a = connect frames\n" + ask("a", 1, 1, 1) + launched(1))
        for stream in range(2, MAX_OPEN + 1):  # repeats wait for the first request
            await stand.play(ask("a", stream, stream, 1))
        await until(lambda: len(stand.program.module.table.by_id) == MAX_OPEN, lambda: "not all were read")
        answers = "".join(answered("a", stream) for stream in range(1, MAX_OPEN + 1))
        refused = f"a < {{02 0000005a 08 01 {ADVICE}}}\n"
        await stand.play(ask("a", 90, 90, 1) + refused + passed(1, 1) + answers)
        await stand.play(ask("a", 91, 91, 1) + answered("a", 91) + "counter sent.launches 1\n")

    run(work)
