"""Reads YAML inventories from parser events, with line numbers and with bounds on size and depth.

Each node counts the values that it expands to, so that nested aliases hit the bound before they use memory.
"""

import sys
from typing import Any

import yaml

from beechrock.inventory.problems import Place, Problems, nearest, shown
from beechrock.inventory.raw import MOST_VARS, Group, Raw, Told, Vars

MOST_NODES = 8_000_000  # Maximum number of values in one file, with aliases expanded
MOST_DEPTH = 40  # Maximum nesting depth
TAGS = (None, "!", *(f"tag:yaml.org,2002:{kind}" for kind in ("str", "map", "seq")))
PARTS = ("hosts", "vars", "children")
Parser: Any = getattr(
    sys.modules.get("yaml._yaml"), "CParser", None
)  # libyaml, 20 times as fast as _PyParser


class _PyParser(yaml.reader.Reader, yaml.scanner.Scanner, yaml.parser.Parser):
    """Pure Python parser, used if PyYAML was built without libyaml."""

    def __init__(self, text: str) -> None:
        yaml.reader.Reader.__init__(self, text)
        yaml.scanner.Scanner.__init__(self)
        yaml.parser.Parser.__init__(self)


class Node:
    """A scalar, a list of nodes or a mapping of nodes; ``size`` counts its values with aliases expanded."""

    __slots__ = ("line", "size", "value")

    def __init__(self, value: Any, line: int, size: int = 1) -> None:
        self.value, self.line, self.size = value, line, size


class _BadError(Exception):
    def __init__(self, line: int, text: str) -> None:
        super().__init__(text)
        self.line = line


def _line(event: Any) -> int:
    return int(event.start_mark.line) + 1


class _Builder:
    """Builds nodes from parser events; a duplicate key is a problem and does not override the first."""

    def __init__(self, text: str, file: str, problems: Problems) -> None:
        self.parser = (Parser or _PyParser)(text)
        self.file, self.problems = file, problems
        self.anchors: dict[str, Node] = {}
        self.resolver: Any = yaml.resolver.Resolver()
        self.scalars: dict[str, Any] = {}
        self.made = yaml.constructor.SafeConstructor()

    def _event(self) -> Any:
        return self.parser.get_event()

    def document(self) -> Node | None:
        next_event = self._event
        next_event()  # Start of the stream
        if isinstance(next_event(), yaml.StreamEndEvent):
            return None
        root = self._node(next_event(), 0)
        next_event()  # End of the document
        event = next_event()
        if not isinstance(event, yaml.StreamEndEvent):
            raise _BadError(_line(event), "a second document; one is wanted")
        return root

    def _node(self, event: Any, depth: int) -> Node:
        line = _line(event)
        if depth > MOST_DEPTH:
            raise _BadError(line, f"nested deeper than {MOST_DEPTH}")
        if isinstance(event, yaml.AliasEvent):
            found = self.anchors.get(str(event.anchor))
            if found is None:
                raise _BadError(line, f"the alias {event.anchor} stands for nothing, or for what holds it")
            return Node(found.value, line, found.size)
        if event.tag not in TAGS:
            raise _BadError(line, f"the tag {event.tag} is not taken")
        if isinstance(event, yaml.ScalarEvent):
            node = Node(self._scalar(event), line)
        elif isinstance(event, yaml.SequenceStartEvent):
            node = self._sequence(line, depth)
        else:
            node = self._mapping(line, depth)
        if event.anchor:
            self.anchors[event.anchor] = node
        return node

    def _scalar(self, event: Any) -> Any:
        if event.tag or not event.implicit[0]:
            return event.value
        text = event.value
        if text not in self.scalars:
            if len(self.scalars) > 100_000:
                self.scalars.clear()
            self.scalars[text] = self._plain(text, event)
        return self.scalars[text]

    def _plain(self, text: str, event: Any) -> Any:
        tag = self.resolver.resolve(yaml.ScalarNode, text, (True, False))
        node = yaml.ScalarNode(tag, text, event.start_mark, event.end_mark)
        match tag.rpartition(":")[2]:
            case "null":
                return None
            case "bool":
                return self.made.construct_yaml_bool(node)
            case "int":
                return self.made.construct_yaml_int(node)
            case "float":
                return self.made.construct_yaml_float(node)
        return text  # Other types, such as dates, stay text

    def _grown(self, size: int, more: Node) -> int:
        size += more.size
        if size > MOST_NODES:
            raise _BadError(more.line, f"over {MOST_NODES} values, aliases expanded")
        return size

    def _sequence(self, line: int, depth: int) -> Node:
        found, size = [], 1
        while not isinstance(event := self._event(), yaml.SequenceEndEvent):
            found.append(self._node(event, depth + 1))
            size = self._grown(size, found[-1])
        return Node(found, line, size)

    def _mapping(self, line: int, depth: int) -> Node:
        found: dict[str, Node] = {}
        merged: list[Node] = []
        size = 1
        while not isinstance(event := self._event(), yaml.MappingEndEvent):
            if not isinstance(event, yaml.ScalarEvent):
                raise _BadError(_line(event), "a key that is not a plain word")
            key, key_line = event.value, _line(event)
            value = self._node(self._event(), depth + 1)
            size = self._grown(size, value)
            if key == "<<" and event.implicit[0]:
                merged += value.value if isinstance(value.value, list) else [value]
            elif key in found:
                self.problems.add(
                    Place(self.file, key_line),
                    key,
                    "",
                    f"stands twice, first at {Place(self.file, found[key].line)}",
                )
            else:
                found[key] = Node(value.value, key_line, value.size)
        for more in merged:
            if not isinstance(more.value, dict):
                raise _BadError(more.line, "<<: is not a mapping")
            for key, value in more.value.items():
                found.setdefault(key, value)
        return Node(found, line, size)


def tree(text: str, file: str, problems: Problems) -> Node | None:
    """Parse the document; return None if it is empty, or if it is invalid, which adds a problem."""
    try:
        return _Builder(text, file, problems).document()
    except _BadError as error:
        problems.add(Place(file, error.line), "", "", f"not YAML that is taken: {error}")
    except yaml.MarkedYAMLError as error:
        mark: Any = error.problem_mark or error.context_mark  # The two parsers fill in different marks
        what = str(error.problem or error.context)
        if error.context and "quoted scalar" in error.context and "end of stream" in what:
            mark, what = error.context_mark or mark, "a quote is never closed"
        elif "cannot start any token" in what and mark is not None and _tab_at(text, mark):
            what = "a tab stands where only spaces may"
        problems.add(Place(file, mark.line + 1 if mark else 0), "", "", f"not YAML: {what}")
    except yaml.YAMLError as error:
        problems.add(Place(file), "", "", f"not YAML: {' '.join(str(error).split())[:200]}")
    except (ValueError, RecursionError) as error:
        problems.add(Place(file), "", "", f"not YAML: {shown(str(error))}")
    return None


def _tab_at(text: str, mark: Any) -> bool:
    lines = text.split("\n", mark.line + 1)
    return mark.line < len(lines) and "\t" in lines[mark.line][: mark.column + 1]


# --- Conversion to groups and hosts


def read(text: str, file: str, raw: Raw) -> None:
    """Add a YAML inventory to ``raw``; each top-level key is a group."""
    root = tree(text, file, raw.problems)
    if root is None:
        return
    for name, body in _mapping(root, "", file, raw).items():
        _group(raw.group(name, Place(file, body.line)), body, file, raw)


def read_vars(text: str, file: str, problems: Problems, entry: str) -> Vars:
    """Return the variables in a file of group_vars/ or host_vars/."""
    root = tree(text, file, problems)
    return {} if root is None else _vars(root, entry, file, problems)


def _mapping(node: Node, entry: str, file: str, raw: Raw) -> dict[str, Node]:
    if node.value is None:
        return {}
    if not isinstance(node.value, dict):
        raw.problems.add(Place(file, node.line), entry, "", "is not a mapping")
        return {}
    return node.value


def _group(group: Group, body: Node, file: str, raw: Raw) -> None:
    for part, node in _mapping(body, group.name, file, raw).items():
        place = Place(file, node.line)
        if part == "vars":
            variables = _vars(node, f"{group.name}.vars", file, raw.problems)
            raw.set_vars(group.vars, variables, f"{group.name}.vars")
        elif part == "hosts":
            for name, host in _mapping(node, f"{group.name}.hosts", file, raw).items():
                entry = f"{group.name}.{name}"
                raw.host(group, name, Place(file, host.line), _vars(host, entry, file, raw.problems))
        elif part == "children":
            for name, child in _mapping(node, f"{group.name}.children", file, raw).items():
                _group(raw.child(group, name, Place(file, child.line)), child, file, raw)
        else:
            raw.problems.add(place, group.name, part, f"unknown key{nearest(part, PARTS)}")


def _vars(node: Node, entry: str, file: str, problems: Problems) -> Vars:
    if node.value is None:
        return {}
    if not isinstance(node.value, dict):
        problems.add(Place(file, node.line), entry, "", "is not a mapping")
        return {}
    if len(node.value) > MOST_VARS:
        problems.add(Place(file, node.line), entry, "", f"over {MOST_VARS} variables")
        return {}
    return {key: Told(_plain(value), Place(file, value.line)) for key, value in node.value.items()}


def _plain(node: Node) -> Any:
    """Return a variable's value without line numbers: a scalar, or a list; no variable is nested deeper."""
    if isinstance(node.value, list):
        return [None if isinstance(part.value, (list, dict)) else part.value for part in node.value]
    return node.value if not isinstance(node.value, dict) else {key: None for key in node.value}
