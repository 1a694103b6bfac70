"""Invariants of the four rules under seeded random sequences of legal events.

The sequences follow the interface's guarantees about events, but no model of a server: outcomes, times and
gauges are random.
"""

import random

import pytest
from world import settings

from beechrock import Node
from beechrock import interface as api

STEP_S = 0.05
MEMORY_KB = 2500.0
CLASSES = (
    api.ClassSettings(
        1.0, 3.0, priority_weight=1.0, late_value_share=0.2, may_call=True, skip_value_share=0.5
    ),
    api.ClassSettings(
        1.5,
        4.0,
        priority_weight=4.0,
        idempotency=api.Idempotency.KEYED,
        idempotency_window_s=10.0,
        may_call=True,
    ),
    api.ClassSettings(
        1.5, 4.0, priority_weight=2.0, idempotency=api.Idempotency.NOT_IDEMPOTENT, may_call=False
    ),
)


class RandomEvents:
    """Generates random legal events for one node and checks each action against the rules."""

    def __init__(self, seed: int) -> None:
        self.seed, self.random = seed, random.Random(seed)
        draw = self.random.choice
        self.settings = settings(
            memory_kb=MEMORY_KB,
            classes=CLASSES,
            stop_mode=draw(list(api.StopMode)),
            load_report_kind=draw(list(api.LoadReportKind)),
            propagates_deadline=draw([True, False]),
            reports_cancellation=draw([True, False]),
            caller_count=3,
            downstream=draw(list(api.Downstream)),
            shared_call_limit=draw([None, 0.4, 3.0]),
            abandoned_call_linger_s=0.2,
            slow_start=draw([True, False]),
            shared_read_ttl_s=draw([None, 1.0]),
            overload_multiple=3.0,
        )
        self.now, self.next_id = 50.0, 1
        self.node = Node(self.settings, seed, self.now)
        self.requests: dict[int, api.Request] = {}
        self.arrived: dict[int, float] = {}
        self.due: dict[int, float] = {}
        self.state: dict[int, str] = {}
        self.answered: set[int] = set()
        self.disconnected: set[int] = set()
        self.ran: set[int] = set()
        self.call_in_doubt: set[int] = set()
        self.entries: dict[int, float] = {}
        self.shutdown_at: float | None = None
        self.kill_at: float | None = None

    def finish(self, ident: int) -> None:
        del self.state[ident]

    def answer(self, ident: int) -> None:
        assert ident not in self.answered, f"{ident} answered twice"
        self.answered.add(ident)
        if self.state.get(ident) in ("held", "sharing"):
            self.finish(ident)

    def act(self, action: api.Action) -> None:
        match action:
            case api.Run(ident):
                request = self.requests[ident]
                assert self.state[ident] == "held"
                assert ident not in self.ran
                if self.shutdown_at is not None:
                    assert self.arrived[ident] <= self.shutdown_at + 2.5
                first = request.repeat_of
                if first is not None and request.class_index == 1:
                    assert first not in self.ran
                self.ran.add(ident)
                self.state[ident] = "running"
            case api.Reject(ident):
                assert not (ident in self.ran and self.requests[ident].class_index != 0)
                self.answer(ident)
            case api.Fail(ident):
                self.answer(ident)
            case api.Stop(ident):
                assert self.settings.stop_mode is not api.StopMode.NONE
                if self.state.get(ident) == "running":
                    self.state[ident] = "stopped"
            case api.Call(ident, wait):
                assert self.state[ident] == "at call"
                assert ident not in self.call_in_doubt
                assert wait > 0
                self.state[ident] = "in call"
            case api.SkipCall(ident):
                assert self.state[ident] == "at call"
                assert CLASSES[self.requests[ident].class_index].skip_value_share
                self.state[ident] = "running"
            case api.ShareResult(ident):
                assert self.requests[ident].repeat_of is not None
                assert self.state[ident] == "held"
                self.state[ident] = "sharing"
            case api.Remember(ident, ttl):
                self.entries[ident] = self.now + ttl
            case api.Forget(ident):
                assert ident not in self.ran
                self.entries.pop(ident, None)
            case api.Advertise(value):
                assert value >= 0
                assert self.settings.load_report_kind is not api.LoadReportKind.NONE
            case api.SetTimer(_, delay):
                assert delay >= 0

    def arrival(self) -> api.Event:
        class_index = self.random.randrange(3)
        alive = [
            i
            for i, end in self.entries.items()
            if end > self.now and self.requests[i].class_index == class_index
        ]
        repeats = self.random.choice(alive) if alive and self.random.random() < 0.3 else None
        remaining = self.random.uniform(0.2, 4.0) if self.settings.propagates_deadline else None
        waited = self.random.uniform(0.0, 0.3)
        request = api.Request(
            id=self.next_id,
            class_index=class_index,
            size_kb=self.random.uniform(5, 40),
            age_s=waited,
            remaining_s=remaining,
            work_hint_s=self.random.choice([None, 0.1, 0.5]),
            repeat_of=repeats,
            key=9 if class_index == 0 else None,
            is_retry=repeats is not None,
        )
        self.next_id += 1
        self.requests[request.id] = request
        self.arrived[request.id] = self.now - waited
        left = remaining if remaining is not None else CLASSES[class_index].deadline_s - waited
        self.due[request.id] = self.now + left
        self.state[request.id] = "held"
        return api.Arrived(request)

    def progress(self, ident: int) -> api.Event | None:
        calls = (
            CLASSES[self.requests[ident].class_index].may_call
            and self.settings.downstream is not api.Downstream.NONE
        )
        match self.state[ident]:
            case "running" if calls and self.random.random() < 0.5 and ident not in self.answered:
                self.state[ident] = "at call"
                return api.CallNeeded(ident)
            case "running" | "sharing":
                outcome = self.random.choice([api.Outcome.OK, api.Outcome.OK, api.Outcome.ERROR])
                self.answered.add(ident)
                self.finish(ident)
                return api.RunFinished(ident, outcome, 0.2)
            case "stopped":
                self.finish(ident)
                return api.RunFinished(ident, api.Outcome.STOPPED, 0.2)
            case "in call":
                outcome = self.random.choice([o for o in api.Outcome if o.value not in ("stopped", "moot")])
                if outcome is api.Outcome.OK:
                    self.state[ident] = "running"
                else:
                    self.state[ident] = "at call"
                    never_ran = outcome in (api.Outcome.REJECTED, api.Outcome.UNREACHABLE)
                    if not never_ran and self.requests[ident].class_index != 0:
                        self.call_in_doubt.add(ident)
                return api.CallEnded(ident, outcome, 0.1)
            case "at call" if ident in self.answered | self.disconnected:
                self.finish(ident)
                return api.RunFinished(ident, api.Outcome.STOPPED, 0.2)
        return None

    def disconnect(self, ident: int) -> api.Event:
        self.disconnected.add(ident)
        if self.state[ident] in ("held", "sharing"):
            self.finish(ident)
        return api.CallerDisconnected(ident)

    def events(self, rate: int, leaving: bool) -> list[api.Event]:
        known = list(self.state)
        found: list[api.Event] = [self.arrival() for _ in range(self.random.randrange(rate + 1))]
        for ident in known:
            chance = self.random.random()
            if chance < 0.1 and (event := self.progress(ident)) is not None:
                found.append(event)
            elif (
                chance > 0.99
                and self.settings.reports_cancellation
                and ident not in self.answered | self.disconnected
            ):
                found.append(self.disconnect(ident))
        if self.random.random() < 0.3:
            found.append(api.TimerFired(0, api.Gauges(self.random.random(), self.random.uniform(0, 20))))
        if self.seed % 3 == 0 and self.random.random() < 0.1:  # Another process of this node starts or ends
            found.append(
                api.OtherProcessLoad(
                    self.random.randrange(9), self.random.uniform(0, MEMORY_KB / 2), self.random.randrange(4)
                )
            )
        if leaving:
            self.shutdown_at, self.kill_at = self.now, self.now + 4.0
            found.append(api.ShutdownNotice(4.0, has_successor=self.seed % 2 == 0))
        return found

    def check(self) -> None:
        for ident, due in self.due.items():
            if self.now > due + 0.08:
                assert ident in self.answered | self.disconnected, f"{ident} lost"
        factor = {"held": 1.0, "sharing": 1.0}
        used = sum(self.requests[i].size_kb * factor.get(s, 4.0) for i, s in self.state.items())
        kept = sum(1 for end in self.entries.values() if end > self.now)
        assert used + kept * 10.0 <= MEMORY_KB
        running = sum(1 for s in self.state.values() if s in ("running", "stopped"))
        assert running <= 2 * (1 + 2.0 * (0.25 if self.settings.slow_start and self.now < 51 else 1.0)) + 1

    def step(self, rate: int, leaving: bool = False) -> None:
        self.now += STEP_S
        for action in self.node.decide(self.now, self.events(rate, leaving)):
            self.act(action)
        self.check()


@pytest.mark.parametrize("seed", range(40))
def test_the_rules_hold_under_random_events(seed: int) -> None:
    history = RandomEvents(seed)
    for step in range(300):
        history.step(rate=(1, 3, 8)[step // 40 % 3])
    history.step(rate=2, leaving=True)
    while history.now + STEP_S <= history.kill_at - STEP_S:
        history.step(rate=2)
    assert set(history.requests) <= history.answered | history.disconnected | {
        i for i, s in history.state.items() if history.now - history.arrived[i] < STEP_S
    }


def test_the_same_seed_gives_the_same_actions() -> None:
    def play() -> list[api.Action]:
        history, actions = RandomEvents(3), []
        for _ in range(100):
            history.now += STEP_S
            new_actions = history.node.decide(history.now, history.events(4, False))
            actions += new_actions
            for action in new_actions:
                history.act(action)
        return actions

    assert play() == play()
