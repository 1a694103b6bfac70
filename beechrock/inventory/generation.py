"""A checked inventory as an immutable generation with a number and a digest, and its canonical encoding.

The encoding has one line of JSON per entry, sorted, so that the same content has the same bytes and the same
digest whatever the files, their order or their format. The reader process, the snapshot and ``diff`` use it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import blake3
import ujson

from beechrock.inventory import model
from beechrock.inventory.errors import DamagedError
from beechrock.inventory.merge import Checked, Entry
from beechrock.inventory.model import HERE, Inventory
from beechrock.inventory.problems import Problems
from beechrock.inventory.schema import KEYS

FORMAT = 1


@dataclass(frozen=True, slots=True)
class Generation:
    """One version of the inventory; ``number`` increases within a node's life and its state folder.

    ``digest`` covers the content alone, not the number. A node in service keeps ``meaning`` but not the
    entries: those are in the file that the reader process compares with.
    """

    number: int
    digest: str
    meaning: Inventory
    checked: Checked | None = None

    def entries(self) -> Checked:
        """Return the checked entries, which this generation must hold."""
        assert self.checked is not None, "a generation in service holds no entries"
        return self.checked

    def __str__(self) -> str:
        return f"{self.number} ({self.digest[:12]})"


def content(checked: Checked) -> bytes:
    """Return the canonical encoding of the entries."""
    return b"".join(_lines(checked))


def _lines(checked: Checked) -> Iterator[bytes]:
    yield _line(["all", "*", checked.node.values])
    for kind in KEYS:
        for name in sorted(checked.kinds[kind]):
            yield _line([kind, name, checked.kinds[kind][name].values])
    # Machines of each group that an upstream of a service refers to.
    wanted = {host for s in checked.kinds["services"].values() for host, _ in s.values.get("upstreams", ())}
    for name in sorted(wanted & checked.groups.keys()):
        yield _line(["group", name, {"machines": sorted(checked.groups[name])}])


def _line(parts: list[Any]) -> bytes:
    text = ujson.dumps(parts, sort_keys=True, ensure_ascii=False, escape_forward_slashes=False)
    return text.encode() + b"\n"


def digest_of(data: bytes) -> str:
    return blake3.blake3(data).hexdigest()


def checked_from(data: bytes) -> Checked:
    """Decode the entries that ``content`` encoded; raise DamagedError if the bytes are malformed."""
    node, kinds = Entry("all.vars", HERE, {}, {}), {kind: dict[str, Entry]() for kind in KEYS}
    groups: dict[str, tuple[str, ...]] = {}
    try:
        for line in data.splitlines():
            kind, name, values = ujson.loads(line)
            if not isinstance(name, str) or not isinstance(values, dict):
                raise DamagedError(f"no entry: {line[:80]!r}")
            if kind == "group":
                groups[name] = tuple(values["machines"])
                continue
            if "upstreams" in values:
                values["upstreams"] = tuple((host, port) for host, port in values["upstreams"])
            entry = Entry(name, HERE, values, dict.fromkeys(values, HERE))
            if kind == "all":
                node = entry
            else:
                kinds[kind][name] = entry
    except (ValueError, KeyError, TypeError) as error:
        raise DamagedError(f"not in the written form ({error})") from None
    return Checked(node, kinds, groups)


def from_checked(number: int, checked: Checked, meaning: Inventory) -> Generation:
    return Generation(number, digest_of(content(checked)), meaning, checked)


def from_content(number: int, data: bytes) -> Generation:
    """Decode and check a generation, as the bytes may be damaged; raise DamagedError if it is invalid."""
    checked, problems = checked_from(data), Problems()
    meaning = model.build(checked, problems)
    if meaning is None or problems.errors:
        raise DamagedError("; ".join(problems.lines()[:3]))
    return Generation(number, digest_of(data), meaning, checked)
