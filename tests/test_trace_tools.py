"""Cut, merge, anonymise, find, sum up, replay as a what-if, and the command line over them."""

import functools
import random
import shutil
import tempfile
from collections.abc import Iterable
from pathlib import Path

import pytest
import ujson
from hypothesis import given, settings
from hypothesis import strategies as st
from test_trace import recorded
from trace_commands import call
from trace_rows import answered, taken, wrote

from beechrock.core.counters import Counters
from beechrock.trace import format as files
from beechrock.trace import tools, whatif
from beechrock.trace.errors import FormatError
from beechrock.trace.recorder import keyed_hash
from beechrock.trace.records import FIELDS, Row, value
from beechrock.trace.summary import Summary

__all__ = ["recorded"]
DATA = Path(__file__).parent / "data"
COUNTED = ("answered.", "runs.", "intake.requests", "intake.repeats", "intake.gone")


# --- summary


def test_a_summary_counts_what_the_live_counters_count(recorded: tuple[Path, list[Counters]]) -> None:
    folder, live = recorded
    found = Summary()
    for path in sorted(folder.glob("*.btrace")):
        found.take(tools.rows_of([path]), path.name)
    for name in {name for counters in live for name in counters._counts if name.startswith(COUNTED)}:
        assert found.counters[name] == sum(counters[name] for counters in live), name
    assert found.counters["answered.served"] > 50 and found.counters["answered.refused"] > 10
    told = ujson.loads(call("summary", folder, "--format", "json").stdout)
    assert told["counters"] == dict(found.counters)
    assert sum(group["served"] for group in told["groups"]) == found.counters["answered.served"]


def test_windows_and_latencies() -> None:
    rows = [taken(100.0 + n, n, route="r" if n % 2 else "s") for n in range(40)]
    rows += [answered(100.5 + n, n, "served" if n < 30 else "refused", n / 100 + 0.01) for n in range(40)]
    found = Summary(10.0).take(sorted(rows, key=lambda row: row[1])).table()
    assert [g["from"] for g in found] == [100.0, 100.0, 110.0, 110.0, 120.0, 120.0, 130.0, 130.0]
    assert [g["served_part"] for g in found] == [1.0] * 6 + [0.0] * 2
    assert found[0]["p50_s"] == pytest.approx(0.06, rel=0.002) and found[-1]["p50_s"] is None


# --- cut and merge


def record(seed: int, size: int, step: float = 0.5) -> list[Row]:
    rng, rows, at = random.Random(seed), [], 1000.0
    for n in range(size):
        at += rng.choice([0.0, step])
        if rng.random() < 0.6:
            subject, route, team = f"s{rng.randrange(5)}", rng.choice("rs"), rng.choice("ab")
            rows.append(taken(at, n, subject, route, team, f"k{n // 2}", n % 2 > 0))
        else:
            rows.append(answered(at, rng.randrange(n + 1), rng.choice(["served", "refused"])))
    return rows


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 60), st.floats(990, 1040))
def test_a_record_cut_at_any_time_and_merged_is_the_record(seed: int, size: int, at: float) -> None:
    rows = record(seed, size)
    halves: list[Iterable[Row]] = [
        tools.cut(rows, tools.Wanted(until=at)),
        tools.cut(rows, tools.Wanted(since=at)),
    ]
    assert list(tools.merge(halves)) == rows


def test_a_cut_keeps_all_of_the_requests_that_are_meant_and_marks_of_the_record() -> None:
    rows = [*record(1, 300), ("gap", 5000.0, 3, 4990.0), ("batch", 5000.0, 1, 0)]
    refused = tools.Wanted(team="b", verdict="refused")
    for wanted in (tools.Wanted(route="r"), refused, tools.Wanted(subject="s3")):
        kept = tools.chosen(rows, wanted)
        found = list(tools.cut(rows, wanted, kept))
        assert kept and found[-1][0] == "gap"
        assert {row[2] for row in found if row[0] == "taken"} == kept
        asked = {row[2]: row for row in rows if row[0] == "taken"}
        assert all(wanted.asks_for(asked[ident]) for ident in kept)
        ends = [r for r in rows if r[0] == "answered" and r[2] in kept]
        assert ends == [r for r in found if r[0] == "answered"]


def test_the_index_finds_a_subject_and_a_window_without_reading_the_rest(tmp_path: Path) -> None:
    blocks = [[taken(1000.0 + 10 * b + n, 100 * b + n, f"s{b}-{n}") for n in range(5)] for b in range(30)]
    blocks[17].append(answered(1175.5, 1702))
    path = wrote(tmp_path / "a.btrace", blocks)
    assert [row[0] for row in tools.find(path, "s17-2", 0, 1e12)] == ["taken", "answered"]
    assert [row[2] for row in tools.find(path, None, 1052.0, 1061.0)] == [502, 503, 504, 600]
    loaded: list[int] = []
    load = files.Reader.load
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(files.Reader, "load", lambda self, *told: loaded.append(1) or load(self, *told))
        list(tools.find(path, "s17-2", 0, 1e12))
    assert len(loaded) <= 2
    assert list(tools.find(path, "none", 0, 1e12)) == []


@functools.cache
def a_file() -> bytes:
    """Made once, as the end of each file waits for the disk."""
    with tempfile.TemporaryDirectory() as folder:
        blocks = [[taken(1000.0 + b, b), answered(1000.5 + b, b)] for b in range(4)]
        return wrote(Path(folder) / "a", blocks).read_bytes()


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_a_file_with_parts_moved_lost_and_made_up_raises_nothing_else(data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as folder:
        told = a_file()
        for _ in range(data.draw(st.integers(1, 4))):
            at, size = (data.draw(st.integers(0, len(told))) for _ in range(2))
            made_up = data.draw(st.binary(max_size=20) | st.just(told[at : at + size]))
            onward = data.draw(st.sampled_from([at, min(len(told), at + size % 50)]))
            told = told[:at] + made_up + told[onward:]
        path = Path(folder) / "b"
        path.write_bytes(told)
        try:
            with files.Reader(path) as reader:
                reader.check()
            list(tools.rows_of([path]))
            list(tools.find(path, "s", 0.0, 1e12))
        except FormatError:
            return


def test_a_damaged_block_is_a_gap_and_repair_keeps_the_rest(tmp_path: Path) -> None:
    blocks = [[taken(1000.0 + b, b)] * 4 for b in range(3)]
    path = wrote(tmp_path / "a.btrace", blocks)
    with files.Reader(path) as reader:
        place = reader.blocks[1].offset + files.HEAD_SIZE + 3
    data = bytearray(path.read_bytes())
    data[place] ^= 1
    path.write_bytes(data)
    assert [row[0] for row in tools.rows_of([path])] == ["taken"] * 4 + ["gap"] + ["taken"] * 4
    assert call("verify", path).exit_code == 1
    assert call("repair", path, tmp_path / "b.btrace").exit_code == 0
    assert call("verify", tmp_path / "b.btrace").exit_code == 0
    with files.Reader(tmp_path / "b.btrace") as reader:
        assert list(reader.rows()) == blocks[0] + blocks[2]


# --- anonymise


def test_what_is_anonymised_says_nothing_more_and_equal_stays_equal(
    tmp_path: Path, recorded: tuple[Path, list[Counters]]
) -> None:
    (tmp_path / "key").write_text("a key of the operator\n")
    source = min(recorded[0].glob("*.btrace"))
    out = tmp_path / "out.btrace"
    assert call("anonymise", source, out, "--key-file", tmp_path / "key").exit_code == 0
    secrets: set[str] = set()
    for row in tools.rows_of([source]):
        secrets |= {
            str(row[2 + at])
            for at, name in enumerate(FIELDS[row[0]])
            if name in ("route", "team", "subject", "key", "trace") and row[2 + at]
        }
    rows = list(tools.rows_of([out]))
    text = repr(rows)
    assert secrets and not [word for word in secrets if len(word) > 3 and word in text]
    before, after = Summary().take(tools.rows_of([source])), Summary().take(rows)
    assert before.counters == after.counters
    assert sorted(g.asked for g in before.groups.values()) == sorted(g.asked for g in after.groups.values())
    first = next(row for row in tools.rows_of([source]) if row[0] == "taken")
    told = next(row for row in rows if row[0] == "taken")
    assert value(told, "route") == keyed_hash(b"a key of the operator", value(first, "route"))
    assert keyed_hash(b"a key of the operator", "x") != keyed_hash(b"a key of the operators", "x")
    (tmp_path / "short").write_text("short")
    assert call("anonymise", source, tmp_path / "o", "--key-file", tmp_path / "short").exit_code == 2


# --- what if


def test_unchanged_settings_come_out_near_the_record_and_changed_ones_differ(
    recorded: tuple[Path, list[Counters]],
) -> None:
    compared = 0
    for path in sorted(recorded[0].glob("*.btrace")):
        try:
            told = whatif.recorded(tools.rows_of([path]))
        except FormatError:  # a node that started as the scenario ended
            continue
        if len(told.arrivals) < 40:
            continue
        compared += 1
        model = whatif.fit(told)
        assert model.capacity == pytest.approx(2.0, abs=1.0)  # the scenario's servers have two cores
        answers = whatif.play(told, model)
        assert set(answers) >= set(told.answers)
        before, after = whatif.service(told, told.answers), whatif.service(told, answers)
        for name in before:
            assert after[name].part() == pytest.approx(before[name].part(), abs=0.12)
        tight = whatif.play(told, model, whatif.replace(told.settings, cores=1, memory_kb=10.0))
        refused = [sum(verdict == "refused" for verdict, _ in found.values()) for found in (answers, tight)]
        assert refused[1] > refused[0]
    assert compared >= 2


# --- the command line


def test_the_commands_on_a_record(tmp_path: Path, recorded: tuple[Path, list[Counters]]) -> None:
    folder = tmp_path / "traces"
    shutil.copytree(recorded[0], folder)
    first = min(folder.glob("*.btrace"))
    assert call("verify", folder).exit_code == 0
    [told, *_] = ujson.loads(call("info", folder, "--format", "json").stdout)
    assert told["node"] == "n0" and told["index"] and told["rows"] > 100
    assert f"{told['rows']} rows in" in call("info", first).stdout
    assert call("cut", folder, "--out", tmp_path / "x").exit_code == 2  # of several nodes
    assert (
        "about"
        in call("cut", first, "--out", tmp_path / "c", "--class", "submit", "--outcome", "refused").stdout
    )
    assert "22:13" in call("find", first, "--since", "22:13", "--limit", 2).stdout
    assert call("find", first, "--subject", "nobody").exit_code == 1
    assert call("find", first, "--since", "soon").exit_code == 2
    lines = call("export", first, "--kind", "run").stdout.splitlines()
    assert lines and {ujson.loads(line)["kind"] for line in lines} == {"run"}
    assert "submit" in call("summary", first, "--window", 5).stdout
    assert call("replay", first, "--exact").exit_code == 0
    assert "0 batches differ" in call("replay", first, "--exact").stdout
    assert "in aim" in call("replay", first).stdout
    assert call("replay", first, "--policy", "nowhere.at_all").exit_code == 2
    assert call("replay", tmp_path / "c").exit_code == 2  # no start in a cut by request
    assert call("info", Path(__file__)).exit_code == 2


@pytest.mark.parametrize(
    ("version", "new_after"),
    [(1, ("replaced", "elsewhere", "memory_limit")), (2, ("memory_limit",)), (3, ())],
)
def test_each_version_is_read(version: int, new_after: tuple[str, ...]) -> None:
    with files.Reader(DATA / f"version{version}.btrace") as reader:
        assert (reader.version, reader.whole, reader.check()) == (version, True, [])
        rows = list(reader.rows())
    assert {row[0] for row in rows} == set(FIELDS) - set(new_after)
    assert [row[1] for row in rows] == [1000.0 + n / 8 for n in range(len(rows))]
