"""Shared state of the parts of a node: the settings, the time and the actions of the current decision."""

from beechrock import interface as api


class Context:
    """Settings and time of a node. Only ``Node`` changes them; its parts read them and append actions."""

    __slots__ = ("actions", "mean_objective_s", "now_s", "settings", "started_s")

    def __init__(self, settings: api.Settings, now_s: float) -> None:
        self.settings = settings
        self.now_s = now_s  # Time of the current decision, in monotonic seconds
        self.started_s = now_s  # Time at which the cores came up, in monotonic seconds
        self.mean_objective_s = settings.mean_latency_objective_s
        self.actions: list[api.Action] = []  # Actions of the current decision, in order


def values_by_name(
    values: list[float], previous: api.NamedEntries, current: api.NamedEntries, initial: float
) -> list[float]:
    """Return values for changed entries: one with the same name at the same index keeps its value."""
    same = [old.name == new.name for old, new in zip(previous, current, strict=False)]
    return [values[place] if place < len(same) and same[place] else initial for place in range(len(current))]
