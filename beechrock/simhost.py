"""Host of many decision instances that speaks the simulator's wire protocol on standard input and output."""

import sys
from typing import BinaryIO

from beechrock import interface as api
from beechrock import wire
from beechrock.policy import Node

Reply = list[tuple[int, api.Action | wire.Fault]]  # Pairs of an instance number and an action


def read_frame(source: BinaryIO) -> bytes | None:
    """Read the next complete batch; return None at the end of input.

    Raises WireError if the input ends within a batch.
    """
    header = source.read(wire.BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < wire.BATCH_HEADER.size:
        raise wire.WireError(f"input ends within a batch header, after {len(header)} bytes")
    number, length, _, _ = wire.BATCH_HEADER.unpack(header)
    if length < wire.BATCH_HEADER.size:
        raise wire.WireError(f"batch {number}: length {length} is shorter than its header")
    body = source.read(length - wire.BATCH_HEADER.size)
    if len(header) + len(body) < length:
        received = len(header) + len(body)
        raise wire.WireError(f"batch {number}: input ends after {received} of {length} bytes")
    return header + body


class Host:
    """Holds independent nodes of one process, by instance number."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._nodes: dict[int, Node | None] = {}  # None: the start failed or the process died

    def answer(self, frame: bytes) -> bytes:
        """Pass one batch to its nodes and return the reply frame. Raises WireError if it is malformed."""
        batch = self._decoder.batch(frame)
        reply: Reply = []
        events_by_instance: dict[int, list[api.Event]] = {}
        for index, (instance, event) in enumerate(batch.events):
            if isinstance(event, wire.ProcessStarted):
                events_by_instance[instance] = []
                self._nodes[instance] = self._start(instance, event, batch.clock_s, reply)
            elif instance not in self._nodes:
                raise wire.WireError(
                    f"batch {batch.number}, record {index}: instance {instance} was never started"
                )
            elif isinstance(event, wire.ProcessDied):
                events_by_instance.pop(instance, None)
                self._nodes[instance] = None
            else:
                events_by_instance.setdefault(instance, []).append(event)
        for instance, events in events_by_instance.items():
            self._decide(instance, events, batch.clock_s, reply)
        return wire.encode_reply(batch.number, reply)

    def _start(self, instance: int, start: wire.ProcessStarted, clock_s: float, reply: Reply) -> Node | None:
        if start.settings is None:
            reply.append((instance, wire.Fault(start.problem)))
            return None
        return Node(start.settings, start.seed, clock_s)

    def _decide(self, instance: int, events: list[api.Event], clock_s: float, reply: Reply) -> None:
        node = self._nodes[instance]
        if node is None:
            return
        try:
            reply.extend((instance, action) for action in node.decide(clock_s, events))
        except Exception as error:  # Reported, so that no fault is hidden: it ends the simulated day
            reply.append((instance, wire.Fault(f"{type(error).__name__}: {error}")))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises WireError if the input is malformed."""
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Serve batches on standard input and output; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"beechrock: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
