"""Callers of a run: requests at a rate, each with a key or a body of its own, and what became of them."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from beechrock.lab.fleet.errors import LabError
from beechrock.lab.fleet.fleet import Fleet
from beechrock.lab.scgi_servers import Server

GIVE_UP_S, MOST_OPEN = 10.0, 256


@dataclass(frozen=True, slots=True)
class Load:
    """``at``: the nodes that are asked; all if empty. ``again``: part of the keys that are tried twice.
    Those that are not ``keyed`` may run twice, but by one generation of policy; ``subjects`` are drawn from.
    """

    team: str
    service: str
    rate_per_s: float = 10.0
    at: tuple[str, ...] = ()
    again: float = 0.0
    keyed: bool = True
    subjects: tuple[str, ...] = ()


async def play(fleet: Fleet, load: Load, seconds: float, seed: int) -> dict[str, list[int]]:
    """By key, the status of each answer that came."""
    draw, open_, answers = random.Random(f"{seed} {load}"), set[asyncio.Task[None]](), dict[str, list[int]]()
    loop = asyncio.get_running_loop()
    end, number = loop.time() + seconds, 0

    async def ask(key: str) -> None:
        name = draw.choice(load.at or fleet.names)
        more = {"key": key} if load.keyed else {}
        if load.subjects:
            more["HTTP_X_ENTITY"] = draw.choice(load.subjects)
        try:
            status, headers, _ = await fleet.scgi(
                name, load.service, load.team, key.encode(), GIVE_UP_S, **more
            )
        except (OSError, TimeoutError, LabError):
            return
        answers[key].append(status)
        fleet.note("answered", name, key=key, status=status, receipt=headers.get("x-receipt", "")[:16])

    while loop.time() < end:
        number += 1
        key = f"lab-{seed}-{load.service}-{number}"
        answers[key] = []
        for _ in range(1 + (draw.random() < load.again)):
            if len(open_) < MOST_OPEN:
                task = asyncio.ensure_future(ask(key))
                open_.add(task)
                task.add_done_callback(open_.discard)
        await asyncio.sleep(draw.expovariate(load.rate_per_s))
    if open_:
        await asyncio.wait(open_)
    return answers


def judge(answers: dict[str, list[int]], servers: list[Server]) -> list[str]:
    """Keys that ran twice, or were answered as done and never ran, and requests that met two generations of
    policy: by the word of the servers alone. ``answers`` of keyed loads."""
    ran, plans = Counter[str](), dict[bytes, set[str]]()
    for server in servers:
        ran.update(server.keys)
        for body, met in server.plans.items():
            plans.setdefault(body, set()).update(met)
    found = [f"load: {key} ran {count} times" for key, count in ran.items() if count > 1]
    found += [
        f"load: {body.decode()} went by generations {', '.join(sorted(met))}"
        for body, met in plans.items()
        if len(met) > 1
    ]
    return found + [
        f"load: {key} was answered 200, and never ran"
        for key, told in answers.items()
        if 200 in told and not ran[key]
    ]
