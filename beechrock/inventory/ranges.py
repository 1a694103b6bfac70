"""Expands names with ranges: ``api[01:16].east-hall.example.org``, ``rack[a:f]``, ``n[0:100:10]``."""

import itertools
import re

from beechrock.inventory.errors import BadRangeError

MOST_NAMES = 200_000  # Maximum number of names that one pattern expands to
FORM = "[FROM:TO] or [FROM:TO:STEP], numbers or letters, upwards"
_PART = re.compile(r"\[([^\[\]]*)\]")


def expand(name: str) -> list[str]:
    """Return all names that ``name`` expands to, in order; raise BadRangeError if a range is malformed."""
    if "[" not in name and "]" not in name:
        return [name]
    fixed = _PART.split(name)[::2]
    if any("[" in part or "]" in part for part in fixed):
        raise BadRangeError("a range's bracket is not closed", wanted=FORM)
    choices = [_choices(part) for part in _PART.findall(name)]
    total = 1
    for choice in choices:
        total *= len(choice)
        if total > MOST_NAMES:
            raise BadRangeError(f"stands for over {MOST_NAMES} names", wanted=FORM)
    return [
        "".join(itertools.chain(*itertools.zip_longest(fixed, picked, fillvalue="")))
        for picked in itertools.product(*choices)
    ]


def _choices(text: str) -> list[str]:
    parts = text.split(":")
    if len(parts) not in (2, 3):
        raise BadRangeError(f"[{text}] is not [FROM:TO] or [FROM:TO:STEP]", wanted=FORM)
    first, last, step = parts[0], parts[1], parts[2] if len(parts) == 3 else "1"
    if not (step.isascii() and step.isdigit()) or not int(step) or len(step) > 9:
        raise BadRangeError(f"[{text}]: the step is not a number above 0", wanted=FORM)
    if first.isascii() and first.isdigit() and last.isascii() and last.isdigit() and len(last) <= 9:
        if len(first) > 1 and first[0] == "0" and len(first) != len(last):
            raise BadRangeError(f"[{text}]: the ends have leading zeros and differ in length", wanted=FORM)
        low, high, width = int(first), int(last), len(first)
    elif len(first) == len(last) == 1 and first.isalpha() and last.isalpha():
        low, high, width = ord(first), ord(last), 0
    else:
        raise BadRangeError(f"[{text}]: the ends are neither two numbers nor two letters", wanted=FORM)
    if low > high:
        raise BadRangeError(f"[{text}]: runs backwards", wanted=FORM)
    if (high - low) // int(step) >= MOST_NAMES:
        raise BadRangeError(f"[{text}]: stands for over {MOST_NAMES} names", wanted=FORM)
    steps = range(low, high + 1, int(step))
    return [f"{n:0{width}d}" if width else chr(n) for n in steps]
