"""Settings reference: compared with the interface, the parser, the page and the command."""

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from beechrock import interface as api
from beechrock.cli.main import main
from beechrock.policy import Node
from beechrock.settings import settings_from
from beechrock.settings_reference import (
    CLASS,
    NODE,
    TENANT,
    FieldReference,
    explain,
    markdown_table,
    unknown_names,
    unmatched_fields,
)

PAGE = Path(__file__).parents[1] / "docs" / "deployments.md"
ROWS = (*NODE, *CLASS, *TENANT)
MINIMAL: dict[str, Any] = {
    "extra": {"cpus": 4, "memLimitKb": 60_000.0},
    "grades": [
        {"name": "read", "promiseS": 1.0, "giveUpS": 4.0},
        {"name": "put", "promiseS": 2.0, "giveUpS": 6.0, "effect": "keyed"},
    ],
}


def row_path(row: FieldReference) -> str:
    return row.path


def settings_with(path: str, value: Any) -> dict[str, Any]:
    """Return minimal settings with one more value; ``[]`` in the path means each class or a list by class."""
    document = json.loads(json.dumps(MINIMAL))
    *sections, key = path.split(".")
    if path.endswith("[]"):
        document["extra"][key[:-2]] = [value, value]
    elif sections and sections[0].endswith("[]"):
        for entry in document.setdefault(sections[0][:-2], [{}]):
            entry[key] = value
    elif sections:
        document.setdefault(sections[0], {})[key] = value
    else:
        document[key] = value
    return document


def test_the_fields_of_the_interface_and_the_references_match() -> None:
    assert unmatched_fields() == []


def test_the_page_shows_the_current_table() -> None:
    page = PAGE.read_text().splitlines()
    assert [row for row in markdown_table() if row not in page] == []


@pytest.mark.parametrize("row", [r for r in ROWS if r.zero != "an error"], ids=row_path)
def test_every_setting_may_be_absent_and_0_and_a_node_starts_and_serves(row: FieldReference) -> None:
    for value in (None, 0):
        settings, _ = settings_from(settings_with(row.path, value))
        node = Node(settings, 1, 10.0)
        actions = node.decide(10.0, [api.Arrived(api.Request(id=1, class_index=0, size_kb=5.0))])
        assert api.Run(1) in actions


@pytest.mark.parametrize("row", [r for r in ROWS if r.zero == "an error"], ids=row_path)
def test_a_missing_required_setting_is_an_error_that_names_it(row: FieldReference) -> None:
    for value in (None, 0):
        with pytest.raises(api.SettingsError, match=row.path.rpartition(".")[2]):
            settings_from(settings_with(row.path, value))


def test_a_set_value_is_distinguished_from_a_default_of_the_same_value() -> None:
    document = settings_with("extra.lingerS", 0.0)
    rows = {r.name: r for r in explain(document, settings_from(document)[0])}
    assert rows["extra.lingerS"].is_set and rows["extra.lingerS"].value == 0.0
    assert not rows["extra.runFactor"].is_set and rows["extra.runFactor"].value is None
    assert rows["grades[1].effect"].is_set and not rows["grades[0].effect"].is_set
    assert not rows["extra.classCalls[0]"].is_set


def test_unused_names_such_as_misspelt_ones_are_listed() -> None:
    document = settings_with("extra.depSahre", 3.0)
    document["grades"][0]["promisS"] = 1.0
    document["novel"] = 1
    assert unknown_names(document) == ["extra.depSahre", "grades[].promisS", "novel"]


def test_the_command_explains_a_configuration_and_the_settings_alone(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps({"name": "n1", "settings": settings_with("extra.downstream", "tier")}))
    run = CliRunner().invoke(main, ["settings", "explain", str(file)])
    assert run.exit_code == 0
    lines = {line.split()[0]: line for line in run.output.splitlines()}
    assert "tier" in lines["extra.downstream"] and "told" in lines["extra.downstream"]
    assert "over a tier 8 a core" in lines["extra.depShare"]
    file.write_text(json.dumps(settings_with("extra.downstream", "tier")))
    run = CliRunner().invoke(main, ["settings", "explain", str(file), "--format", "json"])
    first = json.loads(run.output)["settings"][0]
    assert (first["name"], first["value"], first["told"]) == ("extra.cpus", 4, True)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("no json", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"grades": []}', "grades: missing or empty"),
        (json.dumps({"settings": {"grades": [{"promiseS": 1}], "extra": MINIMAL["extra"]}}), "giveUpS"),
    ],
)
def test_unreadable_settings_exit_with_code_2(tmp_path: Path, text: str, problem: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(text)
    run = CliRunner().invoke(main, ["settings", "explain", str(file)])
    assert run.exit_code == 2 and problem in run.output and str(file) in run.output
    assert CliRunner().invoke(main, ["settings", "explain", str(tmp_path / "none")]).exit_code == 2
