"""State machine of the rollout and the publisher: each guard alone, and invariants in random histories."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.lowering.publish import Activate, Compile, Compiling, Lost, Publisher
from beechrock.lowering.rollout import Machine, command

NODES = {"a": ("big", "east"), "b": ("big", "west"), "c": ("small", "east"), "d": ("small", "west")}
LOST = {"class:big": ["big"], "class:small": ["small"], "hall:east": [], "hall:west": []}


class Log:
    def __init__(self) -> None:
        self.machine, self.index = Machine(), 0

    def do(self, verb: str, *rest: object) -> tuple[bool, object]:
        self.index += 1
        found = self.machine.apply(self.index, command(verb, *rest))
        assert isinstance(found, tuple)
        return found

    def here(self, *names: str, life: int = 1) -> None:
        for name in names or NODES:
            assert self.do("here", name, life, *NODES[name], "", [])[0]

    def propose(self, digest: str = "one", fence: int = 1, by: str = "a") -> tuple[bool, object]:
        return self.do(
            "propose", fence, by, digest, f"policy of {digest}", 9, ["big", "small"], LOST, list(NODES)
        )

    def prepared(self, *names: str, digest: str = "one", life: int = 1) -> None:
        number = self.machine.open.number if self.machine.open else self.machine.active.number  # type: ignore[union-attr]
        for name in names or NODES:
            assert self.do("prepared", number, name, life, digest)[0]

    def activate(self, *bypassed: str, fence: int = 1) -> tuple[bool, object]:
        return self.do("activate", fence, self.machine.open.number, list(bypassed))  # type: ignore[union-attr]

    def active(self) -> "Log":
        self.here()
        self.propose()
        self.prepared()
        assert self.activate() == (True, 1)
        return self


def test_a_plan_is_activated_only_with_each_node_prepared_or_steered_around() -> None:
    log = Log()
    log.here()
    assert log.propose()[0]
    log.prepared("a", "b", "c")
    assert log.activate() == (False, "d neither prepared nor steered round")
    assert log.activate("d") == (True, 1)
    active = log.machine.active
    assert active is not None and active.round == ["d"] and active.state == ""
    log.prepared("d")  # A node that prepares later is no longer steered around
    assert active.round == []


def test_of_two_concurrent_proposals_the_first_in_the_log_wins() -> None:
    log = Log()
    log.here()
    assert log.propose("one", by="a")[0]
    assert log.propose("two", by="b") == (False, "one of a is under way")
    assert log.machine.open is not None and log.machine.open.digest == "one"


def test_commands_of_an_older_publisher_are_rejected() -> None:
    log = Log()
    log.here()
    assert log.propose(fence=7)[0]
    log.prepared()
    assert log.activate(fence=6)[1] == "an older publisher: fence 6, and 7 was seen"
    assert log.machine.active is None


def test_a_restarted_node_has_to_prepare_the_plan_again() -> None:
    log = Log().active()
    log.here("c", life=2)
    active = log.machine.active
    assert active is not None and active.round == ["c"] and "c" not in active.prepared
    assert not log.do("prepared", active.number, "c", 1, "one")[0]
    log.prepared("c", life=2)
    assert active.round == []


def test_losing_the_last_node_of_a_class_puts_its_loss_state_into_force_at_once() -> None:
    log = Log().active()
    active = log.machine.active
    assert active is not None
    for name in ("a", "b"):
        assert active.state == ""
        assert log.do("cannot", active.number, name, 1, "memory")[0]
    assert active.state == "class:big"
    assert log.do("lost", 1, active.number, "") == (False, "without big this is no plan")
    for name in ("c", "d"):
        log.do("cannot", active.number, name, 1, "memory")
    assert log.machine.missing(active) == ["big", "small"]


def test_a_plan_with_a_missing_class_and_no_loss_state_for_it_is_not_activated() -> None:
    log = Log()
    log.here()
    log.do("propose", 1, "a", "one", "p", 9, ["big", "small"], {}, list(NODES))
    log.prepared("a", "b")
    assert log.activate("c", "d") == (False, "no plan is without small")


def test_a_policy_that_was_halted_or_taken_back_is_not_proposed_again_automatically() -> None:
    log = Log().active()
    log.propose("two")
    assert log.do("halt", "op")[0] and log.machine.open is None
    assert log.propose("two") == (False, "was halted")
    log.propose("three")
    log.prepared(digest="three")
    assert log.activate() == (True, 2)
    assert log.do("back", "op") == (True, 3)
    assert log.machine.active is not None and log.machine.active.digest == "one"
    assert log.propose("three") == (False, "was back")
    steps = Publisher()
    assert steps.step(0, log.machine, "policy of three", NODES) is None
    assert steps.step(0, log.machine, "policy of four", NODES) == Compile()


def test_preparing_a_wrong_digest_is_rejected() -> None:
    log = Log()
    log.here()
    log.propose()
    assert not log.do("prepared", log.machine.open.number, "a", 1, "other")[0]  # type: ignore[union-attr]
    assert log.machine.open is not None and not log.machine.open.prepared


@pytest.mark.parametrize(
    "bad", [b"", b"\xc1", b"\x01", command("none"), command("propose", 1), command("here", 1, [], {})]
)
def test_an_invalid_command_is_rejected_without_an_exception(bad: bytes) -> None:
    assert Machine().apply(1, bad)[0] is False


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 1 << 32))
def test_random_histories_keep_all_invariants_and_snapshots_restore_the_same_state(seed: int) -> None:
    draw, log, lives = random.Random(seed), Log(), dict.fromkeys(NODES, 1)
    in_force: list[int] = []
    for _ in range(draw.randint(5, 80)):
        name, machine = draw.choice(sorted(NODES)), log.machine
        rollouts = [r for r in (machine.open, machine.active, machine.before) if r is not None]
        number = draw.choice(rollouts).number if rollouts and draw.random() < 0.9 else draw.randint(0, 99)
        digest = draw.choice([r.digest for r in rollouts] or ["x"])
        fence = machine.fence + draw.choice((-1, 0, 0, 0, 1))
        match draw.randrange(9):
            case 0 | 1:
                lives[name] += draw.choice((0, 0, 1))
                log.do("here", name, lives[name], *NODES[name], "", [])
            case 2:
                log.propose(draw.choice(("one", "two", "three")), max(0, fence))
            case 3 | 4 | 5:
                log.do("prepared", number, name, lives[name], digest)
            case 6:
                log.do("cannot", number, name, lives[name], "why")
            case 7:
                log.do("activate", max(0, fence), number, draw.sample(sorted(NODES), draw.randint(0, 4)))
            case _:
                log.do(
                    *draw.choice(
                        (("halt", "op"), ("back", "op"), ("lost", fence, number, draw.choice(["", *LOST])))
                    )
                )
        assert not log.machine.broken
        active = log.machine.active
        if active is not None:
            in_force.append(active.generation)
            missing = log.machine.missing(active)
            covered = set(missing) <= set(LOST.get(active.state, []))
            assert covered or log.machine.state_for(active, missing) is None, (
                "a class is lost, but its loss state is not in force"
            )
            assert not set(active.round) & set(active.prepared)
        restored = Machine()
        restored.restore(log.machine.snapshot())
        assert restored.snapshot() == log.machine.snapshot()
    assert in_force == sorted(in_force), "an earlier generation came into force again"


def test_the_publisher_waits_for_all_nodes_then_steers_around_one_and_reports_a_loss() -> None:
    log, publisher = Log(), Publisher(prepare_s=10)
    log.here()
    assert publisher.step(0, log.machine, "policy of one", NODES) == Compile()
    assert publisher.step(1, log.machine, "policy of one", NODES) is None  # No second compile before RETRY_S
    log.propose()
    log.prepared("a", "b", "c")
    number = log.machine.open.number  # type: ignore[union-attr]
    assert publisher.step(5, log.machine, "policy of one", NODES) is None
    assert publisher.step(15, log.machine, "policy of one", NODES) == Activate(number, ("d",))
    log.activate("d")
    assert publisher.step(26, log.machine, "policy of one", NODES) is None
    # Messages before a gap between steps don't count.
    assert publisher.step(26.5, log.machine, "policy of one", ("a", "b")) is None
    for second in range(1, 4):
        assert publisher.step(26 + second - 0.1, log.machine, "policy of one", ("a", "b")) is None
    assert publisher.step(29.5, log.machine, "policy of one", ("a", "b")) == Lost(number, "class:small")
    log.do("lost", 1, number, "class:small")
    assert publisher.step(35, log.machine, "policy of one", NODES) == Lost(number, "")


def test_a_policy_that_changes_faster_than_a_compile_takes_is_still_published() -> None:
    log, publisher = Log(), Publisher()
    log.here()
    made: Compiling | None = None
    done_at, source, in_force = 0.0, "", list[str]()
    for tenth in range(600):
        now, wanted = tenth / 10, f"policy {tenth // 10}"  # A new policy each second; a compile takes three
        machine = log.machine
        if made is not None:
            made.add_inventory(wanted)
            if now >= done_at:
                if made.takes(source, wanted, machine):
                    log.do(
                        "propose", 1, "a", f"plan {source}", source, 9, ["big", "small"], LOST, list(NODES)
                    )
                    log.prepared(digest=f"plan {source}")
                made = None
            continue
        match publisher.step(now, machine, wanted, NODES):
            case Compile():
                made, done_at, source = Compiling(wanted), now + 3.0, wanted
            case Activate():
                assert log.activate()[0]
                in_force.append(machine.active.policy)  # type: ignore[union-attr]
    assert len(in_force) > 10 and in_force == sorted(in_force, key=lambda policy: int(policy.split()[1]))


def test_a_plan_of_a_withdrawn_or_never_active_inventory_is_not_proposed() -> None:
    log = Log().active()
    made = Compiling("policy of two")
    assert made.takes("policy of two", "policy of two", log.machine)
    assert not made.takes("policy of nine", "policy of two", log.machine), (
        "its inventory was never in force here"
    )
    made.add_inventory("policy of one")
    assert not made.takes("policy of two", "policy of one", log.machine), (
        "the policy in force is wanted again"
    )
    made.add_inventory("policy of three")
    assert made.takes("policy of two", "policy of three", log.machine)
    assert not made.takes("policy of two", "", log.machine)


def test_a_publisher_without_responsive_nodes_reports_no_loss() -> None:
    log = Log()
    log.here("a")
    log.do("propose", 1, "a", "one", "p", 9, ["big"], {"class:big": ["big"]}, ["a"])
    log.prepared("a")
    assert log.activate() == (True, 1)
    publisher = Publisher()
    for tenth in range(60):  # Longer than GONE_S, so that losses may be reported
        assert publisher.step(tenth / 10, log.machine, "p", ()) is None, "the publisher itself is cut off"
    assert publisher.step(6.0, log.machine, "p", ("a",)) is None
