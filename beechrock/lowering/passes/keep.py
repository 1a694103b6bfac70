"""Passes for the affinity to a server, the limits per team, and the priority. Pure."""

from beechrock.lowering.passes.draft import Draft, Outcome, PassContext, with_finding
from beechrock.lowering.policy import HIGHEST, Affinity, Feature
from beechrock.lowering.profile import Profile


def affinity(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    """Use the strongest affinity of the class up to the requested one; the error counts the steps down."""
    wanted = draft.affinity
    if wanted is Affinity.NONE:
        return draft
    if wanted in profile.affinity:
        return with_finding(draft, Feature.AFFINITY, Outcome.EXACT)
    best = max((a for a in profile.affinity if a < wanted), default=Affinity.NONE)
    outcome = Outcome.DROPPED if best is Affinity.NONE else Outcome.APPROXIMATED
    return with_finding(
        draft,
        Feature.AFFINITY,
        outcome,
        int(wanted) - int(best),
        f"{wanted.name.lower()} as {best.name.lower()}",
        ("affinity", wanted.name.lower()),
        affinity=best,
    )


def limits(draft: Draft, profile: Profile, pass_context: PassContext) -> Draft:
    """Drop limits for which the class has too few counters, the limit of concurrent requests first.

    Each limit needs one counter per team.
    """
    each = 1 if draft.rule.match.team is not None else pass_context.teams
    left = profile.counters
    for feature, key in ((Feature.RATE, "rate_per_s"), (Feature.AT_ONCE, "at_once")):
        if getattr(draft, key) is None:
            continue
        if each <= left:
            left -= each
            draft = with_finding(draft, feature, Outcome.EXACT)
            continue
        # With one counter for several teams a team could use up another's limit; isolation is always must.
        changed = (
            draft.with_changes(rate_per_s=None) if key == "rate_per_s" else draft.with_changes(at_once=None)
        )
        draft = with_finding(
            changed,
            feature,
            Outcome.DROPPED,
            1,
            f"{each} counters for its teams, and {left} are left",
            ("counters", draft.counters(pass_context.teams)),
        )
    return draft


def priority(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    """Map the priorities 0 to 7 to the class's levels, in order; the error is a share of the whole range."""
    if profile.levels > HIGHEST:
        return with_finding(draft, Feature.PRIORITY, Outcome.EXACT)
    level = draft.level * profile.levels // (HIGHEST + 1)
    lowest = -(-level * (HIGHEST + 1) // max(1, profile.levels))  # Lowest priority that maps to this level
    off = abs(draft.level - lowest) / HIGHEST
    outcome = Outcome.APPROXIMATED if off else Outcome.REWRITTEN
    return with_finding(
        draft,
        Feature.PRIORITY,
        outcome,
        off,
        f"one of {profile.levels} levels",
        ("levels", HIGHEST + 1),
        level=lowest,
    )
