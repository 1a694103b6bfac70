"""Tests of edges as real processes, with faults between them; no result depends on timing."""

import asyncio
import time
from pathlib import Path

from beechrock.lab.edges_play import UP, Play, Session
from beechrock.lab.fleet.links import Cut


async def _fill(play: Play, names: tuple[str, ...], count: int, prefix: str = "q") -> Session:
    session = Session("s")
    for n in range(count):
        assert await play.write(names[n % len(names)], f"{prefix}{n}", session) == 202
    return session


def test_a_session_moves_between_two_cut_edges_and_keeps_its_order(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2"), "f": ("f1", "f2")}) as play:
            await play.cut()
            session = await _fill(play, ("e1", "e2"), 3)
            assert await play.write("f1", "moved", session) == 202
            assert await play.write("f2", "other") == 202
            status, _, _ = await play.fleet.scgi("f1", "r", "a", b"", HTTP_X_SEEN=session.seen)
            assert status == 503  # The read would not see its caller's own write
            play.join("f")
            await play.fleet.until(lambda: "other" in play.service.order)

            async def held() -> bool:
                return any(row["said"] == "held" for row in (await play.member("f1"))["held"])

            await play.fleet.until(held)
            assert "moved" not in play.service.order  # It depends on writes at the edge that is still cut off
            play.join("e")
            await play.drained()
            assert play.check() == []
            status, _, _ = await play.fleet.scgi("f1", "r", "a", b"", HTTP_X_SEEN=session.seen)
            assert status == 200

    asyncio.run(run())


def test_a_holder_stopped_in_mid_replay_sends_late_after_the_next_one(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, time_s=0.1, cores=1) as play:
            await play.cut()
            await _fill(play, ("e1", "e2", "e3"), 16)
            play.join("e")
            await play.fleet.until(lambda: len(play.service.order) >= 3)
            play.fleet.stop("e1")
            play.replayer["e"] = "e2"
            await play.fleet.restart("e2")
            await play.fleet.until(lambda: len(play.service.order) >= 8)
            play.fleet.go_on("e1")
            await play.drained()
            fences = (await play.fleet.view(UP, "/edges"))["upstream"]["fences"]
            assert fences["e"] == (await play.member("e2"))["fence"]
            assert (await play.member("e1"))["fence"] != fences["e"]
            assert play.check() == []

    asyncio.run(run())


def test_upstream_killed_in_mid_replay_leaves_doubts_and_runs_none_twice(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, time_s=2.0, cores=2) as play:
            await play.cut()
            for n in range(14):
                assert await play.write("e1", f"q{n}") == 202
            play.join("e")
            await play.fleet.until(lambda: len(play.service.order) >= 2)
            await play.fleet.kill(UP)  # Each run takes 2 s, so some are under way
            play.service.time_s = 0.01
            await play.fleet.start(UP)
            await play.fleet.until(
                play.settle, what="an operator settles the writes whose outcome is unknown"
            )
            await play.emptied()
            doubts = [e["receipt"] for e in play.fleet.events(UP, "edge.ended")]
            assert doubts and play.check() == []

    asyncio.run(run())


def test_an_upstream_that_lost_its_marks_gets_nothing_until_an_operator_says_so(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}) as play:
            assert await play.write("e1", "before") == 200
            await play.fleet.kill(UP)
            play.fleet.restore_copy(UP, "never saved")
            await play.fleet.start(UP)
            fleet = play.fleet
            await fleet.until(lambda: all(fleet.events(name, "edge.marks") for name in play.members))
            assert await play.write("e1", "before") == 202  # Sent straight, it would run a second time
            assert await play.write("e2", "after") == 202 and play.service.order == ["before"]
            asked = [
                ("e1", f"discard?receipt={play.receipts['before']}"),
                *((name, "release?receipt=marks") for name in play.members),
            ]
            for name, path in asked:
                assert (await fleet.call(name, "POST", f"/edges/{path}"))[0] == 200
            await play.drained()
            assert play.check() == [] and "after" in play.service.order

    asyncio.run(run())


def test_no_write_is_lost_with_a_silent_upstream_and_a_flapping_link(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path) as play:
            play.fleet.links.stall(UP, play.members)  # Upstream receives messages, but its own do not arrive
            statuses = [await play.write("e1", f"silent{n}") for n in range(3)]
            assert set(statuses) == {202}
            play.fleet.links.heal()
            session = Session("flap")
            for n in range(12):
                (play.fleet.links.cut if n % 2 else lambda a, b: play.fleet.links.heal())(play.members, UP)
                assert await play.write(f"e{n % 3 + 1}", f"flap{n}", session) in (200, 202)
                await asyncio.sleep(0.25)
            play.fleet.links.heal()
            await play.drained()
            assert play.check() == []

    asyncio.run(run())


def test_half_replicated_writes_a_split_edge_a_lost_disk_and_an_older_copy(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path) as play:
            await play.cut()
            play.fleet.links.cut("e1", ("e2", "e3"))  # From here on its copies reach no member
            early = await asyncio.gather(*(play.write("e1", f"half{n}") for n in range(3)))
            assert 202 not in early
            assert await play.write("e2", "big side") == 202
            play.fleet.links.set("e1", ("e2", "e3"), cut=Cut.OPEN)

            async def accepts() -> bool:
                return await play.write("e1", f"again{len(play.answers)}") == 202

            await play.fleet.until(accepts)
            play.fleet.save_copy("e3")
            await _fill(play, ("e1", "e2", "e3"), 6)

            async def copied() -> bool:
                views = [await play.member(name) for name in play.members]
                return len({str(view["waiting"]) for view in views}) == 1 and views[0]["waiting"] != {}

            await play.fleet.until(copied)  # Two copies tolerate one loss, but two members are lost here
            await play.fleet.kill("e1", "e3")
            play.fleet.restore_copy("e1", "never saved")  # Its disk is lost
            play.fleet.restore_copy("e3")
            await play.fleet.start("e1", "e3")
            await play.fleet.until(copied)
            play.join("e")
            await play.drained()
            assert play.check() == []

    asyncio.run(run())


def test_a_refused_write_in_mid_chain_holds_its_dependents_until_released(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path) as play:
            await play.cut()
            hold, skip = Session("h", "b"), Session("k", "a")
            for session, prefix in ((hold, "h"), (skip, "k")):
                for nonce in (f"{prefix}1", f"{prefix}2!", f"{prefix}3"):
                    assert await play.write("e1", nonce, session) == 202
            for nonce, expected in (("steered", (200, "200")), ("steered!", (500, "422"))):
                status, headers, _ = await play.fleet.scgi("e1", "s", "a", key=nonce, HTTP_X_GENERATION="7")
                assert (status, headers["x-replied"]) == expected  # It runs here and is not queued again
            play.join("e")
            await play.fleet.until(lambda: {"h1", "k1", "k3"} <= set(play.service.order))

            async def held() -> bool:
                return any(row["said"] == "gone" for row in (await play.member("e1"))["held"])

            await play.fleet.until(held)
            assert "h3" not in play.service.order
            status, body = await play.fleet.call("e2", "POST", f"/edges/state?receipt={play.receipts['h2!']}")
            assert status == 200 and '"refused"' in body
            status, _ = await play.fleet.call("e2", "POST", f"/edges/release?receipt={play.receipts['h3']}")
            assert status == 200
            await play.drained()
            assert play.check(ended=("h2!", "k2!")) == []
            assert (await play.fleet.call("e2", "POST", "/edges/discard?receipt=e/none/1:1"))[0] == 409

    asyncio.run(run())


def test_the_duty_moves_when_its_holder_is_killed_in_mid_replay(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, time_s=0.2, cores=1, duties=True) as play:
            await play.cut()
            for n in range(12):
                assert await play.write("e3", f"q{n}") == 202
            play.join("e")

            async def holder() -> str:
                views = {name: await play.member(name) for name in play.members if name in play.fleet.up}
                return next((name for name, view in views.items() if view["fence"] is not None), "")

            await play.fleet.until(lambda: len(play.service.order) >= 2)
            first = await play.fleet.until(holder)
            fence = (await play.fleet.view(UP, "/edges"))["upstream"]["fences"]["e"]
            await play.fleet.kill(first)
            await play.drained()
            assert await play.fleet.until(holder) != first
            assert (await play.fleet.view(UP, "/edges"))["upstream"]["fences"]["e"] > fence
            assert play.check() == []

    asyncio.run(run())


def test_a_full_disk_refuses_and_the_others_go_on(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, lying=True, replayer={"e": "e2"}) as play:
            await play.cut()
            assert await play.write("e1", "before") == 202
            play.fleet.disk("e1", full_bytes=1)
            full = [await play.write("e1", f"full{n}") for n in range(4)]
            assert set(full) <= {500, 503}
            for n in range(4):
                assert await play.write("e2", f"others{n}") == 202
            play.join("e")
            await play.fleet.until(lambda: {"before", "others3"} <= set(play.service.order))
            assert play.check() == []

    asyncio.run(run())


def test_removing_a_contract_ends_its_waiting_writes_and_reports_it(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}) as play:
            await play.cut()
            other = Session("b", "b")
            assert await play.write("e1", "gone", other) == 202
            assert await play.write("e1", "kept") == 202
            await play.contract(UP, "    b-s:", "    # b-s:")
            play.join("e")
            await play.drained()
            receipt = play.receipts["gone"]
            status, body = await play.fleet.call("e2", "POST", f"/edges/state?receipt={receipt}")
            assert status == 200 and '"refused"' in body
            assert play.check(ended=("gone",)) == [] and "kept" in play.service.order

    asyncio.run(run())


def test_terms_changed_under_a_running_edge_and_expiry_in_mid_chain(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}) as play:
            await play.cut()
            hold, skip = Session("h", "b"), Session("k", "a")

            async def both(n: int) -> None:
                for session in (hold, skip):
                    assert await play.write("e1", f"{session.name}{n}", session) == 202

            await both(1)
            await play.contract("e1", "keep_s: 3600", "keep_s: 1")
            await both(2)  # Only these were accepted under the short keep_s
            over = time.time() + 1.2
            await play.contract("e1", "keep_s: 1}", "keep_s: 3600}")
            await both(3)
            await play.contract("e1", "when_gone: hold", "when_gone: skip")  # h3 keeps its terms and is held
            await play.fleet.until(lambda: time.time() > over)
            play.join("e")
            await play.fleet.until(lambda: {"h1", "k1", "k3"} <= set(play.service.order))

            async def held() -> bool:
                return any(row["said"] == "gone" for row in (await play.member("e1"))["held"])

            await play.fleet.until(held)
            status, body = await play.fleet.call("e2", "POST", f"/edges/state?receipt={play.receipts['h2']}")
            assert status == 200 and '"expired"' in body
            assert not {"h2", "k2", "h3"} & set(play.service.order)
            assert await play.settle("release") == 1
            await play.drained()
            assert "h3" in play.service.order and play.check(ended=("h2", "k2")) == []

    asyncio.run(run())


def test_an_edge_split_in_two_takes_writes_on_both_sides(tmp_path: Path) -> None:
    async def run() -> None:
        names = ("e1", "e2", "e3", "e4")
        async with Play(tmp_path, edges={"e": names}) as play:
            await play.cut()
            play.fleet.links.split(names[:2], names[2:])
            one, other = Session("one"), Session("other")

            async def takes() -> bool:
                return await play.write("e3", f"first{len(play.answers)}", other) == 202

            await play.fleet.until(takes)  # Until each side counts only its own members, some writes fail
            for n in range(4):
                assert await play.write(names[n % 2], f"one{n}", one, HTTP_X_ENTITY="s") == 202
                assert await play.write(names[2 + n % 2], f"other{n}", other, HTTP_X_ENTITY="s") == 202
                assert await play.write(names[n], "tried on both sides") == 202
            assert await play.write("e4", "moved", one) == 202  # Its dependencies are only on the other side
            play.fleet.links.mend(UP, names)
            play.fleet.links.mend(names, UP)
            await play.fleet.until(lambda: "one3" in play.service.order)  # A write of the replayer's own side
            assert "other0" not in play.service.order
            play.fleet.links.heal()
            await play.drained()
            assert "moved" in play.service.order and play.check() == []

    asyncio.run(run())


def test_no_write_is_lost_with_a_disk_that_takes_two_seconds_per_sync(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, lying=True, replayer={"e": "e2"}) as play:
            await play.cut()
            play.fleet.disk("e1", stall_s=2.0)
            slow = asyncio.create_task(play.write("e1", "slow"))
            for n in range(4):  # The other two members copy each other's writes
                assert await play.write("e2", f"q{n}") == 202
            assert await slow in (202, 500, 503)
            play.fleet.disk("e1")
            play.fleet.disk(UP, stall_s=2.0)
            play.join("e")
            await play.fleet.until(lambda: len(play.service.order) >= 4)
            play.fleet.disk(UP)
            await play.drained()
            assert play.check() == []

    asyncio.run(run())
