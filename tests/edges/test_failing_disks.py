"""Tests of edges and upstream with disk operations that fail for a while: real processes under traffic.

The history is checked: accepted writes run once and in order, and refused writes never run.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from beechrock.edges import build
from beechrock.edges.actions import Accepted, Action, Done, Send, Turned
from beechrock.edges.causal import NOTHING, Dot
from beechrock.edges.link import LinkState
from beechrock.edges.member import SYNC_FAILED, Member
from beechrock.edges.words import Copied, Copy, Entry, Names, Write
from beechrock.lab.edges_play import UP, Play, Session
from beechrock.lab.fleet.errors import LabError
from beechrock.store.errors import StoreFailedError, StoreFullError

EACH = 12  # Number of answers with a status to wait for, during a fault and outside of it
DISKS = [("sync", "EIO"), ("read write sync sync_names", "EIO"), ("write sync", "ENOSPC")]


class Traffic:
    """Sessions that write at the members in turn, each write after the session's last one; counts answers."""

    def __init__(self, play: Play, names: tuple[str, ...]) -> None:
        self.play, self.names = play, names
        self.ends = asyncio.Event()
        self.seen: Counter[tuple[str, int]] = Counter()

    async def session(self, number: int) -> None:
        session, n = Session(f"s{number}"), 0
        while not self.ends.is_set():
            name = self.names[(number + n) % len(self.names)]
            with suppress(LabError):  # The node is down
                status = await self.play.write(name, f"{session.name}-{n}", session)
                self.seen[name, status] += 1
            n += 1
            await asyncio.sleep(0.01)

    async def more(self, name: str, *statuses: int, least: int = EACH) -> None:
        """Wait until a node has given ``least`` more answers with these statuses."""

        def count() -> int:
            return sum(self.seen[name, status] for status in statuses)

        before = count()
        await self.play.fleet.until(lambda: count() >= before + least, what=f"{name} {statuses}")


@asynccontextmanager
async def traffic(play: Play, *names: str) -> AsyncIterator[Traffic]:
    made = Traffic(play, names)
    tasks = [asyncio.create_task(made.session(number)) for number in range(4)]
    try:
        yield made
    finally:
        made.ends.set()
        await asyncio.gather(*tasks)


async def looked(play: Play, name: str, least: int = 2) -> None:
    """Wait until a node's disk has been checked at least so often while it fails."""

    async def looks() -> bool:
        return int((await play.fleet.view(name, "/edges"))["disk"].get("looks", 0)) >= least

    await play.fleet.until(looks, what=f"looks at the disk of {name}")


@pytest.mark.parametrize(("fails", "kind"), DISKS)
def test_an_edges_member_whose_disk_fails_under_traffic_refuses_and_comes_back_by_itself(
    tmp_path: Path,
    fails: str,
    kind: str,
) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}, lying=True) as play:
            fleet = play.fleet
            await play.cut()
            async with traffic(play, "e1", "e2") as callers:
                await callers.more("e1", 202)
                fleet.disk("e1", fails=fails, fails_as=kind)
                await callers.more("e1", 503)
                await looked(play, "e1")
                view = (await fleet.view("e1", "/edges"))["disk"]
                assert view["state"] in ("full", "failing", "trying") and "goes on by itself" in view["do"]
                fleet.disk("e1")
                await fleet.until(lambda: fleet.events("e1", "edges.disk_room"))
                await callers.more("e1", 202)
                fleet.disk("e1", fails=fails, fails_as=kind)
                await callers.more("e1", 503)
                await fleet.kill("e1")  # The writes it accepted are on its disk and on the other member's
                fleet.disk("e1")
                await fleet.start("e1")
                await callers.more("e1", 202)
            play.join("e")
            await play.drained()
            assert play.check() == [] and len(play.accepted) >= 3 * EACH
            assert not fleet.events("e1", "edges.stopped") and not fleet.events("e2", "edges.disk_failing")
            # The other member could not copy to it meanwhile, and refused writes before it stored them.
            assert callers.seen["e2", 503]

    asyncio.run(run())


@pytest.mark.parametrize(("fails", "kind"), DISKS)
def test_an_upstream_whose_disk_fails_under_traffic_runs_nothing_twice_and_comes_back_by_itself(
    tmp_path: Path,
    fails: str,
    kind: str,
) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}, lying=True) as play:
            fleet = play.fleet
            async with traffic(play, "e1", "e2") as callers:
                await callers.more("e1", 200)
                fleet.disk(UP, fails=fails, fails_as=kind)
                await looked(play, UP)
                await callers.more("e1", 202)  # Edges queue writes meanwhile
                fleet.disk(UP)
                await fleet.until(lambda: fleet.events(UP, "edges.disk_room"))
                # Callers that write faster than the replay wait for their own last writes: no 200 here.
                ran = len(fleet.events(UP, "edge.applied"))
                await fleet.until(lambda: len(fleet.events(UP, "edge.applied")) >= ran + EACH)
            await play.drained()
            assert await play.write("e1", "straight again") == 200
            assert play.check() == [] and len(play.accepted) >= EACH
            assert not fleet.events(UP, "edges.stopped")
            receipts = [event["receipt"] for event in fleet.events(UP, "edge.applied")]
            queued = [receipt for receipt in receipts if not receipt.endswith(":0")]  # 0 is a straight write
            assert queued and len(queued) == len(set(queued))
            assert (await fleet.view(UP, "/edges"))["upstream"]["doubts"] == []

    asyncio.run(run())


@pytest.mark.parametrize("fails", ["sync", "write sync sync_names"])
def test_a_named_holder_whose_disk_fails_under_traffic_gives_way_and_follows_once_it_works(
    tmp_path: Path,
    fails: str,
) -> None:
    async def run() -> None:
        ups = ("u1", "u2", "u3")
        async with Play(tmp_path, edges={"e": ("e1", "e2")}, ups=ups, lying=True, duties=True) as play:
            fleet, first = play.fleet, await play.holder()
            async with traffic(play, "e1", "e2") as callers:
                await callers.more("e1", 200, 202)
                fleet.disk(first, fails=fails)
                second = await play.holder(besides=first)
                await callers.more("e1", 200, 202)
                fleet.disk(first)

                async def follows() -> bool:
                    marks = await play.marks(first)
                    return bool(marks["state"] == "standby" and marks["holder"] == second)

                await fleet.until(follows)
            await play.emptied()
            # Writes under way when the holder stepped down are in doubt; ``emptied`` discards them.
            ended = {event["receipt"] for event in fleet.events(None, "edge.ended")}
            nonces = tuple(
                event["nonce"] for event in fleet.events(None, "edge.accepted") if event["receipt"] in ended
            )
            assert play.check(ended=nonces) == [] and len(nonces) < len(play.accepted)
            assert fleet.events(first, "edges.disk_failing") and not fleet.events(first, "edges.stopped")

    asyncio.run(run())


@pytest.mark.parametrize("synced", [1, 2])
def test_after_a_failed_sync_no_promise_of_that_turn_goes_out(synced: int) -> None:
    member = cast(Any, SimpleNamespace(store=SimpleNamespace(failed="no sync", synced=synced, last=2)))
    kept: list[Action] = [Turned(2, 1.0, "full"), Send("e2", Copy((b"entry",)))]
    accepted = Accepted(1, Dot("e/e1/1", 1), NOTHING, ("e1",))
    promises: list[Action] = [accepted, Send("e2", Copied((("w", 1),)))]
    assert Member.filter_promises(member, [*promises, *kept]) == (
        [Done(1, "failed", SYNC_FAILED), *kept] if synced < 2 else [*promises, *kept]
    )


def test_a_write_whose_append_failed_is_reported_as_possibly_run() -> None:
    """A full disk has written nothing; after a failed append it is unknown how much was written."""
    entry = Entry(Dot("e/e2/1", 1), NOTHING, "a", "s", "other", b"body", b"digest", keep_s=60.0).pack()
    for error, expected in ((StoreFullError("full"), Turned), (StoreFailedError("no write"), Done)):
        log = Refusing(error)
        edge = build.edge(
            Names("e", "e1", "1", ("e1",), (UP,)),
            cast(Any, log),
            0.0,
            probe_s=0.1,
            copies=1,
            most_bytes=1 << 20,
            shares={},
        )
        edge.link.state = LinkState.CUT
        [answer] = edge.write(1.0, 1.0, Write(7, "a", "s", "k", b"body", b"digest"))
        assert isinstance(answer, expected) and answer.ref == 7 and edge.copies.disk_error is error
        assert edge.hear(1.0, 1.0, "e1", Copy((entry,))) == []  # No copy is acknowledged either


class Refusing:
    """A log whose appends all raise one error."""

    first, last, bytes_held = 1, 0, 0

    def __init__(self, error: Exception) -> None:
        self.error = error

    def append(self, data: bytes) -> int:
        raise self.error
