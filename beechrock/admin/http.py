"""The wire of the second address: HTTP/1.1, one call a connection."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs

import h11
import ujson

from beechrock.admin import figures
from beechrock.admin.serving import Serving
from beechrock.core.actor import ModuleActor
from beechrock.errors import OperatorError
from beechrock.net.connection import ConnectionActor
from beechrock.net.connection_server import ConnectionServer
from beechrock.parts import Context

# Seen in the benchmark: of 16 places a call lost its own to forty callers with half a call, come between
# its connection and its bytes (1 of 12,176). Few accepted a turn, so that what has come is read between.
MOST_CONNECTIONS, AT_ONCE = 48, 4
MOST_HEAD = 8192
MOST_BODY = 4096  # no call has one; what a caller sends all the same is read and passed over
MOST_OUT = 65_536
# Half-said calls are waited for so long; a whole one finds room before, as a full table ends the oldest.
WHOLE_S = 6.0
PLAIN, JSON = b"text/plain; charset=utf-8", b"application/json"


@dataclass(frozen=True, slots=True)
class Said:
    """The answer to a call."""

    status: int
    body: str
    media: bytes = PLAIN
    allow: str = ""


class Calls:
    """What the four calls do."""

    def __init__(self, module: ModuleActor, serving: Serving, dispatches: Callable[[], int]) -> None:
        self.module, self.serving, self.dispatches = module, serving, dispatches
        self.table: dict[str, tuple[str, Callable[[], Said]]] = {
            "/healthcheck": ("GET", self._healthcheck),
            "/stats": ("GET", self._stats),
            "/healthcheck/fail": ("POST", lambda: self._word(self.serving.fail())),
            "/healthcheck/ok": ("POST", lambda: self._word(self.serving.ok())),
        }

        self.asks: dict[str, Callable[[dict[str, str]], object]] = {}

    def offer(self, path: str, view: Callable[[], object]) -> None:
        """One more thing to read, as JSON; ``view`` gives it at once."""
        self.table[path] = ("GET", lambda: Said(200, ujson.dumps(view()) + "\n", JSON))

    def offer_parts(self, context: Context) -> None:
        """What the parts of the fleet show, and what they let an operator ask for."""
        for path, view in context.views.items():
            self.offer(path, view)
        self.asks.update(context.calls)

    def _ask(self, path: str, query: str) -> Said:
        told = {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()}
        try:
            return Said(200, ujson.dumps(self.asks[path](told)) + "\n", JSON)
        except OperatorError as error:
            return Said(409, f"{error}\n")

    def answer(self, method: str, target: str) -> Said:
        path, _, query = target.partition("?")
        if path in self.asks and method == "POST":
            self.module.counters.add("admin.calls")
            return self._ask(path, query)
        if path not in self.table:
            return Said(404, f"{path}: none of {', '.join(self.table)}\n")
        wanted, call = self.table[path]
        if method != wanted:
            return Said(405, f"{path}: takes {wanted}\n", allow=wanted)
        self.module.counters.add("admin.calls")
        return call()

    def _healthcheck(self) -> Said:
        return Said(200 if self.serving.can_serve else 503, self.serving.state.value + "\n")

    def _stats(self) -> Said:
        names = [c.name for c in self.module.settings.classes if not c.removed]
        return Said(200, figures.text(names, self.module.table.counts, self.dispatches()), figures.MEDIA)

    def _word(self, taken: bool) -> Said:
        return Said(200 if taken else 409, self.serving.state.value + "\n")


class AdminPeer(ConnectionActor[Said]):
    """One call: a request in, one answer out."""

    where = "admin"

    def __init__(self, front: "AdminFront") -> None:
        super().__init__(front.module.counters, MOST_HEAD + MOST_BODY, MOST_OUT, 4)
        self.front = front
        self.last_message_at = front.module.clock()
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.asked: h11.Request | None = None
        self.body = 0
        self.said = False

    def parse(self) -> None:
        try:
            self.http.receive_data(self.inbox.read(len(self.inbox)))
            while not self.said and self._event(self.http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._say(Said(error.error_status_hint, f"{error}\n"))

    def _event(self, event: object) -> bool:
        """Whether there may be another one."""
        match event:
            case h11.Request():
                self.asked = event
            case h11.Data():
                self.body += len(event.data)
                if self.body > MOST_BODY:
                    self._say(Said(413, f"a body of over {MOST_BODY} bytes\n"))
            case h11.EndOfMessage() if self.asked is not None:
                self.messages_received = 1
                self._say(
                    self.front.calls.answer(
                        self.asked.method.decode("ascii", "replace"),
                        self.asked.target.decode("ascii", "replace"),
                    )
                )
            case _:  # more is to come, or nothing ever will
                return False
        return True

    def report_internal_error(self) -> None:
        self._say(Said(500, "internal error\n"))

    def _say(self, said: Said) -> None:
        if not self.said:
            self.said = True
            self.counters.add(f"admin.answered_{said.status}")
            self.post(said)
            self.close_when_answered()

    def encode(self, message: Said) -> bytes:
        body = message.body.encode()
        headers = [
            (b"Content-Type", message.media),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        if message.allow:
            headers.append((b"Allow", message.allow.encode()))
        head = h11.Response(
            status_code=message.status, headers=headers, reason=HTTPStatus(message.status).phrase
        )
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        # After what could not be read, and for HEAD, h11 takes no body; it has all that it needs in the head.
        return b"".join(
            self.http.send(event) or b"" for event in (head, *self._tail(body), h11.EndOfMessage())
        )

    def _tail(self, body: bytes) -> tuple[h11.Data, ...]:
        head_only = self.asked is not None and self.asked.method == b"HEAD"
        return () if head_only else (h11.Data(data=body),)

    def settled(self) -> bool:
        return self.said or self.asked is None or not self.messages_received

    def input_ended(self) -> None:
        if self.said:
            return
        if self.asked is not None or self.http.trailing_data[0]:
            self._say(Said(400, "the call is cut off\n"))
        self.close_when_answered()


class AdminFront(ConnectionServer[AdminPeer]):
    """Listens at the second address."""

    where, at_once = "admin", AT_ONCE

    def __init__(self, module: ModuleActor, calls: Calls, most: int) -> None:
        super().__init__(module, most)
        self.calls = calls

    def peer(self) -> AdminPeer:
        return AdminPeer(self)

    def reject_full(self, peer: AdminPeer) -> None:
        peer._say(Said(503, "too many calls at once\n"))

    def on_connection_ended(self, peer: AdminPeer) -> None:
        """Nothing is open on it that anybody else holds."""

    def check_idle(self, peer: AdminPeer, now: float) -> None:
        if now - peer.last_message_at > WHOLE_S:
            peer._say(Said(408, "the call did not come whole in time\n"))
