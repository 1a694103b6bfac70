"""Passes for retries, hedges and mirrors, which send a request more than once. Pure.

``tables.Action.once`` removes them for requests that must not run twice.
"""

from beechrock.lowering.passes.draft import Draft, Outcome, PassContext, with_finding
from beechrock.lowering.policy import Feature
from beechrock.lowering.profile import Profile


def retries(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    if not draft.retries:
        return draft
    lost = max(0, draft.retries - profile.retries)
    if not lost:
        return with_finding(draft, Feature.RETRIES, Outcome.EXACT)
    return with_finding(
        draft.with_changes(retries=profile.retries),
        Feature.RETRIES,
        Outcome.APPROXIMATED if profile.retries else Outcome.DROPPED,
        lost,
        f"{profile.retries} in place of {draft.retries}",
        ("retries", draft.retries),
    )


def hedges(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    """Round a hedge's delay up to the timer resolution; an earlier hedge would exceed the policy."""
    if draft.hedge_ms is None:
        return draft
    if profile.timers < 1:
        return with_finding(
            draft.with_changes(hedge_ms=None),
            Feature.HEDGE,
            Outcome.DROPPED,
            draft.hedge_ms,
            "no timers",
            ("timers", 1),
        )
    step = max(1, profile.timer_ms)
    wait = -(-draft.hedge_ms // step) * step
    if wait == draft.hedge_ms:
        return with_finding(draft, Feature.HEDGE, Outcome.EXACT)
    return with_finding(
        draft.with_changes(hedge_ms=wait),
        Feature.HEDGE,
        Outcome.APPROXIMATED,
        wait - draft.hedge_ms,
        f"timers of {step} ms",
        ("timer_ms", 1),
    )


def mirrors(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    if not draft.mirrors:
        return draft
    if profile.mirrors:
        return with_finding(draft, Feature.MIRRORS, Outcome.EXACT)
    return with_finding(
        draft.with_changes(mirrors=()),
        Feature.MIRRORS,
        Outcome.DROPPED,
        len(draft.mirrors),
        "no mirrors",
        ("mirrors", True),
    )
