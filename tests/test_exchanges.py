"""Network code compared with recorded byte exchanges."""

import gc
import weakref
from pathlib import Path

import pytest
from play import Stand, inventory_of, play, run, until

from beechrock.connections.table import UNREAD_SWEEPS
from beechrock.net.frame_codec import CHECKED, Reply
from beechrock.net.frame_connection import FrameConnection

FILES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", [p for p in FILES if not p.name.startswith("scgi")], ids=lambda p: p.stem)
def test_the_node_sends_what_the_exchange_records(path: Path) -> None:
    play(path)


async def open_both(stand: Stand, **terms: int) -> None:
    """Start a node with both servers, and a stand-in SCGI server; ``terms`` are those of all contracts."""
    contract = {"share": 0.3, "rate": 50, "aim_ms": 1800, "due_ms": 3600, **terms}
    keyed = {**contract, "effect": "keyed", "window_ms": 10_000}
    host, port = await stand.listen("server")
    await stand.open(
        inventory_of(
            {"cores": 2, "memory_mb": 60},
            {
                "teams": {"releases": {}, "packagers": {}},
                "services": {"resolve": {}, "submit": {}, "pack": {"upstreams": [f"{host}:{port}"]}},
                "contracts": {
                    "a": {
                        **contract,
                        "team": "releases",
                        "service": "resolve",
                        "effect": "safe",
                        "calls": True,
                    },
                    "b": {**keyed, "team": "releases", "service": "submit"},
                    "c": {**keyed, "team": "releases", "service": "pack"},
                },
            },
        )
    )


@pytest.mark.parametrize("path", [p for p in FILES if p.name.startswith("scgi")], ids=lambda p: p.stem)
def test_both_servers_send_what_the_exchange_records(path: Path) -> None:
    async def work(stand: Stand) -> None:
        await open_both(stand)
        await stand.play(path.read_text())

    run(work)


def test_a_full_scgi_table_evicts_a_silent_connection_and_rejects_if_all_wait_for_an_answer() -> None:
    async def work(stand: Stand) -> None:
        await open_both(stand)
        assert stand.program.scgi is not None
        stand.program.scgi.max_connections = 1
        await stand.play(
            UP + "a = connect scgi\ncounter intake.scgi_connections 1\nb = connect scgi\n"
            r'a ... "this connection ends; nothing ran\n"'
            "\na closed\n"
            r'b > "66:CONTENT_LENGTH\x001\x00SCGI\x001\x00HTTP_X_ROUTE\x00resolve\x00HTTP_X_TEAM\x00'
            r'releases\x00,x"'
            "\ncounter sent.launches 1\nc = connect scgi\n"
            r'c ... "too many connections\n"'
            "\nc closed\n"
            r'g ... "\r\nx\r\n"'
        )

    run(work)


def test_a_thorough_check_without_a_stored_result_runs_on_the_agent() -> None:
    ask = 'a > {04 0000000%d 01 08"thorough" 0001"1"}'
    thorough = 'a < {05 0000000%d %s 01 06"advice" 0006"0.0000"}'

    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play(
            'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5\\r\\n"\n'
            "counter agent.links 1\nbeat BEAT n1 ready\na = connect frames\n"
            + ask % 1
            + "\n"
            + thorough % (1, "00")
        )
        agent = stand.program.agent
        assert agent is not None
        ends = [("PASS", "00"), ("FAIL", "01"), ("clock 3.1", "01"), ("g break", "01")]
        for stream, (end, code) in enumerate(ends, 2):
            stand.program.module.status.cached = False
            await stand.play(ask % stream + '\ng ... "\\r\\n"')
            [tag] = agent.checks.reports
            # Without a result from the agent, a time limit ends the check, and so does a break of the link.
            word = f'g > "exercised {tag} {end}\\r\\n"' if end.isupper() else end
            await stand.play(word + "\n" + thorough % (stream, code))

    run(work)


UP = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5\\r\\n"\ncounter agent.links 1\n'
ASK = (
    '%s > {01 00000001 07 05"route" 0006"submit" 05"trace" 0010"%016d" 04"born" 000d"1700000000000" '
    '06"client" 0001"4" 04"size" 0004"24.5" 05"order" 0006"0.6250" 05"nonce" 0004"%04d" "x"}\n'
    'g < "launch %016d submit 1\\r\\nx\\r\\n"\n'
)


def test_a_broken_connection_is_freed_despite_its_stored_request_and_its_error() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play(
            UP
            + "a = connect frames\n"
            + ASK % ("a", 1, 1, 1)
            + 'g > "outcome 1 0000000000000001 PASS 5 2\\r\\nok\\r\\n"\n'
            + 'a < {02 00000001 00 01 06"advice" 0006"0.0000" "ok"}\n'
        )
        assert stand.program.frames is not None
        [peer] = stand.program.frames.peers
        ref = weakref.ref(peer)
        del peer
        gc.disable()
        try:
            await stand.play("a reset\ncounter intake.frames_resets 1")
            await until(lambda: ref() is None, lambda: f"held by {gc.get_referrers(ref())}")
        finally:
            gc.enable()
        assert len(stand.program.module.idempotency) == 1

    run(work)


def test_a_full_table_ends_silent_connections_and_then_idle_ones_but_none_with_an_open_request() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        assert stand.program.frames is not None
        stand.program.frames.max_connections = 3
        await stand.play(
            UP
            + "a = connect frames\n"
            + ASK % ("a", 1, 1, 1)
            + "b = connect frames\nb > {04 00000001 00}\n"
            + 'b < {05 00000001 00 01 06"advice" 0006"0.0000"}\nc = connect frames\n'
            + "counter intake.frames_connections 3\nclock 0.06\n"
            + "d = connect frames\nc closed\n"
            + ASK % ("d", 2, 2, 2)
            + "e = connect frames\nb closed\n"
            + ASK % ("e", 3, 3, 3)
            + "f = connect frames\n"
            + ASK.partition("\n")[0] % ("f", 4, 4)
            + "\n"
            + 'f < {02 00000000 08 00 "too many connections"}\nf < {06 00000000}\n'
            + 'f < {02 00000001 08 01 06"advice" 0006"0.0000"}\n'
            + "clock 0.5\nclock 0.5\nclock 0.5\nf closed\n"
        )

    run(work)


def test_a_peer_that_never_reads_its_answers_is_dropped() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        frames = stand.program.frames
        assert frames is not None
        slow, stuck = (FrameConnection(frames) for _ in range(2))
        for peer in (slow, stuck):
            peer.messages_received = 1
            peer.post(Reply(CHECKED))
            frames.peers.add(peer)
        for _ in range(UNREAD_SWEEPS + 2):
            slow.written += 1
            frames._sweep()
        assert (slow.broken, stuck.broken) == (False, True)

    run(work)
