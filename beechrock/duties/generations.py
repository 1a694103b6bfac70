"""A duty of the program itself: who proposes the fleet's inventory generations.

The machine ``inventory`` in the agreed log keeps the number and digest in force, and the highest fence: it is
itself the receiver of the duty's effects. A proposal is accepted where its fence is not below that and its
number is the next. A holder proposes what its node has in force, if that was never agreed, or if its node had
what is agreed and left it: so a node whose files are behind does not bring back an earlier generation. A node
whose files differ from what is agreed reports that; this is advice, and no node stops taking generations up.
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
MAX_EARLIER_DIGESTS = 64  # digests that are known to have been agreed
MAX_DIGEST_LENGTH = 128
SHORT_DIGEST = 12  # characters of a digest in an event
CHECK_INTERVAL_S = 0.5
REPORT_DIFFERENCE_AFTER_S = 10.0  # for the files of all nodes to be brought up to date; then it is reported
PROPOSAL_TIMEOUT_S = 2.0  # for a proposal


class ProposalResult(Enum):
    """What a proposal had for effect; the values are in events."""

    DONE = "done"
    OLD_FENCE = "old fence"
    NOT_NEXT = "not the next"
    BAD = "bad"


class AgreedGeneration:
    """The machine. Invariants: the number grows by one; the fence never falls."""

    def __init__(self) -> None:
        self.number = 0
        self.digest = ""
        self.fence = 0
        self.earlier: list[str] = []  # digests, with the one in force

    def apply(self, index: int, command: bytes) -> ProposalResult:
        """Accept the next generation, or refuse it."""
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
        """Return the whole state."""
        data: bytes = msgpack.packb((VERSION, self.number, self.digest, self.fence, self.earlier))
        return data

    def restore(self, data: bytes) -> None:
        """Set the state to a snapshot's. Raises GrantsUnreadableError where it is none."""
        try:
            version, number, digest, fence, earlier = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException):
            version = 0
        if version != VERSION:
            raise GrantsUnreadableError(
                "no snapshot of format 1",
                where="snapshot of inventory",
                do="run the program that wrote it, or a newer one",
            )
        self.number = int(number)
        self.digest = str(digest)
        self.fence = int(fence)
        self.earlier = list(earlier)


class Comparison(NamedTuple):
    """What a node's files mean beside what is agreed."""

    propose: bool  # a holder should propose them
    report: bool  # it is time to report that they differ


SAME = Comparison(False, False)


class FilesComparison:
    """Compares this node's files with what is agreed. Pure."""

    def __init__(self) -> None:
        self.matched_number = 0  # the last agreed number that this node's files were
        self.differs_since_s: float | None = None
        self.reported_number = 0  # agreed number of which it was reported that they differ

    def compare(self, now_s: float, digest: str, agreed: AgreedGeneration) -> Comparison:
        """Compare the digest of this node's files."""
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
    """The worker of the duty, and this node's check of its own files."""

    DUTY: ClassVar[Duty] = Duty("inventory.generations", Kind.FLEET)

    def __init__(self, duties: "Duties", context: "Context") -> None:
        self.duties = duties
        self.keeper = context.program.keeper
        self.agreed = AgreedGeneration()
        self.files = FilesComparison()
        self.done = 0
        self.waiting = False
        duties.agree.host(MACHINE, self.agreed)
        context.views["/inventory/agreed"] = self.view

    async def take_over(self, fence: int) -> None:
        """Do nothing: all that there is to take over is in the log."""

    async def give_up(self) -> None:
        """Do nothing: a proposal under way has its fence, and ends by itself."""

    def lost(self) -> None:
        """Do nothing, for the same reason."""

    def progress(self) -> tuple[int, int]:
        """Return the generations that were agreed, and whether one waits."""
        return self.done, int(self.waiting)

    async def run(self) -> None:
        """Compare, report and propose until cancelled."""
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
        """Return what ``/inventory/agreed`` shows."""
        own = self.keeper.life.running
        return {
            "number": self.agreed.number,
            "digest": self.agreed.digest,
            "fence": self.agreed.fence,
            "mine": own.digest,
            "same": own.digest == self.agreed.digest,
        }
