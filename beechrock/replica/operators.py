"""Views and commands of the replica for operators, at the admin address."""

from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.parts import Context
from beechrock.replica.errors import UnknownRecordError
from beechrock.replica.records import Causal, State, Tally, pack
from beechrock.replica.sums import RANGES, Sums, digest
from beechrock.replica.table import ident, named

if TYPE_CHECKING:
    from beechrock.replica.part import Replica

MAX_SHOWN = 200  # Maximum number of records or pots in a view.


def register(replica: "Replica", context: Context) -> None:
    """Register the views and calls."""
    context.views["/replica"] = lambda: view(replica)
    context.views["/replica/diff"] = lambda: diff(replica)
    if replica.advising is not None:
        context.views["/replica/advice"] = replica.advising.view
    context.views["/replica/spending"] = lambda: spending(replica)
    context.calls["/replica/get"] = lambda params: get(replica, params)
    context.calls["/replica/put"] = lambda params: put(replica, params)
    context.calls["/replica/delete"] = lambda params: delete(replica, params)
    context.calls["/replica/resolve"] = lambda params: resolve(replica, params)
    context.calls["/replica/verify"] = lambda params: verify(replica)
    if replica.settings.trial_per_s:
        context.calls["/replica/trial"] = lambda params: pace(replica, params)


def view(replica: "Replica") -> dict[str, Any]:
    """Return the state of the replica and its peers. Of a peer: ``lag`` is the number of records that it has
    not acknowledged, ``acked_ms`` how long its newest acknowledgement took, and ``memory`` this node's
    verdict on the peer's store in that ``opening``. The opening of this node's store is under ``store``."""
    core, now, peers = replica.core, replica.clock(), dict[str, Any]()
    for name, peer in core.spread.peers.items():
        peer_state = core.peer_states[name]
        peers[name] = {
            "there": name in core.present(now),
            "stage": peer_state.stage,
            "records": peer_state.count,
            "same": peer_state.root == core.table.sums.root[0].to_bytes(16),
            "lag": peer.lag,
            "behind": peer.behind,
            "by_kind": {kind.name: len(peer.waiting[kind.priority]) for kind in core.kinds.by_name.values()},
            "acked_ms": round(1000 * peer.last_ack_delay_s, 1),
            "memory": peer_state.verdict,
            "outdated": peer_state.outdated,
            "opening": peer_state.opening.hex(),
        }
    catchup, store = core.catchup, replica.disk.store
    result: dict[str, Any] = {
        "name": core.name,
        "writer": core.writer,
        "broken": str(replica.broken or ""),
        "peers": peers,
        "stage": catchup.stage.value,
        "progress": round(catchup.cursor / RANGES, 3),
        "giver": catchup.giver,
        "stages": [stage.value for stage in catchup.history],
        "forgot": catchup.forgot,
        "may_spend": catchup.may_spend,
        "repaired_by": sorted(catchup.repaired_by),
        "need": catchup.need,
        "records": len(core.table.records),
        "root": core.table.sums.root[0].to_bytes(16).hex(),
        "differing": len(core.differs()),
        "aside": len(core.aside),
        "tombstones": {"fresh": len(core.table.fresh), "settled": len(core.table.settled)},
        "refused": core.refused,
        "given_bytes": core.giving.given,
        "waiting": len(replica.waiting),
        "sent_bytes": dict(replica.sent_bytes),
        "heard_bytes": dict(replica.received_bytes),
        "store": {
            "bytes": store.bytes_held,
            "first": store.first,
            "last": store.last,
            "epoch": store.opening_mark.epoch,
            "opening": store.opening_mark.digest.hex(),
        },
        **({"trial": replica.trial.statistics()} if replica.trial is not None else {}),
    }
    if replica.leasing is not None:
        holder = replica.leasing.holder
        result["leases"] = [
            {
                "pot": list(pot),
                "state": holding.state.value,
                "whole": holding.whole,
                "cap": round(holding.cap, 6),
                "spent": round(holding.spent, 6),
                "need_per_s": round(holding.need_per_s, 3),
                "id": holding.id,
                "returning": len(holding.returning),
            }
            for pot, holding in holder.holdings.items()
        ]
        result["too_far"] = [list(pot) for pot in replica.leasing.far_pots][:MAX_SHOWN]
        result["pots"] = [
            {
                "pot": list(key),
                "whole": pot.whole,
                "granted": round(pot.granted, 6),
                "open": sum(lease.open for lease in pot.leases.values()),
                "leases": len(pot.leases),
            }
            for key, pot in list(replica.leasing.machine.pots.items())[:MAX_SHOWN]
        ]
    return result


def spending(replica: "Replica") -> dict[str, Any]:
    """Return by team and period what the whole fleet spent, less what was given back, as far as known
    here."""
    found: dict[str, dict[str, float]] = {}
    for record in replica.core.table.of_kind("spending"):
        team, _, period = record.key.rpartition("\0")
        if isinstance(record.state, Tally):
            found.setdefault(team, {})[str(int(period))] = round(record.state.total, 6)
    return found


def _values_by_dot(state: State | None) -> Any:
    if isinstance(state, Causal):
        return {
            str(dot): None if value is None else value.decode(errors="replace")
            for dot, value in sorted(state.values.items())
        }
    return None


def diff(replica: "Replica") -> dict[str, Any]:
    """Return the first MAX_SHOWN records that have conflicting values or a state that was set aside."""
    core, rows = replica.core, []
    names = core.differs()
    for name in names[:MAX_SHOWN]:
        kind, key = named(name)
        acting = core.table.acting(kind, key)
        rows.append(
            {
                "kind": kind,
                "key": key,
                "values": _values_by_dot(core.table.state(name)),
                "acting": None if acting is None else acting.decode(errors="replace"),
                "aside": _values_by_dot(core.aside.get(name)),
            }
        )
    return {"differing": len(names), "records": rows}


def _kind_and_key(params: dict[str, str]) -> tuple[str, str]:
    if not params.get("kind") or not params.get("key"):
        raise UnknownRecordError("kind and key are required", where="replica", wanted="?kind=KIND&key=KEY")
    return params["kind"], params["key"]


def get(replica: "Replica", params: dict[str, str]) -> dict[str, Any]:
    kind, key = _kind_and_key(params)
    value = replica.get(kind, key)
    return {
        "kind": kind,
        "key": key,
        "value": None if value is None else value.decode(errors="replace"),
        "values": _values_by_dot(replica.core.table.state(ident(kind, key))),
    }


def _log_change(replica: "Replica", action: str, name: bytes) -> dict[str, Any]:
    """Log a change now, and once more when a majority's disks hold it."""
    kind, key = named(name)
    state = replica.core.table.state(name)
    dots = [str(dot) for dot in state.values] if isinstance(state, Causal) else []
    seen = dict(state.seen) if isinstance(state, Causal) else {}
    logs.event("replica.put", what=action, kind=kind, key=key, dots=dots, seen=seen)
    replica.core.when_kept(name, lambda: logs.event("replica.kept", kind=kind, key=key, dots=dots))
    return {"kind": kind, "key": key, "dots": dots}


def put(replica: "Replica", params: dict[str, str]) -> dict[str, Any]:
    return _log_change(replica, "put", replica.put(*_kind_and_key(params), params.get("value", "").encode()))


def delete(replica: "Replica", params: dict[str, str]) -> dict[str, Any]:
    return _log_change(replica, "delete", replica.delete(*_kind_and_key(params)))


def resolve(replica: "Replica", params: dict[str, str]) -> dict[str, Any]:
    """Replace all values of a record by ``value``; without one, delete the record."""
    kind, key = _kind_and_key(params)
    value = params["value"].encode() if "value" in params else None
    return _log_change(replica, "resolve", replica.resolve(kind, key, value))


def pace(replica: "Replica", params: dict[str, str]) -> dict[str, Any]:
    """Set the number of changes per second that the trial makes."""
    if replica.trial is not None and params.get("per_s", "").isdigit():
        replica.trial.per_s = float(params["per_s"])
    return {"per_s": replica.trial.per_s if replica.trial is not None else None}


def verify(replica: "Replica") -> dict[str, Any]:
    """Recompute all digests from the records, and read the whole store. Takes a second for 100,000
    records."""
    core, sums = replica.core, Sums()
    for name, record in core.table.records.items():
        sums.put(name, digest(name, pack(record.state)))
    store = replica.disk.store
    read = sum(len(store.entry(index)) for index in range(store.first, store.last + 1))
    return {
        "records": len(core.table.records),
        "digests": sums.root == core.table.sums.root,
        "log_bytes": read,
        "root": sums.root[0].to_bytes(16).hex(),
    }
