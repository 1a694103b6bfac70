"""Budget spending on disk: entries of ``journal`` in a ``store`` log. One write at a time, in a thread."""

from beechrock.limits import journal
from beechrock.limits.errors import SpendingFullError
from beechrock.limits.journal import State
from beechrock.store.errors import StoreFullError
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store

PREFIX = "spending"  # prefix of the store's file names
MAX_ENTRIES = 4096  # number of log entries beyond which a snapshot replaces them
STORE_LIMITS = StoreLimits(max_bytes=64 << 20)


class SpendingDisk:
    """Budget spending of all teams: the log on the disk, and the states it holds.

    Errors of the store pass through, but a ``write`` to a full store raises SpendingFullError; nothing was
    written then.
    """

    def __init__(self, files: Files, limits: StoreLimits = STORE_LIMITS) -> None:
        self.store = Store.open(files, PREFIX, limits)
        self.states: dict[str, State] = {}  # durable state by team, also of teams that were removed
        if (saved := self.store.snapshot()) is not None:
            self.states |= journal.decode(saved[1])
        for index in range(self.store.first, self.store.last + 1):
            self.states |= journal.decode(self.store.entry(index))

    def write(self, data: bytes) -> None:
        """Append an entry and sync it.

        After StoreFailedError the entry may become durable later; the caller treats it as not written.
        """
        try:
            self.store.rewrite()  # does nothing unless an earlier write failed
            self.store.append(data)
            self.store.sync()
        except StoreFullError as error:
            raise SpendingFullError(error.what, where=PREFIX, do=error.do) from None
        self.states |= journal.decode(data)

    @property
    def needs_compaction(self) -> bool:
        """Whether the log has so many entries that a snapshot should replace them."""
        return self.store.last - self.store.first >= MAX_ENTRIES

    def compact(self, data: bytes, wall: float) -> None:
        """Replace the log by a snapshot.

        ``data`` is from ``journal.snapshot``, made after the newest write was synced. The state of a removed
        team is kept until the period after its latest period has ended at the Unix time ``wall``.
        """
        self.store.rewrite()
        states = journal.decode(data)
        for team, state in self.states.items():
            ends = max((account.period + 2 for account in state.accounts), default=0) * state.period_s
            if team not in states and wall < ends:
                states[team] = state
        self.store.save_snapshot(self.store.last, journal.encode(states))
        self.states = states

    def close(self) -> None:
        """Close the files."""
        self.store.close()
