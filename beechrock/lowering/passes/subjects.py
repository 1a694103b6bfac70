"""Passes for the match conditions: a match is kept exactly, or the class can't run the rule. Pure."""

from beechrock.lowering.passes.draft import Draft, Outcome, PassContext, with_finding
from beechrock.lowering.policy import END, MAX_ATTEMPT, MAX_SIZE, Feature, Kind
from beechrock.lowering.profile import Profile


def sets_to_exacts(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    """Convert a set into exact subjects if the class does not support sets."""
    if draft.kind is not Kind.SET or profile.has("set"):
        return draft
    return with_finding(
        draft.with_changes(kind=Kind.EXACT),
        Feature.MATCH,
        Outcome.REWRITTEN,
        reason=f"a set as {len(draft.exacts)} single subjects",
    )


def exacts_to_prefixes(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    """Convert exact subjects into prefixes with an end mark if the class lacks exact subjects.

    Without the end mark the prefix "ab" would also match "abc".
    """
    if draft.kind is Kind.PREFIX and not profile.has("prefix"):
        return with_finding(
            draft, Feature.MATCH, Outcome.DROPPED, reason="no prefixes", need=("kinds", "prefix")
        )
    if draft.kind is not Kind.EXACT or profile.has("exact"):
        return draft
    if not (profile.has("prefix") and profile.ends):
        return with_finding(
            draft,
            Feature.MATCH,
            Outcome.DROPPED,
            reason="no single subjects, and no ends of prefixes",
            need=("kinds", "exact"),
        )
    return with_finding(
        draft.with_changes(kind=Kind.PREFIX, exacts=(), prefixes=tuple(s + END for s in draft.exacts)),
        Feature.MATCH,
        Outcome.REWRITTEN,
        reason="a single subject as a prefix with its end",
    )


def ranges(draft: Draft, profile: Profile, _: PassContext) -> Draft:
    """Reject rules with size or attempt ranges that the class does not support.

    Without its ranges a rule would match requests that are not its own.
    """
    if draft.size != (0, MAX_SIZE) and not profile.has("size"):
        draft = with_finding(draft, Feature.MATCH, Outcome.DROPPED, reason="no sizes", need=("kinds", "size"))
    if draft.attempt != (1, MAX_ATTEMPT) and not profile.has("attempt"):
        draft = with_finding(
            draft, Feature.MATCH, Outcome.DROPPED, reason="no attempts", need=("kinds", "attempt")
        )
    return draft
