"""Links between nodes over real sockets: order, bounds, and peers that stall, restart or are unknown."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from beechrock.config import ConfigError
from beechrock.core.counters import Counters
from beechrock.store import life as lives
from beechrock.talk import link
from beechrock.talk.errors import TalkChannelError
from beechrock.talk.frames import (
    MAX_MESSAGE_BYTES,
    DroppedError,
    DropReason,
    Frame,
    ReplayFilter,
    decode,
    decode_length,
    encode,
    key_from,
)
from beechrock.talk.part import LIFE_FILE, PeerTransport
from beechrock.talk.settings import FleetSettings, read

KEY = key_from(b"a secret of sixteen bytes and more")
CHALLENGE = b"g" * 16


def test_frame_is_valid_for_one_receiver_and_one_connection_only() -> None:
    frame = Frame("a", 7, 1, "agree", b"x")
    data = encode(KEY, CHALLENGE, "b", frame)
    assert decode_length(data[:4]) == len(data) - 4 and decode(KEY, CHALLENGE, "b", data[4:]) == frame
    for key, challenge, receiver in (
        (key_from(b"another one, long enough"), CHALLENGE, "b"),
        (KEY, b"h" * 16, "b"),
        (KEY, CHALLENGE, "c"),
    ):
        with pytest.raises(DroppedError) as caught:
            decode(key, challenge, receiver, data[4:])
        assert caught.value.reason is DropReason.TAG
    for n in range(4, len(data)):  # A change of any byte of body or tag is detected
        with pytest.raises(DroppedError):
            decode(KEY, CHALLENGE, "b", data[4:n] + bytes([data[n] ^ 1]) + data[n + 1 :])
    for size in (0, 16, 2 << 20, 0xFFFFFFFF):
        with pytest.raises(DroppedError):
            decode_length(size.to_bytes(4, "big"))


def test_replayed_frames_and_frames_of_an_older_life_are_dropped() -> None:
    replay_filter = ReplayFilter()
    replay_filter.admit(Frame("a", 7, 5, "c", b""))
    for life, counter, reason in (
        (7, 5, DropReason.REPLAYED),
        (7, 4, DropReason.REPLAYED),
        (6, 99, DropReason.OLD_LIFE),
    ):
        with pytest.raises(DroppedError) as caught:
            replay_filter.admit(Frame("a", life, counter, "c", b""))
        assert caught.value.reason is reason
    replay_filter.admit(Frame("a", 8, 1, "c", b""))  # Counters of a new life start again
    replay_filter.admit(Frame("b", 1, 1, "c", b""))


class Node:
    """A transport, and the messages that it received on the channel ``c``."""

    def __init__(
        self,
        name: str,
        life: int = 1,
        peers: dict[str, Any] | None = None,
        key: bytes = KEY,
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        settings = FleetSettings(listen, peers or {}, key, Path("/nowhere"))
        self.transport = PeerTransport(settings, name, life, Counters())
        self.received: list[tuple[str, int, bytes]] = []
        self.transport.on("c", lambda *message: self.received.append(message))

    def connect_to(self, other: "Node") -> "Node":
        host, port = other.transport.address.split(":")
        name = other.transport.name
        self.transport.links[name] = self.transport.link_to(name, (host, int(port)))
        return self

    async def start(self) -> "Node":
        self.task = asyncio.ensure_future(self.transport.run())
        return self

    def stop(self) -> None:
        self.transport.close()
        self.task.cancel()


async def until(condition: Callable[[], bool], seconds: float = 20.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        await asyncio.sleep(0.01)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def with_timeout() -> None:
        await asyncio.wait_for(scenario(), 60.0)

    asyncio.run(with_timeout())


def test_messages_arrive_in_order_and_those_to_the_own_node_in_a_later_loop_iteration() -> None:
    async def scenario() -> None:
        a, b = Node("a"), Node("b", 3)
        await a.transport.listen()
        await b.transport.listen()
        await a.connect_to(b).start()
        await b.connect_to(a).start()
        assert all(a.transport.send("b", "c", b"%d" % n) for n in range(500))
        assert b.transport.send("a", "c", b"z" * MAX_MESSAGE_BYTES)
        assert not b.transport.send("a", "c", bytes(MAX_MESSAGE_BYTES + 1))
        assert not a.transport.send("nobody", "c", b"")
        assert a.transport.send("a", "c", b"self") and a.received == []
        await until(lambda: len(b.received) == 500 and len(a.received) == 2)
        assert b.received == [("a", 1, b"%d" % n) for n in range(500)]
        assert ("a", 1, b"self") in a.received and ("b", 3, b"z" * MAX_MESSAGE_BYTES) in a.received
        assert a.transport.send("b", "other", b"")
        await until(lambda: b.transport.view()["peers"]["a"]["dropped"] == {"from_channel": 1})
        row = a.transport.view()["peers"]["b"]
        assert row["connected"] and not row["queued_bytes"] and row["life"] == 3 and row["sent"] == 501
        with pytest.raises(TalkChannelError):
            a.transport.on("c", lambda *_: None)
        a.stop()
        b.stop()

    run(scenario)


def test_stalled_peer_delays_no_other_and_its_queue_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(link, "WRITE_TIMEOUT_S", 0.5)
    monkeypatch.setattr(link, "MAX_QUEUE_AGE_S", 1.0)

    async def scenario() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            held.append(writer)
            writer.write(CHALLENGE)
            await asyncio.sleep(60.0)

        held: list[asyncio.StreamWriter] = []
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        server = await asyncio.start_server(silent, sock=listening)
        a, b = Node("a"), Node("b", peers={"a": ("127.0.0.1", 9)})
        await b.transport.listen()
        await b.start()
        a.transport.links["s"] = a.transport.link_to("s", server.sockets[0].getsockname())
        await a.connect_to(b).start()
        queued = sum(a.transport.send("s", "c", bytes(MAX_MESSAGE_BYTES)) for _ in range(6))
        assert queued == 4 and a.transport.links["s"].queued_bytes <= link.MAX_QUEUED_BYTES
        for n in range(200):
            assert a.transport.send("b", "c", b"%d" % n)
        await until(lambda: len(b.received) == 200)
        # The link reconnects, and does not send messages that waited too long over the new connection.
        await until(lambda: len(held) > 1 and not a.transport.links["s"].queue)
        dropped = a.transport.view()["peers"]["s"]["dropped"]
        assert dropped["to_full"] == 2 and dropped["to_late"] >= 1 and dropped["to_lost"] >= 1
        assert a.transport.send("s", "c", bytes(MAX_MESSAGE_BYTES))
        a.stop()
        b.stop()
        server.close()
        for writer in held:
            writer.transport.abort()

    run(scenario)


def test_frames_with_another_key_or_from_an_unknown_sender_or_an_older_life_are_not_delivered() -> None:
    async def scenario() -> None:
        b = Node("b", peers={"a": ("127.0.0.1", 9)})
        await b.transport.listen()
        await b.start()
        impostor = await Node("a", key=key_from(b"another one, long enough")).connect_to(b).start()
        stranger = await Node("x").connect_to(b).start()
        assert impostor.transport.send("b", "c", b"no") and stranger.transport.send("b", "c", b"no")
        await until(lambda: {"tag", "unknown"} <= b.transport.view()["dropped"].keys())
        for life in (5, 6, 5):
            a = await Node("a", life).connect_to(b).start()
            assert a.transport.send("b", "c", b"%d" % life)
            if len(b.received) < 2:
                await until(lambda n=life: (b.received or [None])[-1] == ("a", n, b"%d" % n))  # type: ignore[misc]
            else:
                await until(lambda: b.transport.view()["peers"]["a"]["dropped"] == {"from_old_life": 1})
            a.stop()
        assert [life for _, life, _ in b.received] == [5, 6]
        for node in (impostor, stranger, b):
            node.stop()

    run(scenario)


def test_link_reconnects_to_a_restarted_peer_and_a_failing_handler_affects_no_other() -> None:
    async def scenario() -> None:
        b = Node("b", peers={"a": ("127.0.0.1", 9)})
        await b.transport.listen()
        a = await Node("a").connect_to(b).start()
        await b.start()
        b.transport.on("bad", lambda *_: 1 / 0)
        assert a.transport.send("b", "bad", b"") and a.transport.send("b", "c", b"1")
        await until(lambda: len(b.received) == 1)
        assert b.transport.counters["trouble.talk.bad"] == 1
        host, port = b.transport.address.split(":")
        b.stop()
        await until(lambda: not a.transport.links["b"].connected)
        assert a.transport.send("b", "c", b"2")  # Waits in the queue until the peer is back
        restarted = Node("b", 2, {"a": ("127.0.0.1", 9)}, listen=(host, int(port)))
        await restarted.transport.listen()
        await restarted.start()
        await until(lambda: restarted.received == [("a", 1, b"2")])
        a.stop()
        restarted.stop()

    run(scenario)


def test_settings_are_checked_and_a_life_number_is_never_used_twice(tmp_path: Path) -> None:
    (tmp_path / "key").write_text("a secret of sixteen bytes and more")
    good: dict[str, Any] = {
        "listen": "127.0.0.1:0",
        "peers": {"b": "127.0.0.1:7"},
        "key_file": "key",
        "state": "s",
    }
    settings = read(good, "f: fleet", tmp_path)
    assert settings.peers == {"b": ("127.0.0.1", 7)}
    assert settings.state == tmp_path / "s" and settings.key == KEY
    for key, wrong in (
        ("listen", 1),
        ("peers", []),
        ("peers", {"b": "x"}),
        ("peers", {"b b": "h:1"}),
        ("key_file", "none"),
        ("state", ""),
        ("hall", 3),
        ("hardware", "x" * 65),
        ("peers", {f"n{n}": "h:1" for n in range(65)}),
    ):
        with pytest.raises(ConfigError, match=f"f: fleet: {key}"):
            read({**good, key: wrong}, "f: fleet", tmp_path)
    first = lives.next_life(tmp_path / "s", 1000.0, LIFE_FILE)
    assert lives.next_life(tmp_path / "s", 5.0, LIFE_FILE) == first + 1  # Even though the clock was set back
    assert (tmp_path / "s" / "talk.life").exists()
