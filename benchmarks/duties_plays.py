"""One fleet of real processes under faults, for the benchmark of duties: each play is one fault."""

import asyncio
import random
import time
from datetime import datetime
from typing import Any

from beechrock.lab.fleet import Cut, Fleet
from beechrock.lab.fleet.checkers import check

LEASE_S = 2.0
WITHIN_S = LEASE_S + 2.0
NAMES = ("a", "b", "c", "d", "e")
EXPLAIN = (
    "duty",
    "duties.grant",
    "duties.reign",
    "duties.leads",
    "duties.not_proposed",
    "agree.lead",
    "agree.follow",
    "trial.unsealed",
    "lab",
)
STEPS = (
    ("elected", "agree.lead", {}),
    ("with a lease", "duties.leads", {"on": True}),
    ("BEGIN applied", "duties.reign", {}),
    ("grant proposed", "duties.grant", {"name": "trial"}),
    ("taking over", "duty", {"name": "trial", "state": "taking"}),
    ("holding", "duty", {"name": "trial", "state": "holding"}),
)
EXPLAINED = "name", "state", "fence", "why", "what", "proposal", "on", "sealed"


def stamp(event: dict[str, Any]) -> float:
    return datetime.fromisoformat(str(event["timestamp"])).timestamp()


class Plays:
    """One fleet, and faults one after the other."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.draw = fleet, random.Random(seed)
        self.killed: list[float] = []
        self.killed_leading: list[float] = []
        self.starved: list[tuple[float, float]] = []
        self.yielded: list[float] = []

    def acts(self, above: int = 0) -> list[dict[str, Any]]:
        return [e for e in self.fleet.events(None, "trial.act") if e["fence"] > above]

    async def holder(self, above: int = 0) -> tuple[str, int, float]:
        first = await self.fleet.until(lambda: self.acts(above), what=f"a holder above {above}")
        return str(first[-1]["node"]), int(first[-1]["fence"]), stamp(first[0])

    async def leader(self) -> str:
        async def found() -> str:
            told = {name: await self.fleet.view(name, "/duties") for name in self.fleet.up}
            return next((name for name, view in told.items() if "held_down" in view), "")

        return str(await self.fleet.until(found, what="a leader"))

    async def ready(self) -> None:
        """All are up, and all are heard by the leader."""
        await self.leader()
        await asyncio.sleep(LEASE_S)

    async def kill(self, both: bool = False) -> None:
        name, fence, _ = await self.holder()
        lead = await self.leader()
        if lead == name and not both:
            await self.hand_over()
            name, fence, _ = await self.holder()
        at = time.time()
        await self.fleet.kill(*({name, lead} if both else {name}))
        _, _, then = await self.holder(fence)
        if not both and await self.leader() == lead:
            self.killed.append(then - at)
            if then - at > WITHIN_S:
                self.explain(at, then)
        await self.fleet.start()
        await self.ready()

    async def kill_leading(self) -> None:
        """The holder that leads the agreed log too: an election, and the lease that a new reign waits."""
        name, fence, _ = await self.holder()
        while (lead := await self.leader()) != name:
            await self.hand_over()
            name, fence, _ = await self.holder(fence)
        at = time.time()
        await self.fleet.kill(lead)
        _, _, then = await self.holder(fence)
        self.killed_leading.append(then - at)
        steps = self.steps_between(at, then)
        print("      ", ", ".join(f"{step} {when:.2f}" for step, when in steps.items()), flush=True)
        if then - at > WITHIN_S:
            self.explain(at, then)
        await self.fleet.start()
        await self.ready()

    def steps_between(self, at: float, then: float) -> dict[str, float]:
        """When each step to the next act came last, in seconds after the kill."""
        steps: dict[str, float] = {}
        for event in self.fleet.history():
            if not at <= (when := stamp(event)) <= then:
                continue
            for step, name, fields in STEPS:
                if event["event"] == name and all(event.get(key) == value for key, value in fields.items()):
                    steps[step] = when - at
        return {**steps, "act": then - at}

    def explain(self, at: float, then: float) -> None:
        """What was told between the kill and the next act, in seconds after the kill."""
        for event in self.fleet.history():
            if at <= (when := stamp(event)) <= then and event["event"] in EXPLAIN:
                told = {key: event[key] for key in EXPLAINED if key in event}
                print(f"  {when - at:.2f} {event['node']} {event['event']} {told}")

    async def hand_over(self) -> None:
        name, fence, _ = await self.holder()
        at = time.time()
        status, _ = await self.fleet.call(name, "POST", "/duties/yield?name=trial")
        _, _, then = await self.holder(fence)
        if status == 200:
            self.yielded.append(then - at)

    async def stop(self) -> None:
        name, fence, _ = await self.holder()
        await asyncio.sleep(self.draw.uniform(0.0, 0.02))
        self.fleet.stop(name)
        await self.holder(fence)
        self.fleet.go_on(name)

    async def cut(self) -> None:
        name, fence, _ = await self.holder()
        others = [other for other in NAMES if other != name]
        pair = (name, others) if self.draw.random() < 0.5 else (others, name)
        self.fleet.links.cut(*pair, self.draw.choice((Cut.SILENT, Cut.REFUSE)))  # type: ignore[arg-type]
        await self.holder(fence)
        self.fleet.links.heal()

    async def slow(self) -> None:
        name, fence, _ = await self.holder()
        self.fleet.links.delay([other for other in NAMES if other != name], name, 3 * LEASE_S)
        await self.holder(fence)
        self.fleet.links.heal()

    async def kill_after_slow(self) -> None:
        """The one that was slow is heard again, and for some seconds gets what was sent to it before."""
        await self.slow()
        await self.hand_over()
        await self.kill()

    async def kill_starved(self) -> None:
        """As above, and one of the three on which the leader's lease rests then gets no processor time."""
        slow, _, _ = await self.holder()
        await self.slow()
        await self.hand_over()
        name, fence, _ = await self.holder()
        while (lead := await self.leader()) == name:
            await self.hand_over()
            name, fence, _ = await self.holder(fence)
        still = next(one for one in NAMES if one not in (slow, name, lead))
        at = time.time()
        await self.fleet.kill(name)
        for _ in range(2):
            await asyncio.sleep(0.5)
            self.fleet.stop(still)
            await asyncio.sleep(1.4)
            self.fleet.go_on(still)
        _, _, then = await self.holder(fence)
        unled, off = 0.0, None
        for event in self.fleet.events(lead, "duties.leads"):
            if event["on"] and off is not None:
                unled += max(0.0, min(stamp(event), then) - max(off, at))
            off = None if event["on"] else stamp(event)
        self.starved.append((then - at, unled + (max(0.0, then - max(off, at)) if off is not None else 0.0)))
        self.explain(at, then)
        await self.fleet.start()
        await self.ready()

    async def leap(self) -> None:
        name, _, _ = await self.holder()
        of = self.draw.choice((name, await self.leader()))
        self.fleet.clock(of, leap_s=self.draw.uniform(0.3, 20.0) * LEASE_S)
        count = len(self.acts())
        await self.fleet.until(lambda: len(self.acts()) > count + 5, what="it goes on after a leap")

    async def play(self) -> None:
        await self.draw.choice(
            (
                self.kill,
                lambda: self.kill(both=True),
                self.hand_over,
                self.stop,
                self.stop,
                self.cut,
                self.cut,
                self.slow,
                self.leap,
            )
        )()

    def judge(self) -> list[str]:
        whole = self.fleet.history()
        found = check(whole, ("agree", "duties", "sound"))
        found += [f"traceback: {name}" for name in self.fleet.troubles()]
        highest = 0
        for event in whole:
            if event["event"] == "trial.act":
                if event["fence"] < highest:
                    found.append(f"{event['node']} may act under {event['fence']} after {highest}")
                highest = max(highest, event["fence"])
        return found
