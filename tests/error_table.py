"""Makes the table of all errors that reach an operator; run as a script, writes it into docs/errors.md."""

import importlib
import pkgutil
from pathlib import Path

import beechrock
from beechrock.errors import OperatorError

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"
BEGIN, END = "<!-- table: python tests/error_table.py -->", "<!-- end of the table -->"


def error_types() -> list[type[OperatorError]]:
    """Return all subclasses of OperatorError in the program, sorted by module and name."""
    for module in pkgutil.walk_packages(beechrock.__path__, "beechrock."):
        importlib.import_module(module.name)
    found, left = set(), [OperatorError]
    while left:
        for error_type in left.pop().__subclasses__():
            if error_type.__module__.startswith("beechrock."):
                found.add(error_type)
                left.append(error_type)
    return sorted(found, key=lambda error_type: (error_type.__module__, error_type.__name__))


def first_sentence(error_type: type) -> str:
    return " ".join((error_type.__doc__ or "").split()).partition(". ")[0].rstrip(".")


def table() -> str:
    """Return the table, with one row for each error type."""
    rows = [("type", "module", "event", "exit", "what it says"), ("---",) * 5]
    rows += [
        (
            f"`{error_type.__name__}`",
            f"`{error_type.__module__}`",
            f"`{error_type.event}`",
            str(error_type.exit_code),
            first_sentence(error_type),
        )
        for error_type in error_types()
    ]
    return "\n".join([BEGIN, *(f"| {' | '.join(row)} |" for row in rows), END])


def current_table(page: str) -> str:
    """Return the table that the page contains."""
    return page[page.index(BEGIN) : page.index(END) + len(END)]


if __name__ == "__main__":
    text = PAGE.read_text()
    PAGE.write_text(text.replace(current_table(text), table()))
