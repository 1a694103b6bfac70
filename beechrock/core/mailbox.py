"""The bounded message queue of an actor."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Messages for one actor, in order of arrival."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._messages: deque[T] = deque()
        self._wake = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: T) -> bool:
        """Add a message; return False if the mailbox is full."""
        if len(self._messages) >= self.capacity:
            return False
        self._messages.append(message)
        self._wake.set()
        return True

    def wake(self) -> None:
        """Wake the owner from ``wait``, even without a message."""
        self._wake.set()

    def drain(self) -> list[T]:
        """Remove and return all messages, and clear the wake-up."""
        messages = list(self._messages)
        self._messages.clear()
        self._wake.clear()
        return messages

    async def wait(self) -> None:
        """Wait until there is a message or a wake-up."""
        await self._wake.wait()
