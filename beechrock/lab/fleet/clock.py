"""Clocks that leap, stand, or go faster or slower, at the laboratory's word; a file for each machine.

The file: which of two slots counts (one byte, at 0), then the slots, each with a line for each clock: since
(by the true clock), offset, rate. A change is written to the other slot, and one byte makes it count.
"""

import mmap
import struct
from collections.abc import Callable, Iterable
from pathlib import Path

from beechrock.lab.fleet.errors import LabError

Clock = Callable[[], float]
NAMES = ("boot", "mono", "wall")
LINE = struct.Struct("<3d")
FIRST, SLOT = 8, len(NAMES) * LINE.size


class Shown:
    """One clock as a process sees it. ``boot`` and ``mono`` never go back."""

    def __init__(self, held: mmap.mmap, number: int, true: Clock) -> None:
        self.held, self.at, self.true = held, FIRST + number * LINE.size, true
        self.back, self.newest = NAMES[number] == "wall", float("-inf")

    def __call__(self) -> float:
        slot = -1
        while slot != self.held[0]:  # changed while it was read
            slot = self.held[0]
            since, offset, rate = LINE.unpack_from(self.held, self.at + slot * SLOT)
            now = self.true()
        value: float = now + offset + (rate - 1.0) * (now - since)
        if not self.back:
            value = self.newest = max(value, self.newest)
        return value


def shown(path: str, *true: Clock) -> list[Clock]:
    """What ``beechrock.clocks`` gives under the laboratory. OSError, ValueError: no file of ours."""
    with Path(path).open("rb") as file:
        held = mmap.mmap(file.fileno(), FIRST + 2 * SLOT, access=mmap.ACCESS_READ)
    return [Shown(held, number, clock) for number, clock in enumerate(true)]


class Clocks:
    """The laboratory's end: the file of one machine, which goes on over its processes."""

    def __init__(self, path: Path, *true: Clock) -> None:
        self.path, self.true = path, true
        path.write_bytes(bytes(FIRST) + LINE.pack(0.0, 0.0, 1.0) * len(NAMES) * 2)
        with path.open("r+b") as file:
            self.held = mmap.mmap(file.fileno(), 0)

    def change(self, leap_s: float = 0.0, rate: float | None = None, which: Iterable[str] = NAMES) -> None:
        """From now on. LabError for what no such clock does: only ``wall`` goes back."""
        names, old = set(which), self.held[0]
        new = 1 - old
        if not names <= set(NAMES) or (rate is not None and rate < 0) or (leap_s < 0 and names != {"wall"}):
            raise LabError(
                f"clocks {sorted(names)}, leap {leap_s} s, rate {rate}",
                wanted=f"some of {NAMES}, a rate of at least 0, back only wall alone",
            )
        for number, name in enumerate(NAMES):
            at, now = FIRST + number * LINE.size, self.true[number]()
            since, offset, was = LINE.unpack_from(self.held, at + old * SLOT)
            if name in names:
                offset += (was - 1.0) * (now - since) + leap_s
                since, was = now, was if rate is None else rate
            LINE.pack_into(self.held, at + new * SLOT, since, offset, was)
        self.held[0] = new
