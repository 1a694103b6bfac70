"""The tool that takes guards out, tested on a small tree; and whether the guard lists match this tree."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
import guards
from guards import Found, Guard

TREE = {
    "part.py": "def most(n):\n    if n > 9:\n        n = 9\n    return max(n, 0)\n",
    "test_part.py": "from part import most\n\ndef test_bound():\n    assert most(99) == 9 and most(3) == 3\n"
    "def test_never_green():\n    assert most(1) == 2\n",
}


@pytest.mark.parametrize(
    ("text", "instead", "test", "found"),
    [
        ("n > 9", "False", "test_bound", Found.PROVEN),
        ("max(n, 0)", "n", "test_bound", Found.USELESS),
        ("n > 10", "False", "test_bound", Found.NOWHERE),
        ("n = 9", "", "test_bound", Found.NOT_RUN),  # no longer valid Python
        ("def most", "def least", "test_bound", Found.NOT_RUN),  # the import fails, which proves nothing
        ("n > 9", "False", "test_gone", Found.NOT_GREEN),
        ("n > 9", "False", "test_never_green", Found.NOT_GREEN),
    ],
)
def test_a_guard_is_proven_only_by_a_test_that_passes_with_it_and_fails_without_it(
    tmp_path: Path, text: str, instead: str, test: str, found: Found
) -> None:
    for name, source in TREE.items():
        (tmp_path / name).write_text(source)
    guard = Guard("part", "part.py", text, instead, f"test_part.py::{test}")
    assert [f for _, f, _ in guards.tried(tmp_path, [guard], 1)] == [found]
    assert (tmp_path / "part.py").read_text() == TREE["part.py"]  # the tree itself is not touched


def test_each_listed_guard_occurs_just_once_and_its_test_exists() -> None:
    listed = guards.read(guards.ROOT)
    for guard in listed:
        assert guards.taken_out((guards.ROOT / guard.file).read_text(), guard) is not None, guard
        file, _, name = guard.test.partition("::")
        assert f"def {name.partition('[')[0].rpartition('::')[2]}(" in (guards.ROOT / file).read_text(), guard


def test_a_list_with_an_unknown_key_is_refused_with_its_location(tmp_path: Path) -> None:
    (tmp_path / "docs" / "guards").mkdir(parents=True)
    (tmp_path / "docs" / "guards" / "part.toml").write_text('[[guard]]\nfile = "part.py"\nline = "x"\n')
    with pytest.raises(guards.ListError, match=r"part\.toml: guard 1: unknown \['line'\], missing"):
        guards.read(tmp_path)
