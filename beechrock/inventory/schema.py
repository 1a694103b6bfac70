"""Table of the variables of each group and the values they allow, used to read, check and export them.

A check returns the converted value or raises BadValueError; ``merge`` adds file, line, entry and key.
"""

import ipaddress
from collections.abc import Callable
from typing import Any

from beechrock.inventory.errors import BadValueError
from beechrock.inventory.hours import WANTED, parse
from beechrock.inventory.problems import shown

Address = tuple[str, int]
Check = Callable[[Any], Any]
EFFECTS = ("safe", "keyed", "unsafe")
FOREIGN = "ansible_"  # Prefix of variables that belong to configuration tools; they are ignored


def number(least: float, most: float) -> Check:
    """Return a check for numbers above ``least`` and up to ``most``; it accepts text, for CSV."""

    def check(value: Any) -> float:
        try:
            found = float(value) if not isinstance(value, bool) else None
        except (TypeError, ValueError):
            found = None
        if found is None or not least < found <= most:
            wanted = f"a number above {least:g}, up to {most:g}"
            raise BadValueError(f"{shown(value)} is not {wanted}", wanted=wanted)
        return found

    return check


def flag(value: Any) -> bool:
    if value not in (True, False, "true", "false"):
        raise BadValueError(f"{shown(value)} is neither true nor false", wanted="true or false")
    return value in (True, "true")


def effect(value: Any) -> str:
    if value not in EFFECTS:
        raise BadValueError(f"{shown(value)} is none of {', '.join(EFFECTS)}", wanted=" or ".join(EFFECTS))
    return str(value)


def one_of(*words: str) -> Check:
    def check(value: Any) -> str:
        if value not in words:
            raise BadValueError(f"{shown(value)} is none of {', '.join(words)}", wanted=", ".join(words))
        return str(value)

    return check


def word(value: Any) -> str:
    if not isinstance(value, str) or not value or len(value.split()) != 1:
        raise BadValueError(f"{shown(value)} is not one word", wanted="one word")
    return value


def text(value: Any) -> str:
    if isinstance(value, (list, dict)):
        raise BadValueError(f"{shown(value)} is not a text", wanted="a text")
    return str(value)


def address(value: Any) -> Address:
    """Parse HOST:PORT; an IPv6 host is in brackets."""
    host, _, port = str(value).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise BadValueError(f"{shown(value)} is not HOST:PORT", wanted="HOST:PORT, an IPv6 host in brackets")
    return host.strip("[]"), int(port)


def addresses(value: Any) -> tuple[Address, ...]:
    """Parse a list, or words, of HOST:PORT; HOST may name a machine or a group of machines."""
    parts = value.split() if isinstance(value, str) else value if isinstance(value, list) else [value]
    found = tuple(address(part) for part in parts)
    if not found or len(set(found)) < len(found):
        raise BadValueError("no address, or one twice", wanted="a list of HOST:PORT, each once")
    return found


def network(value: Any) -> str:
    """Parse an address or a network in CIDR form and return its canonical text."""
    try:
        return str(ipaddress.ip_network(str(value)))
    except ValueError as error:
        raise BadValueError(
            f"{shown(value)} is no address and no network ({error})",
            wanted="an address, or a network as 10.0.0.0/24",
        ) from None


def words(value: Any) -> list[str]:
    """Parse a list of words, or a text of words; nested lists are invalid."""
    parts = value.split() if isinstance(value, str) else value if isinstance(value, list) else [value]
    if any(isinstance(part, (bool, list, dict)) or part is None for part in parts) or len(parts) > 1000:
        raise BadValueError(f"{shown(value)} is not a list of words", wanted="a list of up to 1000 words")
    return [word(str(part)) for part in parts]


def hours(value: Any) -> str:
    """Check weekly hours and return their text unchanged."""
    if not isinstance(value, str):
        raise BadValueError(f"{shown(value)} is not a text", wanted=WANTED)
    parse(value)
    return value


def parts(value: Any) -> list[float]:
    """Parse one to eight increasing numbers, each above 0 and up to 1."""
    thresholds = value if isinstance(value, list) else str(value).split()
    found = [number(0, 1)(part) for part in thresholds]
    if not 0 < len(found) <= 8 or sorted(set(found)) != found:
        raise BadValueError(f"{shown(value)} are no parts", wanted="up to 8 numbers up to 1 that grow")
    return found


def weights(value: Any) -> list[str]:
    """Parse words NAME=NUMBER; NAME alone means NAME=1."""
    found = [part if "=" in part else f"{part}=1" for part in words(value)]
    for part in found:
        weight = part.rpartition("=")[2]
        if not (weight.isascii() and weight.isdigit()) or not 0 < int(weight) <= 1_000_000:
            raise BadValueError(f"{shown(part)} is not NAME=NUMBER", wanted="NAME=NUMBER, a whole one from 1")
    return found


POSITIVE = number(0, 1e12)
COUNT = number(-1, 1e12)
NODE: dict[str, Check] = {
    "cores": number(0, 4096),
    "memory_mb": POSITIVE,
    "fleet_size": number(0, 1e6),
    "over_share_worth": number(0, 1),
    "max_retry_after_ms": POSITIVE,
    "utc_offset_min": number(-841, 840),
}
NODE_NEEDED = ("cores", "memory_mb")
KEYS: dict[str, dict[str, Check]] = {
    "machines": {
        "hall": text,
        "cores": number(0, 4096),
        "memory_mb": POSITIVE,
        "address": word,
        "node": flag,
        "hardware": word,
    },
    "front_ends": {"address": network, "network": network, "team": word},
    "teams": {
        "contact": text,
        "department": word,
        "weight": number(0.000999, 1000),
        "rate": POSITIVE,
        "burst": POSITIVE,
        "most": POSITIVE,
        "at_once": COUNT,
        "connections": POSITIVE,
        "borrows": flag,
    },
    "departments": {
        "contact": text,
        "rate": POSITIVE,
        "burst": POSITIVE,
        "most": POSITIVE,
        "at_once": COUNT,
        "borrows": flag,
    },
    "services": {"upstreams": addresses, "when_differing": one_of("first", "last", "both")},
    "contracts": {
        "team": word,
        "service": word,
        "share": number(0, 1),
        "rate": POSITIVE,
        "aim_ms": POSITIVE,
        "due_ms": POSITIVE,
        "effect": effect,
        "window_ms": POSITIVE,
        "worth": POSITIVE,
        "price": POSITIVE,
        "calls": flag,
        "when_cut": one_of("refuse", "queue"),
        "keep_s": POSITIVE,
        "when_gone": one_of("hold", "skip", "cascade"),
        "copies": number(0, 16),
        "burst": POSITIVE,
        "most": POSITIVE,
        "at_once": COUNT,
        "hours": hours,
        "priority": COUNT,
        "outside": one_of("borrow", "refuse"),
        "borrows": flag,
        "bytes_per_s": POSITIVE,
    },
    "budgets": {
        "team": word,
        "amount": POSITIVE,
        "period_s": POSITIVE,
        "per_cost": POSITIVE,
        "carry": number(0, 1),
        "soft": number(0, 1),
        "hard": flag,
        "warn": parts,
    },
    "hardware": {
        "memory_kb": POSITIVE,
        "entries": COUNT,
        "kinds": words,
        "lengths": COUNT,
        "ends": flag,
        "slots": COUNT,
        "tiers": POSITIVE,
        "affinity": words,
        "timers": COUNT,
        "timer_ms": POSITIVE,
        "counters": COUNT,
        "levels": POSITIVE,
        "retries": COUNT,
        "mirrors": flag,
        "match_us": POSITIVE,
        "rate": POSITIVE,
    },
    "pools": {"hall": word, "rate": POSITIVE, "upstreams": addresses, "team": word, "fall_back": word},
    "rules": {
        "team": word,
        "service": word,
        "subject": word,
        "prefix": word,
        "subjects": words,
        "size_least": COUNT,
        "size_most": COUNT,
        "attempt_least": POSITIVE,
        "attempt_most": POSITIVE,
        "order": COUNT,
        "pools": weights,
        "halls": words,
        "fall_backs": words,
        "affinity": word,
        "rate": POSITIVE,
        "at_once": POSITIVE,
        "retries": COUNT,
        "hedge_ms": POSITIVE,
        "priority": COUNT,
        "mirrors": weights,
        "survive": COUNT,
        "expect": POSITIVE,
        "within": number(0, 1),
        "must": words,
        "should": words,
        "may": words,
    },
}
NEEDED: dict[str, tuple[str, ...]] = {
    "machines": (),
    "front_ends": (),
    "teams": (),
    "departments": (),
    "services": (),
    "budgets": ("team", "amount", "period_s"),
    "contracts": ("team", "service", "share", "rate", "aim_ms", "due_ms", "effect"),
    "hardware": (),
    "pools": ("hall", "upstreams"),
    "rules": ("pools",),
}
ALL_KEYS = frozenset(key for keys in (NODE, *KEYS.values()) for key in keys)
