"""Frames between two nodes, as an earlier version wrote them."""

from pathlib import Path

from sample_files import DATA, files_of, read_messages, write_messages

from beechrock.talk import frames
from beechrock.talk.frames import Frame

SAMPLE = "talk"
FILE = "frames.json"
SECRET, CHALLENGE, RECEIVER = b"the fleet's secret", bytes(range(16)), "n2"
FRAMES = {
    "short": Frame("n1", 1_000_000, 1, "agree", b"message"),
    "empty": Frame("n1", 1_000_000, 2, "members", b""),
    "large numbers": Frame("n3", 1 << 41, 1 << 33, "edges", bytes(300)),
}


def write(folder: Path) -> None:
    key = frames.key_from(SECRET)
    encoded = {name: frames.encode(key, CHALLENGE, RECEIVER, frame) for name, frame in FRAMES.items()}
    write_messages(folder / FILE, encoded)


def test_the_same_frames_have_the_same_bytes(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_each_frame_is_read() -> None:
    key = frames.key_from(SECRET)
    found = {}
    for name, data in read_messages(DATA / SAMPLE / FILE).items():
        head, rest = data[: frames.HEAD_BYTES], data[frames.HEAD_BYTES :]
        assert frames.decode_length(head) == len(rest)
        found[name] = frames.decode(key, CHALLENGE, RECEIVER, rest)
    assert found == FRAMES
