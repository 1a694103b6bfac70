"""Permits to be out of service, a table replicated by the agreed log. Pure, and without a clock.

A target is an API node or a downstream server. Its states are IN, and OUT under one permit. A permit is
requested, granted under a fence (the log index of the grant), and ended by ``back`` with that fence or by an
operator's ``force_back``. Its time limit ends only the holder's right to *go* out, by the clocks of holder
and driver. It never brings the target back: a target whose permit expired counts as out until ``back``.

Invariants
- In no prefix of the log are more targets out than each budget that covers them allows. Claimed permits are
  exempt; they are marked and recorded.
- A budget counts a target once, whether it is out by permit, down in the requester's view, or both.
- No two permits share a fence; fences only grow.
- The last target of a hall or of a service is never let out without a claim, whatever the budget allows.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

MAX_PERMITS = 4096
MAX_AUDIT_ENTRIES = 1024  # newest last; older entries are in the logs only


class Kind(Enum):
    NODE = "node"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Target:
    """A node or server that may be out; a budget can cover it by hall, service or hardware class."""

    name: str
    kind: Kind = Kind.NODE
    hall: str = ""
    services: tuple[str, ...] = ()
    hardware: str = ""


@dataclass(frozen=True, slots=True)
class Budget:
    """How many of the covered targets may be out: at most ``most``, or the share ``part`` of them.

    The share is rounded down, but a share above zero allows at least one.
    """

    name: str
    most: int | None = None
    part: float | None = None
    kind: Kind = Kind.NODE
    hall: str = ""  # empty: all halls together
    service: str = ""
    hardware: str = ""
    each_hall: bool = False  # the bound applies to each hall separately

    def covers(self, target: Target) -> bool:
        return (
            target.kind is self.kind
            and self.hall in ("", target.hall)
            and (not self.service or self.service in target.services)
            and self.hardware in ("", target.hardware)
        )

    def allowed(self, count: int) -> int:
        """Return how many of ``count`` targets may be out; 0 for a bound of 0, and for a single target."""
        if count <= 1:
            return 0
        if self.most is not None:
            return min(self.most, count - 1)
        # A share above zero lets one out, or a small fleet could never be replaced.
        part = 0 if not self.part else max(1, int(self.part * count + 1e-9))
        return min(part, count - 1)


@dataclass(frozen=True, slots=True)
class Permit:
    """The right of one target to be out; stored in the snapshot under these field names."""

    target: str
    holder: str  # operator, node or release that requested it
    why: str
    fence: int
    for_s: float  # seconds after which the right to go out ends
    claimed: bool = False  # granted over a budget, by an operator in an emergency
    release: str = ""  # name of the release that requested it; empty: none


class Refusal(Enum):
    UNKNOWN = "unknown target"
    HELD = "out under another permit"
    BUDGET = "over a budget"
    LAST = "the last of its hall or service"
    FULL = "too many permits"


@dataclass(frozen=True, slots=True)
class Refused:
    """Why a permit was refused, and which targets are out."""

    reason: Refusal
    budget: str = ""  # name of the budget, or of the group that would have no member left
    allowed: int = 0  # how many may be out
    out: tuple[str, ...] = ()  # targets that are out; for HELD, the holder of the other permit


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for a permit."""

    target: str
    holder: str
    reason: str
    for_s: float  # seconds after which the right to go out ends
    down: frozenset[str] = frozenset()  # targets that the requester sees as not serving
    cold: frozenset[str] = frozenset()  # nodes that are back, but have not yet proved that they serve
    claim: bool = False  # grant the permit even over a budget
    release: str = ""
    already_out: bool = False  # the target is out already, so no budget is checked


@dataclass(slots=True)
class Permits:
    """The table of permits; changed only by commands of the agreed log."""

    targets: dict[str, Target] = field(default_factory=dict)  # by name
    budgets: tuple[Budget, ...] = ()
    held: dict[str, Permit] = field(default_factory=dict)  # permits by target name
    audit: list[tuple[int, str, str, str]] = field(default_factory=list)  # (index, action, target, actor)

    def describe(self, targets: Iterable[Target], budgets: Iterable[Budget]) -> None:
        """Replace the targets and budgets; permits of targets that are no longer listed end."""
        self.targets, self.budgets = {target.name: target for target in targets}, tuple(budgets)
        self.held = {name: permit for name, permit in self.held.items() if name in self.targets}

    def request(self, index: int, request: PermitRequest) -> Permit | Refused:
        """Grant a permit under the fence ``index``, or return the refusal.

        A repeated request of the same holder returns its permit again: its first answer may have been lost.
        """
        target = self.targets.get(request.target)
        if target is None:
            return Refused(Refusal.UNKNOWN)
        held = self.held.get(request.target)
        if held is not None:
            same = held.holder == request.holder and held.release == request.release
            return held if same else Refused(Refusal.HELD, out=(held.holder,))
        if len(self.held) >= MAX_PERMITS:
            return Refused(Refusal.FULL, allowed=MAX_PERMITS)
        over = None if request.already_out else self.exceeded(target, request.down | request.cold)
        if over is not None and not request.claim:
            return over
        permit = Permit(
            request.target,
            request.holder,
            request.reason,
            index,
            request.for_s,
            over is not None,
            request.release,
        )
        self.held[request.target] = permit
        self.record(index, "claimed" if permit.claimed else "granted", request.target, request.holder)
        return permit

    def out(self, not_serving: frozenset[str] = frozenset()) -> set[str]:
        """Return all targets that count as out: those with a permit, and those that do not serve."""
        return set(self.held) | (not_serving & self.targets.keys())

    def exceeded(self, target: Target, not_serving: frozenset[str]) -> Refused | None:
        """Return the refusal by the first bound that this target would exceed; None if it fits all."""
        out = self.out(not_serving) | {target.name}
        for group, members in self._minimum_groups(target):
            if members and members <= out:
                return Refused(Refusal.LAST, group, 0, tuple(sorted(out & members - {target.name})))
        for budget in self.budgets:
            if not budget.covers(target):
                continue
            covered = {
                t.name
                for t in self.targets.values()
                if budget.covers(t) and (not budget.each_hall or t.hall == target.hall)
            }
            allowed = budget.allowed(len(covered))
            if len(out & covered) > allowed:
                others = tuple(sorted(out & covered - {target.name}))
                return Refused(Refusal.BUDGET, budget.name, allowed, others)
        return None

    def _minimum_groups(self, target: Target) -> Iterable[tuple[str, set[str]]]:
        """Yield the groups (name, members) of the target, each of which must keep one member in service."""
        peers = [t for t in self.targets.values() if t.kind is target.kind]
        if target.hall:
            yield f"hall {target.hall}", {t.name for t in peers if t.hall == target.hall}
        for service in target.services:
            yield f"service {service}", {t.name for t in peers if service in t.services}
        if not target.hall and not target.services:
            yield "the fleet", {t.name for t in peers}

    def back(self, index: int, target: str, fence: int) -> bool:
        """End the permit, as the target serves again. False: the fence is old, or the permit has ended."""
        held = self.held.get(target)
        if held is None or held.fence != fence:
            return False
        del self.held[target]
        self.record(index, "back", target, held.holder)
        return True

    def force_back(self, index: int, target: str, who: str) -> bool:
        """End a stuck permit for an operator, who vouches that the target serves."""
        if self.held.pop(target, None) is None:
            return False
        self.record(index, "forced back", target, who)
        return True

    def hand_over(self, target: str, fence: int, release: str) -> bool:
        """Assign a held permit to a release, so that its rollback needs no second permit."""
        held = self.held.get(target)
        if held is None or held.fence != fence:
            return False
        self.held[target] = replace(held, release=release)
        return True

    def valid(self, target: str, fence: int) -> bool:
        """Return whether the target's permit is still the one with this fence."""
        held = self.held.get(target)
        return held is not None and held.fence == fence

    def usage(self, not_serving: Mapping[str, str] | None = None) -> list[tuple[str, int, int]]:
        """Return (budget, targets out, targets allowed); for budgets per hall, one entry for each hall."""
        out = self.out(frozenset(not_serving or ()))
        rows = []
        for budget in self.budgets:
            covered = [t for t in self.targets.values() if budget.covers(t)]
            for hall in sorted({t.hall for t in covered}) if budget.each_hall else [""]:
                members = {t.name for t in covered if hall in ("", t.hall)}
                rows.append(
                    (f"{budget.name} {hall}".rstrip(), len(out & members), budget.allowed(len(members)))
                )
        return rows

    def record(self, index: int, what: str, target: str, who: str) -> None:
        """Append an entry to the audit, and drop the oldest beyond the maximum."""
        self.audit.append((index, what, target, who))
        del self.audit[:-MAX_AUDIT_ENTRIES]
