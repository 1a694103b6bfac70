"""Policies read from an inventory: their meaning, the positions of faults, and the policy commands."""

import asyncio
from pathlib import Path

import pytest
import ujson
from click.testing import CliRunner

from beechrock.cli.main import main
from beechrock.inventory import generation, model
from beechrock.inventory.problems import Problems
from beechrock.lowering.apart import compile_in_process
from beechrock.lowering.compile import compile_policy, read_plan
from beechrock.lowering.policy import Affinity, Feature, Kind, Mark
from beechrock.lowering.read import policy_of

TEXT = """
all: {vars: {cores: 2, memory_mb: 512}}
teams: {hosts: {red: , blue: }}
services: {hosts: {get: {upstreams: "127.0.0.1:9001"}, pay: {upstreams: "127.0.0.1:9002"}}}
contracts:
  vars: {share: 0.1, rate: 10, aim_ms: 100, due_ms: 1000}
  hosts:
    red-get: {team: red, service: get, effect: safe}
    blue-pay: {team: blue, service: pay, effect: keyed, window_ms: 1000}
machines:
  hosts: {m1: {hall: east, hardware: big}, m2: {hall: west, hardware: small}}
hardware:
  hosts: {big: , small: {kinds: [exact], slots: 4, affinity: [modulo], counters: 0, memory_kb: 64}}
pools:
  hosts:
    near: {hall: east, upstreams: ["127.0.0.1:9001"], rate: 100}
    far: {hall: west, upstreams: ["127.0.0.1:9003"], rate: 50}
rules:
  hosts:
    images:
      team: red
      prefix: img/
      pools: [near=3, far]
      halls: east west
      affinity: rendezvous
      must: [halls]
      may: [affinity]
    rest: {pools: near, fall_backs: [far], rate: 5}
"""


def written(folder: Path, text: str = TEXT) -> Path:
    path = folder / "inventory.yaml"
    path.write_text(text)
    return path


def test_rules_are_read_from_the_inventory_with_their_line_numbers(tmp_path: Path) -> None:
    problems = Problems()
    found = model.read(written(tmp_path), problems)
    assert found is not None, problems.lines()
    policy, profiles, fleet = policy_of(found[0], problems)
    assert not problems.errors, problems.lines()
    images, rest = policy.rules
    assert images.match.kind is Kind.PREFIX and images.pools == (("near", 3), ("far", 1))
    assert images.halls == ("east", "west") and images.affinity is Affinity.RENDEZVOUS
    assert images.mark(Feature.HALLS) is Mark.MUST and rest.mark(Feature.RATE) is Mark.SHOULD
    assert images.at("prefix").line == TEXT.splitlines().index("      prefix: img/") + 1
    assert profiles["small"].slots == 4 and fleet.machines == {("big", "east"): 1, ("small", "west"): 1}
    # The written form of a generation holds the whole policy.
    reread = generation.checked_from(generation.content(found[0]))
    assert policy_of(reread, problems) == (policy, profiles, fleet)
    assert compile_policy(policy, profiles, fleet).report.witnesses > 0


@pytest.mark.parametrize(
    ("old", "new", "line", "key"),
    [
        ("[near=3, far]", "[near=3, fra]", "      pools: [near=3, fra]", "pools"),
        ("prefix: img/", "prefix: img/\n      subject: x", "      prefix: img/", "prefix"),
        ("must: [halls]", "must: [hall]", "      must: [hall]", "must"),
        (
            "hardware: small}",
            "hardware: smal}",
            "  hosts: {m1: {hall: east, hardware: big}, m2: {hall: west, hardware: smal}}",
            "hardware",
        ),
    ],
)
def test_a_fault_names_its_line_and_key(tmp_path: Path, old: str, new: str, line: str, key: str) -> None:
    text = TEXT.replace(old, new)
    path = written(tmp_path, text)
    ran = CliRunner().invoke(main, ["policy", "check", str(path)])
    at = text.splitlines().index(line) + 1
    assert ran.exit_code == 1 and f"{path}:{at}: " in ran.output and f" {key}: " in ran.output, ran.output


def test_the_policy_commands_check_compile_and_explain(tmp_path: Path) -> None:
    path, run = written(tmp_path), CliRunner()
    checked = run.invoke(main, ["policy", "check", str(path), "--format", "json"])
    assert checked.exit_code == 0, checked.output
    digest = ujson.loads(checked.output)["digest"]
    for name in ("one", "two"):
        made = run.invoke(main, ["policy", "compile", str(path), "--to", str(tmp_path / name)])
        assert made.exit_code == 0 and made.output.startswith(digest)
    assert (tmp_path / "one").read_bytes() == (tmp_path / "two").read_bytes()
    explained = run.invoke(main, ["policy", "explain", str(path), "--rule", "images"])
    assert "images: small: steered to big" in explained.output and "as it stands on big" in explained.output
    nowhere = written(
        tmp_path,
        TEXT.replace("hardware: big", "hardware: small")
        .replace("may: [aff", "must: [aff")
        .replace("      must: [halls]\n", ""),
    )
    refused = run.invoke(main, ["policy", "check", str(nowhere)])
    assert (
        refused.exit_code == 1
        and "no class can run it" in refused.output
        and "rules.images" in refused.output
    )


def test_a_compile_in_a_child_process_returns_the_digest_of_its_inventory(tmp_path: Path) -> None:
    """The digest shows a node whether that inventory was in force here; its files may be newer."""
    root = tmp_path / "inventory.yaml"
    root.write_text(TEXT)
    data, made_from = asyncio.run(compile_in_process(root, tmp_path / "plan"))
    found = model.read(root, Problems())
    assert found is not None and made_from == generation.from_checked(1, *found).digest
    assert data is not None and read_plan(data).data == data
    root.write_text("rules: {hosts: {r: {pools: none}}}")
    data, error = asyncio.run(compile_in_process(root, tmp_path / "plan"))
    assert data is None and "inventory.yaml" in error
