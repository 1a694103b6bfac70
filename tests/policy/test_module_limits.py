"""Limits on the size of the decision module's files and lines, and the list of them in the deploy file."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
FILES = sorted((ROOT / "beechrock" / "policy").rglob("*.py"))


def test_each_file_of_the_policy_is_under_400_lines() -> None:
    lines = {file.name: file.read_text().splitlines() for file in FILES}
    assert lines and {name: len(text) for name, text in lines.items() if len(text) >= 400} == {}


def test_policy_lines_hold_at_most_110_characters() -> None:
    assert max(len(line) for file in FILES for line in file.read_text().splitlines()) <= 110


def test_the_deploy_file_names_every_file_of_the_policy() -> None:
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(listed) == [str(file.relative_to(ROOT)) for file in FILES]
