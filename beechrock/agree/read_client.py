"""Linearizable reads of this node's other parts: get an index from the leader, then wait until it is applied.

States of a read: waiting for its index, waiting until the index is applied at this node, done. Events: a
call, an answer (``on_index``), applied entries (``on_applied``). Invariant: a read ends only after this node
has applied all entries that were committed before the read began; times are of the monotonic clock.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from beechrock.agree.errors import NoQuorumError
from beechrock.agree.messages import ReadIndexReady
from beechrock.agree.proposal_client import RETRY_LEASES
from beechrock.agree.rules import Rules


class ReadLink(Protocol):
    """Interface of a member that takes part in the log."""

    @property
    def applied(self) -> int:
        """Index up to which the machines have applied the log."""

    def read(self, token: int) -> None:
        """Begin a read; ``on_index`` receives the answer, which may be lost."""


@dataclass(frozen=True, slots=True)
class AppliedWaiter:
    """A read that waits until this node has applied ``index``."""

    index: int
    done: asyncio.Future[int]


class ReadClient:
    """Reads of this node. ``link``: returns the member, or None while this node takes no part."""

    def __init__(self, name: str, rules: Rules, link: Callable[[], ReadLink | None]) -> None:
        self._name = name
        self._rules = rules
        self._link = link
        self._next_token = 1
        self._answers: dict[int, asyncio.Future[int]] = {}  # awaited index of each read, by its token
        self._applied_waiters: list[AppliedWaiter] = []

    # --- for callers -----------------------------------------------------------------------------------

    async def settled(self, within_s: float) -> int:
        """Wait until this node has applied all entries that were committed before the call; return the index.

        A later read of a machine's state is linearizable. Raises NoQuorumError if this takes too long.
        """
        try:
            async with asyncio.timeout(within_s):
                while True:
                    link = self._link()
                    if link is None:
                        await asyncio.sleep(self._rules.tick_s)
                        continue
                    index = await self._read_index(link)
                    if index:
                        await self._wait_applied(link, index)
                        return index
        except TimeoutError:
            raise NoQuorumError(
                f"no read within {within_s} s",
                where=f"agreed log at {self._name}",
                do="retry once there is a leader",
            ) from None

    async def _read_index(self, link: ReadLink) -> int:
        """Return the index that the read must wait for; 0 if the caller must ask again."""
        token = self._next_token
        self._next_token += 1
        answer: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._answers[token] = answer
        try:
            link.read(token)
            index = await asyncio.wait_for(answer, RETRY_LEASES * self._rules.lease_s)
        except TimeoutError:
            return 0
        finally:
            self._answers.pop(token, None)
        if not index:
            await asyncio.sleep(self._rules.tick_s)
        return index

    async def _wait_applied(self, link: ReadLink, index: int) -> None:
        if link.applied < index:
            waiter = AppliedWaiter(index, asyncio.get_running_loop().create_future())
            self._applied_waiters.append(waiter)
            await waiter.done

    # --- events ----------------------------------------------------------------------------------------

    def on_index(self, ready: ReadIndexReady) -> None:
        """Pass the answer to the read that waits for it."""
        answer = self._answers.get(ready.token)
        if answer is not None and not answer.done():
            answer.set_result(ready.index)

    def on_applied(self, index: int) -> None:
        """End all reads that wait for an index up to ``index``, as it is applied now."""
        for waiter in list(self._applied_waiters):
            if index >= waiter.index or waiter.done.done():
                self._applied_waiters.remove(waiter)
                if not waiter.done.done():
                    waiter.done.set_result(waiter.index)
