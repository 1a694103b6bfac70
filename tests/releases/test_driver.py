"""The driver: when it halts a release, and when it finds a late node, an unused permit or an outage."""

from beechrock.lab.releases_sim import GONE_S, QUORUM_S, RULES
from beechrock.releases.agreed import VOTERS, configured_budgets
from beechrock.releases.driver import Driver, Seen, Status, Watch
from beechrock.releases.judge import Figures
from beechrock.releases.machine import Machine
from beechrock.releases.permits import Budget
from beechrock.releases.release import Stage
from beechrock.releases.rows import budget_rows, command


class ReleaseLog:
    """A log whose state machine has four nodes and a started release."""

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

    def change_first_node(self) -> None:
        """Take the first node through its steps to the new version."""
        self("take", 1, "r", "a", False, [], [1000, 990, 0, 10, 0])
        fence = self.machine.permits.held["a"].fence
        self("go", "a", fence)
        self("step", 1, "r", "a", "permitted", False)
        self("here", "a", 2, "hall", "x", "2")
        self("back", "a", fence, 2)
        self("step", 1, "r", "a", "sent", False)

    def seen(self, down: tuple[str, ...] = (), outage: str = "", failed: int = 0, more: int = 0) -> Seen:
        statuses = {name: Status(1, Figures(1000 + more, 990 + more)) for name in self.names}
        statuses["a"] = Status(self.machine.nodes["a"].life, Figures(500, 500 - failed, failed=failed))
        return Seen(self.machine, statuses, frozenset(down), self.names, [], [], self.budgets, outage)

    def proposals(self, driver: Driver, now: float, seen: Seen) -> list[str]:
        """Return the verb and last argument of each command that the driver proposes."""
        return [f"{proposal.verb} {proposal.rest[-1]}" for proposal in driver.step(now, seen)]


def new_driver() -> Driver:
    return Driver(RULES, 20.0, GONE_S)


def test_a_driver_halts_on_an_outage_on_too_many_down_on_a_breach_and_on_restarts() -> None:
    log = ReleaseLog()
    driver = new_driver()
    assert [proposal.verb for proposal in driver.step(0.0, log.seen())] == ["take"]
    driver.refused(0.0, "a", "over a budget: fleet, 1 allowed; out: d")
    assert not driver.step(0.5, log.seen()) and "out: d" in driver.waits[0]  # names the reason and the target
    assert log.proposals(new_driver(), 0.0, log.seen(outage="no quorum for 9 s")) == [
        "stop no quorum for 9 s"
    ]
    down = log.seen(down=("c", "d"))
    driver = new_driver()
    assert [proposal.verb for proposal in driver.step(0.0, down)] == [
        "take"
    ]  # too many down halts only after gone_s
    assert log.proposals(driver, GONE_S, down) == ["stop 2 down, budget fleet allows 1: c, d"]
    log.change_first_node()
    driver = new_driver()
    assert log.proposals(driver, 0.0, log.seen()) == ["judged "]
    assert log.proposals(driver, 1.0, log.seen(failed=60, more=500)) == [
        "stop failed 12.0%, 0.0% of the rest"
    ]
    assert log.proposals(new_driver(), 1.0, log.seen(failed=60)) == ["stop failed 12.0%, 1.0% of before"]
    log("here", "a", 3, "hall", "x", "2")
    assert log.proposals(new_driver(), 1.0, log.seen()) == ["stop 1 restarts, 0 allowed"]


def test_a_driver_expires_an_unused_permit_and_halts_for_a_late_node() -> None:
    log, driver = ReleaseLog(), new_driver()
    log("take", 1, "r", "a", False, [], [])
    assert not driver.step(0.0, log.seen())
    assert [proposal.verb for proposal in driver.step(10.0, log.seen())] == ["expire"]
    log("go", "a", log.machine.permits.held["a"].fence)
    assert [proposal.verb for proposal in driver.step(11.0, log.seen())] == ["step"]
    log("step", 1, "r", "a", "permitted", False)
    assert not driver.step(12.0, log.seen()) and "come back with 2" in driver.waits[0]
    assert log.proposals(driver, 33.0, log.seen()) == ["stop a did not return in 20 s"]


def test_a_driver_never_expires_the_permit_of_a_server() -> None:
    log, driver = ReleaseLog(), new_driver()
    servers = [["h:1", ["s"]], ["h:2", ["s"]]]
    log("describe", 1, log.names, [], servers, budget_rows(log.budgets))
    log("ask", "h:1", "op", "why", 9.0, [], False)
    seen = Seen(log.machine, {}, frozenset(), log.names, [], servers, log.budgets)
    for now in (0.0, 10.0, 1000.0):
        assert not [proposal for proposal in driver.step(now, seen) if proposal.verb in ("expire", "back")]
    assert "h:1" in log.machine.permits.held


def test_budgets_stay_whichever_node_drives_until_one_has_a_higher_version() -> None:
    log, tight, loose = ReleaseLog(), (Budget("fleet", most=1),), (Budget("fleet", most=3),)
    machine = log.machine

    def drive(names: list[str], budgets: tuple[Budget, ...], version: int, voters: int = 1) -> Driver:
        """Drive until nothing is left to describe, with these budgets and that of the log's voters."""
        driver, voters_budget = new_driver(), Budget(VOTERS, most=voters, service=VOTERS)
        for _ in range(2):
            seen = Seen(
                machine, {}, frozenset(), names, [], [], (*budgets, voters_budget), budgets_version=version
            )
            for proposal in driver.step(0.0, seen):
                if proposal.verb == "describe":
                    log("describe", 1, *proposal.rest)
        assert not [proposal for proposal in driver.step(0.0, seen) if proposal.verb == "describe"]
        return driver

    drive(log.names, loose, 0)
    assert configured_budgets(machine.permits.budgets) == loose  # without a version: the driver's
    drive(log.names, tight, 2)
    assert (configured_budgets(machine.permits.budgets), machine.budgets_version) == (tight, 2)
    for version in (0, 1, 2):  # a driver with an older file, or another file of that version
        outdated = drive([*log.names, f"e{version}"], loose, version, voters=2 + version)
        assert configured_budgets(machine.permits.budgets) == tight and f"e{version}" in machine.names
        assert machine.permits.budgets[-1].most == 2 + version  # the voters' budget follows the log
        assert bool([line for line in outdated.waits if "raise budgets_version" in line]) is (version == 2)
        log.index += 1
        refused = command("describe", 1, [], [], [], budget_rows(loose), version)
        assert not machine.apply(log.index, refused)[0] and machine.names
    other = Machine()
    other.restore(machine.snapshot())
    assert other.budgets_version == 2 and other.snapshot() == machine.snapshot()
    drive(log.names, loose, 3)
    assert (configured_budgets(machine.permits.budgets), machine.budgets_version) == (loose, 3)


def test_an_outage_counts_only_if_no_release_moved_meanwhile() -> None:
    log, watch = ReleaseLog(), Watch(QUORUM_S)
    assert watch.look(0.0, True, log.machine) == 0.0
    watch.look(1.0, False, log.machine)
    assert watch.look(2.0, True, log.machine) == 0.0  # shorter than quorum_s
    watch.look(3.0, False, log.machine)
    assert watch.look(12.0, True, log.machine) == 9.0
    log("take", 1, "r", "a", False, [], [])
    assert watch.look(12.5, True, log.machine) == 0.0
    assert log.machine.releases["r"].stage is Stage.RUNNING
