"""Reads of one subject share a result in the first tier, which clients call, and in no lower tier."""

from typing import Any

import pytest
from play import SETTINGS, Stand, run

from beechrock.settings import settings_from

UP = (
    'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 60000\\r\\n"\nup agent\n'
    "a = connect frames\n"
)
TIERS = [({}, True), ({"tier": 0}, True), ({"tier": None}, True), ({"tier": 1}, False), ({"tier": 2}, False)]


def ask(number: int) -> str:
    return (
        f'a > {{01 0000000{number} 07 05"route" 0007"resolve" 05"trace" 0010"000000000000000{number}" '
        '04"born" 000d"1700000000000" 06"client" 0001"4" 04"size" 0004"24.5" 05"order" 0006"0.6250" '
        '06"entity" 0010"7f3a9c21e0b4d655" "ask"}\n'
    )


def launched(number: int) -> str:
    return f'g < "launch 000000000000000{number} resolve 3\\r\\nask\\r\\n"\n'


@pytest.mark.parametrize(("tier", "shared"), TIERS)
def test_a_second_read_of_a_subject_runs_by_itself_below_the_first_tier(
    tier: dict[str, Any],
    shared: bool,
) -> None:
    settings = {**SETTINGS, **tier, "extra": {**SETTINGS["extra"], "freshS": 0.4, "say": "none"}}
    first = 'g > "outcome 1 0000000000000001 PASS 5 3\\r\\none\\r\\n"\na < {02 00000001 00 00 "one"}\n'
    second = 'g > "outcome 2 0000000000000002 PASS 5 3\\r\\ntwo\\r\\n"\na < {02 00000002 00 00 "two"}\n'

    async def work(stand: Stand) -> None:
        await stand.open(settings=settings)
        await stand.play(
            UP
            + ask(1)
            + launched(1)
            + ask(2)
            + ("" if shared else launched(2))
            + "counter intake.requests 2\n"
            + first
            + ('a < {02 00000002 00 00 "one"}\n' if shared else second)
        )

    run(work)


@pytest.mark.parametrize(("tier", "shared"), TIERS)
def test_the_shared_read_ttl_applies_only_in_the_first_tier(tier: dict[str, Any], shared: bool) -> None:
    settings = {**SETTINGS, **tier, "extra": {**SETTINGS["extra"], "freshS": 0.4}}
    assert settings_from(settings)[0].shared_read_ttl_s == (0.4 if shared else None)
