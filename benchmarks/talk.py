"""Links between nodes: messages a second, round trips, and what a silent peer costs the others.

Pairs: each figure with and without a silent third peer, in turn. A miss: exit 1. ``--short``: fewer messages.
All nodes in one process, so a figure is of sender and receiver together.
"""

import argparse
import asyncio
import socket
import statistics
import sys
import time
from pathlib import Path

from beechrock.core.counters import Counters
from beechrock.talk.frames import key_from
from beechrock.talk.part import PeerTransport
from beechrock.talk.settings import FleetSettings

KEY, SIZE = key_from(b"a secret of sixteen bytes and more"), 200
LEAST_RATE = 8_000.0  # messages a second of processor time, which others on the machine leave alone
MOST_TRIP_MS = 10.0  # in the median
LEAST_BESIDE = 0.7  # of the rate, beside a silent peer whose queue is kept full


async def nodes(silent: bool) -> tuple[list[PeerTransport], list["asyncio.Task[None]"]]:
    """Two that talk; with a third, which greets and reads nothing."""
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(bytes(16))
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        held.append(writer)

    held: list[asyncio.StreamWriter] = []

    await asyncio.start_server(serve, sock=listening)
    made = [
        PeerTransport(FleetSettings(("127.0.0.1", 0), {}, KEY, Path("/nowhere")), name, 1, Counters())
        for name in ("a", "b")
    ]
    for talk in made:
        await talk.listen()
    for talk, other in (made, made[::-1]):
        host, port = other.address.split(":")
        talk.links[other.name] = talk.link_to(other.name, (host, int(port)))
    if silent:
        made[0].links["s"] = made[0].link_to("s", listening.getsockname())
    tasks = [asyncio.ensure_future(talk.run()) for talk in made]
    while not all(link.connected for talk in made for link in talk.links.values()):
        await asyncio.sleep(0.01)
    return made, tasks


async def play(silent: bool, count: int, trips: int) -> tuple[float, float]:
    """Messages a processor second one way, and the median round trip in milliseconds."""
    (a, b), tasks = await nodes(silent)
    came, back = [0], asyncio.Event()

    def take(*_: object) -> None:
        came[0] += 1

    b.on("c", take)
    b.on("ping", lambda sender, _, message: b.send(sender, "pong", message))
    a.on("pong", lambda *_: back.set())
    start, sent = time.process_time(), 0
    while came[0] < count:
        if silent:
            while a.send("s", "c", bytes(1 << 16)):
                pass
        while sent < count and sent - came[0] < 2000 and a.send("b", "c", bytes(SIZE)):
            sent += 1
        await asyncio.sleep(0)
    rate = count / (time.process_time() - start)
    took = []
    for _ in range(trips):
        back.clear()
        start = time.perf_counter()
        a.send("b", "ping", bytes(SIZE))
        await back.wait()
        took.append(1000 * (time.perf_counter() - start))
    for task in tasks:
        task.cancel()
    a.close()
    b.close()
    return rate, statistics.median(took)


def main() -> int:
    asked = argparse.ArgumentParser()
    asked.add_argument("--short", action="store_true")
    short, missed = asked.parse_args().short, []
    count, trips = (20_000, 200) if short else (50_000, 2_000)
    pairs = [
        [asyncio.run(play(silent, count, trips)) for silent in (False, True)]
        for _ in range(3 if short else 7)
    ]
    rate, trip = (statistics.median(pair[0][n] for pair in pairs) for n in (0, 1))
    beside = statistics.median(pair[1][0] / pair[0][0] for pair in pairs)
    late = statistics.median(pair[1][1] for pair in pairs)
    print(
        f"{rate:.0f} messages of {SIZE} bytes a processor second, round trip {trip:.2f} ms; beside a "
        f"silent peer {beside:.2f} of the rate and {late:.2f} ms ({len(pairs)} pairs)"
    )
    if rate < LEAST_RATE:
        missed.append(f"{rate:.0f} messages a second, wanted {LEAST_RATE:.0f}")
    if max(trip, late) > MOST_TRIP_MS:
        missed.append(f"a round trip of {max(trip, late):.2f} ms, wanted {MOST_TRIP_MS}")
    if beside < LEAST_BESIDE:
        missed.append(f"{beside:.2f} of the rate beside a silent peer, wanted {LEAST_BESIDE}")
    for line in missed:
        print(f"MISSED: {line}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
