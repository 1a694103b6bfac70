"""Implementation of ``core.requests.Partner``, which decides whether a keyed request may run here."""

import hashlib

from beechrock.core.actor import ModuleActor
from beechrock.core.idempotency import SLACK_S
from beechrock.core.requests import Request, RequestReceived
from beechrock.handover.claim_table import Claim
from beechrock.handover.grant_requests import GRANT_TIMEOUT_S
from beechrock.handover.messages import GrantRequest, Message
from beechrock.handover.ownership import Decision, EarlierRun, KeyOwnership, PeerRole
from beechrock.handover.peer import PeerLinks
from beechrock.interface import Idempotency


class KeyPartner:
    """Link between the key ownership rules, the module's actor and the channels to the other process."""

    def __init__(self, module: ModuleActor, links: PeerLinks) -> None:
        self.module = module
        self.counters = module.counters
        self.links = links
        keyed = [cls for cls in module.settings.classes if cls.idempotency is Idempotency.KEYED]
        self.ownership: KeyOwnership[Request] = KeyOwnership(
            max((cls.idempotency_window_s or cls.deadline_s for cls in keyed), default=0.0),
            module.idempotency.linger_s,
            2 * module.idempotency.capacity,
            module.memory.max_result_bytes,
        )
        # Local stand-ins for runs of the other process; attempts here that repeat such a run wait on them.
        self.proxy_requests: dict[Claim, Request] = {}
        # Window ends of the keys claimed here, in steady seconds; kept while a successor is connected.
        self.own_claims: dict[bytes, float] = {}

    @property
    def in_doubt(self) -> bool:
        """Return whether an ended process may have run keys that this process does not know."""
        return self.module.clock() < self.ownership.doubt.until_s

    @property
    def misses_runs(self) -> bool:
        """Return whether an attempt that is yet to be read may repeat a run that is unknown here.

        That is the case in doubt, and after a full table has dropped runs whose windows had ended.
        """
        return self.in_doubt or self.module.clock() < self.module.idempotency.in_doubt_until()

    def request_run(self, request: Request) -> bool:
        """Return whether a keyed attempt may be admitted now.

        If not, it was rejected, or it waits for the predecessor's reply and is then admitted or rejected.
        """
        if self.ownership.is_idle:
            return True
        key = claim_key(request)
        decision = self.ownership.decide(
            key,
            request.digest,
            request.earliest,
            self._window_end_s(request),
            request,
            self.module.clock(),
            self._answer_due_s(request),
        )
        self.flush()
        if decision is Decision.RUN and key in self.ownership.grants.grants:
            request.granted = True
        if decision is Decision.REJECT:
            self.reject(request)
        return decision is Decision.RUN

    def _window_end_s(self, request: Request) -> float:
        """Return the time until which attempts would repeat a run of this request."""
        cls = self.module.settings.classes[request.klass]
        return request.latest + (cls.idempotency_window_s or cls.deadline_s)

    def _answer_due_s(self, request: Request) -> float:
        """Return the time at which the answer to a request is due."""
        return request.born + self.module.intake.due_after_s(request)

    def find_proxy(self, request: Request) -> Request | None:
        """Return the proxy of the other process's run that this request repeats, or None."""
        if self.ownership.is_idle:
            return None
        key = claim_key(request)
        claim = self.ownership.find_claim(key, request.earliest)
        if claim is None:
            return None
        proxy = self.proxy_requests.get(claim)
        if proxy is None:
            proxy = self.proxy_requests[claim] = self._create_proxy(request, claim)
        if claim.ended and not proxy.over:
            self._finish_proxy(proxy, claim)
        self.counters.add("handover.repeats")
        return proxy

    def _create_proxy(self, request: Request, claim: Claim) -> Request:
        """Return a request that represents the other process's run here."""
        return Request(
            trace="",
            klass=request.klass,
            route=request.route,
            born=request.born,
            body=b"",
            answer=lambda _: None,
            id=self.module.table.next_id(),
            digest=claim.digest,
        )

    def claim_run(self, request: Request, until: float) -> bool:
        """Claim the key of a request that is about to run.

        Returns whether it may run: the claim must reach the other process first.
        """
        if self.ownership.role is PeerRole.ABSENT:
            return True
        key = claim_key(request)
        earlier_run_open = self._is_earlier_run_open(request, key)
        if self.links.successor is not None:
            self.own_claims[key] = until
        allowed = self.ownership.claim_run(key, request.digest, until, earlier_run_open)
        return self.flush() and allowed

    def _is_earlier_run_open(self, request: Request, key: bytes) -> bool:
        """Return whether the other process still counts the key's previous run as open."""
        replaced = self.module.idempotency.replaced(request)
        return (
            bool(replaced)
            and not replaced[-1].request.over
            and self.own_claims.get(key) == replaced[-1].until
        )

    def release(self, request: Request) -> None:
        """Release the key of a claimed request that did not run."""
        if self.ownership.role is PeerRole.ABSENT:
            return
        key = claim_key(request)
        entry = self.module.idempotency.entry(request)
        self.own_claims.pop(key, None)
        if entry is not None and self.links.successor is not None:
            self.own_claims[key] = entry.until
        earlier = EarlierRun(entry.request.digest, entry.until) if entry is not None else None
        self.ownership.release(key, earlier)
        self.flush()

    def finish(self, request: Request, held: bool) -> None:
        """Record that a request has ended; ``held`` is true if the idempotency table still contains it."""
        if self.ownership.role is PeerRole.ABSENT:
            return
        key = claim_key(request)
        if held:
            self.ownership.end_run(key, request.result is not None, request.media, request.result or b"")
        if request.granted:
            request.granted = False
            self.ownership.finish_use(key)
        self.flush()

    def flush(self) -> bool:
        """Send the queued messages; return whether all will be read even if this process is killed."""
        messages = self.ownership.outbox
        self.ownership.outbox = []
        return all([self.links.send(message) for message in messages])

    def receive(self, message: Message) -> None:
        """Process a message about keys from the other process."""
        held = False
        if isinstance(message, GrantRequest):
            self.counters.add("handover.asked")
            own_until_s = self.own_claims.get(message.key, 0.0)
            # While in doubt, deny all keys: neither process knows which keys an earlier process ran.
            held = self.in_doubt or message.born_s <= own_until_s + SLACK_S
        outcome = self.ownership.receive(message, held)
        self.share_results(outcome.ended)
        for request in outcome.attempts:
            self._resume(request)
        self.flush()

    def _resume(self, request: Request) -> None:
        """Admit or reject an attempt after its key was granted or denied."""
        key = claim_key(request)
        if key in self.ownership.grants.grants:
            request.granted = True
            self.admit(request)
        elif self.ownership.find_claim(key, request.earliest) is not None:
            self.admit(request)
        else:  # the other process denied the key for a claim whose window has just ended here
            self.reject(request)

    def admit(self, request: Request) -> None:
        """Post an attempt that has waited to the module's mailbox."""
        if not self.module.mailbox.put(RequestReceived(request)):
            self.reject(request)

    def reject(self, request: Request) -> None:
        """Reject an attempt with a retry time because its key may or may not have run."""
        self.counters.add("handover.in_doubt")
        self.module.intake.reject_in_doubt(request, GRANT_TIMEOUT_S)

    def share_results(self, ended: tuple[Claim, ...]) -> None:
        """Answer the attempts that repeat runs of these ended claims."""
        for claim in ended:
            proxy = self.proxy_requests.get(claim)
            if proxy is not None:
                self._finish_proxy(proxy, claim)
                self.module.table.share_result(proxy)

    def _finish_proxy(self, proxy: Request, claim: Claim) -> None:
        """Copy the result of an ended claim to its proxy."""
        proxy.over = True
        proxy.ended_at = self.module.clock()
        proxy.media = claim.media
        proxy.result = claim.result if claim.succeeded else None

    def on_peer_lost(self) -> None:
        """Handle the end of the other process; this process now decides alone, by the claims it knows."""
        outcome = self.ownership.on_peer_lost(self.module.clock())
        self.ownership.outbox.clear()
        self.share_results(outcome.ended)
        for request in outcome.attempts:
            self.admit(request)

    def sweep(self, now_s: float) -> None:
        """Drop claims, grants and proxies that no later attempt can use."""
        self.ownership.sweep(now_s)
        known = set(self.ownership.other_claims)
        self.proxy_requests = {c: proxy for c, proxy in self.proxy_requests.items() if c in known}
        linger_s = self.module.idempotency.linger_s
        self.own_claims = {
            key: until_s for key, until_s in self.own_claims.items() if until_s + SLACK_S + linger_s > now_s
        }


def claim_key(request: Request) -> bytes:
    """Return the 16-byte hash by which both processes identify a key.

    The key counts per service, that is per route, as in ``IdempotencyTable``.
    """
    text = f"{request.route}\0{request.nonce}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=16).digest()
