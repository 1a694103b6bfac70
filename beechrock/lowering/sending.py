"""Carries out the sends, copies and waits that ``acts.Tries`` decides for one request."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from beechrock.lowering.acts import (
    Act,
    Acts,
    Address,
    Asked,
    Copy,
    Done,
    Nowhere,
    Send,
    Tries,
    TurnAway,
    Wait,
)

COPY_S = 5.0  # Timeout in seconds for the answer of a mirror


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of a server; ``status`` 0 means that the connection ended before the reply was complete."""

    status: int
    media: str = ""
    body: bytes = b""

    @property
    def final(self) -> bool:
        """Return whether the reply is final; a server error (status 500 and above) may be retried."""
        return 0 < self.status < 500


# The flag says whether the send is a mirror copy; None means that no connection was made.
Sender = Callable[[Address, bool], Awaitable[Reply | None]]
Spawn = Callable[[Coroutine[Any, Any, None], str], Any]


async def sent(
    acts: Acts, asked: Asked, send: Sender, clock: Callable[[], float], spawn: Spawn
) -> Reply | TurnAway | None:
    """Return the only answer of a request; None if no server was reached. Cancels the sends left open."""
    tries = Tries(acts, asked)
    open_: dict[asyncio.Future[Reply | None], int] = {}
    replies: dict[int, Reply] = {}
    hedge: asyncio.Future[Reply | None] | None = None

    try:
        todo: list[Act] = tries.begin(clock())
        while True:
            for act in todo:
                match act:
                    case Send(number, address):
                        open_[asyncio.ensure_future(send(address, False))] = number
                    case Copy(address):
                        spawn(_copy(acts, send, address), "lowering.copy")
                    case Wait(seconds):
                        hedge = asyncio.ensure_future(_alarm(seconds))
                    case Done(number):
                        return replies[number]
                    case TurnAway():
                        return act
                    case Nowhere():
                        return None
            todo = []
            waits = {*open_, *((hedge,) if hedge is not None else ())}
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                number = open_.pop(task, 0)
                reply = task.result()
                if not number:
                    hedge = None
                    todo += tries.timer(clock())
                elif reply is None:
                    todo += tries.unreached(clock(), number)
                else:
                    replies[number] = reply
                    todo += tries.ended(clock(), number, reply.final)
    finally:
        tries.close()
        for task in (*open_, *((hedge,) if hedge is not None else ())):
            task.cancel()


async def _alarm(seconds: float) -> Reply | None:
    await asyncio.sleep(seconds)
    return None


async def _copy(acts: Acts, send: Sender, address: Address) -> None:
    """Send a copy to a mirror; its answer is read and discarded."""
    try:
        async with asyncio.timeout(COPY_S):
            await send(address, True)
    except TimeoutError:
        pass
    finally:
        acts.copies -= 1
