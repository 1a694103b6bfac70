"""Merges raw groups into checked entries: the kind of each entry, and its variables with precedence. Pure.

Precedence, lowest first: variables of groups in the inventory files, then group_vars/all, then the other
group_vars, then the entry's own variables, then host_vars. A nearer group overrides a farther one; of two
equally near groups, the later in the alphabet wins.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from beechrock.inventory import schema
from beechrock.inventory.errors import BadValueError
from beechrock.inventory.problems import Place, Problems, nearest
from beechrock.inventory.raw import Group, Raw, Told, Vars

ALL = "all"


@dataclass(slots=True)
class Entry:
    """One checked entry; ``origins`` holds the file and line of each value and is ignored in comparisons."""

    name: str
    place: Place = field(compare=False)
    values: dict[str, Any]
    origins: dict[str, Place] = field(compare=False)


@dataclass(slots=True)
class Checked:
    """The node's own variables, and for each kind its entries in the order of the files."""

    node: Entry
    kinds: dict[str, dict[str, Entry]]
    groups: dict[str, tuple[str, ...]]  # Names of the machines in each group, by group name


class Merger:
    """Computes ancestors once per group and merged variables once per set of groups."""

    def __init__(self, raw: Raw, problems: Problems) -> None:
        self.raw, self.problems = raw, problems
        self.parents: dict[str, list[str]] = {name: [] for name in raw.groups}
        for group in raw.groups.values():
            for child in group.children:
                if child in self.parents:
                    self.parents[child].append(group.name)
        self.looped = self._loops()
        self.depth: dict[str, int] = {}
        self.above: dict[str, frozenset[str]] = {}
        self._check_results: dict[tuple[str, str, int], tuple[bool, Any]] = {}
        self._merged: dict[tuple[str, frozenset[str]], Vars] = {}

    def _loops(self) -> set[str]:
        """Return the groups that are their own descendants; report each loop at the line that closes it."""
        state: dict[str, int] = {}
        looped: set[str] = set()
        for start in self.raw.groups:
            if start in state:
                continue
            stack = [(start, iter(self.raw.groups[start].children.items()))]
            state[start] = 1
            while stack:
                name, children = stack[-1]
                for child, place in children:
                    if child not in self.raw.groups:
                        continue
                    if state.get(child) == 1:
                        path = [n for n, _ in stack]
                        loop = path[path.index(child) :]
                        looped.update(loop)
                        self.problems.add(
                            place, f"{name}.children", child, f"a loop: {' > '.join([*loop, child])}"
                        )
                    elif child not in state:
                        state[child] = 1
                        stack.append((child, iter(self.raw.groups[child].children.items())))
                        break
                else:
                    state[name] = 2
                    stack.pop()
        return looped

    def ancestors(self, name: str) -> frozenset[str]:
        """Return the group itself and all of its ancestors."""
        found = self.above.get(name)
        if found is None:
            seen, border = {name}, [name]
            while border:
                border = [p for n in border for p in self.parents.get(n, ()) if p not in seen]
                seen.update(border)
            found = self.above[name] = frozenset(seen)
        return found

    def depth_of(self, name: str) -> int:
        if name in self.looped or name == ALL:
            return 0
        found = self.depth.get(name)
        if found is None:
            self.depth[name] = 1
            found = self.depth[name] = 1 + max((self.depth_of(p) for p in self.parents[name]), default=0)
        return found

    def kinds(self, groups: Iterable[str]) -> set[str]:
        return {kind for name in groups for kind in self.ancestors(name) if kind in schema.KEYS}

    # --- variables

    def shared(self, kind: str, direct: frozenset[str]) -> Vars:
        """Return the variables that an entry of this kind inherits; groups of other kinds are ignored."""
        found = self._merged.get((kind, direct))
        if found is not None:
            return found
        above = frozenset(g for name in direct for g in self.ancestors(name)) | {ALL}
        groups = [self.raw.groups[g] for g in above if g in self.raw.groups and self._applies_to(g, kind)]
        groups.sort(key=lambda g: (self.depth_of(g.name), g.name))
        found = {}
        for group in groups:
            # The group ``all`` holds the node's own variables as well as those that all entries share.
            own = group.name == ALL
            found.update({k: v for k, v in group.vars.items() if not (own and k in schema.NODE)})
        for group in groups:
            found.update(
                {k: v for k, v in group.more_vars.items() if not (group.name == ALL and k in schema.NODE)}
            )
        self._merged[kind, direct] = found
        return found

    def _applies_to(self, group: str, kind: str) -> bool:
        kinds = self.kinds([group])
        return not kinds or kind in kinds

    def check_keys(self) -> None:
        """Report each unknown key once, at its line, however many entries inherit it."""
        for group in self.raw.groups.values():
            kinds = self.kinds([group.name])
            known = self._keys(kinds)
            for variables, entry in (
                (group.vars, f"{group.name}.vars"),
                (group.more_vars, f"group_vars.{group.name}"),
            ):
                self._unknown(variables, entry, known)
            for name, host in group.hosts.items():
                if host.vars:
                    self._unknown(host.vars, f"{group.name}.{name}", known if kinds else schema.ALL_KEYS)

    def _keys(self, kinds: set[str]) -> Iterable[str]:
        return set().union(*(schema.KEYS[kind] for kind in kinds)) if kinds else schema.ALL_KEYS

    def _unknown(self, variables: Vars, entry: str, known: Iterable[str]) -> None:
        for key, value in variables.items():
            if key not in known and not key.startswith(schema.FOREIGN):
                self.problems.add(value.place, entry, key, f"unknown key{nearest(key, known)}")

    def checked(
        self, kind: str, entry: str, variables: Vars, keys: dict[str, schema.Check]
    ) -> dict[str, Any]:
        """Return the valid values; report each invalid one once, at its line."""
        found = {}
        for key, value in variables.items():
            if key not in keys:
                continue
            tag = (kind, key, id(value))
            result = self._check_results.get(tag)
            if result is None:
                try:
                    result = True, keys[key](value.value)
                except BadValueError as error:
                    self.problems.add(value.place, entry, key, error.what, wanted=error.wanted)
                    result = False, None
                self._check_results[tag] = result
            if result[0]:
                found[key] = result[1]
        return found


def merge(raw: Raw, problems: Problems) -> Checked:
    """Merge and check all entries; leave out invalid values and add them to ``problems``."""
    merger = Merger(raw, problems)
    merger.check_keys()
    everything = raw.groups.get(ALL) or Group(ALL, Place(""))
    variables = {**everything.vars, **everything.more_vars}
    node = Entry(
        "all.vars",
        everything.place,
        merger.checked("all", "all.vars", variables, schema.NODE),
        {k: v.place for k, v in variables.items() if k in schema.NODE},
    )
    member: dict[str, set[str]] = {}
    for group in raw.groups.values():
        for name in group.hosts:
            member.setdefault(name, set()).add(group.name)
    kinds: dict[str, dict[str, Entry]] = {kind: {} for kind in schema.KEYS}
    groups: dict[str, list[str]] = {}
    cache: dict[frozenset[str], set[str]] = {}
    for name, found in member.items():
        direct = frozenset(found)
        if direct not in cache:
            cache[direct] = merger.kinds(direct)
        _host(merger, name, direct, cache[direct], kinds)
        if "machines" in cache[direct]:
            for group_name in {g for d in direct for g in merger.ancestors(d)}:
                groups.setdefault(group_name, []).append(name)
    for name, variables in raw.host_vars.items():
        if name not in member and variables:
            problems.warn(next(iter(variables.values())).place, f"host_vars.{name}", "", "no such host")
    # Sort by place: contract order sets the order of the decision module's classes. Without the sort a
    # contract named like a service took that service's position, and the order depended on the file format.
    ordered = {
        kind: dict(sorted(entries.items(), key=lambda item: item[1].place)) for kind, entries in kinds.items()
    }
    return Checked(node, ordered, {name: tuple(found) for name, found in groups.items()})


def _host(
    merger: Merger, name: str, direct: frozenset[str], its_kinds: set[str], into: dict[str, dict[str, Entry]]
) -> None:
    raw, problems = merger.raw, merger.problems
    first = min((raw.groups[g] for g in direct), key=lambda g: g.hosts[name].place)
    if not its_kinds:
        problems.warn(
            first.hosts[name].place,
            f"{first.name}.{name}",
            "",
            f"in none of the groups {', '.join(schema.KEYS)}",
        )
        return
    more = raw.host_vars.get(name, {})
    merger._unknown(more, f"host_vars.{name}", merger._keys(its_kinds))
    for kind in its_kinds:
        # Groups of this kind or of no kind that list the entry, nearest last so that they override.
        own = sorted(
            (g for g in direct if merger._applies_to(g, kind)), key=lambda g: (merger.depth_of(g), g)
        )
        place = min(
            (raw.groups[g].hosts[name].place for g in own if kind in merger.kinds([g])),
            default=first.hosts[name].place,
        )
        variables: dict[str, Told] = dict(merger.shared(kind, direct))
        for group in own:
            variables.update(raw.groups[group].hosts[name].vars)
        variables.update(more)
        entry = f"{kind}.{name}"
        for key in schema.NEEDED[kind]:
            if key not in variables:
                problems.add(place, entry, key, "missing")
        values = merger.checked(kind, entry, variables, schema.KEYS[kind])
        into[kind][name] = Entry(name, place, values, {k: variables[k].place for k in values})
