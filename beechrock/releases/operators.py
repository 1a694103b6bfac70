"""What operators see of permits and releases at a node's second address, and ask for there.

A call answers at once with a token; what came of it stands under it in the view ``/releases/answers``, as the
log needs its time. At most ``MOST_ANSWERS`` are kept.
"""

from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from beechrock.errors import OperatorError
from beechrock.parts import Context
from beechrock.releases.errors import ReleaseError
from beechrock.releases.permits import Kind
from beechrock.releases.release import waves
from beechrock.releases.servers import address_of

if TYPE_CHECKING:
    from beechrock.releases.part import Releases

MOST_ANSWERS, MOST_WORD, AUDIT_SHOWN = 64, 200, 200
Told = dict[str, str]


def _number(told: Told, key: str, default: float) -> float:
    try:
        value = float(told.get(key, default))
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e9:
        raise ReleaseError(f"{told[key]!r}", where=key, wanted="a number from 0")
    return value


def _word(told: Told, key: str, need: bool = True) -> str:
    value = told.get(key, "")
    if (need and not value) or len(value.encode()) > MOST_WORD:
        raise ReleaseError(f"{value!r}", where=key, wanted=f"1 to {MOST_WORD} bytes")
    return value


class Operators:
    """Calls and views of one node."""

    def __init__(self, part: "Releases") -> None:
        self.part = part
        self.answers: dict[str, dict[str, Any]] = {}

    def _later(self, told: Told, work: Coroutine[Any, Any, Any]) -> dict[str, Any]:
        token = told.get("token", "")[:MOST_WORD]
        self.answers.pop(token, None)
        while len(self.answers) >= MOST_ANSWERS:
            del self.answers[next(iter(self.answers))]

        async def whole() -> None:
            try:
                self.answers[token] = {"done": True, "what": await work, "exit": 0}
            except OperatorError as error:
                self.answers[token] = {
                    "done": False,
                    "what": str(error),
                    "exit": error.exit_code,
                    "error": type(error).__name__,
                }

        self.part.counters.spawn(whole(), "releases.call")
        return {"token": token, "see": "/releases/answers"}

    def ask(self, told: Told) -> dict[str, Any]:
        target, who = _word(told, "target"), _word(told, "who")
        return self._later(
            told,
            self.part.ask(
                target,
                _word(told, "why", need=False),
                _number(told, "for_s", 0.0),
                told.get("claim") == "yes",
                who,
            ),
        )

    def give_back(self, told: Told) -> dict[str, Any]:
        target, who = _word(told, "target"), _word(told, "who")
        if told.get("force") == "yes":
            return self._later(told, self.part.say("force", target, who, _word(told, "why")))
        return self._later(told, self.part.say("return", target, who))

    def plan(self, told: Told) -> dict[str, Any]:
        """Waves by hall over all nodes of the fleet, or those told."""
        name, version, who = (_word(told, key) for key in ("name", "version", "who"))
        most, canary = max(1, int(_number(told, "most", 1))), int(_number(told, "canary", 1))
        for_s = _number(told, "for_s", 0.0) or self.part.told.for_s
        nodes = [one for one in told.get("nodes", "").split(",") if one]

        async def planned() -> Any:
            # A copy that lags knows no halls, or an older fleet: its waves would go over halls.
            await self.part.settled()
            machine, halls = self.part.machine, dict[str, list[str]]()
            for node in nodes or machine.names:
                halls.setdefault(machine.nodes[node].hall if node in machine.nodes else "", []).append(node)
            return await self.part.say(
                "plan",
                name,
                version,
                told.get("before") or self._common(),
                [list(wave) for wave in waves(halls, canary, most)],
                for_s,
                who,
            )

        return self._later(told, planned())

    def _common(self) -> str:
        """The version that most nodes have."""
        versions = [node.version for node in self.part.machine.nodes.values()]
        return max(sorted(set(versions)), key=versions.count, default="")

    def word(self, told: Told) -> dict[str, Any]:
        return self._later(
            told,
            self.part.say(
                "word",
                _word(told, "name"),
                _word(told, "what"),
                _word(told, "who"),
                _word(told, "reason", need=False),
            ),
        )

    def view(self) -> dict[str, Any]:
        part, machine = self.part, self.part.machine
        now, held = part.clock(), machine.permits.held
        down, cold, heard = part._down(), machine.cold(), part.heard.words
        driver, waits = part.waits()
        nodes = []
        for name in machine.names or part.names:
            node, (at, _, word) = machine.nodes.get(name), heard.get(name, (now, 0, None))
            nodes.append(
                {
                    "name": name,
                    "hall": node.hall if node else "",
                    "version": node.version if node else "",
                    "life": node.life if node else 0,
                    "state": word.state if word else "unknown",
                    "serving": word.serving if word else "unknown",
                    "open": word.open if word else None,
                    "heard_s": round(now - at, 1) if word else None,
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
            "audit": [list(one) for one in machine.permits.audit[-AUDIT_SHOWN:]],
        }

    def _runs(self, target: str) -> int | None:
        """Runs of this node alone that are open at a server below."""
        work = self.part.program.servers
        if work is None or self.part.machine.permits.targets[target].kind is not Kind.SERVER:
            return None
        return int(work.servers.open_runs.get(address_of(target), 0))

    def _reached(self, now: float, target: str) -> list[int] | None:
        """Of a server that is to return: how many nodes reach it, of how many that use it."""
        machine = self.part.machine
        if target not in machine.returning or machine.permits.targets[target].kind is not Kind.SERVER:
            return None
        return list(self.part.heard.reached(now, target, machine.returning[target]))

    def _release(self, name: str) -> dict[str, Any]:
        one = self.part.machine.releases[name]
        return {
            "name": name,
            "version": one.plan.version,
            "before": one.plan.before,
            "stage": one.stage.value,
            "reason": one.reason,
            "good": one.good,
            "waves": [list(wave) for wave in one.plan.waves],
            "steps": {target: step.value for target, step in one.steps.items()},
            "undone": {target: step.value for target, step in one.undone.items()},
        }


def offer(part: "Releases", context: Context) -> None:
    mine = Operators(part)
    context.views["/releases"] = mine.view
    context.views["/releases/answers"] = lambda: mine.answers
    context.calls.update(
        {
            "/releases/ask": mine.ask,
            "/releases/return": mine.give_back,
            "/releases/plan": mine.plan,
            "/releases/word": mine.word,
        }
    )
