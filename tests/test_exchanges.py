"""The network code against recorded byte exchanges."""

from pathlib import Path

import pytest
from play import Stand, play, run

from beechrock.inventory import build

FILES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", [p for p in FILES if not p.name.startswith("scgi")], ids=lambda p: p.stem)
def test_the_node_says_what_the_exchange_records(path: Path) -> None:
    play(path)


@pytest.mark.parametrize("path", [p for p in FILES if p.name.startswith("scgi")], ids=lambda p: p.stem)
def test_both_fronts_say_what_the_exchange_records(path: Path) -> None:
    contract = {"share": 0.3, "rate": 50, "aim_ms": 1800, "due_ms": 3600}
    keyed = {**contract, "effect": "keyed", "window_ms": 10_000}

    async def work(stand: Stand) -> None:
        host, port = await stand.listen("server")
        await stand.open(build({"cores": 2, "memory_mb": 60}, {
            "teams": {"releases": {}, "packagers": {}},
            "services": {"resolve": {}, "submit": {}, "pack": {"upstreams": [f"{host}:{port}"]}},
            "contracts": {
                "a": {**contract, "team": "releases", "service": "resolve", "effect": "safe", "calls": True},
                "b": {**keyed, "team": "releases", "service": "submit"},
                "c": {**keyed, "team": "releases", "service": "pack"},
            },
        }))
        await stand.play(path.read_text())

    run(work)


def test_a_thorough_check_that_is_not_stored_has_the_agent_work() -> None:
    ask = 'a > {04 0000000%d 01 08"thorough" 0001"1"}'
    thorough = 'a < {05 0000000%d %s 01 06"advice" 0006"0.0000"}'

    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play('g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5\\r\\n"\n'
                         "counter agent.links 1\na = connect frames\n"
                         + ask % 1 + "\n" + thorough % (1, "00"))
        agent = stand.program.agent
        assert agent is not None
        ends = [("PASS", "00"), ("FAIL", "01"), ("clock 3.1", "01"), ("g break", "01")]
        for stream, (end, code) in enumerate(ends, 2):
            stand.program.module.stored = False
            await stand.play(ask % stream + '\ng ... "\\r\\n"')
            [tag] = agent.exercises
            # Without a word from the agent, time ends the check, and so does a break of the link.
            word = f'g > "exercised {tag} {end}\\r\\n"' if end.isupper() else end
            await stand.play(word + "\n" + thorough % (stream, code))

    run(work)
