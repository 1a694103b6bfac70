"""Messages, log commands, the agreed state and the marker of releases, as an earlier version wrote them."""

import asyncio
from pathlib import Path
from typing import Any

import msgpack
from sample_files import DATA, files_of, read_messages, sample_copy, write_messages

from beechrock.releases import words
from beechrock.releases.agreed import VOTERS, Node
from beechrock.releases.judge import Figures
from beechrock.releases.machine import VERBS, Machine
from beechrock.releases.marker import OUT, WANTED, Marker
from beechrock.releases.permits import Budget, Kind, Permit
from beechrock.releases.release import Plan, Release, Stage, Step
from beechrock.releases.rows import budget_rows, command
from beechrock.releases.words import Reach, Told, Word
from beechrock.store.files import Files

SAMPLE = "releases"
MESSAGES_FILE, COMMANDS_FILE, MACHINE = "messages.json", "commands.json", "machine.bin"
LIFE = 1_000_000
DRIVER = 1  # Fence of the node that drives the release
FIGURES = [100, 90, 5, 5, 1, 0]
MESSAGES: dict[str, Word | tuple[Told, ...]] = {
    "word": Word("ready", "in", "1.0", 3, Figures(*FIGURES), 21, ("n2: over a budget",), 2.5, 40),
    "word of a node that does not drive": Word("", "out", "", 0, Figures()),
    "servers": (("s1", 18, Reach.YES), ("s2", 19, Reach.NO), ("s3", 20, Reach.UNUSED)),
}
BUDGETS = (
    Budget("nodes", most=3),
    Budget("voters", most=1, service=VOTERS),
    Budget("servers", part=0.5, kind=Kind.SERVER, service="resolve"),
    Budget("large ones", most=2, hall="east", hardware="large", each_hall=True),
)
NODES = {"n1": "east", "n2": "east", "n3": "west", "n4": "west", "n5": "east"}
HERE = [command("here", name, LIFE, hall, "large", "1.0") for name, hall in NODES.items()]
PROVED = [command("proved", name, LIFE) for name in NODES]
# Commands in the order of the log, after HERE and PROVED, so the first has index 11.
COMMANDS: list[tuple[Any, ...]] = [
    (
        "describe",
        DRIVER,
        list(NODES),
        ["n1", "n2", "n3"],
        [["s1", ["resolve"]], ["s2", ["resolve"]]],
        budget_rows(BUDGETS),
        3,
    ),
    ("ask", "n4", "ann", "its disk", 600.0, [], False),  # 12
    ("go", "n4", 12),
    ("return", "n4", "ann"),
    ("back", "n4", 12, LIFE, False),
    ("ask", "n4", "ann", "its disk", 600.0, [], False),  # 16
    ("expire", DRIVER, "n4", 16),
    ("ask", "s1", "ann", "a move", 60.0, [], False),  # 18
    ("ask", "s2", "ben", "it burns", 60.0, [], True),  # 19, over a budget
    ("ask", "n5", "ann", "its fan", 60.0, [], False),
    ("force", "n5", "ann", "it serves"),
    ("plan", "r1", "1.1", "1.0", [["n1"], ["n2", "n3"]], 300.0, "ann"),  # 22
    ("word", "r1", "start", "ann", "canary first"),
    ("take", DRIVER, "r1", "n1", False, [], FIGURES),  # 24
    ("step", DRIVER, "r1", "n1", "permitted", False),
    ("go", "n1", 24),
    ("here", "n1", LIFE + 1, "east", "large", "1.1"),
    ("back", "n1", 24, LIFE + 1, False),
    ("step", DRIVER, "r1", "n1", "sent", False),
    ("judged", DRIVER, "r1", 0, "good", ""),  # 30
    ("take", DRIVER, "r1", "n2", False, [], FIGURES),
    ("stop", DRIVER, "r1", "n2 fails"),
    ("plan", "r2", "1.2", "1.1", [["n3"]], 300.0, "ben"),
    ("return", "s1", "ann"),  # 34
]
FENCE_ON_DISK, VERSION_ON_DISK = 24, "1.1"


def log() -> list[bytes]:
    return [*HERE, *PROVED, *(command(*told) for told in COMMANDS)]


def applied(commands: list[bytes]) -> Machine:
    machine = Machine()
    for index, data in enumerate(commands, 1):
        done, why = machine.apply(index, data)
        assert done, (index, why)
    return machine


async def write_marker(folder: Path) -> None:
    files = Files(folder)
    marker = Marker(files)
    await marker.out(FENCE_ON_DISK)
    await marker.wanted(VERSION_ON_DISK)
    files.close()


def write(folder: Path) -> None:
    encoded = {
        name: words.encode(said) if isinstance(said, Word) else words.encode_servers(said)
        for name, said in MESSAGES.items()
    }
    write_messages(folder / MESSAGES_FILE, encoded)
    write_messages(folder / COMMANDS_FILE, {str(index): data for index, data in enumerate(log(), 1)})
    (folder / MACHINE).write_bytes(applied(log()).snapshot())
    asyncio.run(write_marker(folder))


def check_permits(machine: Machine) -> None:
    assert machine.permits.held == {
        "n4": Permit("n4", "ann", "its disk", 16, 600.0),
        "s1": Permit("s1", "ann", "a move", 18, 60.0),
        "s2": Permit("s2", "ben", "it burns", 19, 60.0, True),
        "n2": Permit("n2", "release r1", "1.1", 31, 300.0, False, "r1"),
    }
    assert machine.permits.budgets == BUDGETS and machine.budgets_version == 3
    assert (machine.gone, machine.expired, machine.returning) == (
        {"s1": 18, "s2": 19},
        {"n4": 16},
        {"s1": 18},
    )
    assert machine.permits.audit[1] == (12, "granted", "n4", "ann")
    assert machine.permits.audit[-1] == (34, "told to return", "s1", "ann")


def check_releases(machine: Machine) -> None:
    first, second = machine.releases.values()
    assert first == Release(
        Plan("r1", "1.1", "1.0", (("n1",), ("n2", "n3")), 300.0),
        Stage.HALTED,
        {"n1": Step.RETURNED, "n2": Step.PERMITTED, "n3": Step.TODO},
        ["n1", "n2"],
        {},
        1,
        DRIVER,
        "n2 fails",
    )
    assert second == Release(Plan("r2", "1.2", "1.1", (("n3",),), 300.0))
    assert machine.before == {"n1": FIGURES, "n2": FIGURES} and machine.starts == {"n1": 1}


def check_fleet(machine: Machine) -> None:
    assert machine.nodes["n1"] == Node(LIFE + 1, "east", "large", "1.1", True)
    assert machine.nodes["n4"] == Node(LIFE, "west", "large", "1.0", True)
    assert (machine.names, machine.voters) == (list(NODES), ["n1", "n2", "n3"])
    assert machine.servers == [["s1", ["resolve"]], ["s2", ["resolve"]]]
    assert (machine.fence, machine.index, machine.moved) == (DRIVER, 34, 33)


def test_the_same_values_give_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_message_is_read() -> None:
    encoded = read_messages(DATA / SAMPLE / MESSAGES_FILE)
    assert {name: words.decode(data) for name, data in encoded.items()} == MESSAGES


def test_commands_of_the_log_are_applied() -> None:
    machine = applied(list(read_messages(DATA / SAMPLE / COMMANDS_FILE).values()))
    check_permits(machine)
    check_releases(machine)
    check_fleet(machine)


def test_a_snapshot_is_read() -> None:
    machine = Machine()
    machine.restore((DATA / SAMPLE / MACHINE).read_bytes())
    check_permits(machine)
    check_releases(machine)
    check_fleet(machine)


def test_the_marker_is_found(tmp_path: Path) -> None:
    folder = sample_copy(SAMPLE, tmp_path)
    assert Marker(Files(folder)).found()
    # The supervisor reads these files as text.
    assert (folder / OUT).read_text() == "24" and (folder / WANTED).read_text() == "1.1"
    assert {path.name for path in folder.iterdir()} >= {"out", "wanted"}


def test_every_verb_and_reach_is_in_the_sample() -> None:
    assert {msgpack.unpackb(data)[1] for data in log()} == set(VERBS)
    servers = MESSAGES["servers"]
    assert isinstance(servers, tuple) and {reach for _, _, reach in servers} == set(Reach)
