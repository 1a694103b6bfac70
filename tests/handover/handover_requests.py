"""Helpers of the handover tests: keyed requests, their claims, and access to a node's handover."""

from play import START, Stand, until

from beechrock.core.requests import Request
from beechrock.handover import messages
from beechrock.handover.key_partner import claim_key
from beechrock.handover.lifecycle import PredecessorStage
from beechrock.handover.node import Handover

BODY = b"x"


def request_of(number: int) -> Request:
    """Return the request that the callers of these tests send for key ``number``."""
    return Request(
        trace="", klass=1, route="submit", born=START, body=BODY, answer=lambda _: None, nonce=f"{number:04d}"
    )


def claim_of(number: int) -> messages.KeyClaimed:
    return messages.KeyClaimed(claim_key(request_of(number)), b"d" * 16, START + 10.0)


def handover_of(stand: Stand) -> Handover:
    assert stand.program.handover is not None
    return stand.program.handover


async def until_predecessor_absent(stand: Stand) -> None:
    await until(
        lambda: handover_of(stand).lifecycle.predecessor is PredecessorStage.ABSENT,
        lambda: f"{handover_of(stand).lifecycle.predecessor}",
    )


def born_now(text: str, stand: Stand) -> str:
    """Return the request line ``text`` with its birth set to the current time of the stand."""
    return text.replace("1700000000000", str(int(1000 * stand.now)))
