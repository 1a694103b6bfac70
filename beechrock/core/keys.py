"""The table of keys: which kept request a further try repeats."""

from beechrock.core.requests import Request

SLACK_S = 0.05      # sockets judge every time limit this much longer


class Entry:
    """The request that holds a key, and until when a try that arrives is a repeat of it.

    ``earlier``: what held the key before it, in a window that is over: a try born in that may be read yet.
    """

    __slots__ = ("earlier", "request", "until")

    def __init__(self, request: Request, until: float, earlier: "Entry | None" = None) -> None:
        self.request, self.until, self.earlier = request, until, earlier


class KeyTable:
    """Entries by key. They outlive their end by ``linger_s``, as a repeat can be read late."""

    def __init__(self, capacity: int, linger_s: float) -> None:
        self.capacity, self.linger_s = capacity, linger_s
        self._entries: dict[tuple[str, str], Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @staticmethod
    def key(request: Request) -> tuple[str, str] | None:
        """By service, not by class or team: a try may come again over another front, which knows no teams."""
        name = request.nonce or request.entity
        return None if name is None else (request.route, name)

    def find(self, request: Request) -> Request | None:
        """The request of which this one is a repeat: it arrived while that one's entry was alive."""
        key = self.key(request)
        entry = self._entries.get(key) if key else None
        # A repeat within the window must be known even where the judge's clock reads 50 ms more than ours.
        return entry.request if entry is not None and request.earliest <= entry.until + SLACK_S else None

    def knows(self, route: str, nonce: str, born: float) -> bool:
        """Whether a try of this key, read at ``born``, would be a repeat: asked before there is a request."""
        entry = self._entries.get((route, nonce))
        return entry is not None and born <= entry.until + SLACK_S

    def keep(self, request: Request, until: float, now: float) -> bool:
        """Remember a request; a full table first drops what only lingers. False if all of it is alive."""
        key = self.key(request)
        if key is None:
            return True     # nothing to remember it by, and nothing to mistake it for
        if key not in self._entries and len(self._entries) >= self.capacity:
            self.sweep(now + self.linger_s)
            if len(self._entries) >= self.capacity:
                return False
        old = self._entries.get(key)
        # Seen in a test: a try after the window was kept and never ran; with its entry went what was known of
        # the run before it, and a try that was born in that run's window and read late ran again.
        if old is not None and old.request is request:
            old = old.earlier
        if old is not None:
            old.earlier, old.request.result = None, None    # its repeats fail, as it ran
        self._entries[key] = Entry(request, until, old)
        return True

    def forget(self, request: Request) -> None:
        key = self.key(request)
        if key and (entry := self._entries.get(key)) is not None and entry.request is request:
            if entry.earlier is not None:
                self._entries[key] = entry.earlier
            else:
                del self._entries[key]

    def holds(self, request: Request) -> bool:
        """Whether it is this request that its key stands for."""
        key = self.key(request)
        return key is not None and (entry := self._entries.get(key)) is not None and entry.request is request

    def entry(self, request: Request) -> Entry | None:
        """Return what its key stands for now."""
        key = self.key(request)
        return self._entries.get(key) if key is not None else None

    def entries(self) -> list[Entry]:
        return list(self._entries.values())

    def sweep(self, now: float) -> None:
        dead = [key for key, e in self._entries.items() if e.until + SLACK_S + self.linger_s < now]
        for key in dead:
            del self._entries[key]

    def trim(self, most: int) -> int:
        """Drop the oldest results beyond ``most`` bytes; their repeats fail, as they ran. Gives how many."""
        held = [e.request for e in self._entries.values() if e.request.result]
        over, dropped = sum(len(request.result or b"") for request in held) - most, 0
        while over > 0:
            request = held[dropped]
            over -= len(request.result or b"")
            request.result, dropped = None, dropped + 1
        return dropped
