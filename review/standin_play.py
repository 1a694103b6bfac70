"""Runs one play, and turns its record into an exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Callable
from typing import Protocol

from standin_record import Record

LONGEST_S = 115.0


class Play(Protocol):
    """A play with one deployment."""

    async def play(self, trouble: bool) -> None:
        """Play it, with or without the disruption."""

    def stop(self) -> None:
        """End all processes that were started."""


def run_play(folder: str, made: Callable[[Record], Play]) -> int:
    """Play once; return 1 if a rule was broken, 0 if all held, and 2 if the play could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.note("with the disruption" if trouble else "without the disruption")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    play, code = made(record), 2
    try:
        asyncio.run(asyncio.wait_for(play.play(trouble), LONGEST_S))
        code = 1 if record.broken else 0
    except Exception:
        record.note("could not run:", traceback.format_exc())
    finally:
        play.stop()
        record.close()
    print(f"{'with' if trouble else 'without'} the disruption: exit code {code}; {record.counts}")
    return code
