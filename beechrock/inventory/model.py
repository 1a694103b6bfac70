"""Builds a node's settings, upstream addresses and allowed front ends from checked entries. Pure."""

import ipaddress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from beechrock.inventory import contracts, merge, sources
from beechrock.inventory.errors import InventoryError
from beechrock.inventory.merge import Checked, Entry
from beechrock.inventory.problems import Place, Problems, Severity
from beechrock.inventory.schema import NODE_NEEDED, Address
from beechrock.inventory.terms import Terms

HERE = Place("inventory")
Contract = tuple[str, str]  # team and service
EDGE_KEYS = ("when_cut", "keep_s", "when_gone", "copies", "share")


@dataclass(frozen=True, slots=True)
class FrontEnds:
    """Networks that may connect, each with the team it is bound to, or None if it may act for any team."""

    # By IP version and prefix length, longest prefix first; the inner key is the prefix as a number.
    networks: dict[tuple[int, int], dict[int, str | None]]

    def team_of(self, host: str) -> tuple[bool, str | None]:
        """Return whether ``host`` may connect and the team it is bound to; the longest prefix wins."""
        try:
            found = ipaddress.ip_address(host.partition("%")[0])
        except ValueError:
            return False, None
        if isinstance(found, ipaddress.IPv6Address) and found.ipv4_mapped is not None:
            found = found.ipv4_mapped
        value, bits = int(found), found.max_prefixlen
        for (version, prefix), held in self.networks.items():
            if version == found.version and (key := value >> (bits - prefix)) in held:
                return True, held[key]
        return False, None


@dataclass(frozen=True, slots=True)
class Inventory:
    """The inventory as a node uses it.

    ``settings`` is input for the settings parser; the SCGI front end, the edges and the limits look up the
    other fields.
    """

    settings: dict[str, Any]
    teams: dict[str, int]  # By name: position in the settings' tenants
    classes: dict[Contract, int]  # By team and service: position in the settings' classes
    upstreams: dict[str, tuple[Address, ...]]  # By service: addresses of its servers
    front_ends: FrontEnds | None = None  # None: any address may connect
    counts: dict[str, int] = field(default_factory=dict)  # Number of entries of each kind
    # Read by the edges: the rules for an edge that is cut off from upstream, by contract, and for copies that
    # differ, by service. A contract or service that sets none is absent.
    when_cut: dict[Contract, dict[str, Any]] = field(default_factory=dict)
    differing: dict[str, str] = field(default_factory=dict)
    terms: Terms | None = None  # Read by the limits: this node's part of contracts and budgets


def load(path: Path) -> Inventory:
    """Read and check all files under ``path``; raise InventoryError with every fault."""
    problems = Problems()
    found = read(path, problems)
    if found is None:
        raise InventoryError(problems)
    return found[1]


def read(path: Path, problems: Problems) -> tuple[Checked, Inventory] | None:
    """Return the checked entries and the inventory built from them, or None if ``problems`` has an error."""
    raw = sources.read(path, problems)
    # If a whole file can't be read, its entries would be reported as missing, which would hide the cause.
    if any(not problem.entry and problem.severity is Severity.ERROR for problem in problems.listed):
        return None
    checked = merge.merge(raw, problems)
    meaning = build(checked, problems, Place(str(path)))
    return None if problems.errors or meaning is None else (checked, meaning)


class _Builder:
    def __init__(self, checked: Checked, problems: Problems) -> None:
        self.checked, self.problems = checked, problems
        self.teams = {name: at for at, name in enumerate(checked.kinds["teams"])}
        self.tenants: list[dict[str, Any]] = [
            {"name": name, "portion": 0.0, "quotaPerS": 0.0} for name in self.teams
        ]
        self.grades: list[dict[str, Any]] = []
        self.calls: list[bool] = []
        self.classes: dict[Contract, int] = {}
        self.first: dict[Contract, Entry] = {}
        self.effects: dict[str, tuple[tuple[Any, Any], Entry]] = {}

    def bad(self, entry: Entry, kind: str, key: str, text: str) -> None:
        self.problems.add(
            entry.origins.get(key.partition(",")[0], entry.place), f"{kind}.{entry.name}", key, text
        )

    def refer(self, entry: Entry, kind: str, key: str, known: Any) -> bool:
        name = entry.values.get(key)
        if name is None or name in known:
            return name is not None
        self.bad(entry, kind, key, f"{name} is not in the inventory")
        return False

    def contract(self, entry: Entry) -> None:
        c = entry.values
        known = [
            self.refer(entry, "contracts", "team", self.teams),
            self.refer(entry, "contracts", "service", self.checked.kinds["services"]),
        ]
        if not all(known) or any(key not in c for key in ("share", "rate", "aim_ms", "due_ms", "effect")):
            return
        pair = (c["team"], c["service"])
        if pair in self.classes:
            self.bad(
                entry, "contracts", "team, service", f"another contract has both, at {self.first[pair].place}"
            )
            return
        self.first[pair] = entry
        if c["aim_ms"] > c["due_ms"]:
            self.bad(entry, "contracts", "aim_ms", "above due_ms")
        if (c["effect"] == "keyed") != ("window_ms" in c):
            self.bad(entry, "contracts", "window_ms", "needed by the effect keyed, and by no other")
        if c.get("when_cut") == "queue" and c["effect"] != "keyed":
            self.bad(entry, "contracts", "when_cut", "queue needs the effect keyed: it is sent again")
        # An attempt may retry another team's request, so all contracts of a service share effect and window.
        effect = c["effect"], c.get("window_ms")
        held, other = self.effects.setdefault(c["service"], (effect, entry))
        if held != effect:
            self.bad(
                entry,
                "contracts",
                "effect",
                f"differs from another contract of {c['service']}, at {other.place}",
            )
        self.classes[pair] = len(self.grades)
        self.grades.append(
            {
                "name": c["service"],
                "promiseS": c["aim_ms"] / 1000,
                "giveUpS": c["due_ms"] / 1000,
                "effect": c["effect"],
                "windowS": c["window_ms"] / 1000 if "window_ms" in c else None,
                "worth": c.get("worth", 1.0),
                "price": c.get("price", 1.0),
            }
        )
        self.calls.append(c.get("calls", False))
        tenant = self.tenants[self.teams[c["team"]]]
        tenant["portion"] += c["share"]
        tenant["quotaPerS"] += c["rate"]

    def shares(self) -> None:
        total, contracts = 0.0, list(self.checked.kinds["contracts"].values())
        for entry in contracts:
            total += entry.values.get("share", 0.0)
        if total > 1 + 1e-9:
            last = contracts[-1]
            self.problems.add(
                last.origins.get("share", last.place),
                "contracts",
                "share",
                f"all shares add up to {total:g}, above 1",
            )

    def budget(self, entry: Entry) -> None:
        if not self.refer(entry, "budgets", "team", self.teams):
            return
        tenant = self.tenants[self.teams[entry.values["team"]]]
        if "budget" in tenant:
            self.bad(entry, "budgets", "team", f"{entry.values['team']} has a budget already")
        tenant["budget"] = entry.values.get("amount")
        tenant["budgetPeriodS"] = entry.values.get("period_s")

    def upstreams(self) -> dict[str, tuple[Address, ...]]:
        """Return the server addresses of each service.

        In HOST:PORT, HOST is an address, or names a machine or a group, which stands for all its machines.
        """
        machines = self.checked.kinds["machines"]
        found = {}
        for entry in self.checked.kinds["services"].values():
            places: list[Address] = []
            for host, port in entry.values.get("upstreams", ()):
                names = (host,) if host in machines else self.checked.groups.get(host, ())
                places += [(machines[n].values.get("address", n), port) for n in names] or [(host, port)]
            if len(set(places)) < len(places):
                self.bad(entry, "services", "upstreams", "one address twice, by its machines")
            found[entry.name] = tuple(dict.fromkeys(places))
        return found

    def front_ends(self) -> FrontEnds | None:
        entries = self.checked.kinds["front_ends"]
        if not entries:
            return None
        held: dict[tuple[int, int], dict[int, str | None]] = {}
        first: dict[str, Entry] = {}
        for entry in entries.values():
            v = entry.values
            if ("address" in v) == ("network" in v):
                self.bad(entry, "front_ends", "address", "either an address or a network is needed")
                continue
            if "team" in v and not self.refer(entry, "front_ends", "team", self.teams):
                continue
            network = v.get("address") or v["network"]
            if network in first:
                self.bad(
                    entry,
                    "front_ends",
                    "address" if "address" in v else "network",
                    f"{network} stands twice, first at {first[network].place}",
                )
                continue
            first[network] = entry
            net = ipaddress.ip_network(network)
            key = int(net.network_address) >> (net.max_prefixlen - net.prefixlen)
            held.setdefault((net.version, net.prefixlen), {})[key] = v.get("team")
        return FrontEnds(dict(sorted(held.items(), key=lambda item: -item[0][1])))


def build(checked: Checked, problems: Problems, whole: Place = HERE) -> Inventory | None:
    """Check references and sums and build the inventory; return None if ``problems`` has an error."""
    builder, node = _Builder(checked, problems), checked.node.values
    here = checked.node.place if checked.node.place.file else whole
    for key in NODE_NEEDED:
        if key not in checked.node.origins:
            problems.add(here, "all.vars", key, "missing")
    if not checked.kinds["contracts"]:
        problems.add(here, "contracts", "", "empty")
    for entry in checked.kinds["contracts"].values():
        builder.contract(entry)
    builder.shares()
    for entry in checked.kinds["budgets"].values():
        builder.budget(entry)
    upstreams, front_ends = builder.upstreams(), builder.front_ends()
    nodes = sum(m.values.get("node", True) for m in checked.kinds["machines"].values())
    fleet_size = node.get("fleet_size", max(1, nodes))
    terms = contracts.build(checked.kinds, node, builder.first, fleet_size, builder.bad)
    if problems.errors:
        return None
    settings = {
        "grades": builder.grades,
        "tenants": builder.tenants,
        "overShareWorth": node.get("over_share_worth"),
        "fleetSize": fleet_size,
        "extra": {
            "cpus": max(1, int(node["cores"])),
            "memLimitKb": node["memory_mb"] * 1024,
            "classCalls": builder.calls,
            "classSkipWorth": [],
            "cancelSeen": True,
        },
        "limits": {"maxRetryAfterS": node.get("max_retry_after_ms", 3000.0) / 1000},
        "clients": {"marksRetry": True},
    }
    counts = {kind: len(entries) for kind, entries in checked.kinds.items()}
    edges = {
        pair: {key: entry.values[key] for key in EDGE_KEYS if key in entry.values}
        for pair, entry in builder.first.items()
        if "when_cut" in entry.values
    }
    differing = {
        entry.name: entry.values["when_differing"]
        for entry in checked.kinds["services"].values()
        if "when_differing" in entry.values
    }
    return Inventory(
        settings, builder.teams, builder.classes, upstreams, front_ends, counts, edges, differing, terms
    )


def over(settings: dict[str, Any], inventory: Inventory) -> dict[str, Any]:
    """Return a deployment's settings with its classes and tenants replaced by those of the inventory."""
    mine = inventory.settings
    given = settings.get("extra")
    calls = {k: mine["extra"][k] for k in ("classCalls", "classSkipWorth")}
    extra = {**(given if isinstance(given, dict) else {}), **calls}
    chosen = {k: mine[k] for k in ("grades", "tenants", "overShareWorth") if mine[k] is not None}
    return {**settings, **chosen, "extra": extra}
