"""Statistics of requests and runs: moving means, by class and over all classes."""

import math

from beechrock import interface as api
from beechrock.policy.context import Context, values_by_name
from beechrock.policy.requests import OpenRequest

# Weights of the newest sample in the moving means, and the shortest run time that is counted.
CLASS_STEP = 0.05  # Weight of a run in the means of run time, work and calls
MIN_RUN_S = 0.001
FAILING_STEP = 0.2  # Weight of a run in the share of failed runs
WEIGHT_STEP = 0.01  # Weight of a request in the mean priority weight
HINT_STEP = 0.02  # Weight of a request in the mean work hint
READ_STEP = 0.05  # Weight of a request in the mean age when read


class RunStatistics:
    """Moving means over arrived requests and ended runs."""

    def __init__(self, context: Context) -> None:
        self._context = context
        classes = context.settings.classes
        self.calls_by_class = [1.0] * len(classes)  # Mean number of calls of a run
        self.work_by_class = [1.0] * len(classes)  # Mean work of a run, relative to all runs
        self.read_by_class = [0.0] * len(classes)  # Number of requests read
        self.mean_priority_weight = sum(entry.priority_weight for entry in classes) / len(classes)
        self.mean_work = 0.0  # Mean work hint, in seconds; 0 before the first hint
        self.run_s = 0.0  # Mean time of a run on the cores, in seconds
        self.read_s = 0.0  # Mean age of a request when it is read while cores are free, in seconds
        self.failure_share = 0.0  # Share of failed runs among the latest

    def add_request(self, request: api.Request, request_class: api.ClassSettings, running: int) -> None:
        """Learn from a request that was read while ``running`` runs were on the cores."""
        self.read_by_class[request.class_index] += 1
        self.mean_priority_weight += WEIGHT_STEP * (request_class.priority_weight - self.mean_priority_weight)
        cores_free = running < self._context.settings.cores
        self.read_s += READ_STEP * cores_free * (request.age_s - self.read_s)
        hint = request.work_hint_s
        if hint:
            self.mean_work += HINT_STEP * (hint - self.mean_work) if self.mean_work else hint

    def add_run(self, entry: OpenRequest, failed: bool, cores_s: float) -> None:
        """Learn from a run that ended after ``cores_s`` seconds on the cores."""
        class_index = entry.request.class_index
        self.failure_share += FAILING_STEP * (failed - self.failure_share)
        run_s = max(MIN_RUN_S, cores_s)
        self.run_s += CLASS_STEP * (run_s - self.run_s) if self.run_s else run_s
        work = self.work_by_class[class_index]
        self.work_by_class[class_index] += CLASS_STEP * (run_s / self.run_s - work)
        calls = self.calls_by_class[class_index]
        self.calls_by_class[class_index] += CLASS_STEP * (entry.calls - calls)

    def end_slot(self, slot_s: float) -> None:
        """Decay the share of failed runs, because a node that only rejects sees no new runs."""
        self.failure_share *= math.exp(-slot_s / self._context.mean_objective_s)

    def relative_work(self, request: api.Request) -> float:
        """Return a run's work relative to the mean, from its hint or from its class.

        Without a hint, the class's mean work is divided by the mean over all requests read. The mean run time
        alone would be outdated: all runs take longer while the cores fill up.
        """
        if request.work_hint_s and self.mean_work:
            return request.work_hint_s / self.mean_work
        read_work = (read * work for read, work in zip(self.read_by_class, self.work_by_class, strict=True))
        mean = sum(read_work) / (sum(self.read_by_class) or 1.0)
        return self.work_by_class[request.class_index] / (mean or 1.0)

    def change_classes(self, previous: api.Settings, current: api.Settings) -> None:
        """Keep the statistics of the classes that remain."""
        old, new = previous.classes, current.classes
        self.calls_by_class = values_by_name(self.calls_by_class, old, new, 1.0)
        self.work_by_class = values_by_name(self.work_by_class, old, new, 1.0)
        self.read_by_class = values_by_name(self.read_by_class, old, new, 0.0)
