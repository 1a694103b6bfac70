"""Memory of a node: accounts for open requests, idempotency entries and the node's other process."""

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.idempotency import IdempotencyKeys
from beechrock.policy.other_process import OtherProcess
from beechrock.policy.phases import RUNNING, Phase

# Both shares leave a reserve for memory that the node learns of one batch late.
ADMIT_MEMORY_SHARE = 0.80  # Share of the memory up to which requests are admitted
RUN_MEMORY_SHARE = 0.93  # Share of the memory up to which runs are started


class MemoryAccount:
    """Counts the memory of requests, which depends on their phases."""

    def __init__(self, context: Context, keys: IdempotencyKeys, other_process: OtherProcess) -> None:
        self._context = context
        self._keys = keys
        self._other_process = other_process
        running_factor = context.settings.running_memory_factor or 1.0
        self._factor_by_phase = (0.0, 1.0, 1.0, running_factor, running_factor, running_factor)
        self.held_kb = 0.0  # Memory of all open requests, in kilobytes
        self.blocked_kb = 0.0  # Memory that this decision lacked to start a held run, in kilobytes

    def move(self, size_kb: float, before: Phase, after: Phase) -> None:
        """Update the total for a request of this size that changes its phase."""
        self.held_kb += size_kb * (self._factor_by_phase[after] - self._factor_by_phase[before])

    def clear(self) -> None:
        """Reset the total to zero when no request is open, so that rounding errors don't add up."""
        self.held_kb = 0.0

    def total_kb(self) -> float:
        """Return the memory of this process in kilobytes: its requests and idempotency entries."""
        return self.held_kb + len(self._keys.ids) * (self._context.settings.idempotency_entry_kb or 0.0)

    def is_full(self, more_kb: float, share: float) -> bool:
        """Return whether ``more_kb`` of additional use would exceed this share of the memory.

        The other process's load was reported some time ago, so a limit that both have agreed on comes first.
        """
        limit_kb = self._other_process.memory_limit_kb
        if limit_kb is not None:
            return self.total_kb() + more_kb > share * limit_kb
        total_kb = self.total_kb() + self._other_process.load.held_kb + more_kb
        return total_kb > share * self._context.settings.memory_kb

    def blocks_run(self, size_kb: float) -> bool:
        """Return whether memory is too full to start a held request of this size."""
        more_kb = size_kb * (self._factor_by_phase[RUNNING] - 1)
        if not self.is_full(more_kb, RUN_MEMORY_SHARE):
            return False
        self.blocked_kb = more_kb
        return True

    def never_fits(self, request: api.Request, request_class: api.ClassSettings) -> bool:
        """Return whether a run needs more memory than the node has, even if nothing else runs.

        Such a request would block the head of the queue, and all requests behind it, until it is too late.
        """
        settings = self._context.settings
        keyed = request_class.idempotency is api.Idempotency.KEYED
        entry_kb = (settings.idempotency_entry_kb or 0.0) * keyed
        run_kb = request.size_kb * max(1.0, self._factor_by_phase[RUNNING])
        return run_kb + entry_kb > RUN_MEMORY_SHARE * settings.memory_kb
