"""Groups, hosts and variables as read from files, before they are checked, each with file and line."""

from dataclasses import dataclass, field
from typing import Any

from beechrock.inventory import ranges
from beechrock.inventory.errors import BadRangeError
from beechrock.inventory.problems import Place, Problems, nearest
from beechrock.inventory.schema import KEYS

MOST_HOSTS = 500_000  # Maximum number of entries in all files together
MOST_GROUPS = 20_000  # Maximum number of groups in all files together
MOST_VARS = 200  # Maximum number of variables of one entry or group


@dataclass(slots=True, eq=False)
class Told:
    """A variable's value, with the file and line that set it."""

    value: Any
    place: Place


Vars = dict[str, Told]


@dataclass(slots=True, eq=False)
class Host:
    """An entry as listed in one group; ``vars`` holds the variables set there."""

    place: Place
    vars: Vars


@dataclass(slots=True, eq=False)
class Group:
    name: str
    place: Place
    vars: Vars = field(default_factory=dict)  # Set in the inventory files
    more_vars: Vars = field(default_factory=dict)  # Set in group_vars/; these override ``vars``
    hosts: dict[str, Host] = field(default_factory=dict)
    children: dict[str, Place] = field(default_factory=dict)


class Raw:
    """Groups and hosts of all files."""

    def __init__(self, problems: Problems) -> None:
        self.problems = problems
        self.groups: dict[str, Group] = {}
        self.host_vars: dict[str, Vars] = {}
        self.hosts = 0
        self.full = False

    def group(self, name: str, place: Place) -> Group:
        found = self.groups.get(name)
        if found is None:
            found = Group(name, place)
            if len(self.groups) < MOST_GROUPS:
                self.groups[name] = found
            else:
                self._full(place, f"over {MOST_GROUPS} groups")
        return found

    def child(self, parent: Group, name: str, place: Place) -> Group:
        if name not in KEYS and (near := nearest(name, KEYS)):
            self.problems.add(place, f"{parent.name}.children", name, f"unknown key{near}")
        parent.children.setdefault(name, place)
        return self.group(name, place)

    def host(self, group: Group, pattern: str, place: Place, variables: Vars) -> None:
        """Add an entry to the group, or every entry of a range; report a name that the group already has."""
        entry = f"{group.name}.{pattern}"
        try:
            names = ranges.expand(pattern)
        except BadRangeError as error:
            return self.problems.add(place, entry, "", f"bad range: {error.what}", wanted=error.wanted)
        if not pattern or len(pattern.split()) != 1:
            return self.problems.add(place, entry, "", f"{pattern!r} is not one word")
        for name in names:
            first = group.hosts.get(name)
            if first is not None:
                self.problems.add(place, f"{group.name}.{name}", "", f"stands twice, first at {first.place}")
                continue
            if self.hosts >= MOST_HOSTS:
                return self._full(place, f"over {MOST_HOSTS} hosts")
            self.hosts += 1
            group.hosts[name] = Host(place, variables)
        return None

    def set_vars(self, into: Vars, variables: Vars, entry: str) -> None:
        for key, value in variables.items():
            if key in into:
                self.problems.add(value.place, entry, key, f"stands twice, first at {into[key].place}")
            else:
                into[key] = value

    def _full(self, place: Place, text: str) -> None:
        if not self.full:
            self.full = True
            self.problems.add(place, "", "", f"{text}; the rest is not read")
