"""The Abacus Filter: computes the Retry-After of rejected requests.

Time is divided into slots. Each slot has tokens, one for each request that the node can take in that slot
beyond the arrivals it expects. A rejected request takes a token of a later slot, and its Retry-After is the
time until that slot. Each empty slot that the search passes counts one borrowed request: that many returning
requests are sent on by one more offset, without a token, when the slot comes to the front.
"""

import math

from beechrock.policy.context import Context
from beechrock.policy.meter import ThroughputMeter

RATE_SLOTS = 6.0  # Time constant of the mean arrival rate, in slots
PEAK_RATE_DECAY = 0.995  # Factor on the peak rate at each slot's end, so that an old peak is forgotten
# The first Retry-After is the minimum of these two and the settings' longest Retry-After, in seconds.
FIRST_OFFSET_S = 3.0
OFFSET_OBJECTIVES = 0.6  # Share of the mean latency objective; callers that wait longer return all at once
# Bounds on the slots: a short objective with a long deadline would need very many, and all are copied at
# the end of each slot.
MIN_SLOT_S = 0.01
MAX_SLOTS = 4096
OFFSET_SLOTS = (3, 9, 21)  # Slots until a retry: the first offset, then 3 * 2^k more; no caller waits longer
MIN_BUSY_OBJECTIVES = 0.5  # Time of full use, in mean objectives, before the completion rate is trusted


class AbacusFilter:
    """Owns the slots, their tokens and their counts of borrowed requests."""

    def __init__(self, context: Context) -> None:
        self._context = context
        longest_s = context.settings.max_retry_after_s or FIRST_OFFSET_S
        self.longest_offset_s = min(FIRST_OFFSET_S, longest_s)
        self.first_offset_s = min(self.longest_offset_s, OFFSET_OBJECTIVES * context.mean_objective_s)
        self.slot_s = max(self.first_offset_s / OFFSET_SLOTS[0], MIN_SLOT_S)
        self.slot_end_s = context.now_s + self.slot_s  # End of the current slot, in monotonic seconds
        self.tokens = self._empty_slots()
        self.borrowed = self._empty_slots()
        self._token_fraction = 0.0  # Fraction of a token that is carried over to the next new slot
        self.arrivals = 0.0  # First attempts that arrived in the current slot; retries don't count
        self.arrival_rate = 0.0  # Mean first attempts per second
        self.peak_rate = 0.0  # Highest recent rate of completions per second of full use

    def _empty_slots(self) -> list[int]:
        deadline_s = max(entry.deadline_s for entry in self._context.settings.classes)
        return [0] * min(int(deadline_s / self.slot_s) + 1, MAX_SLOTS)

    def add_slots(self) -> None:
        """Add slots if changed settings have a longer deadline."""
        more = self._empty_slots()[len(self.tokens) :]
        self.tokens = self.tokens + more
        self.borrowed = self.borrowed + more

    def skip_pause(self) -> None:
        """Skip slots after a long pause: all tokens have expired, and going through more costs time."""
        self.slot_end_s = max(self.slot_end_s, self._context.now_s - MAX_SLOTS * self.slot_s)

    def end_slot(self, cores: ThroughputMeter) -> None:
        """Remove the front slot and append one with ``(peak rate - arrival rate) * slot_s`` tokens."""
        self.slot_end_s += self.slot_s
        self.arrival_rate += (self.arrivals / self.slot_s - self.arrival_rate) / RATE_SLOTS
        self.arrivals = 0.0
        rate_known = cores.busy_s > MIN_BUSY_OBJECTIVES * self._context.mean_objective_s
        rate = cores.count / cores.busy_s if rate_known else 0.0
        self.peak_rate = max(PEAK_RATE_DECAY * self.peak_rate, rate)
        free = max(0.0, self.peak_rate - self.arrival_rate) * self.slot_s
        self._token_fraction, tokens = math.modf(self._token_fraction + free)
        self.tokens = [*self.tokens[1:], int(tokens)]
        self.borrowed = [*self.borrowed[1:], 0]

    def borrow(self, give_up_s: float) -> float | None:
        """Return the Retry-After of a rejected request in seconds; None if no slot in reach has a token."""
        if self.borrowed[0] > 0:
            self.borrowed[0] -= 1
            return self.first_offset_s
        reachable = [
            slot for slot in OFFSET_SLOTS if slot < len(self.tokens) and slot * self.slot_s <= give_up_s
        ]
        for index, slot in enumerate(reachable):
            if self.tokens[slot] > 0:
                self.tokens[slot] -= 1
                for passed in reachable[:index]:
                    self.borrowed[passed] += 1
                return slot * self.slot_s
        return None
