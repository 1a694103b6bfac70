"""Passes for the order of halls, the flattening of fall-backs, and weights in slots. Pure."""

import math
from functools import lru_cache

from beechrock.lowering.passes.draft import Draft, Outcome, PassContext, Tier, with_finding
from beechrock.lowering.policy import Feature
from beechrock.lowering.profile import Profile


def halls(draft: Draft, profile: Profile, pass_context: PassContext) -> Draft:
    """Make a tier of each hall in the rule's order; pools in other halls form the last tier."""
    rule = draft.rule
    if not rule.halls:
        return draft
    place = {hall: at for at, hall in enumerate(rule.halls)}
    found: dict[int, list[tuple[str, int]]] = {}
    for name, weight in rule.pools:
        found.setdefault(place.get(pass_context.pools[name].hall, len(place)), []).append((name, weight))
    tiers = tuple(tuple(found[at]) for at in sorted(found))
    lost = max(0, len(tiers) - profile.tiers)
    if not lost:
        return with_finding(
            draft.with_changes(tiers=tiers),
            Feature.HALLS,
            Outcome.REWRITTEN if len(tiers) > 1 else Outcome.EXACT,
            reason="a tier for each hall",
        )
    # The last halls share one tier; without them the rule would have fewer servers than it names.
    last: Tier = tuple(part for tier in tiers[profile.tiers - 1 :] for part in tier)
    return with_finding(
        draft.with_changes(tiers=(*tiers[: profile.tiers - 1], last)),
        Feature.HALLS,
        Outcome.APPROXIMATED,
        lost,
        f"the last {lost + 1} halls as one",
        ("tiers", len(tiers)),
    )


def fall_backs(draft: Draft, profile: Profile, pass_context: PassContext) -> Draft:
    """Append the fall-backs and their own fall-backs as single-pool tiers, each pool once."""
    if not draft.rule.fall_backs:
        return draft
    row: dict[str, None] = {}
    own_pools = {name for name, _ in draft.rule.pools}
    for name in draft.rule.fall_backs:
        at: str | None = name
        while at is not None and at not in own_pools and at not in row:
            row[at] = None
            at = pass_context.pools[at].fall_back
    room = max(0, profile.tiers - len(draft.tiers))
    kept, lost = list(row)[:room], max(0, len(row) - room)
    draft = draft.with_changes(tiers=(*draft.tiers, *(((name, 1),) for name in kept)), own=len(draft.tiers))
    if not lost:
        flat = list(row) != list(draft.rule.fall_backs)
        return with_finding(
            draft,
            Feature.FALL_BACKS,
            Outcome.REWRITTEN if flat else Outcome.EXACT,
            reason="flattened" if flat else "",
        )
    if not kept:
        return with_finding(
            draft,
            Feature.FALL_BACKS,
            Outcome.DROPPED,
            lost,
            "no tier left",
            ("tiers", len(draft.tiers) + len(row)),
        )
    return with_finding(
        draft,
        Feature.FALL_BACKS,
        Outcome.APPROXIMATED,
        lost,
        f"the last {lost} left out",
        ("tiers", len(draft.tiers) + lost),
    )


def shares(tier: Tier, slots: int) -> Tier:
    """Convert weights to slots by largest remainder, with at least one slot for each of the heaviest pools.

    If the weights fit the slots exactly, the fewest slots possible are used.
    """
    total = sum(weight for _, weight in tier)
    ordered = sorted(tier)
    parts = math.gcd(*(weight for _, weight in ordered))
    if total // parts <= slots:
        return tuple((name, weight // parts) for name, weight in ordered)
    heaviest = sorted(ordered, key=lambda part: (-part[1], part[0]))[:slots]
    want = {name: weight * slots for name, weight in heaviest}  # In units of 1 / ``total`` slot
    given = {name: max(1, parts_wanted // total) for name, parts_wanted in want.items()}
    while sum(given.values()) > slots:  # Take back slots from pools that have more than one
        given[max(given, key=lambda pool: (given[pool] > 1, given[pool] * total - want[pool], pool))] -= 1
    while sum(given.values()) < slots:
        given[min(given, key=lambda pool: (given[pool] * total - want[pool], pool))] += 1
    return tuple(sorted(given.items()))


def share_error(tier: Tier, laid: Tier, without: frozenset[str] = frozenset()) -> float:
    """Return half the sum of the deviations of the pools' shares, rounded up.

    The result is 1 if only one of the two tiers has pools left.
    """
    given = {name: count for name, count in laid if name not in without}
    wanted = [(name, weight) for name, weight in tier if name not in without]
    total, slots = sum(weight for _, weight in wanted), sum(given.values())
    if not slots or not total:
        return float(slots != total)
    off = sum(abs(weight * slots - given.get(name, 0) * total) for name, weight in wanted)
    return off / (2 * total * slots) * (1 + 1e-12)


@lru_cache(maxsize=4096)  # Rules often have the same tiers, and classes the same numbers of slots
def _laid(tier: Tier, halls: tuple[str, ...], slots: int) -> tuple[Tier, float]:
    """Return the tier in slots and its largest error; ``halls`` are those of its pools, in their order."""
    laid = shares(tier, slots)
    worst = share_error(tier, laid)
    for hall in sorted(set(halls)) if worst else ():
        lost = frozenset(name for (name, _), at in zip(tier, halls, strict=True) if at == hall)
        worst = max(worst, share_error(tier, laid, lost))
    return laid, worst


def slots(draft: Draft, profile: Profile, pass_context: PassContext) -> Draft:
    """Convert weights to whole slots and record the largest error, also for the loss of any one hall.

    In random policies an error of 0.02 with all halls became 0.11 after the loss of one.
    """
    found, worst = list[Tier](), 0.0
    for tier in draft.tiers:
        if len(tier) == 1:
            found.append(((tier[0][0], 1),))
            continue
        laid, off = _laid(
            tier, tuple([pass_context.pools[name].hall for name, _ in tier]), max(1, profile.slots)
        )
        found.append(laid)
        worst = max(worst, off)
    if not worst:
        return with_finding(draft, Feature.POOLS, Outcome.EXACT, tiers=tuple(found))
    need = sum(weight for _, weight in draft.rule.pools)
    return with_finding(
        draft,
        Feature.POOLS,
        Outcome.APPROXIMATED,
        worst,
        f"weights in {profile.slots} slots",
        ("slots", need),
        draft.rule.within,
        tiers=tuple(found),
    )
