"""A replica on a disk that fails for a while: unsynced writes are retried, and nothing depends on them until
then."""

from pathlib import Path

import pytest

from beechrock.lab.fleet.disk import Faults, LyingFiles, tell
from beechrock.replica.disk import Disk
from beechrock.store.errors import StoreFailedError
from beechrock.store.files import Files


@pytest.mark.parametrize("fails", ["write", "sync", "write sync sync_names"])
def test_a_write_is_retried_until_it_is_synced_and_survives_the_fault(tmp_path: Path, fails: str) -> None:
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    tell(control, Faults())
    disk = Disk(LyingFiles(folder, control))
    core = disk.core("a", "a/1", ("b",), 0)
    disk.append(core)
    disk.sync()
    held = disk.held().synced
    core.write("note", "key", b"value")
    tell(control, Faults(fails=fails))
    for _ in range(3):
        # Also true with nothing new to write: the failed sync still has to be done.
        assert disk.append(core)
        with pytest.raises(StoreFailedError):
            disk.sync()
        with pytest.raises(StoreFailedError):
            disk.save(disk.store.last, [])
        assert disk.held().synced == held
    killed = Disk(Files(folder))
    assert killed.store.last + 1 >= killed.store.first and killed.store.progress.seq >= held
    killed.store.close()
    tell(control, Faults())
    assert disk.append(core)
    disk.sync()
    assert not disk.append(core) and disk.held().synced > held
    again = Disk(LyingFiles(folder, control)).core("a", "a/2", ("b",), 0)
    assert again.table.acting("note", "key") == b"value"
