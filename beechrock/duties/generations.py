"""Built-in duty whose holder proposes the fleet's inventory generations.

The state machine ``inventory`` in the agreed log keeps the number and digest of the agreed generation and the
highest fence, because it is itself the receiver of the duty's effects. It accepts a proposal if the fence is
not below the highest one and the number is the next one.

The holder proposes the digest of its own node's files if that digest was never agreed, or if the files
matched the agreed generation and have since changed. So a node with outdated files does not bring back an
earlier generation. A node whose files differ from the agreed generation logs a warning, which is only advice:
every node goes on loading new generations from its own files.
"""

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple

import msgpack

from beechrock import logs
from beechrock.duties.errors import GrantsUnreadableError
from beechrock.duties.model import Duty, Kind
from beechrock.errors import OperatorError

if TYPE_CHECKING:
    from beechrock.duties.part import Duties
    from beechrock.parts import Context

MACHINE = "inventory"
VERSION = 1
MAX_EARLIER_DIGESTS = 64  # maximum number of agreed digests remembered, the current one included
MAX_DIGEST_LENGTH = 128  # characters
SHORT_DIGEST = 12  # characters of a digest that are shown in a log event
CHECK_INTERVAL_S = 0.5  # seconds between two comparisons of this node's files with the agreed generation
# Seconds for which files may differ before a warning, so that an update can reach all nodes.
REPORT_DIFFERENCE_AFTER_S = 10.0
PROPOSAL_TIMEOUT_S = 2.0  # seconds to wait for the result of a proposal


class ProposalResult(Enum):
    """Result of a proposal; log events contain the values."""

    DONE = "done"
    OLD_FENCE = "old fence"
    NOT_NEXT = "not the next"
    BAD = "bad"


class AgreedGeneration:
    """State machine of the agreed generation.

    Invariants: the generation number increases by one; the highest fence never decreases.
    """

    def __init__(self) -> None:
        self.number = 0
        self.digest = ""
        self.fence = 0
        self.earlier: list[str] = []  # digests agreed so far, the current one last

    def apply(self, index: int, command: bytes) -> ProposalResult:
        """Accept or refuse the proposal of the next generation."""
        try:
            fence, number, digest = msgpack.unpackb(command)
            fence, number, digest = int(fence), int(number), str(digest)
        except (ValueError, TypeError, msgpack.UnpackException):
            return ProposalResult.BAD
        if not 0 < len(digest) <= MAX_DIGEST_LENGTH:
            return ProposalResult.BAD
        if fence < self.fence:
            return ProposalResult.OLD_FENCE
        self.fence = fence
        if number != self.number + 1:
            return ProposalResult.NOT_NEXT
        self.number = number
        self.digest = digest
        self.earlier = [*self.earlier, digest][-MAX_EARLIER_DIGESTS:]
        return ProposalResult.DONE

    def snapshot(self) -> bytes:
        """Return the whole state, packed."""
        data: bytes = msgpack.packb((VERSION, self.number, self.digest, self.fence, self.earlier))
        return data

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises GrantsUnreadableError if the data is not a snapshot of the current format.
        """
        try:
            version, number, digest, fence, earlier = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException):
            version = 0
        if version != VERSION:
            raise GrantsUnreadableError(
                "not a snapshot of format 1",
                where="snapshot of inventory",
                do="run the program that wrote it, or a newer one",
            )
        self.number = int(number)
        self.digest = str(digest)
        self.fence = int(fence)
        self.earlier = list(earlier)


class Comparison(NamedTuple):
    """Result of comparing a node's files with the agreed generation."""

    propose: bool  # the holder of the duty should propose this node's files
    report: bool  # the difference has lasted long enough to be logged now


SAME = Comparison(False, False)


class FilesComparison:
    """Comparison of this node's files with the agreed generation over time, as pure code."""

    def __init__(self) -> None:
        self.matched_number = 0  # last agreed generation number that this node's files matched
        self.differs_since_s: float | None = None  # clock time of the first difference; None while they match
        self.reported_number = 0  # agreed generation number for which the difference was last reported

    def compare(self, now_s: float, digest: str, agreed: AgreedGeneration) -> Comparison:
        """Compare the digest of this node's files with the agreed one."""
        if digest == agreed.digest:
            self.matched_number = agreed.number
            self.differs_since_s = None
            return SAME
        if self.differs_since_s is None:
            self.differs_since_s = now_s
        propose = digest not in agreed.earlier or self.matched_number == agreed.number
        overdue = now_s - self.differs_since_s > REPORT_DIFFERENCE_AFTER_S
        report = bool(agreed.number) and overdue and self.reported_number != agreed.number
        if report:
            self.reported_number = agreed.number
        return Comparison(propose, report)


class Generations:
    """Worker of the duty and periodic check of this node's own files."""

    DUTY: ClassVar[Duty] = Duty("inventory.generations", Kind.FLEET)

    def __init__(self, duties: "Duties", context: "Context") -> None:
        self.duties = duties
        self.keeper = context.program.keeper
        self.agreed = AgreedGeneration()
        self.files = FilesComparison()
        self.done = 0  # number of generations that were agreed through this node
        self.waiting = False  # whether this node's files should be proposed
        duties.agree.host(MACHINE, self.agreed)
        context.views["/inventory/agreed"] = self.view

    async def take_over(self, fence: int) -> None:
        """Do nothing, because the log contains the whole state."""

    async def give_up(self) -> None:
        """Do nothing: a pending proposal carries its fence and ends by itself."""

    def lost(self) -> None:
        """Do nothing: a pending proposal carries its fence and ends by itself."""

    def progress(self) -> tuple[int, int]:
        """Return how many generations this node got agreed, and how many wait to be proposed (0 or 1)."""
        return self.done, int(self.waiting)

    async def run(self) -> None:
        """Compare this node's files, report differences and propose generations until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            own = self.keeper.life.running
            self.waiting, report = self.files.compare(self.duties.clock(), own.digest, self.agreed)
            if report:
                logs.event(
                    "inventory.differs",
                    "warning",
                    agreed=self.agreed.number,
                    digest=self.agreed.digest[:SHORT_DIGEST],
                    mine=own.digest[:SHORT_DIGEST],
                )
            if self.waiting and (fence := self.duties.may(self.DUTY.name)) is not None:
                await self._propose(fence, own.digest)

    async def _propose(self, fence: int, digest: str) -> None:
        command: bytes = msgpack.packb((fence, self.agreed.number + 1, digest))
        try:
            result = await self.duties.agree.propose(MACHINE, command, PROPOSAL_TIMEOUT_S)
        except OperatorError as error:
            logs.event("inventory.not_agreed", "warning", **error.fields())
            return
        self.done += result is ProposalResult.DONE
        logs.event(
            "inventory.agreed",
            number=self.agreed.number,
            digest=digest[:SHORT_DIGEST],
            fence=fence,
            taken=getattr(result, "value", str(result)),
        )

    def view(self) -> dict[str, Any]:
        """Return the response body of ``/inventory/agreed``."""
        own = self.keeper.life.running
        return {
            "number": self.agreed.number,
            "digest": self.agreed.digest,
            "fence": self.agreed.fence,
            "mine": own.digest,
            "same": own.digest == self.agreed.digest,
        }
