"""The decision module stays small enough to be read in one sitting."""

from pathlib import Path

SOURCE = Path(__file__).parent.parent / "beechrock" / "decide.py"


def test_decide_has_at_most_490_lines_that_are_not_blank() -> None:
    lines = SOURCE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 490


def test_decide_lines_hold_at_most_110_characters() -> None:
    assert max(len(line) for line in SOURCE.read_text().splitlines()) <= 110
