"""Probe of the agreed log: runs writes and reads and measures how long they take, for operators and tests.

``POST /agree/probe?writes=10&reads=10`` starts a probe. The end of each operation is logged as an event
``agree.probe`` with its start, its end (seconds of the monotonic clock, which all processes of a machine
share) and its result. ``GET /agree/probe`` shows the measured times.
"""

import asyncio
import statistics
import time
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.agree.errors import AgreeError, FullError, VotersError

if TYPE_CHECKING:
    from beechrock.agree.part import AgreedLog

NAME = "probe"  # Name of the probe's state machine
MAX_OPERATIONS = 10_000  # Maximum number of writes, and of reads, per probe
MAX_WITHIN_S = 60.0  # Longest allowed timeout of one operation, in seconds


class OperationKind(StrEnum):
    """Kind of a probe's operation; the values are shown to operators."""

    WRITE = "write"
    READ = "read"


class CounterMachine:
    """A state machine that counts writes; the result of a write is the new count."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> int:
        """Count one write; return the new count."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the encoded count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Replace the count by an encoded one."""
        self.count = int(data)


class LogProbe:
    """Runs writes and reads on the log; at most one probe at a time."""

    def __init__(self, log: "AgreedLog") -> None:
        self.log = log
        self.machine = CounterMachine()
        self.task: asyncio.Future[None] | None = None
        self.took_s: dict[OperationKind, list[float]] = {}
        self.failed = 0
        self._reset()

    def _reset(self) -> None:
        self.took_s = {kind: [] for kind in OperationKind}
        self.failed = 0

    def start(self, query: dict[str, str]) -> dict[str, Any]:
        """Start a probe; return the view.

        Raises VotersError (shown as 409) for numbers out of bounds, FullError if a probe is running.
        """
        try:
            writes, reads = (int(query.get(key, "0")) for key in ("writes", "reads"))
            within_s = float(query.get("within_s", "5"))
        except ValueError:
            writes, reads, within_s = -1, -1, 0.0  # out of bounds, so refused below
        operations = range(MAX_OPERATIONS + 1)
        if writes not in operations or reads not in operations or not 0 < within_s <= MAX_WITHIN_S:
            raise VotersError(
                f"{query}",
                where="/agree/probe",
                wanted=f"writes=N&reads=N&within_s=S, N up to {MAX_OPERATIONS}",
            )
        if self.task is not None and not self.task.done():
            raise FullError(
                "a probe is running", where="/agree/probe", do="wait for its end: GET /agree/probe"
            )
        self._reset()
        self.task = asyncio.ensure_future(self._run(writes, reads, within_s))
        return self.view()

    async def _run(self, writes: int, reads: int, within_s: float) -> None:
        for number in range(max(writes, reads)):
            if number < writes:
                await self._run_operation(OperationKind.WRITE, within_s)
            if number < reads:
                await self._run_operation(OperationKind.READ, within_s)

    async def _run_operation(self, kind: OperationKind, within_s: float) -> None:
        begun_s = time.monotonic()
        value = None
        error = ""
        try:
            if kind is OperationKind.WRITE:
                value = await self.log.propose(NAME, b"", within_s)
            else:
                await self.log.settled(within_s)
                value = self.machine.count
            self.took_s[kind].append(time.monotonic() - begun_s)
        except AgreeError as failure:
            error = type(failure).__name__
            self.failed += 1
            await asyncio.sleep(self.log.rules.tick_s)
        logs.event(
            "agree.probe",
            node=self.log.name,
            what=kind.value,
            begun_s=begun_s,
            ended_s=time.monotonic(),
            value=value,
            error=error,
        )

    def view(self) -> dict[str, Any]:
        """Return the view shown at ``/agree/probe``."""
        view: dict[str, Any] = {
            "running": self.task is not None and not self.task.done(),
            "failed": self.failed,
            "count": self.machine.count,
        }
        for kind, took_s in self.took_s.items():
            if took_s:
                view[kind.value] = {
                    "done": len(took_s),
                    "median_ms": round(1000 * statistics.median(took_s), 2),
                    "worst_ms": round(1000 * max(took_s), 2),
                }
        return view

    def close(self) -> None:
        """Cancel the running probe, if any."""
        if self.task is not None:
            self.task.cancel()
