"""The bounded mailbox that every actor owns."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Messages for one actor; ``put`` says whether there was room."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._messages: deque[T] = deque()
        self._wake = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: T) -> bool:
        if len(self._messages) >= self.capacity:
            return False
        self._messages.append(message)
        self._wake.set()
        return True

    def wake(self) -> None:
        self._wake.set()

    def drain(self) -> list[T]:
        """All messages that are there now."""
        messages = list(self._messages)
        self._messages.clear()
        self._wake.clear()
        return messages

    async def wait(self) -> None:
        await self._wake.wait()
