"""The replicated state of ``releases``, and the log commands of nodes and permits that change it. Pure.

The states of a target are defined in ``permits.py``, those of a release and of its targets in ``release.py``.
Events are commands of the log; each returns (True, its result) or (False, the reason for which it changed
nothing). No clock is read: the driver's clock measures a permit's ``for_s``, and its command ``expire`` ends
the right to go out.

Invariants (``check`` runs after each command; a broken one ends this process's part in releases)
- A granted permit fits each budget by a second, independent count, unless it was claimed or its target was
  out already; fences are unique, and none is above the index of the last command.
- A target that went out, expired or is to return holds a permit; ``go`` is taken only under the permit's
  fence and before it expired.
- A node ends its permit under its fence, in the newest life that the log knows, with the version that its
  release wants.
- At most one release is under way; a command of an older driver changes nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from beechrock.releases.errors import BrokenInvariantError
from beechrock.releases.permits import Budget, Kind, Permit, PermitRequest, Permits, Refused, Target
from beechrock.releases.release import Release, Stage, Step
from beechrock.releases.rows import describe_refusal, parse_budget

MAX_NODES, MAX_SERVERS, MAX_TEXT = 256, 1024, 200  # MAX_TEXT: characters of a reason that are kept
VOTERS = "voters of the log"  # service name under which a budget covers the log's voters
Done = tuple[bool, Any]  # whether the command changed the state; its result, or the reason why not


@dataclass(slots=True)
class Node:
    """The state that a node reported.

    ``proved``: its current life proved that it serves. Until then the node is cold and counts as out.
    """

    life: int
    hall: str
    hardware: str
    version: str
    proved: bool = False


def configured_budgets(budgets: Iterable[Budget]) -> tuple[Budget, ...]:
    """Return the budgets of an operator's file: all but that of the voters, which follows the log."""
    return tuple(budget for budget in budgets if budget.service != VOTERS)


class Agreed:
    """Reports of the nodes, permits and releases; ``rows`` collects the events of one command."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.names: list[str] = []  # names of the fleet's nodes, as the driver described it
        self.voters: list[str] = []  # names of the log's voters, which a budget can cover as service VOTERS
        self.servers: list[list[Any]] = []  # one [name, services] for each server
        self.permits = Permits()
        self.budgets_version = 0  # version of the budgets in force; at 0 any driver may replace them
        self.gone: dict[str, int] = {}  # by target: fence under which it went out
        self.expired: dict[str, int] = {}  # by target: fence whose right to go out ended unused
        self.returning: dict[str, int] = {}  # by target: fence under which an operator asked it to return
        self.releases: dict[str, Release] = {}
        self.before: dict[str, list[int]] = {}  # by node: its request figures when the release got its permit
        self.starts: dict[str, int] = {}  # by node: starts with the new version since its SENT step
        self.fence = self.index = 0  # highest driver fence seen; index of the last applied command
        self.moved = 0  # index of the last command that changed a release
        self.broken = ""  # the invariant that was found broken; empty: none
        self.rows: list[dict[str, Any]] = []  # events of the command being applied

    # --- reading

    def cold(self) -> frozenset[str]:
        """Return the nodes that never registered or whose newest life has not proved that it serves."""
        return frozenset(name for name in self.names if name not in self.nodes or not self.nodes[name].proved)

    def running(self) -> Release | None:
        """Return the release that is under way, if there is one."""
        return next((release for release in self.releases.values() if release.open), None)

    def word(self, target: str) -> str:
        """Return the version that this node is to run now; empty: no change is wanted."""
        release = self.running()
        return release.version_for(target) if release is not None else ""

    def may_go(self, target: str, fence: int) -> bool:
        """Return whether the holder of this fence may take the target out."""
        return self.permits.valid(target, fence) and not self.to_return(target)

    def to_return(self, target: str) -> bool:
        """Return whether the target is to come back, or to stay in service, with its present version."""
        permit = self.permits.held.get(target)
        if permit is None or target in self.returning:
            return True
        if target in self.expired and target not in self.gone:
            return True
        if not permit.release:
            return False
        release = self.releases.get(permit.release)
        if release is None or not release.open:
            return True
        return release.stage in (Stage.HALTED, Stage.PAUSED) and release.steps.get(target) is Step.PERMITTED

    # --- nodes

    def _here(self, index: int, name: str, life: int, hall: str, hardware: str, version: str) -> Done:
        """Register a node's new process. The node is cold until it proves that it serves."""
        known = self.nodes.get(name)
        if known is None and len(self.nodes) >= MAX_NODES:
            return False, f"over {MAX_NODES} nodes"
        if known is not None and life < known.life:
            return False, "the log knows a later life"
        if known is not None and life == known.life:
            return True, index
        self.nodes[name] = Node(life, hall, hardware, version)
        release = self.running()
        # When all processes were killed at once, a start of the old version counted as one of the new.
        if release is not None and name in self.starts and version == release.plan.version:
            self.starts[name] += 1
        self._rebuild_targets(self.permits.budgets)
        return True, index

    def _proved(self, index: int, name: str, life: int) -> Done:
        """Mark a node that serves as proved; it holds no permit."""
        node = self.nodes.get(name)
        if node is None or node.life != life:
            return False, "the log knows another life"
        if name in self.permits.held:
            return False, "out under a permit: `back` names its fence"
        node.proved = True
        return True, index

    def _describe(
        self,
        index: int,
        fence: int,
        names: list[str],
        voters: list[str],
        servers: list[list[Any]],
        budgets: list[list[Any]],
        version: int = 0,
    ) -> Done:
        if reason := self._older_driver(fence):
            return False, reason
        described = [parse_budget(row) for row in budgets]
        # Without a version, budgets changed with the driver, and one with an older file let more nodes out.
        if version < self.budgets_version or (
            version == self.budgets_version > 0
            and configured_budgets(described) != configured_budgets(self.permits.budgets)
        ):
            return False, f"budgets of version {version}, and {self.budgets_version} is in force"
        if len(names) > MAX_NODES or len(servers) > MAX_SERVERS:
            return False, f"over {MAX_NODES} nodes or {MAX_SERVERS} servers"
        self.names, self.voters = sorted(names), sorted(voters)
        self.servers = sorted([server[0], sorted(server[1])] for server in servers)
        self.nodes = {name: node for name, node in self.nodes.items() if name in names}
        if version != self.budgets_version:
            self.permits.record(index, f"budgets version {version}", "", "driver")
        self.budgets_version = version
        self._rebuild_targets(described)
        self.rows.append(
            {
                "event": "releases.described",
                "index": index,
                "targets": [
                    [t.name, t.kind.value, t.hall, list(t.services), t.hardware]
                    for t in self.permits.targets.values()
                ],
                "budgets": budgets,
            }
        )
        return True, index

    def _rebuild_targets(self, budgets: Iterable[Budget]) -> None:
        """Rebuild targets and budgets, and drop the state of targets that no longer hold a permit."""
        targets = [
            Target(
                name,
                Kind.NODE,
                self.nodes[name].hall if name in self.nodes else "",
                (VOTERS,) if name in self.voters else (),
                self.nodes[name].hardware if name in self.nodes else "",
            )
            for name in self.names
        ]
        targets += [Target(name, Kind.SERVER, "", tuple(services)) for name, services in self.servers]
        self.permits.describe(targets, budgets)
        for table in (self.gone, self.expired, self.returning):
            for name in table.keys() - self.permits.held.keys():
                del table[name]

    def _older_driver(self, fence: int) -> str:
        """Return why a driver with this fence is refused; empty if it is the newest, whose fence is kept."""
        if fence < self.fence:
            return f"an older driver: fence {fence}, and {self.fence} is known"
        self.fence = fence
        return ""

    # --- permits

    def _ask(
        self, index: int, target: str, who: str, reason: str, for_s: float, down: list[str], claim: bool
    ) -> Done:
        return self._grant(
            index,
            PermitRequest(
                target, who, reason[:MAX_TEXT], float(for_s), frozenset(down), self.cold(), bool(claim)
            ),
        )

    def _grant(self, index: int, request: PermitRequest) -> Done:
        # A node that never registered has no hall yet. In simulation (seed 50) such a request was granted,
        # and the last node of a hall went out.
        if request.target in self.names and request.target not in self.nodes:
            return False, f"{request.target} has never registered"
        held = request.target in self.permits.held
        found = self.permits.request(index, request)
        if isinstance(found, Refused):
            return False, describe_refusal(found)
        if not held:
            if self.permits.targets[request.target].kind is Kind.SERVER:
                self.gone[request.target] = found.fence  # a server needs no `go`
            if not found.claimed and not request.already_out:
                self._check_budgets(self.permits.targets[request.target])
            self._record_permit(
                index, found, "claimed" if found.claimed else "granted", already_out=request.already_out
            )
        return True, found.fence

    def _go(self, index: int, target: str, fence: int) -> Done:
        """Record that the holder goes out now; repeats under one fence change nothing."""
        if not self.may_go(target, fence):
            return False, "no permit under this fence, or its right to go has ended"
        if target not in self.gone:
            self.gone[target] = fence
            if target in self.nodes:
                self.nodes[target].proved = False
            self._record_permit(index, self.permits.held[target], "gone")
        return True, fence

    def _expire(self, index: int, driver: int, target: str, fence: int) -> Done:
        """End an unused right to go out by the driver's clock; the target counts as out until it is back."""
        if reason := self._older_driver(driver):
            return False, reason
        if not self.permits.valid(target, fence) or target in self.gone:
            return False, "already out, or no permit under this fence"
        self.expired[target] = fence
        self._record_permit(index, self.permits.held[target], "expired")
        return True, fence

    def _return(self, index: int, target: str, who: str) -> Done:
        """Ask a target to return, for an operator; its permit ends only with its proof that it serves."""
        permit = self.permits.held.get(target)
        if permit is None:
            return False, f"{target} holds no permit"
        if permit.release:
            return False, f"{target} is out for release {permit.release}: pause, halt or back that"
        self.returning[target] = permit.fence
        self.permits.record(index, "told to return", target, who)
        return True, permit.fence

    def _back(self, index: int, target: str, fence: int, life: int, unused: bool = False) -> Done:
        """End the permit of a target that proved that it serves again.

        ``life``: the node's life; 0 for a server, which is proved once over half of its users reach it.
        ``unused``: the node never stopped serving, and will not go out under this fence any more.
        """
        permit, node = self.permits.held.get(target), self.nodes.get(target)
        if permit is None or permit.fence != fence:
            return False, "not out under this fence"
        if node is not None and node.life != life:
            return False, "the log knows another life"
        wanted = self.word(target) if permit.release else ""
        if not (unused or self.to_return(target) or (node is not None and wanted == node.version)):
            return False, f"not at the wanted version {wanted}" if wanted else "not asked to return"
        self.permits.back(index, target, fence)
        if node is not None:
            node.proved = True
        if node is None or wanted != node.version:
            self._reset_step(index, permit)
        self._finish_permit(index, permit, "back")
        return True, fence

    def _force(self, index: int, target: str, who: str, reason: str) -> Done:
        permit = self.permits.held.get(target)
        if permit is None:
            return False, f"{target} holds no permit"
        self.permits.force_back(index, target, f"{who}: {reason}"[:MAX_TEXT])
        self._reset_step(index, permit)
        self._finish_permit(index, permit, "forced")
        return True, permit.fence

    def _reset_step(self, index: int, permit: Permit) -> None:
        """Reset the target's step in its release, which then asks for its permit again."""
        release = self.releases.get(permit.release)
        if release is not None and release.reset_target(permit.target):
            back = release.stage is Stage.BACKING
            self._record_release(index, permit.release, "unchanged", permit.target, back)

    def _finish_permit(self, index: int, permit: Permit, state: str) -> None:
        for table in (self.gone, self.expired, self.returning):
            table.pop(permit.target, None)
        self._record_permit(index, permit, state)

    # --- events and checks

    def _record_permit(self, index: int, permit: Permit, state: str, already_out: bool = False) -> None:
        self.rows.append(
            {
                "event": "permit",
                "index": index,
                "target": permit.target,
                "fence": permit.fence,
                "state": state,
                "over": permit.claimed or already_out,
                "by": permit.holder,
            }
        )

    def _record_release(
        self,
        index: int,
        name: str,
        what: str,
        target: str = "",
        back: bool = False,
    ) -> None:
        self.moved = index
        release = self.releases[name]
        self.rows.append(
            {
                "event": "release",
                "index": index,
                "name": name,
                "stage": release.stage.value,
                "what": what,
                "target": target,
                "back": bool(back),
                "reason": release.reason,
            }
        )

    def _check_budgets(self, target: Target) -> None:
        """Check that the permits held fit each budget that covers the target, by an independent count."""
        for budget in self.permits.budgets:
            covered = [
                t
                for t in self.permits.targets.values()
                if budget.covers(t)
                and budget.covers(target)
                and (not budget.each_hall or t.hall == target.hall)
            ]
            if covered and sum(t.name in self.permits.held for t in covered) > budget.allowed(len(covered)):
                self._fail(f"{target.name} was let out over budget {budget.name}")

    def check(self) -> None:
        """Raise BrokenInvariantError if the state breaks an invariant."""
        held = self.permits.held
        fences = [permit.fence for permit in held.values()]
        if len(set(fences)) != len(fences) or any(fence > self.index for fence in fences):
            self._fail("two permits share a fence, or a fence is above the index")
        for table in (self.gone, self.expired, self.returning):
            if any(name not in held or held[name].fence != fence for name, fence in table.items()):
                self._fail("state is kept for a permit that is not held")
        if self.gone.keys() & self.expired.keys():
            self._fail("a target went out under an expired permit")
        if sum(release.open for release in self.releases.values()) > 1:
            self._fail("two releases are under way")
        for release in self.releases.values():
            left = {name for name, step in release.steps.items() if step is not Step.TODO}
            if left != set(release.touched) or len(release.touched) != len(left):
                self._fail(f"release {release.plan.name}: the steps and the order of touched targets differ")

    def _fail(self, what: str) -> None:
        raise BrokenInvariantError(what, where="machine releases", do="keep the log; see docs/releases.md")
