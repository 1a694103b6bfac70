"""Requests stamped with a wall clock that is stepped, and helpers for the node that receives them."""

from pair import UP
from play import Stand

STEPS = [-3600.0, -2.0, 2.0, 3600.0]  # steps of the wall clock, in seconds
DUE_S, WINDOW_S = 3.6, 10.0  # deadline and idempotency window of the class ``submit`` in play.SETTINGS
OK = 'c%d ... "ok"\n'


def new_request(stand: Stand, trace: int, key: int, route: str = "submit") -> str:
    """Return the script that sends a request, stamped with the present wall clock, on a new connection."""
    return f"c{trace} = connect frames\nc{trace} > " + request_frame(
        stand.now + stand.step_s, trace, key, route
    )


def request_frame(unix_s: float, trace: int, key: int, route: str = "submit", stream: int = 1) -> str:
    born_ms = f"{1000 * unix_s:.0f}"
    nonce = f'05"nonce" 0004"{key:04}" ' if route == "submit" else ""
    return (
        f"{{01 {stream:08} {7 if nonce else 6:02} "
        f'05"route" {len(route):04x}"{route}" 05"trace" 0010"{trace:016}" '
        f'04"born" {len(born_ms):04x}"{born_ms}" 06"client" 0001"4" 04"size" 0004"24.5" '
        f'05"order" 0006"0.6250" {nonce}"x"}}\n'
    )


async def advance(stand: Stand, seconds: float) -> None:
    """Advance the time in steps of at most a second; at each the node reads its clocks."""
    while seconds > 0:
        await stand.step(["clock", str(min(seconds, 1.0))], "")
        seconds = round(seconds - 1.0, 6)


async def open_with_agent(stand: Stand) -> None:
    await stand.open()
    await stand.play(UP + "up agent\n")


def counter(stand: Stand, name: str) -> float:
    return stand.program.counters[name]
