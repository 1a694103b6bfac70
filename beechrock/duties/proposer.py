"""Sender of this node's proposals to the grant table, with at most one pending proposal per key.

States of a key: free; pending or answered a moment ago (blocked until a given time); refused for good.
Events: a proposal, its result, a change that frees the key. Invariant: at most one proposal of a key is
pending at a time. Each proposal may be applied late or never.
"""

import asyncio
from collections.abc import Callable

from beechrock import logs
from beechrock.core.counters import Counters
from beechrock.duties.grants import Result
from beechrock.duties.ports import AgreedLogPort
from beechrock.errors import OperatorError

MACHINE = "duties"  # name of the grant table's machine in the agreed log
RETRY_S = 0.5  # seconds until a proposal that was not accepted may be made again
PROPOSAL_TIMEOUT_S = 2.0  # seconds to wait for the result of a proposal
NEVER_S = float("inf")  # clock time for a key whose proposal was refused for good


class Proposer:
    """Sender of proposals; it calls ``on_answer`` whenever a proposal has ended."""

    def __init__(
        self,
        agree: AgreedLogPort,
        counters: Counters,
        clock: Callable[[], float],
        on_answer: Callable[[], None],
    ) -> None:
        self._agree = agree
        self._counters = counters
        self._clock = clock
        self._on_answer = on_answer
        self._not_before_s: dict[str, float] = {}  # earliest clock time of the next proposal, by key

    def allow(self, key: str) -> None:
        """Allow the next proposal of the key at once."""
        self._not_before_s.pop(key, None)

    def propose(
        self,
        key: str,
        command: bytes,
        on_settled: Callable[[], None] | None = None,
    ) -> None:
        """Propose a command, unless a proposal of the same key is pending or ended a moment ago.

        ``on_settled`` is called when the proposal has ended, whatever its result.
        """
        if self._clock() < self._not_before_s.get(key, 0.0):
            return
        self._not_before_s[key] = self._clock() + PROPOSAL_TIMEOUT_S + RETRY_S
        self._counters.spawn(self._propose(key, command, on_settled), f"duties.propose.{key}")

    async def _propose(self, key: str, command: bytes, on_settled: Callable[[], None] | None) -> None:
        result: object = None
        try:
            result = await self._agree.propose(MACHINE, command, PROPOSAL_TIMEOUT_S)
        except OperatorError as error:
            self._counters.add("duties.not_proposed")
            logs.event("duties.not_proposed", "warning", proposal=key, **error.fields())
        self._not_before_s[key] = self._clock() + RETRY_S
        if result in (Result.FULL, Result.BAD):
            logs.event("duties.refused", "error", proposal=key, why=str(result))
            self._not_before_s[key] = NEVER_S
        if on_settled is not None and result is None:
            await asyncio.sleep(RETRY_S)
        if on_settled is not None or result is Result.DONE:
            # The listener may propose again at once. If the key were still blocked, that proposal would be
            # dropped, and the grantor would wait REPROPOSE_LEASES for its answer.
            del self._not_before_s[key]
        if on_settled is not None:
            on_settled()
        self._on_answer()
