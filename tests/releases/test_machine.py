"""The state machine of releases: its commands and its snapshot, and the checks of its settings."""

from pathlib import Path
from typing import Any

import msgpack
import pytest

from beechrock.config.errors import ConfigError
from beechrock.releases.errors import BrokenInvariantError
from beechrock.releases.machine import Machine
from beechrock.releases.permits import Budget, Kind
from beechrock.releases.release import Stage, Step
from beechrock.releases.rows import budget_rows, command
from beechrock.releases.told import read

NAMES = ["a", "b", "c", "d"]


class Log:
    """A log that applies one command after another; it starts with a described fleet of proved nodes."""

    def __init__(self, most: int = 1) -> None:
        self.machine, self.index = Machine(), 0
        self(
            "describe",
            1,
            NAMES,
            [],
            [["1.2.3.4:5", ["s"]], ["1.2.3.4:6", ["s"]]],
            budget_rows([Budget("fleet", most=most)]),
        )
        for name in NAMES:
            self("here", name, 1, "east" if name < "c" else "west", "big", "1")
            self("proved", name, 1)

    def __call__(self, verb: str, *rest: Any) -> tuple[bool, Any]:
        self.index += 1
        done = self.machine.apply(self.index, command(verb, *rest))
        assert not self.machine.broken
        return done

    def ask(self, target: str, who: str = "op", claim: bool = False, down: tuple[str, ...] = ()) -> Any:
        return self("ask", target, who, "why", 9.0, list(down), claim)

    def release(self) -> None:
        self("plan", "r", "2", "1", [["a"], ["b"], ["c", "d"]], 9.0, "op")
        assert self("word", "r", "start", "op", "")[0]


def test_a_permit_ends_only_under_its_fence_and_life_and_its_right_to_go_by_expire() -> None:
    log = Log()
    _, fence = log.ask("a")
    assert not log.ask("b")[0] and log.ask("a") == (True, fence)
    assert not log("go", "a", fence - 1)[0] and not log("back", "a", fence, 1)[0]
    assert log("expire", 1, "a", fence)[0] and not log("go", "a", fence)[0]
    assert not log.ask("b")[0]  # an expired permit still counts as out
    assert not log("back", "a", fence, 2)[0] and log("back", "a", fence, 1)[0]
    _, newer = log.ask("a")
    assert not log("go", "a", fence)[0] and log("go", "a", newer)[0]
    assert not log("expire", 1, "a", newer)[0]  # a target that went out in time doesn't expire
    assert not log("back", "a", fence, 1, True)[0]  # a late command with an old fence
    assert not log("back", "a", newer, 1)[0]  # no operator has asked it to return
    log("here", "a", 2, "east", "big", "1")
    assert not log("proved", "a", 2)[0] and not log("back", "a", newer, 1)[0]
    assert log("return", "a", "op")[0] and log("back", "a", newer, 2)[0]
    assert [row[1] for row in log.machine.permits.audit][-2:] == ["told to return", "back"]


def test_cold_and_down_nodes_count_as_out_and_a_server_is_out_from_its_grant() -> None:
    log = Log(most=2)
    log("here", "b", 2, "east", "big", "1")  # b restarted, and is cold until it proves that it serves
    assert not log.ask("a")[0]  # the last of its hall, as b is cold
    assert log.ask("c")[0] and log.ask("d", claim=True)[0]
    assert not log.ask("a", claim=False)[0]
    log("proved", "b", 2)
    assert not log.ask("a")[0]  # two are out
    _, fence = log.ask("1.2.3.4:5")
    assert log.machine.gone["1.2.3.4:5"] == fence and not log.ask("1.2.3.4:6")[0]
    assert log("return", "1.2.3.4:5", "op")[0] and log("back", "1.2.3.4:5", fence, 0)[0]


def test_a_server_counts_as_out_until_its_proof_and_the_last_of_a_service_stays_in() -> None:
    log, (first, second, third, alone) = Log(), (f"1.2.3.4:{port}" for port in (1, 2, 3, 4))
    servers = [[first, ["s"]], [second, ["s", "t"]], [third, ["s", "t"]], [alone, ["u"]]]
    budgets = budget_rows([Budget("db", most=1, kind=Kind.SERVER, service="s")])
    assert log("describe", 2, NAMES, [], servers, budgets)[0]
    _, fence = log.ask(first)
    assert log.ask(second) == (False, f"over a budget: db, 1 allowed; out: {first}")
    # A server is out from its grant, so its right to go never expires; without a proof it is not back.
    assert not log("expire", 2, first, fence)[0] and not log("back", first, fence, 0)[0]
    assert log("return", first, "op")[0] and not log.ask(second)[0]
    assert not log("back", first, fence - 1, 0)[0] and log("back", first, fence, 0)[0]
    # A server that the requester can't reach counts as out, in the budget and for the last of its service.
    assert log.ask(second, down=(first,)) == (False, f"over a budget: db, 1 allowed; out: {first}")
    assert log("describe", 2, NAMES, [], servers, [])[0]  # the last one stays in even without a budget
    assert log.ask(second, down=(third,)) == (
        False,
        f"the last of its hall or service: service t, 0 allowed; out: {third}",
    )
    assert not log.ask(alone)[0] and log.ask(first)[0] and log.ask(second)[0] and not log.ask(third)[0]
    assert log.ask(third, claim=True)[0] and log.machine.permits.held[third].claimed
    # A server that never returns is out until an operator forces its permit to end, or it is not listed.
    assert log("force", first, "op", "it serves")[0] and first not in log.machine.gone
    assert log("describe", 2, NAMES, [], servers[:1] + servers[2:], [])[0]
    assert set(log.machine.permits.held) == {third} == set(log.machine.gone)
    other = Machine()
    other.restore(log.machine.snapshot())
    assert other.snapshot() == log.machine.snapshot() and other.gone == log.machine.gone


def test_a_node_returns_with_the_wanted_version_and_its_rollback_needs_no_second_budget() -> None:
    log = Log()
    log.release()
    _, fence = log("take", 5, "r", "a", False, [], [9, 9, 0, 0, 0])
    assert not log("take", 4, "r", "a", False, [], [])[0]  # an older driver
    assert not log("take", 5, "r", "b", False, [], [])[0]  # the canary has not been judged
    assert log("go", "a", fence)[0] and log("step", 5, "r", "a", "permitted", False)[0]
    assert not log("step", 5, "r", "a", "permitted", False)[0]
    log("here", "a", 2, "east", "big", "1.5")
    assert not log("back", "a", fence, 2)[0]  # not the wanted version
    log("here", "a", 3, "east", "big", "2")
    assert log.machine.starts == {"a": 1}
    assert log("back", "a", fence, 3)[0] and log("step", 5, "r", "a", "sent", False)[0]
    assert log("judged", 5, "r", 0, "good", "")[0]
    _, fence = log("take", 6, "r", "b", False, [], [])
    assert log("go", "b", fence)[0] and log("step", 6, "r", "b", "permitted", False)[0]
    assert log("stop", 6, "r", "bad")[0] and log("word", "r", "back", "op", "")[0]
    log("here", "a", 4, "east", "big", "2")  # the broken version starts: a is cold, b is out
    # Two are out under a budget of one: a rollback of nodes that are out already needs no budget.
    assert log("take", 6, "r", "b", True, [], []) == (True, fence)
    assert log("take", 6, "r", "a", True, [], [])[0] and not log.ask("c")[0]
    for name, life in (("a", 5), ("b", 2)):
        assert log("step", 6, "r", name, "permitted", True)[0]
        log("here", name, life, "east", "big", "1")
        assert log("back", name, log.machine.permits.held[name].fence, life)[0]
        assert log("step", 6, "r", name, "sent", True)[0]
    assert log.machine.releases["r"].stage is Stage.UNDONE and not log.machine.permits.held


def test_the_rollback_of_a_serving_node_waits_for_the_budget_and_older_drivers_are_refused() -> None:
    log = Log()
    log.release()
    _, fence = log("take", 5, "r", "a", False, [], [])
    log("go", "a", fence)
    log("step", 5, "r", "a", "permitted", False)
    log("here", "a", 2, "east", "big", "2")
    log("back", "a", fence, 2)
    log("step", 5, "r", "a", "sent", False)
    log.ask("c")
    assert log("word", "r", "back", "op", "")[0] and not log("take", 5, "r", "a", True, [], [])[0]
    assert not log("describe", 4, [], [], [], [])[0] and log.machine.names == NAMES
    assert log("describe", 5, [*NAMES, "e"], [], [], budget_rows([Budget("fleet", most=4)]))[0]
    assert log.ask("e") == (False, "e has never registered")


def test_a_target_that_returns_unchanged_is_asked_for_again() -> None:
    log = Log()
    log.release()
    _, fence = log("take", 5, "r", "a", False, [], [])
    log("go", "a", fence)
    assert log("word", "r", "pause", "op", "")[0] and log("back", "a", fence, 1)[0]
    assert log.machine.releases["r"].steps["a"] is Step.TODO
    assert log("word", "r", "resume", "op", "")[0]
    _, fence = log("take", 6, "r", "a", False, [], [])
    # The node is SENT, then paused past its permit's end, and still serves with its old version.
    assert log("go", "a", fence)[0] and log("step", 6, "r", "a", "permitted", False)[0]
    assert log("back", "a", fence, 1, True)[0] and log.machine.releases["r"].steps["a"] is Step.TODO
    assert log("take", 6, "r", "a", False, [], [])[0]


@pytest.mark.parametrize(
    ("table", "where"),
    [
        ({"for_s": 0}, "for_s"),
        ({"version": ""}, "version"),
        ({"on_change": "fork"}, "on_change"),
        ({"restarts": -1}, "restarts"),
        ({"budgets_version": -1}, "budgets_version"),
        ({"budgets": {}}, "budgets"),
        ({"budgets": [{"name": "x"}]}, "most"),
        ({"budgets": [{"name": "x", "most": 1, "part": 0.1}]}, "budgets: 1: most, part"),
        ({"budgets": [{"name": "x", "most": -1}]}, "budgets: 1: most"),
        ({"budgets": [{"name": "x", "part": 1}]}, "budgets: 1: part"),
        ({"budgets": [{"most": 1}]}, "1: name"),
        ({"budgets": [{"name": "x", "most": 1, "size": 2}]}, "1: size"),
        ({"budgets": [{"name": "x", "most": 1, "kind": "hall"}]}, "1: kind"),
        ({"budgets": [{"name": "x", "most": 1}, {"name": "x", "most": 2}]}, "budgets"),
    ],
)
def test_an_invalid_table_is_refused_with_the_name_of_its_key(table: dict[str, Any], where: str) -> None:
    with pytest.raises(ConfigError) as found:
        read(table, "file: releases", Path())
    assert where in found.value.where
    assert read({"budgets": [{"name": "x", "most": 0}]}, "file", Path()).budgets == (Budget("x", most=0),)


def test_a_snapshot_restores_the_same_state_and_other_formats_are_refused() -> None:
    log = Log(most=2)
    log.release()
    log("take", 5, "r", "a", False, [], [1])
    log.ask("c")
    other = Machine()
    other.restore(log.machine.snapshot())
    assert other.snapshot() == log.machine.snapshot() and other.cold() == log.machine.cold()
    bad = (
        b"",
        b"x",
        command("no"),
        command("ask", 1),
        command("here", [], {}, 1, 2, 3),
        msgpack.packb([2, "return", "c", "op"]),
        command("take", "x", 1, 2, 3, 4, 5),
    )
    for index, data in enumerate(bad, log.index + 1):
        found = other.apply(index, data)
        assert not found[0] and not other.broken, found
    with pytest.raises(BrokenInvariantError):
        Machine().restore(b"\x92\x09\xc0")
    other.gone["d"] = 7
    assert not other.apply(99, command("go", "d", 7))[0] and "not held" in other.broken
