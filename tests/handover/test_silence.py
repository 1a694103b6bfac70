"""Detection of a process that reads nothing, without I/O."""

from beechrock.handover.silence import MAX_STEP_S, PROBE_S, SILENT_S, Silence

PULSE_S = 0.01
START_S = 100.0


def observe_for(silence: Silence, seconds: float, unread: bool, from_s: float = START_S) -> float:
    """Observe every PULSE_S for some seconds; return the time of the last observation."""
    now_s = from_s
    for _ in range(round(seconds / PULSE_S)):
        now_s += PULSE_S
        silence.observe(now_s, unread)
    return now_s


def test_a_process_that_reads_nothing_for_a_while_counts_as_silent_until_it_reads() -> None:
    silence = Silence()
    now_s = observe_for(silence, SILENT_S - PULSE_S, unread=True)
    assert not silence.silent and not silence.has_read_all
    now_s = observe_for(silence, 3 * PULSE_S, unread=True, from_s=now_s)
    assert silence.silent and not silence.has_read_all
    silence.observe(now_s + PULSE_S, False)
    assert not silence.silent and silence.has_read_all
    observe_for(silence, SILENT_S - PULSE_S, unread=True, from_s=now_s)
    assert not silence.silent


def test_a_pause_of_this_process_does_not_count_as_silence() -> None:
    silence = Silence()
    silence.observe(START_S, True)
    silence.observe(START_S + 10.0, True)
    assert not silence.silent and MAX_STEP_S < SILENT_S


def test_probes_are_sent_at_intervals_and_not_while_messages_are_unread() -> None:
    silence = Silence()
    silence.observe(START_S, False)
    assert silence.probe(START_S) and not silence.probe(START_S + PULSE_S)
    assert silence.probe(START_S + PROBE_S + PULSE_S)
    observe_for(silence, PROBE_S, unread=True)
    assert not silence.probe(START_S + 3 * PROBE_S)
