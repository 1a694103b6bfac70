"""Random histories of the module's actor and its request table, with simulated workers and calls.

There are no sockets: requests are posted as a front end posts them, and ``Checker`` gets what front ends and
the agent would see.
"""

import math
import random
from typing import Any

from checker import Checker, Try
from drawn import Model, deployment, log_span
from histories import History

from beechrock import interface as api
from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.core.requests import (
    Answer,
    CallDone,
    CallRequested,
    GaugesSampled,
    Request,
    RequestCancelled,
    RequestReceived,
    RunEnded,
    ShutdownRequested,
    Verdict,
    WorkersStarted,
)
from beechrock.settings import settings_from

SOCKET_SLACK_S = 0.05  # added to the answer slack, as each time limit on sockets is longer by this
MEMORY_MB = [8.0, 20.0, 64.0, 192.0]
EXIT_MARGIN_S = 0.25  # seconds before the kill by which the program has ended; no requests arrive then
UNREAD_S = 0.1  # a held request counts against the memory from this age on
REJECTED_SHARE = 0.03  # share of the launches that are rejected and never run


class ActorHistory:
    """One actor from its start to its kill, or until nothing is open; also its ``Work`` and ``Calls``."""

    def __init__(
        self,
        seed: int,
        settings_json: dict[str, Any],
        model: Model,
        arrivals: int = 100,
        unnamed: bool = False,
    ) -> None:
        """``unnamed``: some requests name no tenant."""
        self.random, self.model, self.left = random.Random(seed), model, arrivals
        self.tenant_draw = random.Random(f"tenants {seed}") if unnamed else None
        self.json, (self.told, _) = settings_json, settings_from(settings_json)
        self.now = self.start = 1000.0
        self.counters = Counters()
        memory_mb = self.random.choice(MEMORY_MB)
        self.actor = ModuleActor(self.told, seed, lambda: self.now, self.counters, memory_mb)
        self.actor.ports.work = self.actor.ports.calls = self
        self.check = Checker(self.told, self.now)
        self.check.slack_s += SOCKET_SLACK_S
        self.tries: dict[str, Try] = {}  # open requests by trace
        self.requests: dict[str, Request] = {}
        self.results: dict[int, set[bytes]] = {}  # results of runs by key
        self.lingers: list[float] = []
        self.gone_now: set[int] = set()  # ids of requests cancelled since the last tick
        self.nonces: list[tuple[int, int]] = []
        self.next_id = self.ticks = 0
        self.gap_s = sum(model.works) / len(model.works) / (model.load * model.speed * self.told.cores)
        self.arrive_at = self.now + self.gap_s
        length, draw = self.gap_s * arrivals, self.random
        self.leave_at = self.now + draw.uniform(0, length) if draw.random() < 0.5 else math.inf
        self.renew_at = self.now + draw.uniform(0, length) if draw.random() < 0.25 else math.inf
        if draw.random() < 0.5:
            self.actor.post(WorkersStarted(self.told.slow_start, 0.0))

    # --- the ports for runs and calls

    def launch(self, request: Request) -> None:
        one = self.tries[request.trace]
        assert one.state == "held", f"{one.id} is launched while {one.state}"
        self.check.run(one)
        one.ran, one.state = True, "running"
        if self.random.random() < REJECTED_SHARE:
            one.ran = False
            if one.key is not None and one.c.idempotency is api.Idempotency.KEYED:
                self.check.ran[one.key].remove(one)
            self.end(one, api.Outcome.REJECTED)

    def stop(self, request: Request) -> None:
        one = self.tries[request.trace]
        assert self.told.stop_mode is not api.StopMode.NONE, f"fault: {one.id} stopped"
        assert one.answered or one.gone, f"{one.id} stopped with no answer"
        if one.state == "running":
            self.end(one, api.Outcome.STOPPED)

    def resume(self, request: Request) -> None:
        raise AssertionError("nothing is resumed that was answered")

    def deliver(self, request: Request, reply: bytes) -> None:
        assert self.tries[request.trace].state == "running"

    def forgo(self, request: Request, mark: int) -> None:
        one = self.tries[request.trace]
        assert one.c.skip_value_share and one.state == "at call", f"fault: {one.id} skips, {one.state}"
        one.state, one.sure = "running", True

    def sample(self) -> None:
        draw = self.random
        self.actor.post(
            GaugesSampled(api.Gauges(draw.choice([None, draw.random()]), draw.choice([None, 9.0])))
        )

    def call(self, request: Request, body: bytes, wait_s: float) -> None:
        one, draw = self.tries[request.trace], self.random
        assert one.state == "at call" and 0 < wait_s < 1e9, f"{one.id} calls, {one.state}"
        assert one.sure or one.c.idempotency is api.Idempotency.IDEMPOTENT, f"duplicate: {one.id} calls again"
        took = self.model.call_s * draw.uniform(0.3, 3.0)
        one.state, one.outcome = "in call", api.Outcome.OK
        if draw.random() < self.model.failing_calls:
            one.outcome = draw.choice([api.Outcome.ERROR, api.Outcome.REJECTED, api.Outcome.CONNECTION_LOST])
        if took >= wait_s:
            one.outcome, took = api.Outcome.TIMED_OUT, wait_s
        one.call_end = self.now + took

    def abandon(self, request: Request) -> None:
        pass

    def exercise(self, report: Any) -> None:
        report(True)

    # --- front ends

    def arrival(self) -> None:
        draw = self.random
        klass, key = draw.choice([n for n, c in enumerate(self.told.classes) if not c.removed]), None
        if self.nonces and draw.random() < self.model.repeats:
            klass, key = draw.choice(self.nonces[-12:])
        c = self.told.classes[klass]
        if c.idempotency is api.Idempotency.KEYED and key is None:
            key = draw.getrandbits(40)
            self.nonces.append((klass, key))
        elif c.idempotency is api.Idempotency.IDEMPOTENT:
            key = klass * 100 + draw.randrange(1, 6)
        self.next_id += 1
        trace, born = f"{self.next_id:016x}", self.now - draw.choice([0.0, 0.0, draw.uniform(0.0, 0.05)])
        works = self.model.works[klass % len(self.model.works)] * draw.uniform(0.3, 2.0)
        calls = self.model.calls[klass % len(self.model.calls)]
        one = Try(
            self.next_id,
            klass,
            self.model.request_kb * draw.uniform(0.2, 2.0),
            born,
            max(self.now, born + c.deadline_s),
            c,
            key,
            None,
            [works / (calls + 1)] * (calls + 1),
        )
        keyed = c.idempotency is api.Idempotency.KEYED
        other = keyed and draw.random() < 0.03
        request = Request(
            trace=trace,
            klass=klass,
            route=c.name,
            born=born,
            body=b"other" if other else b"%d" % (key or 0),
            answer=lambda answer: self.answered(one, answer),
            kb=one.kb,
            rank=draw.random(),
            caller=draw.randrange(5),
            tenant=draw.randrange(len(self.told.tenants)) if self.told.tenants else None,
            nonce=str(key) if keyed else None,
            entity=f"{key:x}"
            if c.idempotency is api.Idempotency.IDEMPOTENT and self.told.shared_read_ttl_s
            else None,
        )
        if self.tenant_draw is not None:
            request.tenant = self.tenant_draw.choice([request.tenant, request.tenant, None])
        self.tries[trace], self.requests[trace] = one, request
        self.check.read(one)
        if not self.actor.post(RequestReceived(request)):  # the front end refuses it
            request.answered = True
            self.answered(one, Answer(Verdict.REFUSED))

    def answered(self, one: Try, answer: Answer) -> None:
        gone = one.gone and one.id not in self.gone_now
        assert not one.answered and not gone, f"{one.id} is answered twice"
        if answer.verdict is Verdict.REFUSED:
            self.check.refused(one, api.Reject(one.id, answer.retry_after_s))
        if answer.verdict is Verdict.SERVED:
            own = f"of {one.id}".encode()
            shared = self.results.get(one.key, set()) if one.key is not None else set()
            assert answer.body == own or answer.body in shared, f"{one.id} is served {answer.body!r}"
        one.answered = True
        self.check.over(one)
        if one.state == "held":
            self.tries.pop(f"{one.id:016x}", None)

    def end(self, one: Try, outcome: api.Outcome) -> None:
        if one.state == "in call":
            self.lingers.append(self.now + self.random.random() * (self.told.abandoned_call_linger_s or 0.0))
        one.state, trace = "over", f"{one.id:016x}"
        self.tries.pop(trace)
        result = f"of {one.id}".encode() if outcome is api.Outcome.OK else b""
        if result and one.key is not None:
            self.results.setdefault(one.key, set()).add(result)
        self.actor.post(RunEnded(trace, outcome, 0.1, result))

    # --- time

    def in_state(self, state: str) -> list[Try]:
        return [one for one in self.tries.values() if one.state == state]

    def progress(self, seconds: float) -> None:
        on = self.in_state("running")
        part = seconds * self.model.speed * min(1.0, self.told.cores / len(on)) if on else 0.0
        for one in on:
            one.parts[0] -= part
            if one.parts[0] > 1e-9:
                continue
            one.parts.pop(0)
            if not one.parts:
                self.end(one, self.random.choice([api.Outcome.OK] * 9 + [api.Outcome.ERROR]))
            else:
                one.state = "at call"
                self.actor.post(CallRequested(f"{one.id:016x}", len(one.parts), b"call"))
        for one in [one for one in self.in_state("in call") if one.call_end <= self.now]:
            one.state = "running" if one.outcome is api.Outcome.OK else "at call"
            if one.outcome is api.Outcome.TIMED_OUT:
                self.lingers.append(
                    self.now + self.random.random() * (self.told.abandoned_call_linger_s or 0.0)
                )
            one.sure = one.outcome is api.Outcome.OK or one.outcome.never_ran
            request = self.requests[f"{one.id:016x}"]
            self.actor.post(CallDone(request, one.outcome, self.model.call_s, b"reply"))
        for one in [one for one in self.in_state("at call") if one.answered or one.gone]:
            self.end(one, api.Outcome.STOPPED)

    def happen(self) -> None:
        draw = self.random
        self.lingers = [end for end in self.lingers if end > self.now]
        while self.left and self.arrive_at <= self.now < self.check.kill_at - EXIT_MARGIN_S:
            for _ in range(min(self.left, draw.choice([1, 1, 1, 2, 12]))):
                self.left -= 1
                self.arrival()
                self.arrive_at += self.gap_s * draw.expovariate(1.0)
        open_now = [one for one in self.tries.values() if not one.answered and not one.gone]
        if open_now and draw.random() < 0.03:
            one = draw.choice(open_now)
            one.gone = True
            self.gone_now.add(one.id)
            self.check.over(one)
            self.actor.post(RequestCancelled(self.requests[f"{one.id:016x}"]))
            if one.state == "held":
                self.tries.pop(f"{one.id:016x}")
        if self.now >= self.leave_at:
            left = log_span(draw, 0.3, 20.0)
            self.leave_at, self.check.grace_end = math.inf, self.now + (self.told.drain_grace_s or 0.0)
            self.check.kill_at = self.now + left
            self.actor.post(ShutdownRequested(left))
        if self.now >= self.renew_at:
            self.renew_at = math.inf
            grades = [{**grade, "worth": draw.choice([0.0, 1.0, 9.0])} for grade in self.json["grades"]]
            more = {**draw.choice(grades), "name": "new", "promiseS": 1.0, "giveUpS": 9.0}
            self.told, _ = settings_from({**self.json, "grades": [*grades, more]})
            assert self.actor.update_settings(self.told)

    def memory_kb(self) -> float:
        factor = self.told.running_memory_factor or 1.0
        return sum(
            one.kb * (1.0 if one.state == "held" else factor)
            for one in self.tries.values()
            if one.state != "held" or self.now >= one.arrived + UNREAD_S
        )

    def next_moment(self) -> float:
        on = [one.parts[0] for one in self.in_state("running")]
        speed = self.model.speed * min(1.0, self.told.cores / max(1, len(on)))
        moments = [
            self.now + min(on) / speed if on else math.inf,
            self.arrive_at if self.left else math.inf,
            self.actor.timers.next_due(),
            *(one.call_end for one in self.in_state("in call")),
            *self.lingers,
            self.leave_at,
            self.renew_at,
            self.check.kill_at,
        ]
        if len(self.actor.mailbox) or self.actor.table.next_events:
            moments.append(self.now)
        return max(min(moments), self.now + self.actor.tick_s)

    def play(self) -> "ActorHistory":
        """Run the history to the kill, or until nothing is open."""
        while self.left or self.tries or len(self.actor.mailbox) or self.actor.table.next_events:
            at, self.ticks = self.next_moment(), self.ticks + 1
            if self.ticks > 4000:
                return self
            calls = History.calls_until(self, at)  # type: ignore[arg-type]
            running, passed = len(self.in_state("running")), at - self.now
            self.now = at
            self.check.passed(passed, self.now, running, calls)
            self.progress(passed)
            if self.now >= self.check.kill_at:
                self.check.batch_done(self.now, 0.0)
                return self
            self.happen()
            self.actor.tick(self.now)
            self.gone_now.clear()
            self.check.batch_done(self.now, self.memory_kb())
            assert len(self.actor.idempotency) <= self.actor.idempotency.capacity
        assert (
            not self.actor.node.table.requests
            and not self.actor.table.by_id
            and not self.actor.table.by_trace
        )
        assert not self.counters["trouble.overdue"], (
            "the module left an answer to the timeout of the request table"
        )
        return self


def drawn_actor_history(seed: int, arrivals: int = 100, unnamed: bool = False) -> ActorHistory:
    settings_json, model = deployment(random.Random(seed))
    return ActorHistory(seed, settings_json, model, arrivals, unnamed)
