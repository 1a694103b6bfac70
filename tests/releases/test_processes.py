"""Permits and releases with real processes, real links and faults between them."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from beechrock.cli.main import main
from beechrock.lab.fleet.checkers import check
from beechrock.lab.releases_play import Play

NAMES = ["a", "b", "c", "d", "e"]
HALLS = {"a": "east", "b": "east", "c": "east", "d": "west", "e": "west"}


def play(tmp_path: Path, work: Callable[[Play], Awaitable[None]], **more: Any) -> None:
    """Run a test on a fleet, and check the invariants over its history."""

    async def run() -> None:
        async with Play(tmp_path, NAMES, HALLS, **more) as running:
            for name in NAMES:  # requests depend on the requester's view of the others
                await running.ready(name)
            await work(running)
            history = running.fleet.history()
            found = check(history, ["agree", "duties", "releases", "sound"])
            assert not found, (found[:3], running.fleet.save_history())
            assert not running.fleet.troubles(), running.fleet.save_history()

    asyncio.run(run())


def permits(view: dict[str, Any]) -> list[str]:
    return [permit["target"] for permit in view["permits"]]


async def command(play: Play, at: str, *arguments: str) -> tuple[int, str]:
    """Run a command line against a node; return its exit code and output."""
    address = "{}:{}".format(*play.fleet.nodes[at].address("second address"))
    found = await asyncio.to_thread(CliRunner().invoke, main, [*arguments, "--at", address])
    return found.exit_code, found.output


async def back(play: Play, at: str, target: str) -> None:
    assert (await play.say(at, "return", target=target))["done"]
    await play.until(at, lambda view: target not in permits(view), f"{target} back")


def test_the_last_permit_has_one_holder_despite_a_partition_a_stopped_leader_and_a_paused_holder(
    tmp_path: Path,
) -> None:
    async def work(play: Play) -> None:
        fleet = play.fleet
        # Two operators request a permit at the same moment, on both sides of a partition.
        fleet.links.split(["a", "b"], ["c", "d", "e"])
        answers = await asyncio.gather(*(play.say(at, "ask", target=at) for at in ("a", "c")))
        unsure = ("NoQuorumError", "UnsureError")
        assert not answers[0]["done"] and answers[0]["error"] in unsure, answers
        if not answers[1]["done"]:  # the side with a majority may need longer for its leader
            assert answers[1]["error"] in unsure, answers

            async def granted() -> bool:
                return bool((await play.say("c", "ask", target="c"))["done"])

            await fleet.until(granted)
        fleet.links.heal()
        for at in ("a", "b"):
            await play.until(at, lambda view: permits(view) == ["c"], "one permit, at both sides")
        code, output = await command(play, "b", "drain", "list")
        assert (
            code == 0 and re.search("^fleet +1 +1$", output, re.M) and re.search("^c +op ", output, re.M)
        ), output
        assert "voters of the log" in output
        code, output = await command(play, "b", "drain", "ask", "d", "--as", "night")
        assert code == 1 and "out: c" in output, output
        await back(play, "e", "c")

        # The leader is stopped while it grants, and continued after the next leader has granted.
        leader = (await play.view("a"))["leader"]
        other = next(name for name in NAMES if name != leader)
        asked = asyncio.ensure_future(play.say(leader, "ask", target=leader))
        await asyncio.sleep(0)
        fleet.stop(leader)
        await play.until(other, lambda view: view["leader"] not in ("", leader), "a next leader")
        await play.until(other, lambda view: view["driver"] not in ("", leader), "a next driver")
        first = await play.say(other, "ask", target=other)
        fleet.go_on(leader)
        second = await asked
        assert not (first["done"] and second["done"]), (first, second)
        await play.until(other, lambda view: len(permits(view)) <= 1 and view["leader"], "one permit")
        for target in permits(await play.view(other)):
            await back(play, other, target)
        await play.ready(other)

        # A holder is paused past its permit's end, and must not go out after it.
        at, holder = [name for name in NAMES if name != (await play.view("a"))["leader"]][:2]
        fleet.stop(holder)
        answer = await play.say(at, "ask", target=holder, for_s=1.0)
        assert answer["done"], answer
        await play.until(at, lambda view: any(p["expired"] for p in view["permits"]), "an expired permit")
        assert not (await play.say(at, "ask", target=at))["done"]  # it never went out, but counts as out
        fleet.go_on(holder)
        await play.until(at, lambda view: not permits(view), "the permit given back unused")
        assert not [e for e in fleet.events(holder, "node.out") if e["fence"] == answer["what"]]

    # With a shorter ``gone_s``, nodes that are cut off would count as down, which would refuse permits too.
    play(tmp_path, work, voters=5, tables={"gone_s": 60.0})


def test_a_release_completes_though_its_driver_and_then_all_processes_are_killed(tmp_path: Path) -> None:
    async def work(play: Play) -> None:
        fleet = play.fleet
        # Frames are duplicated, lost and delayed, so frames of one node overtake those of another.
        fleet.links.set(NAMES, NAMES, double=0.3, drop=0.03, delay_s=0.1)
        await play.release("a", "2", canary=1, nodes="d")
        # The driver is killed after the permit was granted and before the next step.
        await fleet.until(lambda: [e for e in fleet.events(event="release") if e["what"] == "permitted"])
        driver = (await play.view("a"))["driver"]
        await play.kill(driver)
        at = next(name for name in "abc" if name != driver)
        await play.until(at, lambda view: view["driver"] not in ("", driver), "a next driver")
        await play.start(driver)
        await fleet.until(lambda: [e for e in fleet.events(event="release.change")])
        # All processes are killed at once, while one node changes its version.
        await play.kill(*NAMES)
        await play.start(*NAMES)
        release = await play.stage("a", "done")
        assert set(release["steps"].values()) == {"returned"}
        await play.until("a", lambda view: not permits(view), "none out")
        # A node killed while it was out starts drained, reports that it is out, and does not drain again. On
        # busy cores, d itself was the driver and was killed between its `go` and its report, and no process
        # of d reported that it was out.
        outs = fleet.events("d", "node.out")
        assert {e["fence"] for e in fleet.events("d", "release.change")} <= {e["fence"] for e in outs}, outs
        drained = [e["fence"] for e in outs if not e["already"]]
        assert len(drained) == len(set(drained)), outs
        assert any(e["already"] for e in outs) and fleet.events("d", "node.in"), outs

    play(tmp_path, work)


def test_a_rollback_proceeds_while_the_broken_version_uses_up_the_budget(tmp_path: Path) -> None:
    async def work(play: Play) -> None:
        fleet = play.fleet
        # Both nodes of a wave are out with a version that does not start, which uses up the budget.
        play.left |= {"b", "d"}
        await play.release("c", "bad", name="q", canary=2, nodes="b,d")
        await play.until(
            "c",
            lambda view: all(step == "sent" for step in view["releases"][-1]["steps"].values()),
            "both targets sent",
        )
        await fleet.until(lambda: not fleet.nodes["b"].up and not fleet.nodes["d"].up)
        assert not (await play.say("c", "ask", target="e"))["done"]
        code, output = await command(play, "c", "release", "back", "q", "--why", "it does not come up")
        assert code == 0, output
        await play.until(
            "c",
            lambda view: all(step == "sent" for step in view["releases"][-1]["undone"].values()),
            "both rollbacks sent",
        )
        play.left.clear()  # the bad version starts, and is then replaced by the previous one
        await play.stage("c", "undone", name="q")
        view = await play.view("c")
        assert {node["version"] for node in view["nodes"] if node["name"] in "bd"} == {"1"}
        assert not view["permits"] and not play.lost() and not play.ran_twice()
        code, output = await command(play, "c", "release", "status")
        assert code == 0 and "q: 1 -> bad: undone" in output, output
        code, output = await command(play, "c", "release", "audit")
        assert "back it does not come up" in output, output

    play(tmp_path, work, tables={"budgets": [{"name": "fleet", "most": 2}]})


def test_a_server_that_is_out_gets_no_new_work_and_the_last_one_stays_in(tmp_path: Path) -> None:
    async def work(play: Play) -> None:
        first, second = play.servers
        play.load(20)
        await play.fleet.until(lambda: first.runs)  # of two idle servers, the first in the list is used
        assert (await play.say("a", "ask", target=play.places[0]))["done"]
        await play.fleet.until(
            lambda: len({e["node"] for e in play.fleet.events(event="releases.servers")}) == len(NAMES)
        )
        await play.fleet.until(lambda: not first.open)  # open runs finish
        runs, others = first.runs, second.runs
        await play.fleet.until(lambda: second.runs > others + 20)
        assert first.runs == runs
        answer = await play.say("b", "ask", target=play.places[1])
        assert not answer["done"] and "the last of" in answer["what"], answer
        await back(play, "c", play.places[0])
        await play.fleet.until(lambda: first.runs > runs)

    play(tmp_path, work)


def test_a_lost_quorum_halts_a_release_and_its_drained_node_returns_by_a_rollback(
    tmp_path: Path,
) -> None:
    async def work(play: Play) -> None:
        fleet = play.fleet
        await play.release("a", "2", nodes="d")
        # Wait until d is drained and only waits for its operator.
        await fleet.until(lambda: fleet.events("d", "release.change"))
        fleet.stop("b", "c")
        await play.until("a", lambda view: not view["leader"], "no leader")
        answer = await play.say("a", "ask", target="e")  # takes 3 s, which is longer than quorum_s
        assert not answer["done"], answer
        fleet.go_on("b", "c")
        release = await play.stage("a", "halted")
        assert "no quorum" in release["reason"], release
        assert fleet.nodes["d"].up and (await play.view("d"))["state"] == "changing"
        await play.until("a", lambda view: view["driver"], "a driver")
        assert (await play.say("e", "word", name="r", what="back"))["done"]
        await play.stage("e", "undone")
        await play.until("d", lambda view: view["state"] == "in" and not permits(view), "d in service")

    play(tmp_path, work, tables={"gone_s": 60.0, "quorum_s": 2.0, "on_change": "wait"})


def test_a_lost_hall_halts_a_release_and_jumping_clocks_let_no_other_node_out(tmp_path: Path) -> None:
    async def work(play: Play) -> None:
        fleet = play.fleet
        await play.release("a", "2", canary=1, nodes="a,b")
        await fleet.until(lambda: [e for e in fleet.events(event="release") if e["what"] == "permitted"])
        # The other hall is lost in the middle of a wave, which exceeds the budget.
        await play.kill("d", "e")
        release = await play.stage("b", "halted", "done")
        assert release["stage"] == "halted" and "2 down" in release["reason"], release
        assert not (await play.say("b", "ask", target="c"))["done"]
        await play.until("b", lambda view: not permits(view), "nodes that were out are back")
        await play.start("d", "e")
        await play.ready("b")
        for name in NAMES[:3]:
            fleet.clock(name, leap_s=500.0)
        await play.ready("b")
        assert (await play.say("b", "word", name="r", what="resume"))["done"]
        await play.until("b", lambda view: view["releases"][0]["steps"]["b"] != "todo", "the next wave")
        for name in NAMES:
            fleet.clock(name, leap_s=2000.0)
        # At worst a node counts as late; the checker finds any other node that went out meanwhile.
        release = await play.stage("b", "halted", "done")
        if release["stage"] == "halted":
            assert (await play.say("c", "word", name="r", what="back"))["done"]
            await play.stage("c", "undone")

    play(tmp_path, work, clocks=True)


def test_permits_are_granted_despite_a_one_way_cut_of_the_leader_and_while_a_voter_is_replaced(
    tmp_path: Path,
) -> None:
    async def work(play: Play) -> None:
        fleet, place = play.fleet, play.places[0]

        async def granted(at: str) -> None:
            """Request a permit for a server and return it; the leader may change meanwhile."""

            async def once() -> bool:
                return bool((await play.say(at, "ask", target=place))["done"])

            await fleet.until(once, what=f"a permit at {at}")
            await fleet.until(lambda: returned(at), what=f"a request to return at {at}")
            await play.until(at, lambda view: not permits(view), "its return")

        async def leader() -> str:
            return str(await play.until("d", lambda view: view["leader"], "a leader"))

        async def returned(at: str) -> bool:
            return bool((await play.say(at, "return", target=place))["done"]) or not permits(
                await play.view(at)
            )

        async def voters(query: str, wanted: list[str]) -> None:
            async def done() -> bool:
                await fleet.call(await leader(), "POST", f"/agree/voters?{query}")
                views = [await fleet.view(name, "/agree") for name in fleet.up]
                return all(view["voters"] == wanted for view in views)

            await fleet.until(done, what=query)

        for deaf in (False, True):  # first nobody hears the leader, then it hears nobody
            lead = await leader()
            others = [name for name in NAMES if name != lead]
            fleet.links.cut(*((others, lead) if deaf else (lead, others)))
            await play.until("d", lambda view, lead=lead: view["leader"] not in ("", lead), "another leader")
            await granted("d")
            fleet.links.heal()
            await play.until(lead, lambda view: view["leader"], "its leader")
        load = asyncio.ensure_future(granted("e"))
        await voters("add=e", ["a", "b", "c", "e"])
        await voters("remove=b", ["a", "c", "e"])
        await load
        await play.kill("b")  # a former voter
        await granted("d")
        await play.start("b")

    play(tmp_path, work, tables={"gone_s": 60.0})
