"""Trace files: cut at every byte, flipped in each part, an index that lies; recorded and played again."""

import asyncio
import os
import random
from pathlib import Path
from typing import Any

import pytest
import scenario
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st
from trace_rows import answered, taken, wrote

from beechrock import interface as api
from beechrock.core.counters import Counters
from beechrock.trace import bloom, codec, replay
from beechrock.trace import format as files
from beechrock.trace.errors import FormatError, UnfitError
from beechrock.trace.flow import Flow, Rules, State
from beechrock.trace.recorder import Recorder
from beechrock.trace.records import FIELDS, Row
from beechrock.trace.stored_settings import settings_of, settings_text

TIMES = st.floats(0, 4e9, allow_nan=False)
VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=40)
)


@st.composite
def rows_of(draw: st.DrawFn) -> list[Row]:
    kinds = st.sampled_from(sorted(FIELDS))
    return [
        (kind, draw(TIMES), *(draw(VALUES) for _ in FIELDS[kind]))
        for kind in draw(st.lists(kinds, min_size=1, max_size=25))
    ]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(rows_of())
def test_a_block_gives_back_its_rows_to_the_bit_and_in_order(rows: list[Row]) -> None:
    found = codec.unpack(codec.pack(rows))
    assert found == rows and [[type(v) for v in row] for row in found] == [[type(v) for v in r] for r in rows]
    kinds = frozenset({rows[0][0]})
    assert codec.unpack(codec.pack(rows), kinds) == [row for row in rows if row[0] in kinds]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_no_bytes_make_the_codec_raise_anything_else(data: bytes) -> None:
    for spoilt in (data, zstandard.ZstdCompressor().compress(data)):
        try:
            codec.unpack(spoilt)
        except FormatError:
            continue


def test_a_bomb_and_huge_lengths_are_refused_before_they_take_memory() -> None:
    bomb = zstandard.ZstdCompressor().compress(bytes(codec.MOST_RAW + 1))
    for data in (bomb, b"\x28\xb5\x2f\xfd" + b"\xff" * 20, b""):
        with pytest.raises(FormatError):
            codec.unpack(data)


BLOCKS = [
    [taken(100.0 + b, 10 * b + n, f"s{n}") for n in range(3)] + [answered(100.5 + b, 10 * b)]
    for b in range(3)
]


EVERYTHING = [row for rows in BLOCKS for row in rows]


def test_a_file_cut_at_any_byte_opens_up_to_its_last_whole_block(tmp_path: Path) -> None:
    data = wrote(tmp_path / "a.btrace", BLOCKS).read_bytes()
    with files.Reader(tmp_path / "a.btrace") as whole:
        assert whole.whole and list(whole.rows()) == EVERYTHING and whole.check() == []
        ends = [entry.offset + files.HEAD_SIZE + entry.packed for entry in whole.blocks]
        start = whole.blocks[0].offset
    (tmp_path / "b.btrace").write_bytes(data)
    for size in reversed(range(len(data))):  # made shorter: some disks flush each file that is rewritten
        os.truncate(tmp_path / "b.btrace", size)
        if size < start:
            with pytest.raises(FormatError):
                files.Reader(tmp_path / "b.btrace")
            continue
        with files.Reader(tmp_path / "b.btrace") as cut:
            assert not cut.whole
            assert list(cut.rows()) == EVERYTHING[: 4 * sum(end <= size for end in ends)]


def test_a_bit_flipped_anywhere_is_found_and_never_gives_other_rows(tmp_path: Path) -> None:
    data = wrote(tmp_path / "a.btrace", BLOCKS).read_bytes()
    rng, path = random.Random(1), tmp_path / "a.btrace"
    for at in range(len(data)):
        with path.open("r+b") as file:
            file.seek(at)
            file.write(bytes([data[at] ^ 1 << rng.randrange(8)]))
        try:
            with files.Reader(path) as reader:
                assert reader.check()
                found = [row for entry in reader.blocks for row in loaded(reader, entry)]
        except FormatError:
            found = None
        with path.open("r+b") as file:
            file.seek(at)
            file.write(data[at : at + 1])
        if found is not None:
            assert len(found) >= len(EVERYTHING) - len(BLOCKS[0])
            assert all(row in EVERYTHING for row in found)


def loaded(reader: files.Reader, entry: files.Facts) -> list[Row]:
    try:
        return reader.load(entry)
    except FormatError:
        return []


def test_an_index_that_lies_is_not_followed(tmp_path: Path) -> None:
    path = wrote(tmp_path / "a.btrace", BLOCKS)
    with files.Reader(path) as reader:
        honest, end = reader.blocks, reader.blocks[-1].offset + files.HEAD_SIZE + reader.blocks[-1].packed
    data = path.read_bytes()[:end]
    e = honest[1]

    def lie(told: list[files.Facts]) -> files.Reader:
        payload = files._packed_index(told)
        index = files._block(files.INDEX, payload, len(told), 0.0, 0.0)
        trailer = files.TRAILER_MAGIC + end.to_bytes(8, "big")
        path.write_bytes(data + index + trailer + files.xxhash.xxh3_64_digest(trailer))
        return files.Reader(path)

    def other(**changes: Any) -> files.Facts:
        return files.Facts(**{name: changes.get(name, getattr(e, name)) for name in files.Facts.__slots__})

    # Offsets that loop, overlap, leave out or lie outside: the index is made again by a scan.
    for told in (
        [honest[0], honest[0], honest[2]],
        [honest[0], other(offset=0), honest[2]],
        honest[:2],
        [honest[0], other(packed=e.packed + 1), honest[2]],
        [*honest, other(offset=2**60)],
        [honest[2], honest[1], honest[0]],
    ):
        with lie(told) as reader:
            assert not reader.whole and list(reader.rows()) == EVERYTHING
    # Places are right and facts are not: found when the block is loaded, or by verify.
    with lie([honest[0], other(rows=99), honest[2]]) as reader, pytest.raises(FormatError, match="lies"):
        reader.load(reader.blocks[1])
    with lie([honest[0], other(subjects=b""), honest[2]]) as reader:
        assert "the index lies about what the block" in reader.check()[0]


def test_files_of_other_kinds_and_later_versions_are_refused(tmp_path: Path) -> None:
    path = wrote(tmp_path / "a.btrace", BLOCKS)
    data = path.read_bytes()
    for spoilt, words in (
        (b"", "no trace file"),
        (b"PK\3\4" * 20, "no trace file"),
        (data[:8] + b"\0\x63" + data[10:], "of version 99"),
        (data[:10] + b"\xff\xff\xff\xff" + data[14:], "a header of 4294967295 bytes"),
    ):
        path.write_bytes(spoilt)
        with pytest.raises(FormatError, match=words):
            files.Reader(path)


def test_the_filter_of_subjects_misses_none_and_seldom_errs() -> None:
    held = bloom.made(f"s{n}" for n in range(2000))
    assert all(bloom.may_hold(held, f"s{n}") for n in range(2000))
    assert sum(bloom.may_hold(held, f"t{n}") for n in range(20_000)) < 40
    assert not bloom.may_hold(b"", "x")


# --- the flow of a recorder


def test_a_flow_writes_each_row_once_or_tells_of_it_over_random_histories() -> None:
    for seed in range(200):
        rng, now = random.Random(seed), 0.0
        flow = Flow(Rules(block_rows=20, most_pending=60, segment_bytes=500), now)
        offered = written = told = 0
        for _ in range(200):
            now += rng.choice([0.01, 0.2, 1.0])
            if rng.random() < 0.7:
                rows = rng.randrange(1, 30)
                offered += rows
                flow.offer(now, rows)
            assert 0 <= flow.under_way <= flow.pending <= 60
            if flow.due(now):
                rows = flow.pending
                gap = flow.begin(now, rows)
                flow.offer(now, 3)  # goes on coming while it is written
                offered += 3
                if rng.random() < 0.3:
                    flow.failed(now)
                    assert flow.state is State.FAILING and flow.ended(now) and not flow.due(now)
                else:
                    written += rows
                    told += gap[0] if gap else 0
                    flow.wrote(now, rows * 10)
            assert offered == written + flow.pending + told + flow.dropped, seed
            assert flow.lost == told + flow.dropped


def test_the_oldest_files_go_and_never_the_newest() -> None:
    flow = Flow(Rules(most_bytes=100), 0.0)
    assert flow.outlived([("a", 60), ("b", 60), ("c", 30)]) == ["a"]
    assert flow.outlived([("a", 500)]) == []


# --- a whole scenario, recorded and played again


@pytest.fixture(scope="module")
def recorded(tmp_path_factory: pytest.TempPathFactory) -> tuple[Path, list[Counters]]:
    """An overload and a rolling deploy on loopback, with every node recorded."""
    folder, kept, made = tmp_path_factory.mktemp("trace"), list[Counters](), list[Recorder]()
    start, close = scenario.Node.start, scenario.Node.close

    async def started(self: scenario.Node, clock: Any, cold: bool) -> scenario.Node:
        node = await start(self, clock, cold)
        made.append(Recorder(folder, f"n{len(made)}", node.module.counters, clock, Rules()))
        node.module.trace(made[-1])
        return node

    async def closed(self: scenario.Node) -> None:
        kept.append(self.module.counters)
        await close(self)

    scenario.Node.start, scenario.Node.close = started, closed  # type: ignore[method-assign]
    try:
        asyncio.run(scenario.scenario("scgi", nodes=2, rate=14.0, seconds=8.0, deploy=True))
    finally:
        scenario.Node.start, scenario.Node.close = start, close  # type: ignore[method-assign]
    for one in made:
        one.close()
    return folder, kept


def test_the_module_played_again_says_the_same_to_the_bit(recorded: tuple[Path, list[Counters]]) -> None:
    batches = 0
    for path in sorted(recorded[0].glob("*.btrace")):
        with files.Reader(path) as reader:
            found = replay.exactly(reader.rows())
        batches += found.batches
        assert (found.differing, found.first, found.gaps) == (0, None, 0)
    assert batches > 100


def test_a_module_that_decides_otherwise_is_found_out(recorded: tuple[Path, list[Counters]]) -> None:
    class Other(replay.Node):
        def __init__(self, settings: api.Settings, seed: int, now_s: float) -> None:
            super().__init__(settings, seed, now_s)
            self.concurrency.run_limit = lambda up_to_survivable=False: 1  # type: ignore[method-assign]

    path = min(recorded[0].glob("*.btrace"))
    with files.Reader(path) as reader:
        rows = list(reader.rows())
    found = replay.exactly(rows, Other)
    assert found.differing > 0 and found.first is not None
    with pytest.raises(UnfitError, match="no start"):
        replay.exactly(row for row in rows if row[0] != "start")


def test_settings_come_back_whole() -> None:
    told = api.Settings(
        cores=2,
        memory_kb=1 / 3,
        classes=(
            api.ClassSettings(
                0.1, 2.0, idempotency=api.Idempotency.KEYED, idempotency_window_s=9.0, name="x", removed=True
            ),
        ),
        tenants=(api.TenantSettings(0.3, name="a", budget=5.0),),
        load_report_kind=api.LoadReportKind.FLOOR,
    )
    assert settings_of(settings_text(told)) == told
    for text in ("", "{}", "[]", '{"classes":[{"effect":"safe"}],"tenants":[]}'):
        with pytest.raises(ValueError):
            settings_of(text)
