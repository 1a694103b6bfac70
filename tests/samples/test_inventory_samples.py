"""A snapshot of the inventory with every key that an entry can have, as an earlier version wrote it."""

from pathlib import Path
from typing import Any

from play import inventory_of
from sample_files import DATA, files_of

from beechrock.inventory import snapshot
from beechrock.inventory.generation import Generation, content
from beechrock.inventory.schema import KEYS, NODE

SAMPLE = "inventory"
NUMBER = 7
NODE_VALUES = {
    "cores": 6,
    "memory_mb": 64,
    "fleet_size": 2,
    "over_share_worth": 0.5,
    "max_retry_after_ms": 30_000,
    "utc_offset_min": 60,
}
MACHINE = {
    "hall": "east",
    "cores": 4,
    "memory_mb": 32,
    "address": "10.0.0.1",
    "node": True,
    "hardware": "big",
}
DEPARTMENT = {"contact": "b@b", "rate": 200, "burst": 90, "most": 300, "at_once": 40, "borrows": True}
TEAM = {
    "contact": "p@b",
    "department": "build",
    "weight": 2,
    "rate": 100,
    "burst": 50,
    "most": 200,
    "at_once": 20,
    "connections": 30,
    "borrows": False,
}
CONTRACT = {
    "team": "packagers",
    "service": "resolve",
    "share": 0.1,
    "rate": 50,
    "aim_ms": 1000,
    "due_ms": 4000,
    "effect": "keyed",
    "window_ms": 9000,
    "worth": 2,
    "price": 3,
    "calls": True,
    "when_cut": "queue",
    "keep_s": 600,
    "when_gone": "skip",
    "copies": 2,
    "burst": 40,
    "most": 80,
    "at_once": 10,
    "hours": "mon-fri 08:00-18:00",
    "priority": 1,
    "outside": "refuse",
    "borrows": True,
    "bytes_per_s": 100_000,
}
BUDGET = {
    "team": "packagers",
    "amount": 1000,
    "period_s": 3600,
    "per_cost": 2,
    "carry": 0.5,
    "soft": 0.8,
    "hard": True,
    "warn": [0.5, 0.9],
}
HARDWARE = {
    "memory_kb": 4096,
    "entries": 1000,
    "kinds": "exact prefix set",
    "lengths": 4,
    "ends": True,
    "slots": 64,
    "tiers": 3,
    "affinity": "team subject",
    "timers": 8,
    "timer_ms": 5,
    "counters": 16,
    "levels": 4,
    "retries": 2,
    "mirrors": True,
    "match_us": 20,
    "rate": 5000,
}
POOL = {"hall": "east", "rate": 500, "upstreams": "127.0.0.1:9101", "team": "packagers", "fall_back": "far"}
RULE = {
    "team": "packagers",
    "service": "resolve",
    "subject": "one",
    "prefix": "img/",
    "subjects": "one two",
    "size_least": 1,
    "size_most": 1000,
    "attempt_least": 1,
    "attempt_most": 3,
    "order": 5,
    "pools": "near=3 far",
    "halls": "east west",
    "fall_backs": "far",
    "affinity": "subject",
    "rate": 40,
    "at_once": 8,
    "retries": 1,
    "hedge_ms": 50,
    "priority": 1,
    "mirrors": "far=10",
    "survive": 1,
    "expect": 30,
    "within": 0.2,
    "must": "rate",
    "should": "hedge_ms",
    "may": "mirrors",
}
GROUPS: dict[str, dict[str, Any]] = {
    "machines": {"machine-1": MACHINE, "machine-2": {}},
    "workers": {"machine-1": {}, "machine-2": {}},  # Not a kind, but a named group of machines
    "front_ends": {"f1": {"address": "10.0.1.1", "team": "packagers"}, "f2": {"network": "10.0.2.0/24"}},
    "teams": {"packagers": TEAM, "readers": {}},
    "departments": {"build": DEPARTMENT},
    "services": {"resolve": {"upstreams": "127.0.0.1:9101 workers:9102", "when_differing": "last"}},
    "contracts": {"packagers-resolve": CONTRACT},
    "budgets": {"packagers-hourly": BUDGET},
    "hardware": {"big": HARDWARE},
    "pools": {"near": POOL, "far": {"hall": "west", "upstreams": "127.0.0.1:9103"}},
    "rules": {"images": RULE},
}
DIGEST = "a82866d004f4e53da22371d0e23465d62a89ed8b5750b18610ccfad19cf1dcd7"


def generation() -> Generation:
    return inventory_of(NODE_VALUES, GROUPS, NUMBER)


def write(folder: Path) -> None:
    snapshot.save(folder, generation())


def test_the_same_inventory_has_the_same_bytes(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_the_snapshot_is_read() -> None:
    found, wanted = snapshot.load(DATA / SAMPLE), generation()
    assert (found.number, found.digest, wanted.digest) == (NUMBER, DIGEST, DIGEST)
    assert found.meaning == wanted.meaning
    assert content(found.entries()) == content(wanted.entries())
    kinds = found.entries().kinds
    assert kinds["services"]["resolve"].values["upstreams"] == (("127.0.0.1", 9101), ("workers", 9102))
    assert kinds["contracts"]["packagers-resolve"].values == CONTRACT
    assert kinds["budgets"]["packagers-hourly"].values == BUDGET
    assert kinds["rules"]["images"].values["pools"] == ["near=3", "far=1"]
    assert found.entries().groups["workers"] == ("machine-1", "machine-2")


def test_every_key_of_every_kind_is_in_the_sample() -> None:
    assert set(NODE_VALUES) == set(NODE)
    for kind, keys in KEYS.items():
        assert {key for entry in GROUPS[kind].values() for key in entry} == set(keys), kind
