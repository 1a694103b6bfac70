"""Tests with several nodes named upstream: histories, an edge's choice of node, the setting; and with one."""

import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest

from beechrock.config import ConfigError
from beechrock.edges.kept import Elsewhere, Led
from beechrock.edges.marks import Marks
from beechrock.edges.told import read
from beechrock.edges.upstream import Upstream
from beechrock.edges.whom import UpstreamChoice
from beechrock.edges.words import ProbeAck, pack, unpack
from beechrock.lab.edges_check import check
from beechrock.lab.edges_ups import NAMED, play


@pytest.mark.parametrize("seed", [0, 1, 2])
def test_no_write_is_lost_or_runs_twice_whoever_of_three_holds_the_marks(seed: int) -> None:
    history = play(seed, steps=150, faults=0.06)
    assert check(history) == []
    assert len(history.accepted) > 20 and len(history.effects) > 10 and len(history.pairs) > 50


def test_an_edge_follows_the_upstream_with_the_highest_fence() -> None:
    choice = UpstreamChoice(("u1", "u2", "u3"))
    ack = ProbeAck(1, {}, 1)
    assert choice.hear("u2", Led(5, pack(ack))) == unpack(pack(ack)) and choice.current == "u2"
    assert choice.hear("u1", Led(4, pack(ack))) is None and choice.current == "u2"
    assert choice.hear("x", Led(9, pack(ack))) is None and choice.current == "u2"
    assert choice.hear("u2", Elsewhere("u3", 6)) is None and choice.current == "u3"
    assert choice.hear("u1", ack) == ack


def test_upstream_is_one_name_or_a_list_of_up_to_five() -> None:
    def upstreams(**table: object) -> tuple[str, ...]:
        return read({"members": ["m"], "edge": "e", **table}, "f: edges", Path()).upstreams

    assert upstreams(role="edge", upstream="u") == upstreams(role="edge", upstream=["u"]) == ("u",)
    # A single upstream keeps its marks alone and needs no names.
    assert upstreams(role="upstream") == upstreams(role="upstream", upstream=["u"]) == ()
    assert (
        upstreams(role="upstream", upstream=list(NAMED))
        == upstreams(role="edge", upstream=list(NAMED))
        == NAMED
    )
    for wrong in ([], ["a", "a"], list("abcdef"), [3], 3, "a b"):
        with pytest.raises(ConfigError, match="upstream"):
            upstreams(role="edge", upstream=wrong)
    with pytest.raises(ConfigError, match="upstream"):
        upstreams(role="edge")


def test_one_named_upstream_uses_no_replication_modules() -> None:
    assert len(unpack_plain(Marks().plain())) == 11
    assert UpstreamChoice(("up",)).current == "up" and isinstance(
        Upstream(cast(Any, None), Marks()).log, type(None)
    )
    code = (
        "import sys, beechrock.edges.part; "
        "print([n for n in sys.modules if n in ('beechrock.edges.named', 'beechrock.edges.standby',"
        "'beechrock.edges.lead', 'beechrock.duties.fences')])"
    )
    found = subprocess.run([sys.executable, "-c", code], text=True, capture_output=True, check=True).stdout
    assert found.strip() == "[]"


def unpack_plain(data: bytes) -> list[Any]:
    import msgpack

    fields: list[Any] = msgpack.unpackb(data, strict_map_key=False)
    return fields
