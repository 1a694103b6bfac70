"""Views and calls for permits and releases at a node's admin address.

A call answers at once with a token, as the log takes time. The view ``/releases/answers`` shows the result
under that token; at most ``MAX_ANSWERS`` results are kept.
"""

from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from beechrock.errors import OperatorError
from beechrock.parts import Context
from beechrock.releases.errors import ReleaseError
from beechrock.releases.permits import Kind
from beechrock.releases.release import plan_waves
from beechrock.releases.servers import address_of

if TYPE_CHECKING:
    from beechrock.releases.part import Releases

MAX_ANSWERS, MAX_TEXT_BYTES, AUDIT_SHOWN = 64, 200, 200  # AUDIT_SHOWN: audit entries in the view
Query = dict[str, str]  # the arguments of a call


def _number(query: Query, key: str, default: float) -> float:
    try:
        value = float(query.get(key, default))
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e9:
        raise ReleaseError(f"{query[key]!r}", where=key, wanted="a number from 0")
    return value


def _text(query: Query, key: str, need: bool = True) -> str:
    value = query.get(key, "")
    if (need and not value) or len(value.encode()) > MAX_TEXT_BYTES:
        raise ReleaseError(f"{value!r}", where=key, wanted=f"1 to {MAX_TEXT_BYTES} bytes")
    return value


class Operators:
    """The calls and views of one node."""

    def __init__(self, part: "Releases") -> None:
        self.part = part
        self.answers: dict[str, dict[str, Any]] = {}

    def _start(self, query: Query, work: Coroutine[Any, Any, Any]) -> dict[str, Any]:
        """Run the work in a task that keeps its result under the call's token."""
        token = query.get("token", "")[:MAX_TEXT_BYTES]
        self.answers.pop(token, None)
        while len(self.answers) >= MAX_ANSWERS:
            del self.answers[next(iter(self.answers))]

        async def run() -> None:
            try:
                self.answers[token] = {"done": True, "what": await work, "exit": 0}
            except OperatorError as error:
                self.answers[token] = {
                    "done": False,
                    "what": str(error),
                    "exit": error.exit_code,
                    "error": type(error).__name__,
                }

        self.part.counters.spawn(run(), "releases.call")
        return {"token": token, "see": "/releases/answers"}

    def request_permit(self, query: Query) -> dict[str, Any]:
        """Request a permit."""
        target, who = _text(query, "target"), _text(query, "who")
        return self._start(
            query,
            self.part.ask(
                target,
                _text(query, "why", need=False),
                _number(query, "for_s", 0.0),
                query.get("claim") == "yes",
                who,
            ),
        )

    def give_back(self, query: Query) -> dict[str, Any]:
        """Ask a target to return, or end its permit by force."""
        target, who = _text(query, "target"), _text(query, "who")
        if query.get("force") == "yes":
            return self._start(query, self.part.propose_or_raise("force", target, who, _text(query, "why")))
        return self._start(query, self.part.propose_or_raise("return", target, who))

    def plan(self, query: Query) -> dict[str, Any]:
        """Plan a release with waves by hall over all nodes, or over those in ``nodes``."""
        name, version, who = (_text(query, key) for key in ("name", "version", "who"))
        max_wave_size, canary = max(1, int(_number(query, "most", 1))), int(_number(query, "canary", 1))
        for_s = _number(query, "for_s", 0.0) or self.part.settings.for_s
        nodes = [node_name for node_name in query.get("nodes", "").split(",") if node_name]

        async def planned() -> Any:
            # A lagging copy of the log may lack halls or nodes, and its waves would span halls.
            await self.part.wait_for_log()
            machine, halls = self.part.machine, dict[str, list[str]]()
            for node in nodes or machine.names:
                halls.setdefault(machine.nodes[node].hall if node in machine.nodes else "", []).append(node)
            return await self.part.propose_or_raise(
                "plan",
                name,
                version,
                query.get("before") or self._common(),
                [list(wave) for wave in plan_waves(halls, canary, max_wave_size)],
                for_s,
                who,
            )

        return self._start(query, planned())

    def _common(self) -> str:
        """Return the version that most nodes run."""
        versions = [node.version for node in self.part.machine.nodes.values()]
        return max(sorted(set(versions)), key=versions.count, default="")

    def change_stage(self, query: Query) -> dict[str, Any]:
        """Start, pause, resume, halt or roll back a release."""
        return self._start(
            query,
            self.part.propose_or_raise(
                "word",
                _text(query, "name"),
                _text(query, "what"),
                _text(query, "who"),
                _text(query, "reason", need=False),
            ),
        )

    def view(self) -> dict[str, Any]:
        """Return the view ``/releases``."""
        part, machine = self.part, self.part.machine
        now, held = part.clock(), machine.permits.held
        down, cold, reports = part._down(), machine.cold(), part.heard.words
        driver, waits = part.waits()
        nodes = []
        for name in machine.names or part.names:
            node, (at, _, report) = machine.nodes.get(name), reports.get(name, (now, 0, None))
            nodes.append(
                {
                    "name": name,
                    "hall": node.hall if node else "",
                    "version": node.version if node else "",
                    "life": node.life if node else 0,
                    "state": report.state if report else "unknown",
                    "serving": report.serving if report else "unknown",
                    "open": report.open if report else None,
                    "heard_s": round(now - at, 1) if report else None,
                    "proved": bool(node and node.proved),
                    "down": name in down,
                    "cold": name in cold,
                    "permit": held[name].fence if name in held else 0,
                }
            )
        return {
            "name": part.name,
            "leader": part.agree.leader,
            "driver": driver,
            "index": machine.index,
            "broken": machine.broken,
            "described": bool(machine.names),
            "state": part.node.state.value,
            "nodes": nodes,
            "servers": machine.servers,
            "waits": waits,
            "permits": [
                {
                    "target": permit.target,
                    "by": permit.holder,
                    "why": permit.why,
                    "fence": permit.fence,
                    "for_s": permit.for_s,
                    "claimed": permit.claimed,
                    "open": self._runs(name),
                    "release": permit.release,
                    "gone": name in machine.gone,
                    "expired": name in machine.expired,
                    "returning": name in machine.returning,
                    "reached": self._reached(now, name),
                }
                for name, permit in sorted(held.items())
            ],
            "budgets_version": machine.budgets_version,
            "budgets": [
                {"name": name, "out": out, "allowed": allowed}
                for name, out, allowed in machine.permits.usage(dict.fromkeys(down | cold, ""))
            ],
            "releases": [self._release(name) for name in machine.releases],
            "audit": [list(entry) for entry in machine.permits.audit[-AUDIT_SHOWN:]],
        }

    def _runs(self, target: str) -> int | None:
        """Return the number of this node's own runs that are open at a server; None for nodes."""
        work = self.part.program.servers
        if work is None or self.part.machine.permits.targets[target].kind is not Kind.SERVER:
            return None
        return int(work.servers.open_runs.get(address_of(target), 0))

    def _reached(self, now: float, target: str) -> list[int] | None:
        """Return [nodes that reach, nodes that use] a returning server; None for other targets."""
        machine = self.part.machine
        if target not in machine.returning or machine.permits.targets[target].kind is not Kind.SERVER:
            return None
        return list(self.part.heard.reached(now, target, machine.returning[target]))

    def _release(self, name: str) -> dict[str, Any]:
        release = self.part.machine.releases[name]
        return {
            "name": name,
            "version": release.plan.version,
            "before": release.plan.before,
            "stage": release.stage.value,
            "reason": release.reason,
            "good": release.good,
            "waves": [list(wave) for wave in release.plan.waves],
            "steps": {target: step.value for target, step in release.steps.items()},
            "undone": {target: step.value for target, step in release.undone.items()},
        }


def offer(part: "Releases", context: Context) -> None:
    """Register the calls and views."""
    calls = Operators(part)
    context.views["/releases"] = calls.view
    context.views["/releases/answers"] = lambda: calls.answers
    context.calls.update(
        {
            "/releases/ask": calls.request_permit,
            "/releases/return": calls.give_back,
            "/releases/plan": calls.plan,
            "/releases/word": calls.change_stage,
        }
    )
