"""This node's proposals of commands for the grant table: one at a time of a key, and again after a while.

States of a key: free; under way, or answered a moment ago (not to be proposed before a time); refused for
good. Events: a proposal, its answer, a change that makes the key free. Invariant: of one key at most one
proposal is sent at a time; each may be applied late, or never.
"""

import asyncio
from collections.abc import Callable

from beechrock import logs
from beechrock.core.counters import Counters
from beechrock.duties.grants import Result
from beechrock.duties.ports import AgreedLogPort
from beechrock.errors import OperatorError

MACHINE = "duties"
RETRY_S = 0.5  # until a proposal that was not accepted is made again
PROPOSAL_TIMEOUT_S = 2.0  # for a proposal
NEVER_S = float("inf")


class Proposer:
    """``on_answer`` is called after each answer."""

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
        self._not_before_s: dict[str, float] = {}  # by key

    def allow(self, key: str) -> None:
        """Let the key be proposed at once."""
        self._not_before_s.pop(key, None)

    def propose(
        self,
        key: str,
        command: bytes,
        on_settled: Callable[[], None] | None = None,
    ) -> None:
        """Propose a command, unless one of its key is under way, or was a moment ago.

        ``on_settled`` is called once the proposal was answered.
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
            # The listener proposes again at once. Under a key that is not free that would not be sent, and
            # the grantor would wait two leases for its answer.
            del self._not_before_s[key]
        if on_settled is not None:
            on_settled()
        self._on_answer()
