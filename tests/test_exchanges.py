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
