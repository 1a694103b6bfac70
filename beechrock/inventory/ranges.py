"""Names that stand for many: ``api[01:16].east-hall.example.org``, ``rack[a:f]``, ``n[0:100:10]``."""

import itertools
import re

MOST_NAMES = 200_000    # that one pattern may stand for
_PART = re.compile(r"\[([^\[\]]*)\]")


def expand(name: str) -> list[str]:
    """All names that ``name`` stands for, in order; ValueError says what is wrong with a range."""
    if "[" not in name and "]" not in name:
        return [name]
    fixed = _PART.split(name)[::2]
    if any("[" in part or "]" in part for part in fixed):
        raise ValueError("a range's bracket is not closed")
    choices = [_choices(part) for part in _PART.findall(name)]
    total = 1
    for choice in choices:
        total *= len(choice)
        if total > MOST_NAMES:
            raise ValueError(f"stands for over {MOST_NAMES} names")
    return ["".join(itertools.chain(*itertools.zip_longest(fixed, picked, fillvalue="")))
            for picked in itertools.product(*choices)]


def _choices(told: str) -> list[str]:
    parts = told.split(":")
    if len(parts) not in (2, 3):
        raise ValueError(f"[{told}] is not [FROM:TO] or [FROM:TO:STEP]")
    first, last, step = parts[0], parts[1], parts[2] if len(parts) == 3 else "1"
    if not (step.isascii() and step.isdigit()) or not int(step) or len(step) > 9:
        raise ValueError(f"[{told}]: the step is not a number above 0")
    if first.isascii() and first.isdigit() and last.isascii() and last.isdigit() and len(last) <= 9:
        if len(first) > 1 and first[0] == "0" and len(first) != len(last):
            raise ValueError(f"[{told}]: the ends have leading zeros and differ in length")
        low, high, width = int(first), int(last), len(first)
    elif len(first) == len(last) == 1 and first.isalpha() and last.isalpha():
        low, high, width = ord(first), ord(last), 0
    else:
        raise ValueError(f"[{told}]: the ends are neither two numbers nor two letters")
    if low > high:
        raise ValueError(f"[{told}]: runs backwards")
    if (high - low) // int(step) >= MOST_NAMES:
        raise ValueError(f"[{told}]: stands for over {MOST_NAMES} names")
    steps = range(low, high + 1, int(step))
    return [f"{n:0{width}d}" if width else chr(n) for n in steps]
