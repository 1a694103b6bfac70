"""Stores the last good generation in the state folder, with atomic writes and a checksum.

The file is a header line (magic, format, number, digest, length) and the generation's canonical encoding. It
is written under a temporary name, synced and renamed, so that a crash leaves either the old or the new file.
"""

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

from beechrock.inventory.errors import DamagedError, KeptUnreadableError, MissingError
from beechrock.inventory.generation import FORMAT, Generation, content, digest_of, from_content

NAME = "inventory.snapshot"
MAGIC = "beechrock-inventory"
MOST_BYTES = 256 << 20
WRITTEN = "the next good reading of the inventory writes it"
MOVE = f"move it away; {WRITTEN}"


def encode(generation: Generation) -> bytes:
    data = content(generation.entries())
    return f"{MAGIC} {FORMAT} {generation.number} {digest_of(data)} {len(data)}\n".encode() + data


def decode(data: bytes) -> Generation:
    """Decode and verify a snapshot; raise DamagedError if it is damaged."""
    head, line_end, body = data.partition(b"\n")
    words = head.decode("latin-1").split(" ")
    if (
        not line_end
        or len(words) != 5
        or words[0] != MAGIC
        or not all(words[at].isascii() and words[at].isdigit() and len(words[at]) < 19 for at in (1, 2, 4))
    ):
        raise DamagedError("no snapshot's header", wanted=f"{MAGIC} and four numbers")
    if int(words[1]) > FORMAT:
        raise DamagedError(f"of format {words[1]}; this program reads up to {FORMAT}")
    if len(body) != int(words[4]):
        raise DamagedError(f"{len(body)} bytes, not {words[4]}: cut off, or added to")
    if digest_of(body) != words[3]:
        raise DamagedError("its digest is another one")
    return from_content(int(words[2]), body)


def write(path: Path, generation: Generation) -> None:
    """Write and sync a snapshot at ``path``; raise OSError if the disk fails."""
    _write(path, encode(generation))


def _write(path: Path, data: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.unlink(missing_ok=True)  # Use a new file: after a failed sync the state of the old one is unknown
    with path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def save(folder: Path, generation: Generation) -> None:
    """Replace the snapshot that ``load`` reads atomically; raise OSError and keep the old one on failure."""
    _save(folder, encode(generation))


def _save(folder: Path, data: bytes) -> None:
    candidate = folder / f".{NAME}.{os.getpid()}"
    try:
        _write(candidate, data)
        adopt(candidate, folder)
    finally:
        with suppress(OSError):  # The disk failed; the next save of this process removes the file
            candidate.unlink(missing_ok=True)


def keep_again(found: Iterable[Path], folder: Path, digest: str) -> bool:
    """Save the generation in force again, from the first file in ``found`` that holds ``digest``.

    After a failed sync the state of a file or a rename is unknown, so the data goes to a new file, which is
    synced and renamed. Returns False if no file holds the generation. Raises OSError if the disk fails again.
    """
    for path in found:
        try:
            data = path.read_bytes()
            if decode(data).digest != digest:
                continue
        except (FileNotFoundError, DamagedError):
            continue
        _save(folder, data)
        return True
    return False


def adopt(candidate: Path, folder: Path) -> None:
    """Rename a file from ``write`` to the snapshot that ``load`` reads, and sync the folder."""
    os.replace(candidate, folder / NAME)
    listing = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(listing)
    finally:
        os.close(listing)


def load(folder: Path) -> Generation:
    """Return the last good generation; raise MissingError if absent, DamagedError if it is unusable."""
    try:
        with (folder / NAME).open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        raise MissingError("none", where=str(folder / NAME), do=WRITTEN) from None
    except OSError as error:
        raise KeptUnreadableError(
            str(error.strerror),
            where=str(folder / NAME),
            do="look at the disk and the kernel's log, and let this user read it",
        ) from None
    if len(data) > MOST_BYTES:
        raise DamagedError(f"over {MOST_BYTES} bytes", where=str(folder / NAME), do=MOVE)
    try:
        return decode(data)
    except DamagedError as error:
        raise DamagedError(error.what, where=str(folder / NAME), wanted=error.wanted, do=MOVE) from None
