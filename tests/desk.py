"""A module actor without any network, whose batches the test drives, and the answers to its requests."""

from world import settings

from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.core.requests import (
    Answer,
    Request,
    Verdict,
)


def request(trace: str, nonce: str | None = None, born: float = 100.0, klass: int = 1) -> Request:
    answers: list[Answer] = []
    made = Request(
        trace=trace,
        klass=klass,
        route=f"r{klass}",
        born=born,
        body=b"b",
        answer=answers.append,
        kb=10.0,
        nonce=nonce,
    )
    SAID[trace] = answers
    return made


SAID: dict[str, list[Answer]] = {}  # answers by trace


class Worker:
    """Fake ``Work`` and ``Calls`` ports that record the method and the trace of each invocation."""

    def __init__(self) -> None:
        self.invocations: list[tuple[str, str]] = []

    def __getattr__(self, name: str) -> object:
        if name in ("sample", "exercise"):
            return lambda *_: self.invocations.append((name, ""))
        return lambda request, *_: self.invocations.append((name, request.trace))


class Desk:
    """An actor whose batches the test drives."""

    def __init__(self, **changes: object) -> None:
        self.now, self.work = 100.0, Worker()
        self.counters = Counters()
        node_settings = settings(propagates_deadline=False, **changes)
        self.actor = ModuleActor(node_settings, 1, lambda: self.now, self.counters)
        self.actor.ports.work = self.actor.ports.calls = self.work  # type: ignore[assignment]

    def tell(self, *messages: object, after: float = 0.0) -> None:
        self.now += after
        for message in messages:
            self.actor.post(message)  # type: ignore[arg-type]
        self.actor.tick(self.now)

    def launched(self) -> list[str]:
        return [trace for name, trace in self.work.invocations if name == "launch"]


def verdicts(trace: str) -> list[Verdict]:
    return [answer.verdict for answer in SAID[trace]]
