"""The operators' view of the agreed log, shown at ``/agree``."""

from typing import Any

from beechrock.agree.core import ConsensusCore
from beechrock.agree.driver import CoreDriver
from beechrock.agree.messages import MemoryStatus
from beechrock.agree.term_state import Role


def view(driver: CoreDriver, now_s: float, open_proposals: int) -> dict[str, Any]:
    """Return the view; ``last``, ``commit``, ``applied``, ``synced`` and ``snapshot`` are log indices.

    Only the leader shows ``peers``; ``lag`` is the number of entries that a node has not acknowledged.
    """
    core = driver.core
    disk = driver.disk
    broken = driver.broken
    rows: dict[str, Any] = {
        "state": "broken" if broken else "running",
        "error": str(broken) if broken else "",
        "name": core.context.name,
        "role": core.role.name.lower(),
        "leader": core.leader,
        "leading": not broken and core.leading(now_s),
        "term": core.term,
        "standing": core.memory.name.lower(),
        "voter": core.context.name in core.voters,
        "voters": list(core.voters.names),
        "last": core.log.last,
        "commit": core.commit,
        "applied": core.applied,
        "digest": core.replicated.digest.hex(),
        "synced": core.writer.synced_index,
        "snapshot": core.log.snapshot.index if core.log.snapshot else 0,
        "log_bytes": core.log.bytes,
        "disk_bytes": disk.store.bytes_held,
        "syncs": disk.syncs,
        "proposals_open": open_proposals,
        "not_heard_from": _missing_reports(core),
    }
    if core.role is Role.LEADER:
        rows["lease_left_s"] = round(core.lease.end_s() - now_s, 3)
        rows["peers"] = _peers(core, now_s)
    return rows


def _missing_reports(core: ConsensusCore) -> list[str]:
    """Return the members that have not yet reported on this member's journal; empty once it is proven."""
    if core.memory is MemoryStatus.PROVEN:
        return []
    return sorted(set(core.context.others) - set(core.proof.reports))


def _peers(core: ConsensusCore, now_s: float) -> dict[str, Any]:
    return {
        name: {
            "lag": core.log.last - peer.match,
            "standing": peer.memory.name.lower(),
            "heard_s": round(now_s - peer.answered_s, 3) if peer.answered_s > 0 else None,
        }
        for name, peer in core.replication.peers.items()
    }
