"""Last pass: checks that the remaining pools can serve the survivable rate with any one hall lost. Pure."""

from beechrock.lowering.passes.draft import Around, Draft, Outcome, noted
from beechrock.lowering.policy import Feature
from beechrock.lowering.profile import Profile


def carried(draft: Draft, around: Around) -> tuple[float, str]:
    """Return the lowest rate of the remaining pools with one hall lost, and that hall."""
    names = {name for tier in draft.tiers for name, _ in tier}
    return min(
        (
            (
                sum(
                    around.pools[pool].rate_per_s for pool in sorted(names) if around.pools[pool].hall != hall
                ),
                hall,
            )
            for hall in around.halls
        ),
        default=(0.0, ""),
    )


def survive(draft: Draft, _: Profile, around: Around) -> Draft:
    """Record a lost survivable rate; left-out fall-backs and light pools may have been needed for it."""
    wanted = draft.rule.survive_per_s
    if not wanted:
        return draft
    rate, hall = carried(draft, around)
    if rate >= wanted:
        return noted(draft, Feature.SURVIVE, Outcome.EXACT)
    return noted(
        draft,
        Feature.SURVIVE,
        Outcome.DROPPED,
        wanted - rate,
        f"without {hall} its pools take {rate:g} a second of {wanted:g}",
        ("tiers", "more"),
    )
