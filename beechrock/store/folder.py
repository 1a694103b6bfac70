"""Opens a state folder: on the real disk, or on the laboratory's where the environment names one."""

import os
from pathlib import Path

from beechrock.store.files import Files

LAB_DISK_VARIABLE = "BEECHROCK_LAB_DISK"  # faults of the laboratory's disk; no operator sets it


def open_folder(folder: Path) -> Files:
    """Return the files of this folder, which is made if it is missing. OSError as the disk gives it."""
    if control := os.environ.get(LAB_DISK_VARIABLE):
        from beechrock.lab.fleet.disk import lying

        return lying(folder, control)
    return Files(folder)
