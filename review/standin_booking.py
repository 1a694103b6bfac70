"""The memory that the platform books for a node's requests, as the protocol page defines it."""

import time
from collections.abc import Iterable

from standin_agent import Agent
from standin_front import Try

COUNTS_AFTER_S = 0.1  # a request counts from so long after it was written, or from the start of its run


def booked_kb(tries: Iterable[Try], agents: Iterable[Agent], run_factor: float) -> float:
    """Return the memory that is booked now: each request's figure, times the run factor while it runs."""
    now, total = time.time(), 0.0
    running = {trace for agent in agents for trace in agent.runs}
    for one in tries:
        if one.trace in running:
            total += one.kb * run_factor
        elif one.written and not one.answers and not one.excused and now >= one.written + COUNTS_AFTER_S:
            total += one.kb
    return total
