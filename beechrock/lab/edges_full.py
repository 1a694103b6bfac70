"""Upstream's part, whole, on a disk that is full or fails now and then, without a node: drawn histories,
judged.

Its module, links and inventory are stand-ins; store, marks, turns and looks are the program's own.
"""

import asyncio
import random
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from beechrock.core.requests import Answer, Verdict
from beechrock.edges.causal import NOTHING, Dot
from beechrock.edges.part import EdgesPart
from beechrock.edges.told import Told
from beechrock.edges.words import Ends, Entry, Offer, Said, State, pack, unpack
from beechrock.lab.fleet.disk import Faults, LyingFiles, tell
from beechrock.parts import Context
from beechrock.store import folder as state_folder

FAULTS = ("write", "sync", "sync_names", "write sync", "write sync sync_names")  # what fails, with EIO
SERVED, REFUSED, FAILED = Verdict.SERVED, Verdict.REFUSED, Verdict.FAILED


def entry(n: int) -> Entry:
    return Entry(Dot("e/m/1", n), NOTHING, "t", "s", f"k{n}", b"body", b"digest", keep_s=1e12)


class Up:
    """One process of it; the next one on the same folder knows what was synced."""

    def __init__(self, folder: Path) -> None:
        self.control = folder / "disk.json"
        self.room()
        self.asked: dict[int, Any] = {}  # by the number: requests at the module
        self.said: dict[int, tuple[Said, State]] = {}  # in the last turn
        inventory = SimpleNamespace(classes={("t", "s"): 0}, teams={"t": 0}, differing={}, when_cut={})
        settings = SimpleNamespace(cores=99, tenants=())
        module = SimpleNamespace(
            clock=lambda: 0.0,
            post=self._asked,
            table=SimpleNamespace(by_id={}, counts=SimpleNamespace(replies={})),
            settings=settings,
        )
        talk = SimpleNamespace(
            told=SimpleNamespace(state=folder / "state"),
            key=b"k" * 32,
            life=1,
            on=lambda *a: None,
            send=self._sent,
        )
        counters = SimpleNamespace(add=lambda *a: None, record_error=lambda *a: None)
        program = SimpleNamespace(scgi=SimpleNamespace(), meaning=inventory)
        context = SimpleNamespace(
            name="up",
            module=module,
            counters=counters,
            parts={"fleet": talk},
            program=program,
            views={},
            calls={},
        )
        told = SimpleNamespace(
            at_edge=False, upstream_here=True, upstreams=("up",), most_bytes=1 << 20, members=()
        )
        with patch.object(state_folder, "open_folder", lambda where: LyingFiles(where, self.control)):
            self.part = EdgesPart(cast(Told, told), cast(Context, context))
        assert self.part.runs is not None
        self.runs = self.part.runs

    def _asked(self, taken: Any) -> bool:
        self.asked[int(taken.request.nonce[1:])] = taken.request
        return True

    def _sent(self, to: str, channel: str, message: bytes) -> bool:
        word = unpack(message)
        if isinstance(word, Ends):
            self.said |= {n: (Said(said), State(state)) for _, n, said, state, *_ in word.ends}
        return True

    def room(self, more: int | None = None) -> None:
        """So many bytes from here on; None: as many as one likes."""
        tell(
            self.control,
            Faults(
                full_bytes=1 << 40
                if more is None
                else more + sum(map(len, cast(LyingFiles, self.part.files).held.values()))
            ),
        )

    def fails(self, kinds: str) -> None:
        """These fail with EIO from here on; ``room`` ends it."""
        tell(self.control, Faults(fails=kinds))

    async def turn(self, *ns: int) -> dict[int, tuple[Said, State]]:
        """What came since, with an offer of these; what is said then."""
        self.said = {}
        if ns:
            self.part._heard(
                "m", 1, pack(Offer("e", 1, tuple(entry(n).pack() for n in ns), (False,) * len(ns)))
            )
        await self.part.step()
        return self.said

    async def look(self) -> dict[int, tuple[Said, State]]:
        """The next one at once, and a turn."""
        self.part.disk.try_at = 0.0
        return await self.turn()

    def came(self, n: int, verdict: Verdict, replied: int = 0) -> None:
        request = self.asked.pop(n)
        request.launched_at, request.replied = 1.0, replied
        request.answer(Answer(verdict, b"did"))


async def _play(
    folder: Path,
    rand: random.Random,
    steps: int,
    failing: bool,
) -> tuple[list[str], Counter[str]]:
    up, bad, seen = Up(folder), list[str](), Counter[str]()
    ran, ended, asked = Counter[int](), dict[int, State](), set[int]()

    def judge(told: dict[int, tuple[Said, State]]) -> None:
        for n, (said, state) in told.items():
            if said is Said.ENDED:
                if (state is State.APPLIED and not ran[n]) or ended.setdefault(n, state) is not state:
                    bad.append(f"{n} was said to be {state.name}, and ran {ran[n]} times")
            elif n in ended:
                bad.append(f"{n} had ended, and was said to be {said.name}")
            if said is Said.DOUBT and n not in asked:
                bad.append(f"{n} is in doubt and never went out")
        asked.update(up.asked)

    for _ in range(steps):
        had = up.runs.fallen
        judge(await up.turn(*rand.sample(range(1, 40), rand.randrange(6))))
        seen["fell"] += up.runs.fallen and not had
        for n in [n for n in up.asked if rand.random() < 0.4]:
            verdict = rand.choice((SERVED, SERVED, SERVED, REFUSED, FAILED))
            ran[n] += verdict is not REFUSED
            up.came(n, verdict, 500 if verdict is FAILED and rand.random() < 0.7 else 0)
        match rand.random():
            case draw if draw < 0.15:
                if failing and rand.random() < 0.7:
                    up.fails(rand.choice(FAULTS))
                    seen["failing"] += 1
                else:
                    up.room(rand.randrange(1000))
            case draw if draw < 0.45:
                up.room()
                judge(await up.look())
            case draw if draw < 0.5:
                seen["full as it ended"] += not up.part.disk.running
                for n in up.asked:  # nobody hears whether it ran
                    ran[n] += rand.random() < 0.5
                up = Up(folder)
        up.runs.upstream.snapshot_records = 12
    up.room()
    for _ in range(3):
        judge(await up.look())
        for n in list(up.asked):
            ran[n] += 1
            up.came(n, SERVED)
    judge(await up.turn())
    judge(told := await up.turn(*range(1, 40)))
    for n in list(up.asked):
        ran[n] += 1
        up.came(n, SERVED)
    judge(last := await up.turn(*range(1, 40)))
    bad += [f"{n} ran {times} times" for n, times in ran.items() if times > 1]
    bad += [
        f"{n} has no end"
        for n in range(1, 40)
        if (told | last).get(n, (None,))[0] not in (Said.ENDED, Said.DOUBT)
    ]
    bad += ["the part stopped"] * up.part.broken
    seen["ended"], seen["doubts"] = len(ended), len(up.runs.upstream.marks.doubts)
    return bad, seen


def play(folder: Path, seed: int, steps: int = 60, failing: bool = False) -> tuple[list[str], Counter[str]]:
    """What is broken in one drawn history, and what it had; ``failing``: writes and syncs fail there too."""
    return asyncio.run(_play(folder, random.Random(seed), steps, failing))
