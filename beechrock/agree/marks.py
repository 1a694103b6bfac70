"""Comparison of a member's journal with the mark that another member holds of it. Pure.

Each opening of a journal is an epoch: a count, a random id, and the number of records that it held. A member
sends its last ``MAX_EPOCHS`` openings. The known mark's epoch must be among them, and the opening after it
must have found all records that had been reported as synced. A restored copy that was opened twice can have a
count as high as the original's; as the count alone would not expose it, the ids are compared.

Marks help to detect outdated journals; safety does not depend on them alone (memory_proof.py).
"""

from collections.abc import Sequence

from beechrock.agree.messages import Epoch, Mark, Verdict


def judge(known: Mark | None, epochs: Sequence[Epoch]) -> Verdict:
    """Return how a journal with these epochs (oldest first, the current one last) compares with the mark."""
    if known is None:
        return Verdict.NEWER
    for number, epoch in enumerate(epochs):
        if epoch.id == known.id:
            if number == len(epochs) - 1:
                return Verdict.SAME
            return Verdict.NEWER if epochs[number + 1].position >= known.position else Verdict.OLDER
    return Verdict.OTHER


def later(known: Mark | None, received: Mark) -> Mark:
    """Return the newer of two marks of one member: by the epoch's count, then by the position within it."""
    if known is None or received.count > known.count:
        return received
    if received.id == known.id and received.position > known.position:
        return received
    return known
