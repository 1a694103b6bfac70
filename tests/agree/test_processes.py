"""Real processes with one agreed log, under faults that the test laboratory injects in links and disks."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from beechrock.lab.agree_checks import Operation, linearizable
from beechrock.lab.fleet import Fleet, LabError

Scenario = Callable[[Fleet], Awaitable[None]]
NAMES = ["a", "b", "c"]


def run_scenario(
    tmp_path: Path, voters: list[str], scenario: Scenario, names: list[str] | None = None, **more: Any
) -> None:
    async def with_fleet() -> None:
        tables = {"agree": {"voters": voters, "snapshot_each": 40}}
        async with Fleet(tmp_path, 7, names or voters, tables=tables, **more) as fleet:
            await fleet.start()
            await fleet.proven()
            await scenario(fleet)
            check_events(fleet)

    asyncio.run(with_fleet())


def check_events(fleet: Fleet) -> None:
    """Check the events of all processes: one leader per term, one digest per index, linearizable probes."""
    assert not fleet.troubles(), fleet.save_history()
    leaders: dict[int, str] = {}
    digests: dict[int, str] = {}
    for event in fleet.events():
        if event["event"] == "agree.lead":
            assert leaders.setdefault(event["term"], event["node"]) == event["node"], fleet.save_history()
        elif event["event"] in ("agree.commit", "agree.restored"):
            known = digests.setdefault(event["index"], event["digest"])
            assert known == event["digest"], fleet.save_history()
        assert event["event"] != "agree.broken", fleet.save_history()
    assert leaders
    probes = [e for e in fleet.events(event="agree.probe") if not e["error"]]
    assert not linearizable(
        [Operation(e["what"] == "write", e["begun_s"], e["ended_s"], e["value"]) for e in probes]
    )
    assert probes


async def fetch_views(fleet: Fleet) -> dict[str, Any]:
    return {name: await fleet.view(name, "/agree") for name in fleet.up}


async def wait_for_leader(fleet: Fleet, other_than: str = "") -> str:
    async def find_leader() -> str:
        leading = [
            n for n, view in (await fetch_views(fleet)).items() if view.get("leading") and n != other_than
        ]
        return leading[0] if leading else ""

    return str(await fleet.until(find_leader, what="a leader"))


async def wait_for_same_state(fleet: Fleet) -> None:
    """Wait until all running nodes have applied the same entries and are proven."""

    async def is_same() -> bool:
        rows = (await fetch_views(fleet)).values()
        return len({(v["applied"], v["digest"]) for v in rows}) == 1 and all(
            v["standing"] == "proven" and v["applied"] > 0 for v in rows
        )

    await fleet.until(is_same, what="the same applied state at all nodes")


async def start_probes(fleet: Fleet, writes: int = 30, *names: str) -> None:
    for name in names or fleet.up:
        status, text = await fleet.call(
            name, "POST", f"/agree/probe?writes={writes}&reads={writes}&within_s=2"
        )
        assert status == 200, text


async def wait_for_probes(fleet: Fleet) -> None:
    async def done() -> bool:
        return not any([(await fleet.view(name, "/agree/probe"))["running"] for name in fleet.up])

    await fleet.until(done, what="the probes' end")


async def wait_for_readmission(fleet: Fleet, name: str) -> None:
    await fleet.until(
        lambda: [e for e in fleet.events(event="agree.readmit") if e["member"] == name],
        what="readmitted",
    )
    await wait_for_same_state(fleet)


def test_log_stays_consistent_while_leaders_are_paused_killed_and_cut_off_one_way(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        first = await wait_for_leader(fleet)
        await wait_for_same_state(fleet)
        await start_probes(fleet)
        fleet.stop(first)
        second = await wait_for_leader(fleet, first)
        fleet.go_on(first)
        assert not (await fleet.view(first, "/agree"))["leading"]
        await fleet.kill(second)
        third = await wait_for_leader(fleet, second)
        await fleet.start(second)
        await wait_for_probes(fleet)
        await start_probes(fleet, 40)
        others = [name for name in NAMES if name != third]
        fleet.links.cut(third, others)  # the leader receives messages, but its own do not arrive
        fourth = await wait_for_leader(fleet, third)
        fleet.links.heal()
        fleet.links.cut(
            [name for name in NAMES if name != fourth], fourth
        )  # the leader's messages arrive, but it receives none
        await wait_for_leader(fleet, fourth)
        fleet.links.heal()
        await wait_for_probes(fleet)
        await wait_for_same_state(fleet)

    run_scenario(tmp_path, NAMES, scenario)


def test_state_survives_a_kill_of_all_nodes_and_a_terminated_leader_is_replaced(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_for_leader(fleet)
        await wait_for_same_state(fleet)
        await start_probes(fleet)
        await wait_for_probes(fleet)
        count = (await fleet.view("a", "/agree/probe"))["count"]
        await fleet.kill(*NAMES)
        await fleet.start()
        leader_name = await wait_for_leader(fleet)
        await wait_for_same_state(fleet)
        assert [(await fleet.view(n, "/agree/probe"))["count"] for n in NAMES] == [count] * 3 == [90] * 3
        assert await fleet.term(leader_name) == [0]
        assert await wait_for_leader(fleet) != leader_name
        await start_probes(fleet, 5)
        await wait_for_probes(fleet)

    run_scenario(tmp_path, NAMES, scenario)


def test_voters_with_an_empty_folder_or_an_older_copy_are_readmitted(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_for_leader(fleet)
        await wait_for_same_state(fleet)
        fleet.stop("b")
        fleet.save_copy("b")
        fleet.go_on("b")
        await start_probes(fleet)
        await wait_for_probes(fleet)
        for name, tag in (("a", "never saved"), ("b", "copy")):
            await fleet.kill(name)
            fleet.restore_copy(name, tag)
            await fleet.start(name)
            await wait_for_readmission(fleet, name)
        assert fleet.events("a", "agree.restored")  # the emptied node got a snapshot from the leader
        await start_probes(fleet, 5)
        await wait_for_probes(fleet)

    run_scenario(tmp_path, NAMES, scenario)


def test_voter_whose_disk_lost_synced_writes_is_readmitted(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_for_leader(fleet)
        await wait_for_same_state(fleet)
        fleet.disk("c", lose=True)
        await start_probes(fleet)
        await wait_for_probes(fleet)
        await fleet.kill("c")
        fleet.disk("c")
        try:
            await fleet.start("c")
        except LabError as error:  # the store detected the loss: empty the folder, as docs/oncall.md says
            assert "StoreDamagedError" in str(error)
            fleet.restore_copy("c", "never saved")
            await fleet.start("c")
        await wait_for_readmission(fleet, "c")

    run_scenario(tmp_path, NAMES, scenario, lying=True)


def test_voters_change_one_at_a_time_and_non_voters_follow(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        async def change(query: str, wanted: list[str]) -> None:
            async def requested() -> bool:
                status, text = await fleet.call(
                    await wait_for_leader(fleet), "POST", f"/agree/voters?{query}"
                )
                return status == 200 or "cannot be" in text  # refused, as the former attempt took effect

            async def seen() -> bool:
                # The views show the new voters at once, but a removed leader leads until the commit.
                rows = await fetch_views(fleet)
                leading = {name for name, view in rows.items() if view.get("leading")}
                return all(view["voters"] == wanted for view in rows.values()) and leading <= set(wanted)

            await fleet.until(requested)
            await fleet.until(seen, what=query)

        await wait_for_leader(fleet)
        await wait_for_same_state(fleet)
        await start_probes(fleet, 10)
        await change("add=d", ["a", "b", "c", "d"])
        await change("remove=a", ["b", "c", "d"])
        await fleet.kill("b")
        assert await wait_for_leader(fleet) in ("c", "d")
        await wait_for_probes(fleet)
        await start_probes(fleet, 5, "a")  # the removed voter still follows the log
        await wait_for_probes(fleet)

    run_scenario(tmp_path, NAMES, scenario, names=[*NAMES, "d"])


async def start_with_usable_folder(fleet: Fleet, name: str) -> None:
    """Start the node with a disk without faults; if its store is damaged, empty its folder first."""
    try:
        await fleet.start(name)
    except LabError as error:
        assert "StoreDamagedError" in str(error)
        fleet.restore_copy(name, "never saved")
        await fleet.start(name)
    fleet.disk(name)


def test_voter_catches_up_after_a_slow_full_torn_or_corrupt_disk(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_for_same_state(fleet)
        leader_name = await wait_for_leader(fleet)
        other, third = (name for name in NAMES if name != leader_name)
        fleet.disk(other, stall_s=2.0)
        await start_probes(fleet, 10, leader_name, third)  # the other two of three voters still commit
        await wait_for_probes(fleet)
        fleet.disk(other, full_bytes=1)
        await start_probes(fleet, 10, leader_name, third)
        await wait_for_probes(fleet)
        fleet.disk(other)
        await wait_for_same_state(fleet)  # once there is room, the voter catches up by itself
        fleet.disk(leader_name, stall_s=2.0)  # a slow leader keeps leading, or another member is elected
        await start_probes(fleet, 3, other)
        await wait_for_probes(fleet)
        fleet.disk(leader_name)
        await wait_for_same_state(fleet)
        for seed in range(3):  # kill the voter during its writes, the last of which is torn
            fleet.disk(third, tear=1.0, seed=seed)
            await start_probes(fleet, 10)
            await fleet.until(lambda: fleet.events(third, "agree.commit"))
            await fleet.kill(third)
            await start_with_usable_folder(fleet, third)
            await wait_for_probes(fleet)
            await wait_for_same_state(fleet)
        await fleet.kill(third)
        fleet.disk(third, flip=True, seed=1)
        await start_with_usable_folder(fleet, third)
        await wait_for_same_state(fleet)
        await start_probes(fleet, 5)
        await wait_for_probes(fleet)

    run_scenario(tmp_path, NAMES, scenario, lying=True)
