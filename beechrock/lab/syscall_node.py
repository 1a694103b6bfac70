"""The node of a sweep: a forked process that starts as on the platform, its system calls counted."""

import asyncio
import contextlib
import gc
import json
import logging
import os
import sys
import threading
import traceback
from dataclasses import dataclass
from typing import Any

from beechrock import start
from beechrock.lab.syscall_seam import Fault, Seam
from beechrock.program import Program

NODE_FAILED, SEAM_FAILED = (
    70,
    71,
)  # exit codes: an error that nobody caught, raised by the node or by the seam


@dataclass
class NodeProcess:
    """A started node; ``reports`` brings lines, ``questions`` takes one byte for each look at its state."""

    pid: int
    reports: int
    questions: int


def start_node(config: str, log: str, roles: dict[int, str], fault: Fault | None) -> NodeProcess:
    """Fork a node."""
    reports_out, reports_in = os.pipe()
    questions_out, questions_in = os.pipe()
    pid = os.fork()
    if pid:
        os.close(reports_in)
        os.close(questions_out)
        return NodeProcess(pid, reports_out, questions_in)
    code = NODE_FAILED
    try:
        _close_all_but(reports_in, questions_out)
        errors = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        os.dup2(errors, 2)
        os.close(errors)
        sys.stderr = os.fdopen(2, "w", buffering=1, closefd=False)  # a runner of tests has put its own there
        code = _serve(config, roles, fault, reports_in, questions_out)
    except BaseException as error:
        if not isinstance(error, OSError) and _raised_by_sweep(error):
            code = SEAM_FAILED
        os.write(2, f"not caught: {error!r}\n{traceback.format_exc()}".encode())
    finally:
        os._exit(code)


def _close_all_but(*kept: int) -> None:
    """Close what was inherited; its objects stay referenced by the callers, and close nothing."""
    gc.freeze()
    for name in os.listdir("/proc/self/fd"):
        if int(name) > 2 and int(name) not in kept:
            with contextlib.suppress(OSError):  # the one of this very listing
                os.close(int(name))


def _raised_by_sweep(error: BaseException) -> bool:
    """Return whether the innermost frame is of the sweep's own modules."""
    frames = traceback.extract_tb(error.__traceback__)
    return bool(frames) and os.path.basename(frames[-1].filename).startswith("syscall_")


def _serve(config: str, roles: dict[int, str], fault: Fault | None, reports: int, questions: int) -> int:
    made: list[Program] = []
    logging.getLogger().handlers.clear()  # of whoever runs the sweep

    class Seen(Program):
        def __init__(self, *arguments: Any, **options: Any) -> None:
            super().__init__(*arguments, **options)
            made.append(self)

    write = os.write
    setattr(start, "Program", Seen)  # noqa: B010
    os.environ.update({"LB_CONFIG": config, "LB_SCGI": config + ".none"})

    def note(line: str) -> None:
        write(reports, line.encode() + b"\n")

    threading.Thread(target=_tell_state, args=(questions, reports, made), daemon=True).start()
    Seam(roles, fault, note).install()
    return start.serve_from_environment()


def _tell_state(questions: int, reports: int, made: list[Program]) -> None:
    while os.read(questions, 1):
        os.write(reports, f"state {json.dumps(_state_of(made))}\n".encode())


def _state_of(made: list[Program]) -> dict[str, int]:
    if not made:
        return {}
    program = made[0]
    gc.collect()
    loop = next((task.get_loop() for task in program.tasks), None)
    return {
        "descriptors": len(os.listdir("/proc/self/fd")),
        "tasks": len(asyncio.all_tasks(loop)) if loop is not None else 0,
        "requests": len(program.module.table.by_id),
        "runs": len(program.agent.runs.open) if program.agent is not None else 0,
        "connections": len(program.frames.peers) if program.frames is not None else 0,
        "troubles": sum(1 for line in program.counters.lines() if line.startswith("trouble.")),
        "resident_kb": int(open("/proc/self/statm").read().split()[1]) * 4,
    }
