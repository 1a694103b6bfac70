"""Last pass: checks that the remaining pools can serve the survivable rate with any one hall lost. Pure."""

from beechrock.lowering.passes.draft import Draft, Outcome, PassContext, with_finding
from beechrock.lowering.policy import Feature
from beechrock.lowering.profile import Profile


def survivable_rate(draft: Draft, pass_context: PassContext) -> tuple[float, str]:
    """Return the lowest rate of the remaining pools with one hall lost, and that hall."""
    names = {name for tier in draft.tiers for name, _ in tier}
    return min(
        (
            (
                sum(
                    pass_context.pools[pool].rate_per_s
                    for pool in sorted(names)
                    if pass_context.pools[pool].hall != hall
                ),
                hall,
            )
            for hall in pass_context.halls
        ),
        default=(0.0, ""),
    )


def survive(draft: Draft, _: Profile, pass_context: PassContext) -> Draft:
    """Record a lost survivable rate; left-out fall-backs and light pools may have been needed for it."""
    wanted = draft.rule.survive_per_s
    if not wanted:
        return draft
    rate, hall = survivable_rate(draft, pass_context)
    if rate >= wanted:
        return with_finding(draft, Feature.SURVIVE, Outcome.EXACT)
    return with_finding(
        draft,
        Feature.SURVIVE,
        Outcome.DROPPED,
        wanted - rate,
        f"without {hall} its pools take {rate:g} a second of {wanted:g}",
        ("tiers", "more"),
    )
