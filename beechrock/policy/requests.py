"""Table of open requests, their phases and the totals by phase.

``phases`` defines the states. A new request is HELD; it then runs, shares the result of the request that it
repeats, or is rejected. A run moves between RUNNING, AWAITING_CALL and CALLING until it is FINISHED. All
transitions go through ``RequestTable.move``.
"""

from heapq import heappop, heappush

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.memory import MemoryAccount
from beechrock.policy.phases import FINISHED, HELD, RUNNING, SHARE_AHEAD, Phase
from beechrock.policy.queues import Queue, QueueEntry, without_stale
from beechrock.policy.slow_start import Launch


class OpenRequest:
    """State of one request, from its arrival until it is answered and its run has ended."""

    __slots__ = (
        "__weakref__",
        "answered",
        "arrived_s",
        "budget_period",
        "call_in_doubt",
        "calls",
        "calls_left",
        "cores_s",
        "due_s",
        "idempotent",
        "launch",
        "may_have_run",
        "must_call",
        "objective_end_s",
        "phase",
        "phase_start_s",
        "request",
        "request_class",
        "stopped",
        "useful_until_s",
        "work",
    )

    def __init__(
        self,
        request: api.Request,
        request_class: api.ClassSettings,
        now_s: float,
        work: float,
        calls_left: float,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.idempotent = request_class.idempotency is api.Idempotency.IDEMPOTENT
        self.work = work  # Estimated work, in the unit of work hints or relative to the mean run
        self.arrived_s = now_s - request.age_s
        self.calls_left = calls_left
        self.phase_start_s = now_s  # Time at which the current phase began
        self.cores_s = 0.0  # Seconds on the cores in earlier phases
        self.must_call = calls_left > 0 and not request_class.skip_value_share
        if request.remaining_s is None:
            self.due_s = max(now_s, self.arrived_s + request_class.deadline_s)
        else:
            self.due_s = now_s + request.remaining_s
        objective_s = request_class.latency_objective_s
        objective_per_work_s = request_class.latency_objective_per_work or 0.0
        self.objective_end_s = min(self.arrived_s + objective_s + objective_per_work_s * work, self.due_s)
        self.useful_until_s = self.due_s if request_class.late_value_share > 0 else self.objective_end_s
        self.phase = FINISHED  # Until the request is added to the table
        self.calls = 0  # Number of calls issued
        self.may_have_run = False
        self.answered = False
        self.call_in_doubt = False  # The latest call may have had its effect and must not be repeated
        self.stopped = False
        self.budget_period: float | None = None  # Period of the tenant's budget that was charged
        self.launch: Launch | None = None


class RequestTable:
    """Owns the open requests, their counts by phase and the queues of their due times."""

    def __init__(self, context: Context, memory: MemoryAccount) -> None:
        self._context = context
        self._memory = memory
        self.requests: dict[int, OpenRequest] = {}
        self.count = [0] * len(Phase)
        self.work_ahead = 0.0
        self.calls_ahead = 0.0
        self.due: Queue = []  # Times by which requests must be answered
        self.stop_candidates: Queue = []  # Stoppable runs, by the time after which they are useless
        self.held: tuple[Queue, Queue] = ([], [])  # Two queues by end of objective; the second must call
        self.running_since: dict[int, float] = {}  # Start of each run, less its earlier time on the cores

    def add(self, entry: OpenRequest, answer_by_s: float) -> None:
        """Add a new request, which must be answered by ``answer_by_s``."""
        self.requests[entry.request.id] = entry
        self.move(entry, HELD)
        heappush(self.due, QueueEntry(answer_by_s, entry.request.id))

    def hold(self, entry: OpenRequest) -> None:
        """Queue an admitted request for its run."""
        heappush(self.held[entry.must_call], QueueEntry(entry.objective_end_s, entry.request.id))

    def move(self, entry: OpenRequest, phase: Phase, calls_left: float | None = None) -> None:
        """Change a request's phase and remaining calls, and update all totals."""
        now_s = self._context.now_s
        request_id = entry.request.id
        before = entry.phase
        if phase == RUNNING and entry.idempotent and self._can_stop():
            heappush(self.stop_candidates, QueueEntry(entry.useful_until_s, request_id))
        calls = entry.calls_left if calls_left is None else max(0.0, calls_left)
        self.count[before] -= 1
        self.count[phase] += 1
        self._memory.move(entry.request.size_kb, before, phase)
        self.work_ahead += (SHARE_AHEAD[phase] - SHARE_AHEAD[before]) * entry.work
        self.calls_ahead += (SHARE_AHEAD[phase] > 0) * calls - (SHARE_AHEAD[before] > 0) * entry.calls_left
        entry.cores_s += (now_s - entry.phase_start_s) * (before == RUNNING)
        self.running_since.pop(request_id, None)
        if phase == RUNNING:
            self.running_since[request_id] = now_s - entry.cores_s
        entry.phase_start_s = now_s
        entry.phase = phase
        entry.calls_left = calls
        if phase == FINISHED:
            del self.requests[request_id]
        if not self.requests:  # Reset the totals, so that rounding errors don't add up
            self._memory.clear()
            self.work_ahead = 0.0
            self.calls_ahead = 0.0

    def _can_stop(self) -> bool:
        return self._context.settings.stop_mode is not api.StopMode.NONE

    def first(self, queue: Queue, phase: Phase) -> OpenRequest | None:
        """Return the queue's first unanswered request in this phase; remove the entries before it."""
        while queue:
            entry = self.requests.get(queue[0].request_id)
            if entry is not None and entry.phase == phase and not entry.answered:
                return entry
            heappop(queue)
        return None

    def pop_due(self) -> list[OpenRequest]:
        """Remove the requests whose answers are due from the queue and return them."""
        due = []
        now_s = self._context.now_s
        while self.due and (self.due[0].at_s <= now_s or self.due[0].request_id not in self.requests):
            entry = self.requests.get(heappop(self.due).request_id)
            if entry is not None:
                due.append(entry)
        return due

    def pop_late_runs(self) -> list[OpenRequest]:
        """Return, once each, the runs that are too late to be useful while other requests are held."""
        useless = []
        while self.stop_candidates and self.stop_candidates[0].request_id not in self.requests:
            heappop(self.stop_candidates)  # Otherwise finished runs pile up while no request is held
        while (
            self.stop_candidates and self.count[HELD] and self.stop_candidates[0].at_s < self._context.now_s
        ):
            entry = self.requests.get(heappop(self.stop_candidates).request_id)
            if entry is not None and entry.phase == RUNNING and not entry.stopped:
                entry.stopped = True  # A run that returned from a call is in the queue twice
                useless.append(entry)
        return useless

    def sweep(self) -> None:
        """Remove stale entries from the queues."""
        requests = self.requests
        self.due = without_stale(self.due, requests, len(requests))
        self.stop_candidates = without_stale(self.stop_candidates, requests, len(requests))

    def held_work_before(self, entry: OpenRequest) -> float:
        """Return the held work that starts before this request, because its objectives end earlier."""
        earlier = (
            self.requests.get(request_id)
            for queue in self.held
            for at_s, request_id in queue
            if at_s <= entry.objective_end_s
        )
        return sum(other.work for other in earlier if other is not None and other.phase == HELD)
