"""Throughput meter, which predicts waiting times."""

import math

MIN_SAMPLES = 16.0  # Completions below which the meter forgets more slowly, for the sake of light traffic


class ThroughputMeter:
    """Measures completions per second of full use: light load doesn't look slow, a stall when full does."""

    __slots__ = ("busy_s", "count", "memory_s", "work")

    def __init__(self, memory_s: float) -> None:
        self.memory_s = memory_s
        self.work = 0.0  # Completed work, decayed, in units of work or calls
        self.count = 0.0  # Number of completions, decayed
        self.busy_s = 0.0  # Time of full use, decayed, in seconds

    def advance(self, passed_s: float, fullness: float) -> None:
        """Account for elapsed time; ``fullness`` is the part of the capacity in use, where 1 is full."""
        busy_s = passed_s * min(1.0, fullness)
        memory = math.exp(-busy_s * min(1.0, self.count / MIN_SAMPLES) / self.memory_s)
        self.work = self.work * memory
        self.count = self.count * memory
        self.busy_s = self.busy_s * memory + busy_s

    def add(self, work: float) -> None:
        """Count one completion and its work."""
        self.work += work
        self.count += 1

    def wait(self, work: float) -> float:
        """Return the predicted seconds to complete this work; 0 before the first completion."""
        return work * self.busy_s / self.work if self.work > 0 else 0.0
