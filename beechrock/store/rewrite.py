"""Files that are written anew: whole under another name, then renamed. OSError as the disk gives it."""

from beechrock.store.files import Files

UNFINISHED_SUFFIX = ".new"  # what a file is called until it is whole and synced


def write_beside(files: Files, name: str, data: bytes) -> None:
    """Write and sync it under the other name, as another file than any that failed before."""
    files.remove(name + UNFINISHED_SUFFIX)
    files.write(name + UNFINISHED_SUFFIX, 0, data)
    files.sync(name + UNFINISHED_SUFFIX)


def put_in_place(files: Files, name: str) -> None:
    """Put what ``write_beside`` wrote in place, durably."""
    files.replace(name + UNFINISHED_SUFFIX, name)
    files.sync_names()


def replace_file(files: Files, name: str, data: bytes) -> None:
    """Replace a file; after an error the old content stands, or the new: whichever it is, it is whole."""
    write_beside(files, name, data)
    put_in_place(files, name)
