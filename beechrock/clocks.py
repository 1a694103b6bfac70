"""The only module that reads clocks, except for asyncio's own timers.

For the core and the fronts:

``steady()``: monotonic seconds, offset so that they equalled Unix time when this process started. A step of
the wall clock does not move it, so it may differ much from Unix time later; only its differences are
meaningful, and the boundaries of calendar periods as computed at the start.
``unix()``: seconds since 1970. It may be stepped at any time; ``core/clock_offset.py`` converts Unix times
that other processes stamped to steady times, and nothing else depends on this clock.

For the parts of a fleet:

``boot()``: monotonic seconds, including the time that the machine was suspended if the system counts it; for
leases, as other nodes do not wait while this machine sleeps. ``mono()``: the same without suspended time.
``wall()``: seconds since 1970; it may jump, so it does not order events. In the laboratory each of these
three clocks jumps, stops or runs faster as the laboratory's clock file specifies.
"""

import os
import time
from collections.abc import Callable

LAB = "BEECHROCK_LAB_CLOCK"  # environment variable: path of the laboratory's clock file; not for operators
BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Two clocks are read one after the other: a pause in between would look like a step of the wall clock.
MAX_READING_S = 0.0005  # seconds; a reading of both clocks that takes longer is repeated
MAX_READINGS = 4  # after these the quickest reading is used

Clock = Callable[[], float]


def read_together(steady_clock: Clock, unix_clock: Clock) -> tuple[float, float]:
    """Return both clocks' times at one moment; read up to MAX_READINGS times if a reading takes too long."""
    shortest_s, times = float("inf"), (0.0, 0.0)
    for _ in range(MAX_READINGS):
        before_s, unix_s, after_s = steady_clock(), unix_clock(), steady_clock()
        if after_s - before_s < shortest_s:
            shortest_s, times = after_s - before_s, ((before_s + after_s) / 2, unix_s)
        if shortest_s <= MAX_READING_S:
            break
    return times


def _boot() -> float:
    return time.clock_gettime(BOOT_CLOCK)


def steady() -> float:
    """Return monotonic seconds, offset so that they equalled Unix time when this process started."""
    return time.monotonic() + ORIGIN_S


boot: Clock = _boot
mono: Clock = time.monotonic
wall: Clock = time.time
unix: Clock = time.time

_mono_s, _unix_s = read_together(time.monotonic, time.time)
# Seconds by which ``steady`` is ahead of the monotonic clock, which all processes of a machine share.
ORIGIN_S = _unix_s - _mono_s

if _lab_file := os.environ.get(LAB):
    from beechrock.lab.fleet.clock import shown

    boot, mono, wall = shown(_lab_file, boot, mono, wall)
