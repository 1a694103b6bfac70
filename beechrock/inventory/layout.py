"""Positions of teams and contracts in the decision module's lists, across generations. Pure.

The decision module identifies teams and contracts by position alone, so positions never move. An entry that
stays keeps its position; a new one is appended, or reuses the position of an entry that was removed so long
ago that nothing in the node can still refer to it.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from beechrock.inventory.model import Contract, Inventory

K = TypeVar("K", bound=Hashable)
REUSE_S = 900.0  # Seconds before a position is reused; longer than every deadline, so its requests are over


@dataclass(frozen=True, slots=True)
class Places:
    """Name of the entry at each position, and for removed entries the time of removal, in clock seconds."""

    teams: tuple[str, ...] = ()
    contracts: tuple[Contract, ...] = ()
    gone_teams: Mapping[int, float] = field(default_factory=dict)
    gone_contracts: Mapping[int, float] = field(default_factory=dict)


def first(meaning: Inventory) -> Places:
    """Return the positions of a node's first generation, in the order of its entries."""
    return Places(tuple(meaning.teams), tuple(meaning.classes))


def _assign(
    current: tuple[K, ...],
    gone: Mapping[int, float],
    wanted: list[K],
    now: float,
) -> tuple[tuple[K, ...], dict[int, float]]:
    places = list(current)
    place_of = {key: at for at, key in enumerate(places)}
    wanted_set = set(wanted)
    removed = {at: gone.get(at, now) for at, key in enumerate(places) if key not in wanted_set}
    # An entry that returns soon gets its old position, with its spending; new entries reuse the positions
    # that have been free the longest.
    free = sorted((at for at, since in removed.items() if now - since > REUSE_S), key=lambda at: removed[at])
    for key in wanted:
        if key in place_of:
            continue
        if free:
            at = free.pop(0)
            places[at] = key
            del removed[at]
        else:
            at = len(places)
            places.append(key)
        place_of[key] = at
    return tuple(places), removed


def follow(before: Places, running: Inventory, new: Inventory, now: float) -> tuple[Places, Inventory]:
    """Return the next positions, and the new inventory rearranged to them.

    ``running`` is the inventory in force, arranged by the positions ``before``.
    """
    teams, gone_teams = _assign(before.teams, before.gone_teams, list(new.teams), now)
    contracts, gone_contracts = _assign(before.contracts, before.gone_contracts, list(new.classes), now)
    old, new_settings = running.settings, new.settings
    tenants: list[dict[str, Any]] = []
    for at, team in enumerate(teams):
        if at in gone_teams:
            tenants.append({**old["tenants"][at], "gone": True})
        else:
            tenants.append(new_settings["tenants"][new.teams[team]])
    grades: list[dict[str, Any]] = []
    calls: list[bool] = []
    for at, contract in enumerate(contracts):
        if at in gone_contracts:
            grades.append({**old["grades"][at], "gone": True})
            calls.append(old["extra"]["classCalls"][at])
        else:
            place = new.classes[contract]
            grades.append(new_settings["grades"][place])
            calls.append(new_settings["extra"]["classCalls"][place])
    settings = {
        **new_settings,
        "tenants": tenants,
        "grades": grades,
        "extra": {**new_settings["extra"], "classCalls": calls},
    }
    arranged = replace(
        new,
        settings=settings,
        teams={team: at for at, team in enumerate(teams) if at not in gone_teams},
        classes={contract: at for at, contract in enumerate(contracts) if at not in gone_contracts},
    )
    return Places(teams, contracts, gone_teams, gone_contracts), arranged
