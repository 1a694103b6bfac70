"""Wire codec and simulator host: translation, and one error line for malformed input."""

import io
import json
import struct
import subprocess
import sys

import pytest

from beechrock import interface as api
from beechrock import simhost, wire
from beechrock.settings import settings_from_json

SETTINGS = {
    "extra": {
        "cpus": 2,
        "memLimitKb": 1000.0,
        "ownStats": ["runnable", "novel", "cpu_busy"],
        "classCalls": [True],
        "classSkipWorth": [0.5],
        "downstream": "one_for_all",
        "stopMode": "odd",
    },
    "grades": [{"promiseS": 1.0, "giveUpS": 4.0, "effect": "keyed", "windowS": 9.0}],
    "limits": {"maxRetryAfterS": 1.5},
    "novel": {"unknown": [1]},
}


def record(raw: bytes) -> bytes:
    return raw.ljust(wire.EVENT_BYTES, b"\0")


def frame(records: list[bytes], tail: bytes = b"", number: int = 7, clock: float = 2.5) -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">IIId", number, 20 + len(body), len(records), clock) + body


def start_record(instance: int = 3, settings: object = SETTINGS) -> tuple[bytes, bytes]:
    tail = settings if isinstance(settings, bytes) else json.dumps(settings).encode()
    return record(struct.pack(">BHQII", 8, instance, 99, 0, len(tail))), tail


def actions(reply: bytes) -> list[tuple[int, int]]:
    """Return (code, instance) of each record."""
    _, count, length = struct.unpack_from(">III", reply)
    assert length == len(reply)
    return [struct.unpack_from(">BH", reply, 12 + 24 * place) for place in range(count)]


def test_settings_are_translated_and_unknown_keys_and_words_skipped() -> None:
    settings, gauges = settings_from_json(json.dumps(SETTINGS).encode())
    assert settings.cores == 2
    assert settings.classes[0] == api.ClassSettings(
        latency_objective_s=1.0,
        deadline_s=4.0,
        idempotency=api.Idempotency.KEYED,
        idempotency_window_s=9.0,
        may_call=True,
        skip_value_share=0.5,
    )
    assert settings.downstream is api.Downstream.SHARED
    assert settings.stop_mode is api.StopMode.NONE
    assert settings.shared_call_limit is None
    assert settings.max_retry_after_s == 1.5
    assert gauges == ("runnable", "novel", "cpu_busy")


@pytest.mark.parametrize(
    ("below", "told", "share"),
    [
        ("one_for_all", 6.25, 6.25),
        ("one_for_all", 0.0, 0.0),
        ("one_for_all", None, None),
        ("tier", 0.0, None),
        ("tier", 6.25, None),
        ("none", 0.0, None),
    ],
)
def test_the_shared_call_limit_is_read_only_for_a_shared_dependency(
    below: str, told: float | None, share: float | None
) -> None:
    extra = {**SETTINGS["extra"], "downstream": below, "depShare": told}
    settings, _ = settings_from_json(json.dumps({**SETTINGS, "extra": extra}).encode())
    assert settings.shared_call_limit == share


@pytest.mark.parametrize(
    "text",
    [
        b"not json",
        b"[]",
        b"{}",
        b'{"grades": [{"promiseS": 1, "giveUpS": 2}]}',
        b'{"grades": [], "extra": {"cpus": 1, "memLimitKb": 1}}',
        b'{"grades": [{"promiseS": "x", "giveUpS": 2}], "extra": {"cpus": 1, "memLimitKb": 1}}',
    ],
)
def test_unusable_settings_are_reported_as_a_fault(text: bytes) -> None:
    start, tail = start_record(settings=text)
    reply = simhost.Host().answer(frame([start], tail))
    assert actions(reply) == [(79, 3)]
    assert b"settings" in reply


def test_events_are_translated() -> None:
    start, tail = start_record()
    accept = struct.pack(">BHIIBHQdHfdBdf", 9, 3, 11, 5, 7, 2, 77, 1.25, 4, 30.0, 0.5, 0, 0.1, 0.25)
    events = [
        start,
        record(accept),
        record(struct.pack(">BHIdH", 2, 3, 11, 0.75, 200)),
        record(struct.pack(">BHIHd", 4, 3, 11, 503, 0.5)),
        record(struct.pack(">BHQB4f", 5, 3, 8, 3, 12.0, 1.0, 0.5, 0.0)),
        record(struct.pack(">BHI", 6, 3, 11)),
        record(struct.pack(">BHI", 7, 3, 11)),
        record(struct.pack(">BHd", 1, 3, 3.5)),
        record(struct.pack(">BH", 3, 3)),
    ]
    batch = wire.Decoder().batch(frame(events, tail))
    number, clock, found = batch.number, batch.clock_s, batch.events
    assert (number, clock) == (7, 2.5)
    assert all(instance == 3 for instance, _ in found)
    assert [event for _, event in found[1:]] == [
        api.Arrived(
            api.Request(
                id=11,
                class_index=0,
                size_kb=30.0,
                age_s=0.1,
                remaining_s=1.25,
                work_hint_s=0.5,
                repeat_of=5,
                key=77,
                tenant_index=2,
                caller_id=4,
                rank=0.25,
                is_retry=True,
                is_write=True,
            )
        ),
        api.RunFinished(11, api.Outcome.OK, 0.75),
        api.CallEnded(11, api.Outcome.REJECTED, 0.5),
        api.TimerFired(8, api.Gauges(runnable=12.0, cpu_busy=0.5)),
        api.CallerDisconnected(11),
        api.CallNeeded(11),
        api.ShutdownNotice(3.5),
        wire.ProcessDied(),
    ]


def test_absent_values_become_none() -> None:
    accept = struct.pack(">BHIIBHQdHfdBdf", 9, 3, 11, 0, 0, 0, 0, 0.0, 0, 30.0, 0.0, 0, 0.0, 0.0)
    [(_, event)] = wire.Decoder().batch(frame([record(accept)])).events
    assert isinstance(event, api.Arrived)
    request = event.request
    assert (request.work_hint_s, request.remaining_s, request.repeat_of, request.key) == (
        None,
        None,
        None,
        None,
    )


def test_every_action_is_encoded_in_order() -> None:
    reply_actions: list[tuple[int, api.Action | wire.Fault]] = [
        (1, api.Run(5)),
        (1, api.Reject(5, 0.5, True)),
        (1, api.Fail(5)),
        (1, api.Stop(5)),
        (1, api.Call(5, 0.5)),
        (1, api.SkipCall(5)),
        (1, api.Remember(5, 0.5)),
        (1, api.Forget(5)),
        (1, api.ShareResult(5)),
        (1, api.Health(True)),
        (1, api.Advertise(0.5)),
        (1, api.CloseIdleConnections(0.5)),
        (1, api.SetTimer(9, 0.5)),
        (1, api.Log("ab")),
        (2, wire.Fault("cd")),
    ]
    reply = wire.encode_reply(4, reply_actions)
    assert [code for code, _ in actions(reply)] == list(range(65, 80))
    assert reply.endswith(b"abcd")
    assert struct.unpack_from(">BHIdB", reply, 12 + 24) == (66, 1, 5, 0.5, 1)
    assert struct.unpack_from(">BHBB", reply, 12 + 9 * 24) == (74, 1, 1, 1)
    assert struct.unpack_from(">BHII", reply, 12 + 14 * 24) == (79, 2, 2, 2)


def test_an_error_inside_the_module_is_reported_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("odd sum")

    monkeypatch.setattr(simhost.Node, "decide", broken)
    start, tail = start_record()
    reply = simhost.Host().answer(frame([start], tail))
    assert actions(reply) == [(79, 3)]
    assert b"RuntimeError: odd sum" in reply


def test_a_restart_in_the_same_batch_gives_a_fresh_node() -> None:
    host = simhost.Host()
    start, tail = start_record()
    first = host.answer(frame([start], tail))
    again = host.answer(frame([record(struct.pack(">BH", 3, 3)), start], tail))
    assert actions(again) == actions(first)
    assert (74, 3) in actions(again)


def run_adapter(data: bytes) -> "subprocess.CompletedProcess[bytes]":
    command = [sys.executable, "-m", "beechrock.simhost"]
    return subprocess.run(command, input=data, capture_output=True, timeout=30)


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"\0" * 5, b"batch header"),
        (frame([], number=9)[:8] + b"\0\0\0\1" + frame([])[12:], b"do not fit"),
        (frame([record(b"\x63\0\1")]), b"unknown event code 99"),
        (frame([record(struct.pack(">BHI", 6, 3, 11))]), b"instance 3 was never started"),
        (frame([record(struct.pack(">BHIdH", 2, 3, 11, 0.75, 123))]), b"unknown outcome 123"),
        (frame([record(b"\x63\0\1")])[:-3], b"input ends after"),
        (struct.pack(">IIId", 1, 5, 0, 0.0), b"shorter than its header"),
    ],
)
def test_malformed_input_gives_one_error_line_and_a_failure(data: bytes, words: bytes) -> None:
    ended = run_adapter(data)
    assert ended.returncode != 0
    assert ended.stdout == b""
    assert words in ended.stderr
    assert ended.stderr.count(b"\n") == 1


def test_the_adapter_exits_cleanly_at_the_end_of_input() -> None:
    ended = run_adapter(frame([], number=1))
    assert (ended.returncode, ended.stderr) == (0, b"")
    assert ended.stdout == struct.pack(">III", 1, 0, 12)


def test_frames_are_read_whole_from_a_stream() -> None:
    source = io.BytesIO(frame([], number=1) + frame([], number=2))
    assert [struct.unpack_from(">I", simhost.read_frame(source) or b"")[0] for _ in range(2)] == [1, 2]
    assert simhost.read_frame(source) is None
