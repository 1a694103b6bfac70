"""Edges as real processes: a service that notes what ran in which order, callers with sessions, and a
checker."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from beechrock.lab.edges_heard import Carried, Try, contradicted, limit_s
from beechrock.lab.fleet.fleet import Fleet
from beechrock.net.scgi_codec import ScgiError, decode_headers
from beechrock.net.scgi_reply import Reply

UP = "up"
INVENTORY = """
teams: {hosts: {a: {}, b: {}}}
services: {hosts: {s: {upstreams: ["127.0.0.1:%d"]}, r: {upstreams: ["127.0.0.1:%d"]}}}
contracts:
  hosts:
    a-s: {team: a, service: s, share: 0.4, when_gone: skip, TERMS}
    b-s: {team: b, service: s, share: 0.3, when_gone: hold, TERMS}
    a-r: {team: a, service: r, share: 0.2, rate: 900, aim_ms: 500, due_ms: 4000, effect: safe, when_cut:
    refuse}
all: {vars: {cores: %d, memory_mb: 64}}
"""
TERMS = (
    "rate: 9000, aim_ms: 900, due_ms: 5000, effect: keyed, window_ms: 30000, when_cut: queue, keep_s: 3600"
)


class Service:
    """SCGI on loopback. A key that ends in ``!`` is refused for good; while ``silent`` it takes and says
    nothing."""

    def __init__(self, time_s: float = 0.01) -> None:
        self.time_s, self.silent = time_s, False
        self.order: list[str] = []
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            size = int((await reader.readuntil(b":"))[:-1])
            headers = decode_headers((await reader.readexactly(size + 1))[:-1])
            body = await reader.readexactly(int(headers["CONTENT_LENGTH"]))
            key = headers.get("HTTP_IDEMPOTENCY_KEY", "")
            if key.endswith("!"):
                writer.write(Reply(422, b"no").encode())
                return
            if key:
                self.order.append(key)
            await asyncio.sleep(self.time_s if not self.silent else 3600)
            writer.write(Reply(200, b"did " + body).encode())
            await writer.drain()
        except (OSError, ValueError, ScgiError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass
class Session:
    """A caller that hands its newest receipts back."""

    name: str
    team: str = "a"
    seen: str = ""
    nonces: tuple[str, ...] = ()


@dataclass
class Play:
    """``async with Play(...) as play``; ``replayer`` by edge may be changed between starts."""

    folder: Path
    seed: int = 1
    edges: Mapping[str, tuple[str, ...]] = field(default_factory=lambda: {"e": ("e1", "e2", "e3")})
    copies: int = 2
    lying: bool = False
    cores: int = 4
    time_s: float = 0.01
    most_mb: float = 16.0
    duties: bool = False  # the replayer by the agreed log, with upstream and two members as voters
    ups: tuple[str, ...] = (UP,)  # named upstream; more than one needs ``duties``
    inventory: str = INVENTORY
    probe_s: float = 0.1
    replayer: dict[str, str] = field(default_factory=dict)
    accepted: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    pairs: list[tuple[str, str]] = field(default_factory=list)
    receipts: dict[str, str] = field(default_factory=dict)
    discarded: set[str] = field(default_factory=set)  # receipts that ``settle`` had discarded
    tries: list[Try] = field(default_factory=list)  # every answer, with its times
    carried: Carried = field(default_factory=Carried)

    async def __aenter__(self) -> "Play":
        self.service = Service(self.time_s)
        await self.service.start()
        self.edge_of = {name: edge for edge, names in self.edges.items() for name in names}
        self.members = tuple(self.edge_of)
        port = self.service.port
        inventory = self.inventory.replace("TERMS", TERMS) % (port, port, self.cores)
        halls = {name: self.edge_of.get(name, "centre") for name in (*self.ups, *self.members)}
        self.fleet = Fleet(
            self.folder,
            self.seed,
            (*self.ups, *self.members),
            tables=self._tables,
            halls=halls,
            inventory=inventory,
            lying=self.lying,
        )
        self.fleet.links.on_carried = self.carried.on_frame
        await self.fleet.__aenter__()
        await self.fleet.start()
        for name in self.members:
            await self.link(name, "connected", "replaying")
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.fleet.__aexit__(*args)
        self.service.server.close()

    def _tables(self, name: str) -> dict[str, Any]:
        more: dict[str, Any] = {}
        if self.duties:
            voters = [*self.ups, *self.members[:2]]
            more = {"agree": {"voters": voters}, "duties": {"lease_s": 1.0, "hold_down_s": 0.5}}
        named = UP if self.ups == (UP,) else list(self.ups)
        if name in self.ups:
            return {**more, "edges": {"role": "upstream", **({"upstream": named} if named != UP else {})}}
        edge = self.edge_of[name]
        names = list(self.edges[edge])
        return {
            **more,
            "edges": {
                "role": "edge",
                "edge": edge,
                "members": names,
                "upstream": named,
                "copies": self.copies,
                "probe_s": self.probe_s,
                "most_mb": self.most_mb,
                "replayer": self.replayer.get(edge, names[0]),
            },
        }

    # --- the edges

    async def member(self, name: str) -> dict[str, Any]:
        found: dict[str, Any] = (await self.fleet.view(name, "/edges"))["member"]
        return found

    async def link(self, name: str, *states: str) -> None:
        async def there() -> bool:
            return (await self.member(name))["link"] in states

        await self.fleet.until(there, what=f"{name} {states}")

    async def cut(self, *edges: str) -> None:
        """From upstream, both ways, until all members know."""
        names = [name for name, edge in self.edge_of.items() if edge in (edges or tuple(self.edges))]
        self.fleet.links.cut(names, self.ups)
        self.fleet.links.cut(self.ups, names)
        for name in names:
            if name in self.fleet.up:
                await self.link(name, "cut")

    def join(self, edge: str) -> None:
        """This edge alone: ``heal`` would mend all links of upstream, and join those that are still cut."""
        self.fleet.links.mend(self.ups, self.edges[edge])
        self.fleet.links.mend(self.edges[edge], self.ups)

    async def marks(self, name: str) -> dict[str, Any]:
        """What a node that is named upstream says of the marks' records."""
        found: dict[str, Any] = (await self.fleet.view(name, "/edges"))["upstream"]["marks"]
        return found

    async def holder(self, besides: str = "") -> str:
        """Who of the named takes what edges send, once one does."""

        async def able() -> str:
            for name in self.ups:
                if name in self.fleet.up and name != besides and (await self.marks(name))["able"]:
                    return name
            return ""

        found: str = await self.fleet.until(able, what="a holder of the marks")
        return found

    async def drained(self, *edges: str) -> None:
        async def empty() -> bool:
            views = [
                await self.member(name)
                for name in self.fleet.up
                if name in self.edge_of and self.edge_of[name] in (edges or tuple(self.edges))
            ]
            return not any(view["waiting"] for view in views)

        await self.fleet.until(empty, what="drained")

    async def emptied(self) -> None:
        """Operators discard what is held for them, until nothing waits."""

        async def empty() -> bool:
            await self.settle()
            return not any([(await self.member(name))["waiting"] for name in self.members])

        await self.fleet.until(empty, what="emptied")

    async def settle(self, said: str = "discard") -> int:
        """Operators act on all that is held for them; how many."""
        acted = 0
        for name in self.fleet.up:
            if name in self.edge_of:
                for row in (await self.member(name))["held"]:
                    if row["said"] in ("doubt", "gone"):
                        path = f"/edges/{said}?receipt={row['receipt']}"
                        status, _ = await self.fleet.call(name, "POST", path)
                        acted += status == 200
                        if status == 200 and said == "discard":
                            self.discarded.add(row["receipt"])
        return acted

    async def contract(self, name: str, old: str, new: str) -> None:
        """Edits the inventory of a running node, until it has taken it."""
        taken = len(self.fleet.events(name, "inventory.taken"))
        path = self.folder / name / "inventory.yaml"
        self.fleet.write_inventory(name, path.read_text().replace(old, new))
        self.fleet.nodes[name].send(signal.SIGHUP)
        await self.fleet.until(lambda: len(self.fleet.events(name, "inventory.taken")) > taken)

    # --- callers

    async def write(self, name: str, nonce: str, session: Session | None = None, **more: str) -> int:
        """Its status; 0 without an answer."""
        told, sent_s = dict(more), time.monotonic()
        if session is not None and session.seen:
            told["HTTP_X_SEEN"] = session.seen
        try:
            status, headers, text = await self.fleet.scgi(
                name, "s", session.team if session else "a", b"body", within_s=10.0, key=nonce, **told
            )
        except (OSError, TimeoutError):
            status, headers, text = 0, {}, b""
        self.answers[nonce] = status
        said = text.decode(errors="replace")
        self.tries.append(Try(name, nonce, sent_s, time.monotonic(), status, said))
        if status not in (200, 202):  # why shows nowhere else
            self.fleet.note("not accepted", name, nonce=nonce, status=status, text=said)
        if status == 202:
            self.accepted.append(nonce)
            self.receipts[nonce] = headers["x-receipt"]
        if session is not None and status in (200, 202):
            self.pairs += [(before, nonce) for before in session.nonces]
            session.nonces = (*session.nonces, nonce)
            session.seen = headers.get("x-receipt", session.seen)
        return status

    def refused_though_heard(self) -> list[str]:
        """Refusals for want of members though enough had been heard; where no member was started anew, had a
        full disk or came back with an older folder."""
        others = {
            name: tuple(other for other in self.edges[edge] if other != name)
            for name, edge in self.edge_of.items()
        }
        needed = min(self.copies, *(len(names) for names in self.edges.values()))
        return contradicted(self.tries, self.carried, others, needed, limit_s(self.probe_s))

    def discarded_nonces(self) -> set[str]:
        """Return the accepted writes that an operator here discarded, and that upstream ended so."""
        accepted = {event["receipt"]: event["nonce"] for event in self.fleet.events(event="edge.accepted")}
        ended = {
            event["receipt"]
            for event in self.fleet.events(event="edge.ended")
            if event["state"] == "discarded"
        }
        return {accepted[receipt] for receipt in self.discarded & ended & accepted.keys()}

    def check(self, ended: tuple[str, ...] = ()) -> list[str]:
        """Violations, from what callers and the service saw; ``ended``: those told as not applied.

        What was in doubt and an operator discarded counts as ended, too: it may never have run.
        """
        ended = (*ended, *self.discarded_nonces())
        runs, order = Counter(self.service.order), {key: n for n, key in enumerate(self.service.order)}
        bad = [f"twice: {key} ran {n} times" for key, n in runs.items() if n > 1]
        bad += [f"lost: {key}" for key in self.accepted if key not in runs and key not in ended]
        bad += [
            f"refused: {key} ran" for key, status in self.answers.items() if status == 503 and key in runs
        ]
        bad += [
            f"order: {after} before {before}"
            for before, after in self.pairs
            if after in order and before not in ended and order.get(before, 1 << 60) > order[after]
        ]
        bad += [f"trouble: {name}" for name in self.fleet.troubles()]
        return bad
