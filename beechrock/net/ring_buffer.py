"""Ring buffer for one direction of a connection."""

START_BYTES = 1024  # initial capacity of a buffer


class BufferFullError(Exception):
    """The data exceed the maximum size of the buffer."""


class RingBuffer:
    """Byte queue that grows by doubling up to ``max_bytes``, and shrinks again once it is empty."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._data = bytearray(min(START_BYTES, max_bytes))
        self._start = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def free_bytes(self) -> int:
        """Number of bytes that may still be written."""
        return self.max_bytes - self._length

    def write(self, data: bytes | memoryview) -> None:
        """Append bytes. Raises BufferFullError if they do not fit."""
        size = len(data)
        if size > self.free_bytes:
            raise BufferFullError(f"{self._length} + {size} bytes in a buffer of {self.max_bytes}")
        if self._length + size > len(self._data):
            self._resize(self._length + size)
        at = (self._start + self._length) % len(self._data)
        first = min(size, len(self._data) - at)
        self._data[at : at + first] = data[:first]
        self._data[: size - first] = data[first:]
        self._length += size

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Return up to ``size`` bytes after the first ``skip``, without removing them."""
        size = max(0, min(size, self._length - skip))
        at = (self._start + skip) % len(self._data)
        first = bytes(self._data[at : at + size])
        return first if len(first) == size else first + bytes(self._data[: size - len(first)])

    def skip(self, size: int) -> None:
        """Remove up to ``size`` bytes from the front."""
        size = min(size, self._length)
        self._start, self._length = (self._start + size) % len(self._data), self._length - size
        if not self._length:
            self._start = 0
            if len(self._data) > START_BYTES:
                self._data = bytearray(min(START_BYTES, self.max_bytes))

    def read(self, size: int) -> bytes:
        """Remove and return up to ``size`` bytes from the front."""
        data = self.peek(size)
        self.skip(len(data))
        return data

    def line(self, max_bytes: int) -> bytes | None:
        """Remove and return the next line without its CR LF, or return None while it is incomplete.

        Raises BufferFullError once it is longer than ``max_bytes``.
        """
        found = self.peek(max_bytes + 2).find(b"\r\n")
        if found < 0:
            if self._length >= max_bytes + 2:
                raise BufferFullError(f"a line of over {max_bytes} bytes")
            return None
        line = self.peek(found)
        self.skip(found + 2)
        return line

    def _resize(self, need: int) -> None:
        size = len(self._data)
        while size < need:
            size *= 2
        content = self.peek(self._length)
        self._data = bytearray(min(size, self.max_bytes))
        self._data[: len(content)] = content
        self._start = 0
