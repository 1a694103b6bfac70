"""A process's incarnation number, its life: greater for each new process of a name.

With a state folder the number outlives the process, and a clock set back does not matter; without one it is
the start time in milliseconds.
"""

from pathlib import Path

from beechrock.store.errors import LifeError, at_start
from beechrock.store.files import Files
from beechrock.store.rewrite import replace_file

LIFE_FILE = "members.life"
MAX_FILE_BYTES = 64  # of the file; a number takes 14


def next_life(folder: Path | None, now_s: float, name: str = LIFE_FILE) -> int:
    """Return the next life's number, on disk before it is used; ``now_s`` by the Unix clock.

    OSError: it could not be saved, and is not to be used. StoreFailedError: what is there could not be read.
    LifeError: it is no number, and is not passed over, as the next might fall behind one in use.
    """
    started = int(now_s * 1000)
    if folder is None:
        return started
    path = folder / name
    before = 0
    files = Files(folder)
    with at_start(path):
        found = files.read(name) if name in files.names() else None
    if found is not None:
        text = found[:MAX_FILE_BYTES].decode("latin-1").strip()
        if not (text.isascii() and text.isdigit()):
            raise LifeError(
                f"{text[:20]!r} is no number",
                where=str(path),
                wanted="a life number",
                do="write one above those that `beechrock members` shows, or move it away",
            )
        before = int(text)
    life = max(before + 1, started)
    try:
        replace_file(files, name, b"%d\n" % life)
    finally:
        files.close()
    return life
