"""The table ``[releases]`` of the operator's file: parsing and checks."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock import __version__
from beechrock.config.checks import number
from beechrock.config.errors import ConfigError
from beechrock.releases.judge import Rules
from beechrock.releases.permits import Budget, Kind

TIMES = {  # defaults, in seconds
    "for_s": 60.0,
    "warm_s": 5.0,
    "drain_s": 60.0,
    "quiet_s": 1.0,
    "return_s": 300.0,
    "gone_s": 3.0,
    "quorum_s": 10.0,
}
JUDGEMENT = {"least": 200.0, "most_wait_s": 300.0, "worse": 0.01, "sigmas": 4.0}  # defaults of the rules
KEYS = {*TIMES, *JUDGEMENT, "restarts", "version", "on_change", "drives", "budgets", "budgets_version"}
BUDGET_KEYS = {"name", "most", "part", "kind", "hall", "service", "hardware", "each_hall"}
MAX_BUDGETS, MAX_NAME_BYTES = 64, 128
RULES, BUDGETS = Rules(), (Budget("fleet", most=1),)
EXIT, WAIT = "exit", "wait"


@dataclass(frozen=True, slots=True)
class ReleasesSettings:
    """The checked table."""

    for_s: float = TIMES["for_s"]  # seconds until a permit's right to go out ends
    warm_s: float = TIMES["warm_s"]  # seconds of readiness without a break before a node serves again
    drain_s: float = TIMES["drain_s"]  # maximum seconds that a drained node waits for its open requests
    quiet_s: float = TIMES["quiet_s"]  # seconds without a request before a drained node changes its version
    return_s: float = TIMES["return_s"]  # seconds until a changed node that has not returned is late
    gone_s: float = TIMES["gone_s"]  # seconds of silence until a node counts as down
    quorum_s: float = TIMES["quorum_s"]  # seconds without a leader after which a release halts
    rules: Rules = RULES
    version: str = __version__  # version that this node runs
    on_change: str = EXIT  # whether the process exits on a wanted version, or waits for an operator
    drives: bool = True  # whether this node may hold the driver's duty
    budgets: tuple[Budget, ...] = BUDGETS
    budgets_version: int = 0  # lower than the log's version: ignored; 0 in both: the driver's budgets apply


def read(table: Mapping[str, Any], where: str, root: Path) -> ReleasesSettings:
    """Return the checked table. Raises ConfigError, which names file, table and key."""
    version, on_change = table.get("version", __version__), table.get("on_change", EXIT)
    drives, restarts = table.get("drives", True), table.get("restarts", 0)
    if not isinstance(version, str) or not 0 < len(version.encode()) <= MAX_NAME_BYTES:
        raise ConfigError(f"{version!r}", where=f"{where}: version", wanted=f"1 to {MAX_NAME_BYTES} bytes")
    if on_change not in (EXIT, WAIT):
        raise ConfigError(f"{on_change!r}", where=f"{where}: on_change", wanted=f'"{EXIT}" or "{WAIT}"')
    if not isinstance(drives, bool):
        raise ConfigError(f"{drives!r}", where=f"{where}: drives", wanted="true or false")
    budgets_version = table.get("budgets_version", 0)
    for key, value in (("restarts", restarts), ("budgets_version", budgets_version)):
        if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 1 << 53:
            raise ConfigError(f"{value!r}", where=f"{where}: {key}", wanted="a number from 0")
    judged = {key: number(table, key, default, where) for key, default in JUDGEMENT.items()}
    return ReleasesSettings(
        **{key: number(table, key, default, where) for key, default in TIMES.items()},
        rules=Rules(int(judged["least"]), judged["most_wait_s"], judged["worse"], judged["sigmas"], restarts),
        version=version,
        on_change=on_change,
        drives=drives,
        budgets=_budgets(table.get("budgets"), f"{where}: budgets"),
        budgets_version=budgets_version,
    )


def _budgets(value: object, where: str) -> tuple[Budget, ...]:
    if value is None:
        return BUDGETS
    if not isinstance(value, list) or len(value) > MAX_BUDGETS:
        raise ConfigError(f"{value!r}", where=where, wanted=f"a list of at most {MAX_BUDGETS} tables")
    budgets = [_budget(table, f"{where}: {position}") for position, table in enumerate(value, 1)]
    if len({budget.name for budget in budgets}) != len(budgets):
        raise ConfigError("two budgets have one name", where=where)
    return tuple(budgets)


def _budget(table: object, where: str) -> Budget:
    if not isinstance(table, dict):
        raise ConfigError(f"{table!r}", where=where, wanted='a table, as {name = "fleet", most = 1}')
    for key in table:
        if key not in BUDGET_KEYS:
            raise ConfigError(
                "unknown key", where=f"{where}: {key}", wanted=f"one of {', '.join(sorted(BUDGET_KEYS))}"
            )
    for key in ("name", "hall", "service", "hardware"):
        if not isinstance(table.get(key, ""), str) or len(table.get(key, "").encode()) > MAX_NAME_BYTES:
            raise ConfigError(f"{table[key]!r}", where=f"{where}: {key}", wanted="a word")
    if not table.get("name"):
        raise ConfigError("no name", where=f"{where}: name")
    most, part = table.get("most"), table.get("part")
    # A missing key differs from 0, which lets nothing out; exactly one of the two keys is required.
    if (most is None) is (part is None):
        raise ConfigError("neither or both", where=f"{where}: most, part", wanted="one of them")
    if most is not None and (isinstance(most, bool) or not isinstance(most, int) or most < 0):
        raise ConfigError(f"{most!r}", where=f"{where}: most", wanted="a number from 0")
    if part is not None and (
        isinstance(part, bool) or not isinstance(part, int | float) or not 0 <= part < 1
    ):
        raise ConfigError(f"{part!r}", where=f"{where}: part", wanted="from 0 to below 1")
    if table.get("kind", "node") not in ("node", "server"):
        raise ConfigError(f"{table['kind']!r}", where=f"{where}: kind", wanted='"node" or "server"')
    if not isinstance(table.get("each_hall", False), bool):
        raise ConfigError(f"{table['each_hall']!r}", where=f"{where}: each_hall", wanted="true or false")
    return Budget(
        table["name"],
        most,
        float(part) if part is not None else None,
        Kind(table.get("kind", "node")),
        table.get("hall", ""),
        table.get("service", ""),
        table.get("hardware", ""),
        table.get("each_hall", False),
    )
