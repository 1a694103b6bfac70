"""Members as real processes in one fleet: stopped, killed, cut off, joining, and asked to leave.

One fleet of five processes serves all scenarios (one fleet per worker of pytest-xdist). Each scenario starts
when all members are alive to all, and checks the events that the processes have logged since. Safety is
asserted over this whole log; expected changes are only waited for, ten times as long as they usually take.
"""

import asyncio
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from beechrock.cli.main import main
from beechrock.lab.links import Faults, Links

sys.path.insert(0, str(Path(__file__).parent))
from fleet_processes import Process, ScenarioRunner, all_alive, until


@pytest.fixture(scope="module")
def runner(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ScenarioRunner]:
    runner = ScenarioRunner(tmp_path_factory.mktemp("fleet"))
    try:
        runner.loop.run(runner.fleet.start_all())
        yield runner
    finally:
        runner.fleet.close()
        runner.loop.close()


def test_killed_process_is_detected_by_all_and_its_successor_has_a_greater_life(
    runner: ScenarioRunner,
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        killed = processes[3]
        killed.send_signal()
        rest = [p for p in processes if p is not killed]
        await until(lambda: all(p.states()["n3"] == "dead" for p in rest))
        assert all(set(p.reported_dead()) == {"n3"} for p in rest)
        processes[3] = await runner.fleet.start("n3", "n1")  # Any member can serve as the seed
        await until(lambda: all_alive(processes))
        lives = [event["life"] for event in rest[0].events("member") if event["member"] == "n3"]
        assert lives[-1] > lives[0] and lives == sorted(lives)

    runner(scenario)


@pytest.mark.parametrize("who", [[1], [1, 2, 3, 4]])
def test_stopped_process_accuses_nobody_when_it_continues_and_recovers(
    runner: ScenarioRunner, who: list[int]
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        for n in who:
            processes[n].send_signal(signal.SIGSTOP)
        await asyncio.sleep(5.0)
        for n in who:
            processes[n].send_signal(signal.SIGCONT)
        await until(lambda: all_alive(processes))
        stopped = {f"n{n}" for n in who}
        for process in (processes[n] for n in who):
            assert set(process.reported_dead()) <= stopped, process.reported_dead()

    runner(scenario)


def test_leaving_is_distinguished_from_death(runner: ScenarioRunner) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        processes[2].send_signal(signal.SIGTERM)
        rest = [p for p in processes if p is not processes[2]]
        await until(lambda: all(p.states()["n2"] == "left" for p in rest))
        assert all(p.reported_dead() == [] for p in rest)
        processes[2] = await runner.fleet.start("n2", "n1")

    runner(scenario)


def test_older_of_two_processes_with_one_name_reports_that_it_is_displaced(runner: ScenarioRunner) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        old, twin = processes[4], await runner.fleet.start("n4", "n0", link="n6")
        runner.fleet.extra += [old, twin]  # The next scenario starts a new process in their place
        await until(lambda: old.events("member displaced") != [])
        newest = twin.events("members")[0]["life"]

        def known_to(process: Process) -> int:
            return max((int(e["life"]) for e in process.events("member") if e["member"] == "n4"), default=0)

        await until(lambda: all(known_to(p) == newest for p in processes[:4]))
        assert old.view()["displaced"] and not twin.view()["displaced"]

    runner(scenario)


@pytest.mark.parametrize("sides", [[{"n0", "n1"}, {"n2", "n3", "n4"}], [{"n0"}, {"n1", "n2"}, {"n3", "n4"}]])
def test_partition_in_two_and_in_three_heals_without_a_restart(
    runner: ScenarioRunner, sides: list[set[str]]
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        side = {name: names for names in sides for name in names}
        links.split(*sides)
        groups = [p for p in processes if len(side[p.name]) > 1]
        await until(
            lambda: all({n for n, s in p.states().items() if s == "alive"} == side[p.name] for p in groups)
        )
        # Nobody reports a member of its own side dead.
        assert all(set(p.reported_dead()).isdisjoint(side[p.name]) for p in groups)
        # A member that is alone cannot tell a failure of its own link from the death of the others. It
        # reports that it is isolated, and accuses nobody.
        for lone in (p for p in processes if p not in groups):
            await until(lambda p=lone: bool(p.view()["isolated"]))  # type: ignore[misc]
            assert lone.reported_dead() == []
        links.heal()
        await until(lambda: all_alive(processes))

    runner(scenario)


@pytest.mark.parametrize("back", [False, True], ids=["one way", "both ways"])
def test_cut_between_two_members_is_bridged_by_the_others(runner: ScenarioRunner, back: bool) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        links.cut({"n1"}, {"n2"})
        if back:
            links.cut({"n2"}, {"n1"})
        await asyncio.sleep(8.0)  # 40 periods, in which each member probes each other one about ten times
        assert links.lost > 0
        assert all(p.reported_dead() == [] for p in processes), [p.reported_dead() for p in processes]
        # The matrix shows the cut: n2 knows that n1 is alive, but receives nothing from n1 directly.
        run = CliRunner().invoke(main, ["members", *(part for p in processes for part in ("--at", p.admin))])
        rows = [line.split() for line in run.output.splitlines()]
        assert rows[0] == ["hears", "n0", "n1", "n2", "n3", "n4"]
        assert rows[3][0] == "n2" and rows[3][2] != "dead"
        await until(lambda: processes[2].received_ago_s("n1") > processes[2].received_ago_s("n0") + 3.0)
        links.heal()
        await until(lambda: all_alive(processes) and processes[2].received_ago_s("n1") < 3.0)

    runner(scenario)


def test_lost_doubled_truncated_and_reordered_datagrams_cause_no_false_death(runner: ScenarioRunner) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        links.every = Faults(loss=0.05, double=0.1, short=0.05, delay_s=0.03)
        lost, before = links.lost, [p.counters("dropped_replayed", "dropped_tag") for p in processes]
        await asyncio.sleep(8.0)
        assert links.lost > lost
        assert all(p.reported_dead() == [] for p in processes), [p.reported_dead() for p in processes]
        now = [p.counters("dropped_replayed", "dropped_tag") for p in processes]
        assert all(sum(n[k] for n in now) > sum(b[k] for b in before) for k in now[0])
        links.every = Faults()
        await until(lambda: all_alive(processes))

    runner(scenario)


def test_process_that_joins_during_a_partition_is_known_to_all_after_it(runner: ScenarioRunner) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        links.split({"n0", "n1"}, {"n2", "n3", "n4"})
        await until(lambda: all("dead" in p.states().values() for p in processes))
        late = await runner.fleet.start("n5", "n3")
        runner.fleet.extra.append(late)
        links.cut({"n5"}, {"n0", "n1"})
        links.cut({"n0", "n1"}, {"n5"})
        await until(lambda: processes[2].states().get("n5") == "alive")
        links.heal()
        await until(lambda: all_alive([*processes, late]))

    runner(scenario)


@pytest.mark.parametrize("way", ["its messages are lost", "it receives nothing"])
def test_process_cut_from_all_in_one_direction_is_dead_to_all_until_healed(
    runner: ScenarioRunner, way: str
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        others = {"n0", "n1", "n2", "n3"}
        links.cut(*(({"n4"}, others) if way == "its messages are lost" else (others, {"n4"})))
        await until(lambda: all(p.states().get("n4") == "dead" for p in processes[:4]))
        await asyncio.sleep(4.0)  # 20 periods in which it could flap
        for process in processes[:4]:
            assert set(process.reported_dead()) == {"n4"}
            assert not [e for e in process.events("member") if (e["before"], e["state"]) == ("dead", "alive")]
        assert processes[4].reported_dead() == []  # Its own link is at fault, so it accuses nobody
        links.heal()
        await until(lambda: all_alive(processes))

    runner(scenario)


def test_full_states_are_exchanged_and_stalled_or_invalid_callers_delay_nothing(
    runner: ScenarioRunner,
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        host, _, port = processes[0].address.rpartition(":")
        bad, before = [], processes[0].counters("exchanges_failed", "dropped_tag")
        for sent in (b"", b"\x04", b"\x00\x10" + b"x" * 16, b"\xff\xff" + b"y" * 4000, b"\x04\xb0half", b""):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(sent)
            bad.append(writer)
        # While silent callers occupy all places for exchanges, the protocol continues and detects a death.
        processes[4].send_signal()
        await until(lambda: all(p.states().get("n4") == "dead" for p in processes[:4]))
        for process in processes[:4]:
            assert set(process.reported_dead()) == {"n4"}
        for writer in bad:
            writer.close()
        now = processes[0].counters(*before)
        assert all(now[counter] > before[counter] for counter in before), (before, now)
        processes[4] = await runner.fleet.start("n4", "n1")
        await until(lambda: all_alive(processes))
        assert all(p.counters("exchanges")["exchanges"] > 0 for p in processes)

    runner(scenario)


@pytest.mark.parametrize("fault", ["stall", "garble", "cut"])
def test_link_that_breaks_connections_stops_only_the_exchange_of_full_states(
    runner: ScenarioRunner, fault: str
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        failed = {"stall": "exchanges_failed", "garble": "dropped_tag", "cut": "exchanges_failed"}[fault]
        before = sum(p.counters(failed)[failed] for p in processes)
        proxies = runner.fleet.proxies.values()
        for proxy in proxies:
            proxy.fault, proxy.faulty_connections = fault, 0
        # Each process calls another one at least every 30 periods; a death is detected meanwhile.
        processes[4].send_signal()
        await until(lambda: all(p.states().get("n4") == "dead" for p in processes[:4]))
        await until(
            lambda: (
                sum(proxy.faulty_connections for proxy in proxies) > 2
                and sum(p.counters(failed)[failed] for p in processes[:4]) > before
            )
        )
        assert all(set(p.reported_dead()) == {"n4"} for p in processes[:4])
        # A process that starts meanwhile learns of all members by gossip alone; afterwards exchanges succeed.
        processes[4] = await runner.fleet.start("n4", "n1")
        await until(lambda: all_alive(processes))
        done = sum(p.counters("exchanges")["exchanges"] for p in processes)
        for proxy in proxies:
            proxy.fault = "pass"
        await until(lambda: sum(p.counters("exchanges")["exchanges"] for p in processes) > done)

    runner(scenario)


def test_lost_hall_is_reported_by_all_and_returns_with_its_first_living_member(
    runner: ScenarioRunner,
) -> None:
    async def scenario(processes: list[Process], links: Links) -> None:
        for n in (1, 4):
            processes[n].send_signal()
        rest = [processes[n] for n in (0, 2, 3)]
        await until(lambda: all(p.halls()["h1"] == "lost" for p in rest))
        run = CliRunner().invoke(main, ["members", "--at", rest[0].admin])
        assert run.exit_code == 1 and "hall h1: LOST: 2 dead, 0 suspect, none alive" in run.output
        processes[1] = await runner.fleet.start("n1", "n0")
        await until(lambda: all(p.halls()["h1"] == "part" for p in rest))
        processes[4] = await runner.fleet.start("n4", "n0")
        await until(lambda: all_alive(processes))
        for process in rest:
            reported = [(event["hall"], event["state"]) for event in process.events("hall")]
            assert reported == [("h1", "lost"), ("h1", "back")]
            assert set(process.halls().values()) == {"whole"}

    runner(scenario)
