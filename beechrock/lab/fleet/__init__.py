"""Real processes of the program, real links and disks between them, with faults from a seed; and checkers.

Nothing of the program imports it but ``store.folder.open_folder`` and ``clocks``, and those only under
BEECHROCK_LAB_DISK and BEECHROCK_LAB_CLOCK.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beechrock.lab.fleet.errors import LabError
    from beechrock.lab.fleet.fleet import Fleet
    from beechrock.lab.fleet.links import Cut

__all__ = ["Cut", "Fleet", "LabError"]
PLACES = {"Fleet": "fleet", "Cut": "links", "LabError": "errors"}


def __getattr__(name: str) -> Any:
    """A node under a lying disk or clock imports its module from here and needs nothing of the rest."""
    if name not in PLACES:
        raise AttributeError(name)
    from importlib import import_module

    return getattr(import_module(f"beechrock.lab.fleet.{PLACES[name]}"), name)
