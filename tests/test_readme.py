"""The README's example runs as printed."""

import re
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_the_embedding_example_runs_a_request(capsys: pytest.CaptureFixture[str]) -> None:
    example = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert example is not None
    scope: dict[str, object] = {}
    exec(example[1], scope)
    assert "Run(id=1)" in capsys.readouterr().out
    assert "later" in scope
