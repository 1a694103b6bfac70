"""Membership by SWIM with local health, sans I/O: ``tick`` and ``hear`` give what to send and what changed.

States of another member: ALIVE, SUSPECT, DEAD, LEFT, in this order; a word is (life, incarnation, state).
Events: a tick with the time, a message with its sender. Times are seconds of a clock that does not go back.

Invariants, whatever is lost, doubled, delayed or reordered:
- what is known of a member only ever grows by (life, incarnation, state), until the dead are forgotten;
- only a process itself raises its incarnation, and only a greater life replaces a process;
- the own word is ALIVE, or LEFT once it has left, at a life that never changes;
- a message carries at most ``MOST_NEWS`` words; at most one question is open;
- who was declared dead speaks up again only after ``RETURN_ANSWERS`` of its last ``RETURN_OF`` questions were
  answered by the member itself, and answers that were used for one return are not used for the next: a member
  that most cannot reach is out for all, and does not come and go with what few pass on for it.
"""

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

MOST_NEWS = 8           # words a message: with names of 64 bytes they fit a datagram of 1,200
NEWS_FACTOR = 4.0       # a word is passed on this many times log2(n + 2): then all have it, but for luck
HELPERS = 3             # asked to ask a member that did not answer
MOST_HEALTH = 7         # local health: waits are up to 1 + this many times as long
SHORTEST, LONGEST = 4.0, 6.0    # suspicion: periods times log10(n), confirmed; and times this, without
ALONE = 3               # questions in a row without a sound from anybody, after which a member is cut off
LATE = 0.5              # of a period by which a tick may come late before it counts as a pause of one's own
HEALING_PERIODS = 10    # after the return of a dead one, in which several of the dead are asked each time
REVISIT = 5             # every so many periods one of the dead is asked as well
FORGET_PERIODS = 300    # for which the dead and those that left are kept
RETURN_ANSWERS, RETURN_OF = 4, 8    # half: at three tenths lost each way 0.49 of the questions are answered
PROVING_PERIODS = 300   # after a death: as long as the others keep it
EXCHANGE_ROUNDS = 30    # questions from one exchange of whole states to the next
MOST_PARTS = 128        # of a whole state: 150 KB at the most, and inside the codec's window of counters


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, order=True)
class Word:
    """What is said of a member. The greater one wins."""

    life: int
    incarnation: int
    state: State


@dataclass(frozen=True, slots=True)
class News:
    """``by``: of a suspicion, who had no answer; who only passes it on confirms nothing."""

    name: str
    address: str
    word: Word
    by: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """A question. ``of``: asked on behalf of that member, which gets the answer's ``Ack``."""

    number: int
    of: str = ""
    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask ``member``, at ``address``, for me; say at once that this was heard (``Heard``)."""

    number: int
    member: str
    address: str
    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    number: int
    of: str = ""
    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class Heard:
    """A helper lives, so that silence from the member asked is not the asker's own."""

    number: int
    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class Whole:
    """A part of all that a member knows; ``left`` parts come after it. Only over a connection."""

    left: int
    news: tuple[News, ...] = ()


Message = Ping | Ask | Ack | Heard | Whole


@dataclass(frozen=True, slots=True)
class Send:
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Changed:
    """Another member's state, or the own one, is now this; ``reason`` is for people."""

    news: News
    before: State | None
    reason: str


@dataclass(frozen=True, slots=True)
class Displaced:
    """A newer process has this one's name: it is silent as a member from now on."""

    life: int
    address: str


@dataclass(frozen=True, slots=True)
class Exchange:
    """Send ``Members.whole`` to this address and take in what comes back."""

    address: str


Action = Send | Changed | Displaced | Exchange


@dataclass(slots=True)
class _Known:
    news: News
    since: float
    left_to_tell: int = 0
    accusers: set[str] = field(default_factory=set)
    ends_at: float = math.inf       # of its suspicion, or when it is forgotten


@dataclass(slots=True)
class _Question:
    number: int
    name: str
    helpers_at: float
    ends_at: float
    helpers: int = 0
    heard: int = 0
    helped: bool = False


class Members:
    """One member's view. ``life``: greater for each new process of the name."""

    def __init__(
        self, name: str, address: str, life: int, now: float, seed: int, seeds: Iterable[str] = (),
        period_s: float = 1.0, timeout_s: float = 0.3,
    ) -> None:
        self.name, self.period_s, self.timeout_s = name, period_s, timeout_s
        self.me = News(name, address, Word(life, 0, State.ALIVE))
        self.seeds = [seed for seed in seeds if seed != address]
        self.known: dict[str, _Known] = {}
        self.health = self.generation = self.rounds = self.numbers = self.unheard = 0
        self.displaced, self.healing_until = False, now
        self.accused: Word | None = None    # what this member has not spoken up against yet
        self.proving_until = now    # declared dead not long ago: it must show that it reaches others
        self.direct: deque[bool] = deque(maxlen=RETURN_OF)  # whether who was asked answered by itself
        self.random = random.Random(seed)
        self.ticked, self.next_at = now, now
        self.question: _Question | None = None
        self.relayed: dict[int, tuple[str, int, float]] = {}    # own number -> whom to tell, theirs, until
        self.turn: list[str] = []
        self.me_to_tell = 0
        self.out: list[Action] = []

    # --- what happens

    def tick(self, now: float) -> list[Action]:
        """Call at least ten times a period."""
        if self.displaced:
            return []
        late = now - self.ticked - LATE * self.period_s
        if late > 0 and self.ticked < now:
            self._paused(now - self.ticked)
        self.ticked = now
        for name in [name for name, known in self.known.items() if known.ends_at <= now]:
            known = self.known[name]
            if known.news.word.state is State.SUSPECT:
                word = Word(known.news.word.life, known.news.word.incarnation, State.DEAD)
                self._take(News(name, known.news.address, word), now,
                           f"no answer, and no refutation; accused by {', '.join(sorted(known.accusers))}")
            else:
                del self.known[name]
        self.relayed = {n: told for n, told in self.relayed.items() if told[2] > now}
        self._ask_helpers(now)
        if now >= self.next_at:
            self._end_question(now)
            self._begin_question(now)
        return self._done()

    def hear(self, sender: str, address: str, message: Message, now: float) -> list[Action]:
        """A message from ``sender`` at ``address``; who sends is who it says, as the codec proves."""
        if self.displaced or sender == self.name:
            return []
        self.unheard = 0
        if not self.known and not isinstance(message, Whole):   # joined: all is learnt at once
            self.out.append(Exchange(address))
        for news in message.news:
            # Whoever forgets the dead first would be told of them again by the others, and so without end.
            if isinstance(message, Whole) and news.word.state >= State.DEAD and news.name not in self.known:
                continue
            self._take(news, now, f"told by {sender}")
        if self.displaced:
            return self._done()
        match message:
            case Ping(number, of):
                self._send(address, Ack(number, of))
            case Ask(number, member, at):
                self._send(address, Heard(number))
                mine = self._number()
                self.relayed[mine] = (address, number, now + self.period_s * (1 + self.health))
                self._send(at, Ping(mine, of=member))
            case Ack(number, of):
                if number in self.relayed:
                    to, theirs, _ = self.relayed.pop(number)
                    self._send(to, Ack(theirs, of=sender))
                elif self.question is not None and self.question.number == number:
                    self.question = None
                    self.health = max(0, self.health - 1)
                    self._asked(answered=not of)
            case Heard(number):
                if self.question is not None and self.question.number == number:
                    self.question.heard += 1
        return self._done()

    def whole(self) -> list[Whole]:
        """All that is known, the own word first; of more members than fit, as many as do, drawn anew."""
        others = [known.news for known in self.known.values()]
        most = MOST_PARTS * MOST_NEWS - 1
        told = [self.me, *(self.random.sample(others, most) if len(others) > most else others)]
        parts = [tuple(told[at:at + MOST_NEWS]) for at in range(0, len(told), MOST_NEWS)]
        return [Whole(len(parts) - n, part) for n, part in enumerate(parts, 1)]

    def leave(self, now: float) -> list[Action]:
        """Say good-bye to some; they pass it on."""
        word = self.me.word
        self.me = News(self.name, self.me.address, Word(word.life, word.incarnation, State.LEFT))
        self.me_to_tell = self._tellings()
        for name in self._some(self._living(), HELPERS, ()):
            self._send(self.known[name].news.address, Ping(self._number()))
        return self._done()

    def join(self) -> list[Action]:
        """Ask the seeds; again as long as nobody is known. All of them may be down."""
        self._ask_seeds()
        return self._done()

    @property
    def isolated(self) -> bool:
        """Nobody is heard at all: the view stands still, and proves nothing of the others."""
        return self.unheard >= ALONE

    def view(self) -> dict[str, Word]:
        return {self.name: self.me.word, **{name: known.news.word for name, known in self.known.items()}}

    # --- questions

    def _begin_question(self, now: float) -> None:
        self.rounds += 1
        # Who has to show that it reaches others accuses nobody, so it need not be slow. Seen: cut from all,
        # it was back after 13 to 27 s, as its local health was the worst.
        self.next_at = now + self.period_s * (1 + (self.health if self.accused is None else 0))
        if not self._living():
            self._ask_seeds()
        if self.rounds % EXCHANGE_ROUNDS == 0:
            # The dead too, one time in two: after a split it is they who know the rest.
            dead = self._in_state(State.DEAD) if self.rounds % (2 * EXCHANGE_ROUNDS) == 0 else []
            for name in self._some(dead or self._living(), 1, ()):
                self.out.append(Exchange(self.known[name].news.address))
        # After a split nobody else brings the two sides together. Once one of the dead is back, more may be:
        # seen in the benchmark, 40 members took 18 s to heal, 7 s now. To pass their deaths on took 23 to
        # 33 s, as the other side then heard, of its own, what was said here.
        healing = now < self.healing_until
        if healing or self.rounds % REVISIT == 0:
            for name in self._some(self._in_state(State.DEAD), HELPERS if healing else 1, ()):
                self._send(self.known[name].news.address, Ping(self._number(), news=(self.known[name].news,)))
        while self.turn and self.turn[-1] not in self._living():
            self.turn.pop()
        if not self.turn:
            self.turn = self._living()
            self.random.shuffle(self.turn)
        if not self.turn:
            return
        name, wait = self.turn.pop(), self.timeout_s * (1 + self.health)
        self.question = _Question(self._number(), name, now + wait, self.next_at)
        self._send(self.known[name].news.address, Ping(self.question.number, news=self._of(name)))

    def _ask_seeds(self) -> None:
        for address in self.seeds:
            self._send(address, Ping(self._number()))

    def _of(self, name: str) -> tuple[News, ...]:
        """A member that is suspected hears of it in the question itself, so that it can refute at once."""
        news = self.known[name].news
        return (news,) if news.word.state is State.SUSPECT else ()

    def _ask_helpers(self, now: float) -> None:
        asked = self.question
        if asked is None or asked.helped or now < asked.helpers_at or asked.name not in self.known:
            return
        asked.helped = True
        at = self.known[asked.name].news.address
        for name in self._some(self._living(), HELPERS, (asked.name,)):
            asked.helpers += 1
            self._send(self.known[name].news.address, Ask(asked.number, asked.name, at))

    def _end_question(self, now: float) -> None:
        asked, self.question = self.question, None
        if asked is None or asked.name not in self.known:
            return
        # Helpers that stay silent too show that the fault may be this member's own.
        self.health = min(MOST_HEALTH, self.health + (asked.helpers - asked.heard if asked.helpers else 1))
        if asked.helpers and not asked.heard:
            self.unheard += 1       # the fault is rather this member's own link: it accuses nobody
            if not self.isolated:   # where nobody is heard at all, nothing is learnt of who could be reached
                self._asked(answered=False)
            return
        self._asked(answered=False)
        if self.accused is not None:
            return
        word = self.known[asked.name].news.word
        if word.state is State.ALIVE:
            news = News(asked.name, self.known[asked.name].news.address,
                        Word(word.life, word.incarnation, State.SUSPECT), self.name)
            self._take(news, now, f"no answer to {self.name}, nor through {asked.heard} others")
        elif word.state is State.SUSPECT:
            self._confirm(self.known[asked.name], self.name, now)

    def _paused(self, gap: float) -> None:
        """Own time was lost, not the others': what came due meanwhile proves nothing."""
        self.question = None
        self.health = min(MOST_HEALTH, self.health + 1)
        self.next_at = max(self.next_at, self.ticked + gap)
        for known in self.known.values():
            known.ends_at += gap

    # --- news

    def _take(self, news: News, now: float, reason: str) -> None:
        if news.name == self.name:
            return self._of_me(news)
        known, word = self.known.get(news.name), news.word
        if known is not None and word <= known.news.word:
            if word == known.news.word and word.state is State.SUSPECT and news.by:
                self._confirm(known, news.by, now)
            now_known = known.news.word
            # It still speaks, and has not spoken up. Seen after 300 periods of a cut: forgotten as one long
            # dead, it was met alive the next moment by its old word.
            if now_known.state is State.DEAD and word.state is State.ALIVE:
                known.ends_at = now + FORGET_PERIODS * self.period_s
            # Some had it dead before its answer came: it hears of that, and so proves itself the next time.
            if word.state is State.DEAD and word.life == now_known.life and now_known.state < State.DEAD:
                self._tell_some(known.news.address, news)
            return
        if known is None and word.state >= State.DEAD:
            reason = f"{reason}, never met alive"
        before = known.news.word.state if known is not None else None
        fresh = _Known(news, now, self._tellings())
        if word.state is State.SUSPECT:
            fresh.accusers.add(news.by)
            fresh.ends_at = now + self._suspicion_s(1)
        elif word.state >= State.DEAD:
            fresh.ends_at = now + FORGET_PERIODS * self.period_s
        self.known[news.name] = fresh
        self.generation += 1
        if self.question is not None and self.question.name == news.name and word.state is not State.SUSPECT:
            self.question = None
        self.out.append(Changed(news, before, reason))
        if before is State.DEAD and word.state is State.ALIVE:
            self.healing_until = now + HEALING_PERIODS * self.period_s
        # Some of all who hear of it tell the suspect. Seen at a tenth lost and pauses: with questions alone
        # it heard of its suspicion, or the accuser of its refutation, too late.
        if word.state is State.SUSPECT:
            self._tell_some(news.address, news)

    def _tell_some(self, address: str, news: News) -> None:
        """Some of all who hear of it tell it to the member itself."""
        if self.random.random() < HELPERS / max(1, len(self._living())):
            self._send(address, Ping(self._number(), news=(news,)))

    def _of_me(self, news: News) -> None:
        mine, theirs = self.me.word, news.word
        if theirs.life > mine.life:
            self.displaced = True
            self.out.append(Displaced(theirs.life, news.address))
            return
        if theirs.life < mine.life or mine.state is not State.ALIVE:
            return
        if theirs.state is State.DEAD:      # of an earlier incarnation as well: it came too late to some
            self.proving_until = self.ticked + PROVING_PERIODS * self.period_s
        if theirs > mine:
            self.accused = max(theirs, self.accused or theirs)
            self._speak_up()

    def _refute(self, word: Word) -> None:
        self.me = News(self.name, self.me.address, Word(word.life, word.incarnation + 1, State.ALIVE))
        self.me_to_tell = self._tellings()
        self.health = min(MOST_HEALTH, self.health + 1)
        self.generation += 1

    def _asked(self, answered: bool) -> None:
        self.direct.append(answered)
        self._speak_up()

    def _speak_up(self) -> None:
        """Refute at once; after a death only while half of those asked of late answer by themselves.

        Seen in the simulator: nine members, one cut from all but one of them. That one brought it the news of
        its deaths, and to the others its answers: they had it dead and back 7 to 41 times in 300 s.
        """
        proving = self.ticked < self.proving_until
        if self.accused is None or (proving and sum(self.direct) < RETURN_ANSWERS):
            return
        word, self.accused = self.accused, None
        if word.state is State.DEAD:
            self.direct.clear()
        self._refute(word)

    def _confirm(self, known: _Known, accuser: str, now: float) -> None:
        """Seen at three tenths lost: with all who passed it on counted, each suspicion was the shortest."""
        if accuser not in known.accusers and len(known.accusers) <= HELPERS:
            known.accusers.add(accuser)
            known.news = replace(known.news, by=accuser)
            known.left_to_tell = self._tellings()
            known.ends_at = min(known.ends_at, known.since + self._suspicion_s(len(known.accusers)))

    def _suspicion_s(self, accusers: int) -> float:
        """Longest with one accuser, shortest once as many confirm as are asked; longer for who is late."""
        least = SHORTEST * max(1.0, math.log10(len(self.known) + 1)) * self.period_s * (1 + self.health)
        part = math.log(accusers) / math.log(HELPERS + 1)
        return max(least, LONGEST * least - (LONGEST - 1) * least * part)

    def _tellings(self) -> int:
        return math.ceil(NEWS_FACTOR * math.log2(len(self.known) + 2))

    def _gossip(self, first: tuple[News, ...]) -> tuple[News, ...]:
        """The own word always, so that a restart is known at once; then what was told least often."""
        told = [news for news in first if news.name != self.name]
        names = {news.name for news in told}
        fresh = [known for known in self.known.values()
                 if known.left_to_tell > 0 and known.news.name not in names]
        fresh.sort(key=lambda known: -known.left_to_tell)
        for known in fresh[:MOST_NEWS - 1 - len(told)]:
            known.left_to_tell -= 1
            told.append(known.news)
        return (self.me, *told)

    # --- small things

    def _send(self, address: str, message: Message) -> None:
        news = self._gossip(message.news)
        match message:
            case Ping(number, of):
                message = Ping(number, of, news)
            case Ask(number, member, at):
                message = Ask(number, member, at, news)
            case Ack(number, of):
                message = Ack(number, of, news)
            case Heard(number):
                message = Heard(number, news)
        self.out.append(Send(address, message))

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _in_state(self, *states: State) -> list[str]:
        return [name for name, known in self.known.items() if known.news.word.state in states]

    def _living(self) -> list[str]:
        return self._in_state(State.ALIVE, State.SUSPECT)

    def _some(self, names: list[str], most: int, but: tuple[str, ...]) -> list[str]:
        others = [name for name in names if name not in but]
        return self.random.sample(others, min(most, len(others)))

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out
