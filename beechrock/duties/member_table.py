"""The leader's table of members, filled from each member's own requests.

States of a member: serving; drained or leaving; silent (its last request is so old that it is granted
nothing). Events: a member's request, a tick, a gap of the leader's clock. Invariants: the table has at most
``MAX_MEMBERS`` members; a request from an earlier process of a member than the latest known one changes
nothing.
"""

from collections.abc import Collection, Iterable

from beechrock.duties.messages import RenewalRequest
from beechrock.duties.model import Duty, Member, ineligibility_reason
from beechrock.duties.pace import HoldDown

MAX_MEMBERS = 512  # maximum number of members in the table
MAX_REASONS = 8  # maximum number of members whose ineligibility is listed for operators


class MemberTable:
    """Table of the members known to the leader.

    ``hold_down`` records a failure for each member that returns without having announced that it leaves.
    """

    def __init__(self, hold_down: HoldDown) -> None:
        self._hold_down = hold_down
        self._members: dict[str, Member] = {}
        self._supported_digests: dict[str, int] = {}  # digest of the supported duties, by member
        self._departed: set[str] = set()  # names of members that announced that they leave

    # --- requests

    def update(self, now_s: float, sender: str, request: RenewalRequest) -> bool:
        """Update the member from its request; return False if the request must not be answered."""
        member = self._members.get(sender)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return False
            member = Member(
                sender, request.life, request.hall, request.hardware, request.serving, frozenset(), now_s
            )
            self._members[sender] = member
        elif request.life < member.life:
            return False
        if member.silent or request.life > member.life:
            self._on_member_back(now_s, member, request)
        member.life = request.life
        member.hall = request.hall
        member.hardware = request.hardware
        member.serving = request.serving
        member.silent = False
        member.last_request_s = now_s
        if request.leaving:
            self._departed.add(sender)
        if request.supported is not None:
            member.supported = frozenset(request.supported)
            self._supported_digests[sender] = request.supported_digest
        return True

    def _on_member_back(self, now_s: float, member: Member, request: RenewalRequest) -> None:
        """Hold the member down unless it had announced that it leaves, and reset it if its process is new."""
        if member.name not in self._departed:
            self._hold_down.record_failure(member.name, now_s)
        if request.life > member.life:
            self._departed.discard(member.name)
            self._supported_digests.pop(member.name, None)
            member.supported = frozenset()

    def needs_supported(self, sender: str, digest: int) -> bool:
        """Return whether the member must send the names of the duties for which it has workers."""
        return self._supported_digests.get(sender) != digest

    # --- time

    def mark_silent(self, now_s: float, silence_s: float) -> None:
        """Mark the members from which nothing was received for longer than ``silence_s``."""
        for member in self._members.values():
            member.silent = member.silent or now_s - member.last_request_s > silence_s

    def discount_gap(self, now_s: float, shift_s: float) -> None:
        """Exclude a gap of the leader's clock from the time since each member's last request."""
        for member in self._members.values():
            member.last_request_s = min(now_s, member.last_request_s + shift_s)

    # --- queries

    def get(self, name: str) -> Member | None:
        """Return the member, or None if no request from it was received."""
        return self._members.get(name)

    def all(self) -> Collection[Member]:
        """Return all members."""
        return self._members.values()

    def recent(self, now_s: float, within_s: float) -> list[Member]:
        """Return the members whose last request is at most ``within_s`` old.

        When several members fail together, some of them are not silent yet when the first one's lease
        expires. Without this filter, duties would move from one dead member to the next.
        """
        return [member for member in self._members.values() if now_s - member.last_request_s <= within_s]

    def living_count(self) -> int:
        """Return the number of members that serve, are not silent and have a worker for some duty."""
        return sum(
            member.serving and not member.silent and bool(member.supported)
            for member in self._members.values()
        )

    def ineligibility_reasons(self, duty: Duty) -> str:
        """Return, as a text for operators, why each member may not hold the duty."""
        members = list(self._members.values())[:MAX_REASONS]
        reasons = ", ".join(f"{member.name} {ineligibility_reason(duty, member)}" for member in members)
        return reasons or "none heard"


def alternatives(duty: Duty, holder: str, members: Iterable[Member]) -> list[str]:
    """Return the names of the members other than the holder that may hold the duty."""
    return [
        member.name for member in members if member.name != holder and not ineligibility_reason(duty, member)
    ]
