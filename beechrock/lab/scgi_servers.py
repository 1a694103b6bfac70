"""Stand-in SCGI servers: each answers after a stated time with what it was asked, and counts.

python -m beechrock.lab.scgi_servers [--time-ms 20] [--lives-s 3600] PORT...
"""

import argparse
import asyncio
import sys

from beechrock.net.scgi_codec import ScgiError, decode_headers
from beechrock.net.scgi_reply import Reply

MOST_BODY = 1 << 20


class Server:
    """One server; ``runs`` counts whole requests, ``traces`` what ran, so that a double run shows."""

    def __init__(self, time_s: float = 0.02) -> None:
        self.time_s = time_s
        self.runs = self.open = self.most_open = 0
        self.held: asyncio.Event | None = None  # what runs is answered once it is set
        self.keys: dict[str, int] = {}  # runs by idempotency key
        self.plans: dict[bytes, set[str]] = {}  # generations of policy by body, of those without a key
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, bound = self._server.sockets[0].getsockname()[:2]
        return host, bound

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            size = int((await reader.readuntil(b":"))[:-1])
            headers = decode_headers((await reader.readexactly(size + 1))[:-1])
            length = int(headers["CONTENT_LENGTH"])
            body = await reader.readexactly(min(length, MOST_BODY))
            self.runs, self.open = self.runs + 1, self.open + 1
            self.most_open = max(self.most_open, self.open)
            if key := headers.get("HTTP_IDEMPOTENCY_KEY"):
                self.keys[key] = self.keys.get(key, 0) + 1
            elif plan := headers.get("HTTP_X_GENERATION"):
                self.plans.setdefault(body, set()).add(plan)
            try:
                await asyncio.sleep(self.time_s)
                if self.held is not None:
                    await self.held.wait()
            finally:
                self.open -= 1
            writer.write(Reply(200, headers.get("HTTP_X_ROUTE", "").encode() + b" did " + body).encode())
            await writer.drain()
        except (OSError, ValueError, ScgiError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the loop ends; its streams would print this as an error
        finally:
            writer.close()


async def _run(ports: list[int], time_s: float, lives_s: float) -> None:
    servers = [Server(time_s) for _ in ports]
    for server, port in zip(servers, ports, strict=True):
        await server.start(port)
    await asyncio.sleep(lives_s)


def main() -> int:
    parser = argparse.ArgumentParser(prog="beechrock.lab.scgi_servers")
    parser.add_argument("ports", type=int, nargs="+")
    parser.add_argument("--time-ms", type=float, default=20.0)
    parser.add_argument("--lives-s", type=float, default=3600.0)
    told = parser.parse_args()
    try:
        asyncio.run(_run(told.ports, told.time_ms / 1000, told.lives_s))
    except KeyboardInterrupt:
        pass
    except OSError as error:
        print(f"scgi_servers: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
