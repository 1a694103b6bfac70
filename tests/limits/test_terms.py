"""Terms of contracts and budgets in the inventory, and errors that name line and key."""

from pathlib import Path

import pytest
import ujson

from beechrock.inventory import generation, model
from beechrock.inventory.errors import InventoryError
from beechrock.inventory.problems import Problems
from beechrock.inventory.terms import MILLION, packed, unpacked

TEXT = """\
all:
  vars: {cores: 4, memory_mb: 64, fleet_size: 2, utc_offset_min: 60}
  children:
    departments:
      hosts:
        build: {rate: 100}
    teams:
      hosts:
        packagers: {department: build, weight: 3, at_once: 9, connections: 13}
        releases: {}
    services:
      hosts:
        resolve: {}
    contracts:
      vars: {aim_ms: 1800, due_ms: 7100, effect: safe, service: resolve}
      hosts:
        p: {team: packagers, share: 0.4, rate: 60, burst: 30, hours: "mon-fri 08:00-18:00", outside: refuse}
        r: {team: releases, share: 0.2, rate: 20, priority: 1, most: 50, bytes_per_s: 1000, price: 5}
    budgets:
      hosts:
        b: {team: releases, amount: 100, period_s: 60, carry: 0.5, soft: 0.8, warn: [0.5, 0.9], per_cost: 2}
"""


def test_terms_are_the_nodes_share_and_survive_encoding(tmp_path: Path) -> None:
    (tmp_path / "i.yaml").write_text(TEXT)
    problems = Problems()
    read = model.read(tmp_path / "i.yaml", problems)
    assert read is not None, problems.lines()
    terms = read[1].terms
    assert terms is not None
    packagers, releases = terms.services["packagers", "resolve"], terms.services["releases", "resolve"]
    assert (packagers.rate, packagers.burst, packagers.outside, packagers.hours.offset_s) == (
        30,
        15,
        False,
        3600,
    )
    assert (
        releases.rate,
        releases.burst,
        releases.most,
        releases.priority,
        releases.bytes_per_s,
        releases.price,
    ) == (10, 10, 25, 1, 500, 5 * MILLION)
    assert terms.departments["build"].rate == 50 and terms.root.rate == 60
    team = terms.teams["packagers"]
    assert (team.weight, team.at_once, team.connections) == (3, 5, 7)
    plan = terms.teams["releases"].budget
    assert plan is not None and plan.amount == 50 * MILLION and plan.warn == (0.5, 0.9)
    decoded = generation.from_content(1, generation.content(read[0])).meaning
    assert decoded.terms == terms == unpacked(ujson.loads(ujson.dumps(packed(terms))))


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "message"),
    [
        ("08:00-18:00", "08:00-25:00", 17, "hours", "has no time of a day"),
        ("rate: 100", "rate: 59", 6, "rate", "below what is promised to those in it, 60"),
        ("at_once: 9", "rate: 50", 9, "rate", "below what is promised to those in it, 60"),
        ("department: build", "department: bulid", 9, "department", "not in the inventory"),
        ("weight: 3", "weight: 1001", 9, "weight", "1001"),
        ("connections: 13", "connections: 8", 9, "connections", "below its at_once of 9"),
        ("connections: 13", "connections: 9.5", 9, "connections", "no whole number"),
        ("priority: 1", "priority: 4", 18, "priority", "none of 0 to 3"),
        ("most: 50", "most: 5", 18, "most", "below its rate"),
        ("[0.5, 0.9]", "[0.9, 0.5]", 21, "warn", "are no parts"),
        ("most: 50", "outside: borrow", 18, "outside", "needs hours"),
    ],
)
def test_each_inventory_error_names_its_line_and_key(
    tmp_path: Path, old: str, new: str, line: int, key: str, message: str
) -> None:
    (tmp_path / "i.yaml").write_text(TEXT.replace(old, new, 1))
    with pytest.raises(InventoryError) as caught:
        model.load(tmp_path / "i.yaml")
    problems = [text for text in caught.value.problems.lines() if f"i.yaml:{line}:" in text]
    assert any(f"{key}:" in text and message in text for text in problems), caught.value.problems.lines()
