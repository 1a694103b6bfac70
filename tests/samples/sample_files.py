"""Paths of the sample files, and functions that read and compare them.

A sample is a file in tests/data/PACKAGE that an earlier version wrote. Tests read samples and never
overwrite them.
"""

import itertools
import json
import shutil
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

DATA = Path(__file__).parent.parent / "data"


def write_messages(path: Path, messages: Mapping[str, bytes]) -> None:
    """Write encoded messages by name, as JSON with hexadecimal text."""
    text = json.dumps({name: data.hex() for name, data in messages.items()}, indent=1)
    path.write_text(text + "\n")


def read_messages(path: Path) -> dict[str, bytes]:
    """Return what ``write_messages`` wrote."""
    return {name: bytes.fromhex(text) for name, text in json.loads(path.read_text()).items()}


def sample_copy(package: str, folder: Path) -> Path:
    """Copy a package's sample into ``folder``: a store writes to its files when it is opened."""
    return Path(shutil.copytree(DATA / package, folder / package))


def files_of(folder: Path) -> dict[str, bytes]:
    """Return all files below the folder, by path."""
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }


@contextmanager
def fixed_random() -> Iterator[None]:
    """Make ``secrets.token_bytes`` return 01 01 ..., then 02 02 ..., and so on."""
    numbers = itertools.count(1)
    with patch("secrets.token_bytes", lambda size: bytes([next(numbers)]) * size):
        yield
