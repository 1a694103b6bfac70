"""A trace file of the present version with a row of every kind, as an earlier version wrote it.

The bytes are not compared with those written now: they are compressed, and another version of the compression
library may produce other bytes.
"""

from dataclasses import fields
from pathlib import Path

from sample_files import DATA

from beechrock import interface as api
from beechrock.trace import codec, records
from beechrock.trace.format import VERSION, Reader, Writer
from beechrock.trace.records import ACTIONS, EVENTS, FIELDS, Row
from beechrock.trace.stored_settings import settings_of, settings_text

SAMPLE = "trace"
FILE = "version2.btrace"
VERSION_WRITTEN = 2
MEMORY_FILE = "version3.btrace"  # the kind of row that version 3 added
META = {"node": "n1", "sample": 1.0, "hidden": False, "unix_ahead_s": 0.25}
NOW_S = 1000.125
CLASS = api.ClassSettings(
    latency_objective_s=1.0,
    deadline_s=4.0,
    priority_weight=2.0,
    late_value_share=0.1,
    idempotency=api.Idempotency.KEYED,
    idempotency_window_s=9.0,
    latency_objective_per_work=1.5,
    may_call=True,
    skip_value_share=0.3,
    name="packagers resolve",
    budget_cost=3.0,
    removed=True,
)
TENANT = api.TenantSettings(
    traffic_share=0.5, quota_per_s=50.0, name="packagers", budget=100.0, budget_period_s=3600.0, removed=True
)
SETTINGS = api.Settings(
    cores=6,
    memory_kb=65_536.0,
    classes=(CLASS, api.ClassSettings(0.5, 2.0)),
    tenants=(TENANT, api.TenantSettings()),
    over_quota_weight=0.5,
    priority_weight_per_work=True,
    scoring_mix_total=0.1,
    scoring_mix_worst_window=0.2,
    scoring_mix_worst_class=0.3,
    scoring_mix_worst_tenant=0.4,
    running_memory_factor=16.0,
    idempotency_entry_kb=190.0,
    slow_start=True,
    slow_start_speed_share=0.25,
    slow_start_s=30.0,
    overload_multiple=3.0,
    overload_window_s=10.0,
    answer_slack_s=0.01,
    drain_grace_s=5.0,
    propagates_deadline=True,
    reports_cancellation=True,
    marks_retries=True,
    stop_mode=api.StopMode.PAUSE,
    load_report_kind=api.LoadReportKind.WEIGHT,
    load_report_ttl_s=2.0,
    sends_retry_after=False,
    max_retry_after_s=30.0,
    downstream=api.Downstream.TIER,
    shared_call_limit=0.6,
    shared_call_window_s=1.0,
    abandoned_call_linger_s=0.5,
    tier=1,
    shared_read_ttl_s=3.0,
    deep_health_checks=True,
    idle_timeout_s=60.0,
    caller_count=4,
    fleet_size=2,
    tick_s=0.1,
    price_waste=0.5,
    price_late_failure=0.75,
    price_call=0.125,
    price_connection=0.01,
    price_handshake=0.02,
)
REQUEST = api.Request(7, 1, 2.5, 0.125, 3.5, 0.25, 2, 1 << 60, 1, 4, 0.5, True, True)
BATCH_EVENTS: tuple[api.Event, ...] = (
    api.Arrived(REQUEST),
    api.Arrived(api.Request(8, 0, 1.0)),
    *(api.RunFinished(n, outcome, 0.5) for n, outcome in enumerate(api.Outcome)),
    api.CallNeeded(7),
    api.CallEnded(7, api.Outcome.CONNECTION_LOST, 0.25),
    api.CallerDisconnected(8),
    api.SettingsChanged(SETTINGS),
    api.ShutdownNotice(30.0),
    api.ShutdownNotice(20.0, True),
    api.OtherProcessLoad(2, 190.0, 1, True),
    api.TimerFired(3, api.Gauges(0.5, 2.0, 0.75, 40.0)),
    api.TimerFired(4),
)
BATCH_ACTIONS: tuple[api.Action, ...] = (
    api.Run(7),
    api.Reject(8, 1.5, True),
    api.Fail(9),
    api.Stop(10),
    api.Call(7, 0.5),
    api.SkipCall(7),
    api.Remember(7, 9.0),
    api.Forget(6),
    api.ShareResult(11),
    api.Health(True, False),
    api.Advertise(0.875),
    api.CloseIdleConnections(60.0),
    api.SetTimer(5, 0.1),
    api.Log("a line"),
)
MEMORY_LIMITS = [api.MemoryLimit(21_000.0), api.MemoryLimit(None)]
GONE_PROCESS = api.OtherProcessLoad(1, 20.0, 0, False)
SEED = 42
OTHER_ROWS: list[Row] = [
    ("taken", NOW_S, 7, "trace-7", "resolve", "packagers", "subject", "key", True, 4, 100, 999.5),
    ("rejected", NOW_S, "trace-8", "resolve", "packagers", "rate"),
    ("answered", NOW_S + 0.5, 7, "served", 1.5, True, 0.5, 0.25, 10),
    ("run_ended", NOW_S + 0.5, 7, "ok", 0.25),
    ("gap", NOW_S + 1, 12, NOW_S),
    ("jump", NOW_S + 2, -60.0),
    ("node", NOW_S + 2, "n1"),
]


def blocks() -> list[list[Row]]:
    start: Row = ("start", NOW_S, SEED, 990.0, settings_text(SETTINGS))
    return [
        [start, *records.batch_rows(NOW_S, BATCH_EVENTS, BATCH_ACTIONS)],
        OTHER_ROWS,
        list(records.batch_rows(NOW_S + 3, [GONE_PROCESS], [])),
    ]


def write(folder: Path) -> None:
    writer = Writer(folder / FILE, META)
    for rows in blocks():
        writer.write(rows)
    writer.close()


def read_rows() -> list[Row]:
    with Reader(DATA / SAMPLE / FILE) as reader:
        return list(reader.rows())


def test_the_file_is_whole_and_of_a_version_that_is_read() -> None:
    with Reader(DATA / SAMPLE / FILE) as reader:
        assert (reader.version, reader.meta, reader.whole, reader.check()) == (
            VERSION_WRITTEN,
            META,
            True,
            [],
        )
        assert [entry.rows for entry in reader.blocks] == [len(rows) for rows in blocks()]
        assert reader.blocks[1].routes == {"resolve"} and reader.blocks[1].may_hold("subject")
    assert VERSION >= VERSION_WRITTEN


def test_events_and_actions_are_read() -> None:
    rows = read_rows()[: len(blocks()[0])]
    assert rows[1] == ("batch", NOW_S, len(BATCH_EVENTS), len(BATCH_ACTIONS))
    assert tuple(records.event_of(row) for row in rows if row[0] in EVENTS) == BATCH_EVENTS
    assert tuple(records.action_of(row) for row in rows if row[0] in ACTIONS) == BATCH_ACTIONS


def test_settings_are_read() -> None:
    start = read_rows()[0]
    assert start[:4] == ("start", NOW_S, SEED, 990.0)
    assert settings_of(start[4]) == SETTINGS


def test_all_other_rows_are_read() -> None:
    first = len(blocks()[0])
    assert read_rows()[first : first + len(OTHER_ROWS)] == OTHER_ROWS


def test_the_file_written_now_holds_the_same_rows(tmp_path: Path) -> None:
    write(tmp_path)
    with Reader(tmp_path / FILE) as reader:
        assert list(reader.rows()) == read_rows() and reader.meta == META


def test_every_kind_of_row_is_in_the_samples() -> None:
    with Reader(DATA / SAMPLE / MEMORY_FILE) as reader:
        added = {row[0] for row in reader.rows()} - {"batch"}
    assert added == {"memory_limit"}
    assert {row[0] for row in read_rows()} == set(FIELDS) - added


def test_memory_limits_are_read_and_written_as_before(tmp_path: Path) -> None:
    rows = list(records.batch_rows(NOW_S + 4, MEMORY_LIMITS, []))
    writer = Writer(tmp_path / MEMORY_FILE, META)
    writer.write(rows)
    writer.close()
    for file in (tmp_path / MEMORY_FILE, DATA / SAMPLE / MEMORY_FILE):
        with Reader(file) as reader:
            assert (reader.version, reader.whole, reader.check()) == (3, True, [])
            assert list(reader.rows()) == rows
    assert [records.event_of(row) for row in rows[1:]] == MEMORY_LIMITS


def test_every_setting_is_in_the_sample() -> None:
    for told in (SETTINGS, CLASS, TENANT):
        assert all(getattr(told, field.name) != field.default for field in fields(told))


def test_that_another_process_has_gone_is_read() -> None:
    assert records.event_of(read_rows()[-1]) == GONE_PROCESS


def test_every_row_that_is_written_has_a_value_for_each_field_that_is_read() -> None:
    """A value beyond the named fields was once written and never read."""
    for row in (row for block in blocks() for row in block):
        assert len(row) == 2 + len(FIELDS[row[0]]), row


def test_a_file_that_does_not_say_whether_a_process_is_there_is_read_as_that_it_is() -> None:
    assert codec.unpack(codec.pack([("elsewhere", NOW_S, 1, 20.0, 0)])) == [
        ("elsewhere", NOW_S, 1, 20.0, 0, True)
    ]
