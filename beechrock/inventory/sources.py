"""Reads inventory files into raw groups: one file, or a folder of YAML and CSV; group_vars/, host_vars/."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from beechrock.inventory import csv_source, yaml_source
from beechrock.inventory.problems import Place, Problems
from beechrock.inventory.raw import Raw

MOST_FILES = 2_000  # Maximum number of files
MOST_BYTES = 64 << 20  # Maximum size of all files together
READERS: dict[str, Callable[[str, str, Raw], None]] = {
    ".csv": csv_source.read,
    ".yaml": yaml_source.read,
    ".yml": yaml_source.read,
}
VARS_FOLDERS = ("group_vars", "host_vars")
YAML_ENDS = (".yaml", ".yml")


@dataclass(frozen=True, slots=True)
class Files:
    """Paths of an inventory by role; ``group_vars`` and ``host_vars`` pair each with its group or host."""

    inventories: tuple[Path, ...] = ()
    group_vars: tuple[tuple[str, Path], ...] = ()
    host_vars: tuple[tuple[str, Path], ...] = ()

    def paths(self) -> list[Path]:
        return [*self.inventories, *(p for _, p in self.group_vars), *(p for _, p in self.host_vars)]


def _ignored(name: str) -> bool:
    """Return whether a file name is that of a backup or temporary file of an editor or tool."""
    return name.startswith((".", "#", "~")) or name.endswith(("~", ".swp", ".tmp", ".bak", ".orig", ".retry"))


def find(root: Path) -> Files:
    """Return the files of the inventory at ``root`` in a fixed order; raise OSError if listing fails."""
    if not root.is_dir():
        beside = root.parent
        inventories: list[Path] = [root]
    else:
        beside = root
        inventories = [
            root / name
            for name in sorted(os.listdir(root))
            if not _ignored(name) and Path(name).suffix in READERS
        ]
    return Files(tuple(inventories), *(_vars_files(beside / name) for name in VARS_FOLDERS))


def _vars_files(folder: Path) -> tuple[tuple[str, Path], ...]:
    """Return (name, path) for each file NAME.yaml or NAME, and for each such file in a folder NAME."""
    found: list[tuple[str, Path]] = []
    if not folder.is_dir():
        return ()
    for name in sorted(os.listdir(folder)):
        path = folder / name
        about = path.stem if path.suffix in YAML_ENDS else name
        if _ignored(name):
            continue
        if path.is_dir():
            found += [
                (name, path / part)
                for part in sorted(os.listdir(path))
                if not _ignored(part) and Path(part).suffix in (*YAML_ENDS, "")
            ]
        elif path.suffix in YAML_ENDS or "." not in name or not path.suffix[1:].isalpha():
            found.append((about, path))
    return tuple(found)


def read(root: Path, problems: Problems) -> Raw:
    """Read all files under ``root``; add a problem, not an exception, for each file that can't be read."""
    raw = Raw(problems)
    try:
        files = find(root)
    except OSError as error:
        problems.add(Place(str(root)), "", "", error.strerror or "can't be read")
        return raw
    if not files.inventories:
        problems.add(Place(str(root)), "", "", "no file here ends in .yaml, .yml or .csv")
    if len(files.paths()) > MOST_FILES:
        problems.add(Place(str(root)), "", "", f"over {MOST_FILES} files")
        return raw
    left = MOST_BYTES
    for path in files.inventories:
        reader = READERS.get(path.suffix)
        if reader is None:
            problems.add(Place(str(path)), "", "", "ends in none of .yaml, .yml and .csv")
            continue
        text = _text(path, left, problems)
        if text is not None:
            left -= len(text)
            reader(text, str(path), raw)
    for name, path in files.group_vars:
        if (text := _text(path, left, problems)) is not None:
            left -= len(text)
            variables = yaml_source.read_vars(text, str(path), problems, f"group_vars.{name}")
            raw.set_vars(raw.group(name, Place(str(path))).more_vars, variables, f"group_vars.{name}")
    for name, path in files.host_vars:
        if (text := _text(path, left, problems)) is not None:
            left -= len(text)
            variables = yaml_source.read_vars(text, str(path), problems, f"host_vars.{name}")
            raw.set_vars(raw.host_vars.setdefault(name, {}), variables, f"host_vars.{name}")
    return raw


def _text(path: Path, most: int, problems: Problems) -> str | None:
    place = str(path)
    try:
        with path.open("rb") as file:
            data = file.read(most + 1)
    except OSError as error:
        problems.add(Place(place), "", "", error.strerror or "can't be read")
        return None
    if len(data) > most:
        problems.add(Place(place), "", "", f"all files together are longer than {MOST_BYTES} bytes")
        return None
    if data[:2] in (b"\xff\xfe", b"\xfe\xff"):
        problems.add(Place(place, 1), "", "", "is UTF-16; UTF-8 is wanted")
        return None
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        problems.add(Place(place, line), "", "", f"not UTF-8 (byte {data[error.start]:#04x})")
        return None
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        problems.add(Place(place, line), "", "", "a NUL stands here")
        return None
    return text
