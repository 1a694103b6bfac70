"""Real processes apply limits, retries, a hedge and mirrors to servers that fail or don't answer."""

import asyncio
import time
from pathlib import Path
from typing import Any

from beechrock.core.requests import Answer, Verdict
from beechrock.lab.fleet import Fleet
from beechrock.lab.fleet.fleet import LOOK_S, UNTIL_S
from beechrock.lowering.acts import Limits
from beechrock.net.scgi_reply import reply_to

NAMES = ["a", "b", "c"]
RATE = 2.0
NOT_RUN = reply_to(Answer(Verdict.REFUSED)).body  # Body of a rejection by the node itself
TEXT = """
all: {vars: {cores: 2, memory_mb: 64}}
teams: {hosts: {red: }}
services: {hosts: {get: {upstreams: "127.0.0.1:QUICK"}, put: {upstreams: "127.0.0.1:QUICK"}}}
contracts:
  hosts:
    red-get: {team: red, service: get, share: 0.5, rate: 900, aim_ms: 900, due_ms: 9000, effect: safe}
    red-put: {team: red, service: put, share: 0.5, rate: 900, aim_ms: 900, due_ms: 9000, effect: keyed,
              window_ms: 60000}
machines: {hosts: {m1: {hall: east, hardware: big}}}
hardware: {hosts: {big: }}
pools:
  hosts:
    quick: {hall: east, upstreams: ["127.0.0.1:QUICK"]}
    other: {hall: east, upstreams: ["127.0.0.1:OTHER"]}
    silent: {hall: east, upstreams: ["127.0.0.1:SILENT"]}
    broken: {hall: east, upstreams: ["127.0.0.1:BROKEN"]}
    mirror: {hall: east, upstreams: ["127.0.0.1:MIRROR"]}
rules:
  hosts:
    limited: {prefix: lim/, pools: quick, rate: RATE}
    spilled: {prefix: spl/, pools: quick, fall_backs: [other], rate: RATE}
    hedged: {prefix: hed/, pools: silent, fall_backs: [quick], hedge_ms: 30}
    again: {prefix: try/, pools: broken, fall_backs: [quick], retries: 1}
    mirrored: {prefix: mir/, pools: quick, mirrors: [mirror=50], priority: 6}
    once: {service: put, pools: broken, fall_backs: [quick], retries: 3, hedge_ms: 1, mirrors: [mirror=100]}
"""


class Server:
    """Records the time and headers of each request; answers with its name, an error, or not at all."""

    def __init__(self, name: str) -> None:
        self.name, self.asked = name, list[tuple[float, dict[bytes, bytes]]]()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            size = int((await reader.readuntil(b":"))[:-1])
            fields = (await reader.readexactly(size + 1))[:-1].split(b"\0")
            self.asked.append((time.monotonic(), dict(zip(fields[::2], fields[1::2], strict=False))))
            if self.name == "silent":
                await reader.read()
            else:
                status = "500 Broken" if self.name == "broken" else "200 OK"
                writer.write(
                    f"Status: {status}\r\nContent-Length: {len(self.name)}\r\n\r\n{self.name}".encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def test_a_node_applies_limits_retries_a_hedge_and_mirrors(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = {name: Server(name) for name in ("quick", "other", "silent", "broken", "mirror")}
        text = TEXT.replace("RATE", str(RATE))
        for name, server in servers.items():
            text = text.replace(name.upper(), str(await server.start()))
        tables = {"agree": {"voters": NAMES}, "duties": {"lease_s": 1.0}, "lowering": {}}
        halls, hardware = dict.fromkeys(NAMES, "east"), dict.fromkeys(NAMES, "big")
        async with Fleet(
            tmp_path, 4, NAMES, tables=tables, halls=halls, hardware=hardware, inventory=text
        ) as fleet:
            await fleet.start()

            async def there() -> bool:
                views = [await fleet.view(name, "/lowering") for name in NAMES]
                return all(v["generation"] == 1 and not v["in_force"]["round"] for v in views)

            await fleet.until(there, what="the plan")

            async def get(subject: str, service: str = "get", **more: str) -> tuple[int, Any, bytes]:
                """Return the response after the rule was applied.

                A node with busy cores may reject a request before routing it, and the caller retries. At a
                machine load of 27 a node did so with 10 of 12 requests.
                """
                async with asyncio.timeout(UNTIL_S):
                    while True:
                        found = await fleet.scgi("a", service, "red", HTTP_X_ENTITY=subject, **more)
                        if found[::2] != (503, NOT_RUN):
                            return found
                        await asyncio.sleep(LOOK_S)

            async def many(subject: str, count: int) -> list[tuple[int, Any, bytes]]:
                return await asyncio.gather(*(get(f"{subject}{at}") for at in range(count)))

            # Over the limit: rejected with a retry delay; after that time a request is served.
            began = time.monotonic()
            found = await many("lim/", 12)
            rejections = [fields for status, fields, _ in found if status == 503]
            assert rejections and all(
                0 < int(fields["x-retry-after-ms"]) <= 1000 / RATE + 1 for fields in rejections
            )
            assert {status for status, _, _ in found} == {200, 503}

            async def served() -> bool:
                return (await get("lim/again"))[0] == 200

            await fleet.until(served, what="room under the limit again")
            times = [at for at, _ in servers["quick"].asked]
            limit = Limits(RATE).burst + RATE * (times[-1] - began)
            assert len(times) <= limit, "more sends than the rule's limit allows"
            # Over the limit with a fall-back: every request is served, some of them by the fall-back.
            found = await many("spl/", 12)
            assert {status for status, _, _ in found} == {200}
            assert {body for _, _, body in found} == {b"quick", b"other"}
            # A server that accepts a request but doesn't answer, and one that answers with an error.
            assert (await get("hed/1"))[::2] == (200, b"quick")
            await fleet.until(lambda: servers["silent"].asked, what="the hedged request at the silent server")
            assert len(servers["silent"].asked) == 1
            assert (await get("try/1"))[::2] == (200, b"quick")
            # A request that must not run twice is sent once, whatever the rule says, and not mirrored.
            tries = len(servers["broken"].asked)
            assert (await get("x", "put", key="k1"))[0] == 500
            assert len(servers["broken"].asked) == tries + 1 and not servers["mirror"].asked
            # The mirror gets its percentage of copies; its answers reach no caller.
            found = await many("mir/", 10)
            assert {body for _, _, body in found} == {b"quick"}

            async def copied() -> bool:
                return len(servers["mirror"].asked) == 5

            await fleet.until(copied, what="copies")
            assert all(headers[b"HTTP_X_MIRROR"] == b"1" for _, headers in servers["mirror"].asked)
            assert servers["quick"].asked[-1][1][b"HTTP_X_PRIORITY"] == b"6"
            assert not fleet.troubles()
        for server in servers.values():
            server.server.close()

    asyncio.run(scenario())
