"""Views and commands of the duties for operators."""

from typing import TYPE_CHECKING, Any

from beechrock.duties import grants as log
from beechrock.duties.errors import NotMovedError, UnknownDutyError
from beechrock.duties.leadership import CHANNEL
from beechrock.duties.messages import MoveRequest, encode

if TYPE_CHECKING:
    from beechrock.duties.part import Duties


def view(duties: "Duties") -> dict[str, Any]:
    """Return the response body of ``/duties``.

    ``since_s`` is the number of seconds since this node saw the grant change; ``why`` is the reason why no
    member holds the duty; ``state`` is the duty's state at this node; ``hold_downs`` are the lengths, in
    seconds, of the hold-downs in the log, which the next leader applies; ``held_down``, shown by the leader
    only, are the remaining seconds of its current hold-downs.
    """
    now_s = duties.clock()
    grantor = duties.leadership.grantor
    view: dict[str, Any] = {
        "name": duties.transport.name,
        "leader": duties.agree.leader,
        "reign": duties.grants.leader_epoch,
        "broken": str(duties.broken or ""),
        "hold_downs": duties.grants.waits,
        "duties": [_duty_row(duties, name, now_s) for name in sorted(duties.grants.duties)],
    }
    if grantor is not None and duties.agree.leading():
        view["held_down"] = {
            key: round(left_s, 1)
            for key in list(grantor.hold_down.waits)
            if (left_s := grantor.hold_down.remaining_s(key, now_s))
        }
    return view


def _duty_row(duties: "Duties", name: str, now_s: float) -> dict[str, Any]:
    duty = duties.grants.duties[name]
    grant = duties.grants.held.get(name)
    own = duties.member_duties.holders.get(name)
    changed_s = duties.changed_s.get(name)
    return {
        "name": name,
        "kind": duty.kind.value,
        "scope": duty.scope,
        "lease_s": duty.lease_s,
        "holder": grant.holder if grant is not None else None,
        "fence": grant.fence if grant is not None else None,
        "since_s": round(now_s - changed_s, 1) if changed_s is not None else None,
        "state": own.state.value if own is not None else None,
        "why": _unheld_reason(duties, name) if grant is None else "",
    }


def _unheld_reason(duties: "Duties", name: str) -> str:
    grantor = duties.leadership.grantor
    if grantor is not None:
        return grantor.unheld_reasons.get(name, "being placed")
    return f"the leader knows: {duties.agree.leader or 'there is none'}"


def move(duties: "Duties", query: dict[str, str]) -> dict[str, Any]:
    """Ask the duty's holder to yield, for ``POST /duties/yield?name=`` at any node.

    Raises UnknownDutyError if the duty is not declared, and NotMovedError if it has no holder, no other
    member may hold it, or there is no leader.
    """
    name = _known_duty(duties, query)
    grant = duties.grants.held.get(name)
    if grant is None:
        raise NotMovedError("nobody holds it", where=f"duty {name}", do="GET /duties at the leader shows why")
    if duties.leadership.leads_with_grantor():
        reason = duties.leadership.move(name)
        if reason:
            raise NotMovedError(reason, where=f"duty {name}", do="start a member that may hold it")
    elif not _send_to_leader(duties, MoveRequest(name)):
        raise NotMovedError("there is no leader", where=f"duty {name}", do="retry when there is a quorum")
    return {"name": name, "holder": grant.holder, "fence": grant.fence, "asked": True}


def _send_to_leader(duties: "Duties", message: MoveRequest) -> bool:
    leader = duties.agree.leader
    return bool(leader) and duties.transport.send(leader, CHANNEL, encode(message))


def retire(duties: "Duties", query: dict[str, str]) -> dict[str, Any]:
    """Remove a duty that no node declares any more and no member holds, for ``/duties/retire?name=``.

    Raises UnknownDutyError if the duty is not declared in the log, and NotMovedError if it is held or this
    node has a worker for it.
    """
    name = _known_duty(duties, query)
    if name in duties.workers or name in duties.grants.held:
        raise NotMovedError(
            "it is held, or this program declares it",
            where=f"duty {name}",
            wanted="a duty that no node has a worker for",
            do="take it out of the files first",
        )
    duties.proposer.propose(f"retire {name}", log.retire(name))
    return {"name": name, "asked": True}


def _known_duty(duties: "Duties", query: dict[str, str]) -> str:
    name = query.get("name", "")
    if name not in duties.grants.duties:
        raise UnknownDutyError("no such duty", where=f"duty {name}", do="GET /duties lists them")
    return name
