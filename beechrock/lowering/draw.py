"""Random policies, profiles and fleets from a seed, for the tests and the benchmark of the compile. Pure."""

import random

from beechrock.lowering.policy import (
    MAX_ATTEMPT,
    MAX_SIZE,
    Affinity,
    Feature,
    Kind,
    Mark,
    Match,
    Policy,
    Pool,
    Rule,
    build_policy,
)
from beechrock.lowering.profile import KINDS, Fleet, Profile

WORDS = ("a", "ab", "abc", "abd", "b", "bc", "bcd", "c", "img/", "img/x", "img/y", "doc/")
HALLS = ("east", "north", "west")


def policy(seed: int, rules: int | None = None, teams: int = 3, services: int = 3) -> Policy:
    """Return a random policy with short subjects, so that matches overlap.

    It has ``rules`` rules, or 1 to 12 if ``rules`` is None.
    """
    draw = random.Random(seed)
    team_names, service_names = [f"t{i}" for i in range(teams)], [f"s{i}" for i in range(services)]
    effect = {s: draw.choice(("safe", "safe", "keyed", "unsafe")) for s in service_names}
    effects = {(t, s): effect[s] for t in team_names for s in service_names if draw.random() < 0.8}
    effects[team_names[0], service_names[0]] = effect[service_names[0]]
    pools = []
    for at in range(draw.randint(2, 8)):
        pools.append(
            Pool(
                f"p{at}",
                draw.choice(HALLS),
                float(draw.choice((50, 100, 400))),
                ((f"127.0.0.{at + 1}", 9000),),
                fall_back=f"p{draw.randrange(at)}" if at and draw.random() < 0.3 else None,
            )
        )
    count = draw.randint(1, 12) if rules is None else rules
    return build_policy(
        (_rule(draw, f"r{at}", at, team_names, service_names, pools, effect, rules) for at in range(count)),
        pools,
        effects,
    )


def _rule(
    draw: random.Random,
    name: str,
    at: int,
    teams: list[str],
    services: list[str],
    pools: list[Pool],
    effect: dict[str, str],
    rules: int | None,
) -> Rule:
    # In a large policy each rule names a contract, as 10,000 rules for every contract are unrealistic.
    named = rules is not None
    team = draw.choice(teams) if named or draw.random() < 0.6 else None
    service = draw.choice(services) if named or draw.random() < 0.6 else None
    kind = draw.choice(tuple(Kind))
    words = WORDS if not named else tuple(f"{w}{at:05d}" for w in WORDS)
    number = {Kind.ANY: 0, Kind.SET: draw.randint(1, 3)}.get(kind, 1)
    if named and kind is Kind.ANY:
        kind, number = Kind.EXACT, 1
    size = draw.choice(((0, MAX_SIZE), (0, MAX_SIZE), (0, 999), (1000, MAX_SIZE), (10, 5000)))
    attempt = draw.choice(((1, MAX_ATTEMPT), (1, MAX_ATTEMPT), (1, 1), (2, MAX_ATTEMPT)))
    names = draw.sample([p.name for p in pools], draw.randint(1, min(4, len(pools))))
    spare = [p.name for p in pools if p.name not in names]
    safe = effect[service] == "safe" if service is not None else set(effect.values()) == {"safe"}
    marks = [
        (f, draw.choice(tuple(Mark)))
        for f in Feature
        if f.value
        in (
            "pools",
            "halls",
            "fall_backs",
            "affinity",
            "rate",
            "at_once",
            "priority",
            *(("retries", "hedge", "mirrors") if safe else ()),
        )
        and draw.random() < 0.5
    ]
    by_name = {p.name: p for p in pools}
    named_pools = {pool_name: by_name[pool_name] for pool_name in names}
    survive = 0.0
    if draw.random() < 0.3:
        survive = min(sum(p.rate_per_s for p in named_pools.values() if p.hall != hall) for hall in HALLS)
    return Rule(
        name,
        Match(team, service, kind, tuple(draw.sample(words, number)), size, attempt),
        tuple((pool_name, draw.choice((1, 1, 2, 3, 7, 50))) for pool_name in names),
        order=draw.choice((10, 100, 100)),
        halls=tuple(draw.sample(HALLS, draw.randint(1, 3))) if draw.random() < 0.4 else (),
        fall_backs=tuple(draw.sample(spare, min(len(spare), draw.randint(0, 2)))),
        affinity=draw.choice(tuple(Affinity)),
        rate_per_s=draw.choice((None, None, 10.0)),
        at_once=draw.choice((None, None, 5)),
        retries=draw.choice((0, 0, 1, 3)),
        hedge_ms=draw.choice((None, None, 7, 50)),
        priority=draw.randint(0, 7),
        mirrors=((draw.choice(names), 10),) if draw.random() < 0.2 else (),
        survive_per_s=survive,
        expect_per_s=draw.choice((0.1, 1.0, 5.0)),
        within=draw.choice((0.02, 0.1)),
        marks=tuple(marks),
    )


def profile(draw: random.Random, name: str, able: bool) -> Profile:
    """Return the default profile, which runs every rule, if ``able``; else a random, limited one."""
    if able:
        return Profile(name)
    return Profile(
        name,
        memory_kb=draw.choice((4.0, 16.0, 64.0, 65_536.0)),
        entries=draw.choice((2, 10, 1_000_000)),
        kinds=frozenset(k for k in KINDS if draw.random() < 0.7),
        lengths=draw.choice((1, 2, 16)),
        ends=draw.random() < 0.7,
        slots=draw.choice((0, 1, 4, 16, 64)),
        tiers=draw.choice((1, 2, 4, 8)),
        affinity=frozenset(a for a in Affinity if draw.random() < 0.6),
        timers=draw.choice((0, 3, 1_000_000)),
        timer_ms=draw.choice((1, 10, 100)),
        counters=draw.choice((0, 2, 10, 1_000_000)),
        levels=draw.choice((1, 2, 3, 8)),
        retries=draw.choice((0, 1, 10)),
        mirrors=draw.random() < 0.6,
        rate_per_s=draw.choice((20.0, 10_000.0)),
    )


def fleet(seed: int, classes: int = 3) -> tuple[dict[str, Profile], Fleet]:
    """Return random class profiles and a fleet.

    The first class can run every rule; each class has machines in at least one hall.
    """
    draw = random.Random(seed)
    names = [f"c{at}" for at in range(classes)]
    profiles = {name: profile(draw, name, at == 0) for at, name in enumerate(names)}
    machines = {(name, draw.choice(HALLS)): draw.randint(1, 3) for name in names}
    machines.update({("c0", hall): 2 for hall in HALLS if draw.random() < 0.8})
    return profiles, Fleet(dict(sorted(machines.items())))
