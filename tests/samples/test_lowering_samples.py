"""Plans, their messages, and the agreed state of rollouts, as an earlier version wrote them."""

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgpack
from sample_files import DATA, files_of, read_messages, sample_copy, write_messages

from beechrock.lowering import rollout
from beechrock.lowering.compile import Plan, pack_plan
from beechrock.lowering.plans import CHANNEL, Plans
from beechrock.lowering.policy import END, Kind, Pool
from beechrock.lowering.rollout import Machine, Node, Rollout
from beechrock.lowering.tables import COARSE, REFUSE, RUN, STEER, Action, Line, Table, pack, whole

SAMPLE = "lowering"
MESSAGES_FILE, COMMANDS_FILE, MACHINE = "messages.json", "commands.json", "machine.bin"
LIFE, FENCE = 1_000_000, 5
DIGESTS, POLICIES = [f"{n}d" * 32 for n in range(5)], [f"{n}a" * 32 for n in range(5)]
CLASSES, LOST, FLEET = ["big", "small"], {"hall:west": ["small"]}, ["n1", "n2"]


def propose(n: int) -> tuple[Any, ...]:
    return "propose", FENCE, "n1", DIGESTS[n], POLICIES[n], 100 + n, CLASSES, LOST, FLEET


# Commands in the order of the log, from index 1; a rollout has the index of its proposal as its number.
COMMANDS: list[tuple[Any, ...]] = [
    ("here", "n1", LIFE, "big", "east", "10.0.0.1:8000", [["entries", 1000, 900]]),
    ("here", "n2", LIFE + 1, "small", "west", "", []),
    propose(1),  # 3
    ("prepared", 3, "n1", LIFE, DIGESTS[1]),
    ("prepared", 3, "n2", LIFE + 1, DIGESTS[1]),
    ("activate", FENCE, 3, []),
    propose(2),  # 7
    ("prepared", 7, "n1", LIFE, DIGESTS[2]),
    ("cannot", 7, "n2", LIFE + 1, "its table does not fit"),
    ("activate", FENCE, 7, ["n2"]),
    ("lost", FENCE, 7, "hall:west"),
    propose(3),
    ("halt", "ann"),
    ("back", "ann"),
    propose(4),  # 15
    ("prepared", 15, "n1", LIFE, DIGESTS[4]),
]
VERBS = {"here", "propose", "prepared", "cannot", "activate", "lost", "halt", "back"}
POOLS = [Pool("near", "east", 500.0, (("127.0.0.1", 9101), ("::1", 9102))), Pool("far", "west")]
ACTIONS = [
    Action(RUN, (((0, 3), (1, 1)), ((1, 1),)), 2, 40.0, 8, 1, 2, 50, ((1, 10),), "", 1),
    Action(STEER, target="small"),
    Action(REFUSE),
]
LINES = [
    Line("packagers", "resolve", Kind.EXACT, ("one",), (0, 1000), (1, 3), 0, 0),
    Line("packagers", None, Kind.PREFIX, ("img/", f"whole{END}"), (0, 1000), (1, 3), 1, 1),
    Line(None, "resolve", Kind.SET, ("two", "three"), (5, 1000), (1, 3), 2, 2),
    Line(None, None, Kind.ANY, (), (0, 1000), (1, 3), 3, 0),
    whole("readers", None, 1),
]
NEEDS, TABLE_LOST = {"big": ("hedge", "mirror"), "small": ()}, {"hall:west": ("small",)}
DECLARED = {"big": {"entries": 1000.0, "timer_ms": 5.0}, "small": {}}
PLAN_DIGEST = "bca0a47fe641b5bbf19f0ce3c52ab147ce86490315ce690a73ebed349b6e6478"


class Transport:
    """Records the messages sent over the channel."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.said: list[bytes] = []

    def send(self, to: str, channel: str, message: bytes) -> None:
        assert channel == CHANNEL
        self.said.append(message)


def new_plans(name: str, folder: Path, got: list[str]) -> Plans:
    plans = Plans(Transport(name), folder, lambda: got.append("whole"), got.append)
    plans.open()
    return plans


def plan() -> Plan:
    table = pack(POOLS, ACTIONS, LINES, {"hall:west": {0: 2, 3: 1}})
    return pack_plan(POLICIES[1], NEEDS, {"big": table, "small": pack([], [], [], {})}, TABLE_LOST, DECLARED)


def applied(commands: list[bytes]) -> Machine:
    machine = Machine()
    for index, data in enumerate(commands, 1):
        done, why = machine.apply(index, data)
        assert done, (index, why)
    return machine


def log() -> list[bytes]:
    return [rollout.command(*told) for told in COMMANDS]


def write(folder: Path) -> None:
    holder = new_plans("n1", folder, [])
    digest = holder.keep(plan().data, ())
    asker = SimpleNamespace(talk=Transport("n2"), coming={})
    Plans.ask(asker, digest, ["n1"])  # type: ignore[arg-type]  # ``ask`` needs no folder
    [want] = asker.talk.said
    holder.take("n2", LIFE, want)
    [have] = holder.talk.said
    holder.close()
    write_messages(folder / MESSAGES_FILE, {"want": want, "have": have, "up": msgpack.packb(["up"])})
    write_messages(folder / COMMANDS_FILE, {str(index): data for index, data in enumerate(log(), 1)})
    (folder / MACHINE).write_bytes(applied(log()).snapshot())


def check_machine(machine: Machine) -> None:
    assert machine.nodes == {
        "n1": Node(LIFE, "big", "east", "10.0.0.1:8000", [["entries", 1000, 900]]),
        "n2": Node(LIFE + 1, "small", "west", "", []),
    }
    both, one = {"n1": LIFE, "n2": LIFE + 1}, {"n1": LIFE}
    shared = ("n1", CLASSES, LOST, FLEET)
    assert machine.open == Rollout(15, DIGESTS[4], POLICIES[4], 104, *shared, "preparing", one)
    assert machine.active == Rollout(3, DIGESTS[1], POLICIES[1], 101, *shared, "active", both, {}, [], 3, "")
    assert machine.before == Rollout(
        7,
        DIGESTS[2],
        POLICIES[2],
        102,
        *shared,
        "back",
        one,
        {"n2": "its table does not fit"},
        ["n2"],
        2,
        "hall:west",
    )
    assert (machine.generation, machine.fence) == (3, FENCE)
    assert machine.refused == {POLICIES[3]: "halted", POLICIES[2]: "back"}
    assert machine.last == f"{DIGESTS[2][:12]} back by ann"


def check_plan(found: Plan) -> None:
    assert (found.digest, found.policy) == (PLAN_DIGEST, POLICIES[1])
    assert (found.needs, found.lost, found.declared) == (NEEDS, TABLE_LOST, DECLARED)
    table = Table(found.tables["big"])
    assert table.pools == [("near", "east"), ("far", "west")]
    assert table.servers == [POOLS[0].servers, ()] and table.actions == ACTIONS
    assert table.states == {"hall:west": {0: 2, 3: 1}} and table.coarse
    entries = [
        table.find(*asked)
        for asked in (
            ("packagers", "resolve", "one", 7, 1),
            ("packagers", "other", "img/x", 7, 1),
            ("packagers", "other", "whole", 7, 1),
            ("others", "resolve", "three", 7, 1),
            ("others", "other", "three", 7, 1),
            ("readers", "resolve", "one", 7, 1),
        )
    ]
    ranks = [(entry[0], entry[1]) for entry in entries if entry is not None]
    assert ranks == [(0, 0), (1, 1), (1, 1), (2, 2), (3, 0), (COARSE, 1)]


def test_the_same_values_give_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_commands_of_the_log_are_applied() -> None:
    check_machine(applied(list(read_messages(DATA / SAMPLE / COMMANDS_FILE).values())))


def test_a_snapshot_is_read() -> None:
    machine = Machine()
    machine.restore((DATA / SAMPLE / MACHINE).read_bytes())
    check_machine(machine)


def test_a_kept_plan_is_read(tmp_path: Path) -> None:
    plans = new_plans("n1", sample_copy(SAMPLE, tmp_path), [])
    assert list(plans.held) == [PLAN_DIGEST]
    check_plan(plans.held[PLAN_DIGEST])
    plans.close()


def test_messages_are_taken(tmp_path: Path) -> None:
    said, got = read_messages(DATA / SAMPLE / MESSAGES_FILE), list[str]()
    holder = new_plans("n1", sample_copy(SAMPLE, tmp_path), [])
    holder.take("n2", LIFE, said["want"])
    assert holder.talk.said == [said["have"]]
    asker = new_plans("n2", tmp_path / "asker", got)
    asker.ask(PLAN_DIGEST, ["n1"])
    asker.take("n1", LIFE, said["up"])
    assert asker.talk.said == [said["want"]] and "n1" in asker.heard and not got
    asker.take("n1", LIFE, said["have"])
    check_plan(asker.held[PLAN_DIGEST])
    assert got == ["whole"]
    holder.close()
    asker.close()


def test_every_verb_and_kind_of_line_is_in_the_sample() -> None:
    assert {msgpack.unpackb(data)[0] for data in log()} == VERBS
    assert {line.kind for line in LINES} == set(Kind)
