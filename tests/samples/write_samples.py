"""Writes the samples of stored data and messages into tests/data: ``python tests/samples/write_samples.py``.

A package whose folder exists is skipped: a sample rewritten by the current version would not prove that older
files can be read. After a change of a format, the new format gets its own folder, with a new name in
``SAMPLE``, and the old folder is kept for the tests that read it.
"""

import importlib
import shutil
import sys
import tempfile
from pathlib import Path

from sample_files import DATA

MODULES = (
    "test_store",
    "test_talk",
    "test_members",
    "test_agree",
    "test_duties",
    "test_handover",
    "test_inventory",
    "test_limits",
    "test_edges_messages",
    "test_edges_member",
    "test_edges_upstream",
    "test_replica_messages",
    "test_replica_disk",
    "test_releases",
    "test_lowering",
    "test_trace",
)


def main() -> None:
    sys.path.append(str(DATA.parent))  # Helpers shared by all tests
    for name in MODULES:
        module = importlib.import_module(name)
        folder = DATA / module.SAMPLE
        if folder.exists():
            print(f"{module.SAMPLE}: is there, left as it is")
            continue
        with tempfile.TemporaryDirectory(dir=DATA) as made:  # Removed if writing fails
            module.write(Path(made))
            shutil.copytree(made, folder)
        print(f"{module.SAMPLE}: written")


if __name__ == "__main__":
    main()
