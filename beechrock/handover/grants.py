"""The keys that the predecessor granted to this process. Pure.

States of a grant: IN USE (by attempts here), CLAIMED (a run began under it); in any other case it is returned
to the predecessor.
Invariant: a grant is released only when no attempt here uses it and no run was claimed under it.
"""

from dataclasses import dataclass

from beechrock.core.idempotency import SLACK_S

MAX_GRANTS = 20_000  # Maximum number of grants; only grants in use or claimed are kept


@dataclass(slots=True)
class Grant:
    """A key that was granted to this process; times are its steady seconds."""

    uses: int = 0  # Number of attempts that use this grant
    claimed: bool = False  # Whether a run began under this grant
    until_s: float = 0.0  # Time until which the other process keeps the key reserved for this one
    run_until_s: float = 0.0  # End of the window of the run under this grant
    digest: bytes = b""  # Digest of the body of the run's request
    given_back: bool = False  # Whether the grant was returned and the key's earlier run counts again

    def covers(self, born_s: float, until_s: float) -> bool:
        """Return whether this grant permits an attempt, as a repeat of its run or as the run itself.

        The other process would not keep the key reserved for the whole window of a run that exceeds the
        grant. It could also run the key itself before it reads the claim of a second run under the same
        grant. In either case a new grant is needed.
        """
        if self.claimed:
            return born_s <= self.run_until_s + SLACK_S
        return until_s <= self.until_s


class GrantTable:
    """The grants by key."""

    def __init__(self, linger_s: float) -> None:
        self.grants: dict[bytes, Grant] = {}
        self._linger_s = linger_s

    @property
    def is_full(self) -> bool:
        """Return whether the maximum number of grants is reached."""
        return len(self.grants) >= MAX_GRANTS

    def finish_use(self, key: bytes) -> bool:
        """Note that an attempt no longer uses the key's grant, and return whether the grant was removed."""
        if key not in self.grants:
            return False
        self.grants[key].uses -= 1
        return self.give_back(key)

    def give_back(self, key: bytes) -> bool:
        """Remove a grant if it is neither in use nor claimed, and return whether it was removed."""
        grant = self.grants[key]
        if grant.uses > 0 or grant.claimed:
            return False
        del self.grants[key]
        return True

    def sweep(self, now_s: float) -> None:
        """Drop unused grants whose run no later attempt can repeat."""
        linger_s = self._linger_s
        for key in [
            key
            for key, grant in self.grants.items()
            if grant.claimed and grant.uses <= 0 and grant.until_s + SLACK_S + linger_s < now_s
        ]:
            del self.grants[key]
