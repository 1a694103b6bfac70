"""The driver: when it halts, and what it calls late, expired, or an outage."""

from beechrock.lab.releases_sim import GONE_S, QUORUM_S, RULES
from beechrock.releases.agreed import VOTERS, configured_budgets
from beechrock.releases.driver import Driver, Seen, Status, Watch
from beechrock.releases.judge import Figures
from beechrock.releases.machine import Machine
from beechrock.releases.permits import Budget
from beechrock.releases.release import Stage
from beechrock.releases.rows import budget_rows, command


class Release:
    """A machine with a release whose first node has its new version."""

    def __init__(self) -> None:
        self.machine, self.index = Machine(), 0
        self.names, self.budgets = ["a", "b", "c", "d"], (Budget("fleet", most=1),)
        self("describe", 1, self.names, [], [], budget_rows(self.budgets))
        for name in self.names:
            self("here", name, 1, "hall", "x", "1")
            self("proved", name, 1)
        self("plan", "r", "2", "1", [["a"], ["b", "c", "d"]], 9.0, "op")
        self("word", "r", "start", "op", "")

    def __call__(self, verb: str, *rest: object) -> None:
        self.index += 1
        assert self.machine.apply(self.index, command(verb, *rest))[0], verb

    def changed(self) -> None:
        self("take", 1, "r", "a", False, [], [1000, 990, 0, 10, 0])
        fence = self.machine.permits.held["a"].fence
        self("go", "a", fence)
        self("step", 1, "r", "a", "permitted", False)
        self("here", "a", 2, "hall", "x", "2")
        self("back", "a", fence, 2)
        self("step", 1, "r", "a", "sent", False)

    def seen(self, down: tuple[str, ...] = (), outage: str = "", failed: int = 0, more: int = 0) -> Seen:
        heard = {name: Status(1, Figures(1000 + more, 990 + more)) for name in self.names}
        heard["a"] = Status(self.machine.nodes["a"].life, Figures(500, 500 - failed, failed=failed))
        return Seen(self.machine, heard, frozenset(down), self.names, [], [], self.budgets, outage)

    def word(self, driver: Driver, now: float, seen: Seen) -> list[str]:
        return [f"{one.verb} {one.rest[-1]}" for one in driver.step(now, seen)]


def driver() -> Driver:
    return Driver(RULES, 20.0, GONE_S)


def test_a_driver_halts_on_a_breach_on_too_many_down_on_one_that_is_late_and_on_an_outage() -> None:
    told = Release()
    one = driver()
    assert [c.verb for c in one.step(0.0, told.seen())] == ["take"]
    one.refused(0.0, "a", "over a budget: fleet, 1 allowed; out: d")
    assert not one.step(0.5, told.seen()) and "out: d" in one.waits[0]  # says why it waits, and for whom
    assert told.word(driver(), 0.0, told.seen(outage="no quorum for 9 s")) == ["stop no quorum for 9 s"]
    down = told.seen(down=("c", "d"))
    one = driver()
    assert [c.verb for c in one.step(0.0, down)] == ["take"]  # not at the first look
    assert told.word(one, GONE_S, down) == ["stop 2 down, budget fleet allows 1: c, d"]
    told.changed()
    one = driver()
    assert told.word(one, 0.0, told.seen()) == ["judged "]
    assert told.word(one, 1.0, told.seen(failed=60, more=500)) == ["stop failed 12.0%, 0.0% of the rest"]
    assert told.word(driver(), 1.0, told.seen(failed=60)) == ["stop failed 12.0%, 1.0% of before"]
    told("here", "a", 3, "hall", "x", "2")
    assert told.word(driver(), 1.0, told.seen()) == ["stop 1 restarts, 0 allowed"]


def test_a_driver_calls_a_node_late_and_a_permit_that_nobody_used_expired() -> None:
    told, one = Release(), driver()
    told("take", 1, "r", "a", False, [], [])
    assert not one.step(0.0, told.seen())
    assert [c.verb for c in one.step(10.0, told.seen())] == ["expire"]
    told("go", "a", told.machine.permits.held["a"].fence)
    assert [c.verb for c in one.step(11.0, told.seen())] == ["step"]
    told("step", 1, "r", "a", "permitted", False)
    assert not one.step(12.0, told.seen()) and "come back with 2" in one.waits[0]
    assert told.word(one, 33.0, told.seen()) == ["stop a did not return in 20 s"]


def test_a_server_s_permit_has_no_end_but_its_return() -> None:
    told, one = Release(), driver()
    servers = [["h:1", ["s"]], ["h:2", ["s"]]]
    told("describe", 1, told.names, [], servers, budget_rows(told.budgets))
    told("ask", "h:1", "op", "why", 9.0, [], False)
    seen = Seen(told.machine, {}, frozenset(), told.names, [], servers, told.budgets)
    for now in (0.0, 10.0, 1000.0):
        assert not [c for c in one.step(now, seen) if c.verb in ("expire", "back")]
    assert "h:1" in told.machine.permits.held


def test_budgets_of_a_version_stay_whoever_drives_until_a_higher_one_is_told() -> None:
    told, tight, loose = Release(), (Budget("fleet", most=1),), (Budget("fleet", most=3),)
    machine = told.machine

    def drives(names: list[str], budgets: tuple[Budget, ...], version: int, voters: int = 1) -> Driver:
        """Whoever does, until it has nothing more to describe; with the budget of the log's voters."""
        one, log = driver(), Budget(VOTERS, most=voters, service=VOTERS)
        for _ in range(2):
            seen = Seen(machine, {}, frozenset(), names, [], [], (*budgets, log), budgets_version=version)
            for act in one.step(0.0, seen):
                if act.verb == "describe":
                    told("describe", 1, *act.rest)
        assert not [act for act in one.step(0.0, seen) if act.verb == "describe"]
        return one

    drives(told.names, loose, 0)
    assert configured_budgets(machine.permits.budgets) == loose  # of no version: as whoever drives has it
    drives(told.names, tight, 2)
    assert (configured_budgets(machine.permits.budgets), machine.budgets_version) == (tight, 2)
    for version in (0, 1, 2):  # an older file, or another one of that version, drives
        late = drives([*told.names, f"e{version}"], loose, version, voters=2 + version)
        assert configured_budgets(machine.permits.budgets) == tight and f"e{version}" in machine.names
        assert machine.permits.budgets[-1].most == 2 + version  # the log's voters go with the log
        assert bool([line for line in late.waits if "raise budgets_version" in line]) is (version == 2)
        told.index += 1
        refused = command("describe", 1, [], [], [], budget_rows(loose), version)
        assert not machine.apply(told.index, refused)[0] and machine.names
    other = Machine()
    other.restore(machine.snapshot())
    assert other.budgets_version == 2 and other.snapshot() == machine.snapshot()
    drives(told.names, loose, 3)
    assert (configured_budgets(machine.permits.budgets), machine.budgets_version) == (loose, 3)


def test_an_outage_is_one_only_if_nobody_moved_the_release_meanwhile() -> None:
    told, watch = Release(), Watch(QUORUM_S)
    assert watch.look(0.0, True, told.machine) == 0.0
    watch.look(1.0, False, told.machine)
    assert watch.look(2.0, True, told.machine) == 0.0  # short
    watch.look(3.0, False, told.machine)
    assert watch.look(12.0, True, told.machine) == 9.0
    told("take", 1, "r", "a", False, [], [])
    assert watch.look(12.5, True, told.machine) == 0.0
    assert told.machine.releases["r"].stage is Stage.RUNNING
