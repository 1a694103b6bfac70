"""Generations: plans, applying and holding changes, positions, draining servers, snapshots, the reader."""

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from play import inventory_of

from beechrock.core.servers import Servers, ServerState
from beechrock.inventory import layout, model, reader, snapshot, watch
from beechrock.inventory.errors import DamagedError, MissingError
from beechrock.inventory.generation import Generation, from_content
from beechrock.inventory.plan import Verb, plan
from beechrock.inventory.watch import Done, Hold, Read, Refuse, Same, Seen, Take, Watch, Word

NODE = {"cores": 6, "memory_mb": 64}
CONTRACT = {"share": 0.1, "rate": 50, "aim_ms": 1000, "due_ms": 4000, "effect": "safe"}
KEYED = {**CONTRACT, "effect": "keyed", "window_ms": 9000}


def made(
    number: int = 1,
    teams: str = "ab",
    services: str = "st",
    machines: int = 0,
    contract: dict[str, Any] = CONTRACT,
    upstreams: str = "127.0.0.1:1",
    **node: Any,
) -> Generation:
    return inventory_of(
        {**NODE, **node},
        {
            "teams": {t: {} for t in teams},
            "services": {s: {"upstreams": upstreams} for s in services},
            "contracts": {t + s: {**contract, "team": t, "service": s} for t in teams for s in services},
            "machines": {f"m{n}": {} for n in range(machines)},
        },
        number,
    )


# --- plans


def test_referenced_entries_are_added_first_and_removed_last() -> None:
    change = plan(made(teams="ab", services="st"), made(2, teams="bc", services="tu"))
    steps = [f"{step.verb.value} {step.kind}.{step.name}" for step in change.steps]
    assert steps == [
        "added teams.c",
        "added services.u",
        "added contracts.bu",
        "added contracts.ct",
        "added contracts.cu",
        "drained upstream.s 127.0.0.1:1",
        "drained contracts.as",
        "drained contracts.at",
        "drained contracts.bs",
        "drained services.s",
        "drained teams.a",
    ]


def test_a_changed_entry_lists_each_key_with_old_and_new_value() -> None:
    change = plan(made(), made(2, contract={**CONTRACT, "rate": 60}, upstreams="127.0.0.1:2", cores=8))
    assert [str(step) for step in change.steps if step.kind != "contracts"] == [
        "changed  all.vars  cores: 6 -> 8",
        "changed  services.s  upstreams: 127.0.0.1:1 -> 127.0.0.1:2",
        "changed  services.t  upstreams: 127.0.0.1:1 -> 127.0.0.1:2",
        "drained  upstream.s 127.0.0.1:1",
        "drained  upstream.t 127.0.0.1:1",
    ]
    assert change.counts()[Verb.CHANGED.value] == 7 and not change.refused


def test_a_change_of_effect_to_or_from_keyed_is_refused() -> None:
    assert len(plan(made(contract=KEYED), made(2)).refused) == 2
    assert len(plan(made(), made(2, contract=KEYED)).refused) == 2
    assert not plan(made(), made(2, contract={**CONTRACT, "effect": "unsafe"})).refused


@pytest.mark.parametrize(
    ("before", "after", "held"),
    [(100, 75, False), (100, 74, True), (3, 2, False), (3, 1, True), (1, 0, False), (0, 9, False)],
)
def test_a_removal_above_the_threshold_is_held(before: int, after: int, held: bool) -> None:
    assert bool(plan(made(machines=before), made(2, machines=after)).held) is held


# --- watch


class Files:
    """Simulated files and reads that drive a watch; checks its invariants at every step."""

    def __init__(self) -> None:
        self.now, self.number = 100.0, 1
        self.found: Generation | None = made()
        assert self.found is not None
        self.watch = Watch(watch.Rules(), self.found, self.stamp)
        self.readings, self.read_at = 0, self.stamp
        self.taken: list[tuple[float, str]] = []
        self.stable_since = self.now

    @property
    def stamp(self) -> watch.Stamp:
        return (("i.yaml", self.number),)

    def write(self, found: Generation | None) -> None:
        self.number, self.found, self.stable_since = self.number + 1, found, self.now

    def look(self, seconds: float = 0.0, word: bool = False) -> list[watch.Action]:
        self.now += seconds
        return self.check_invariants(self.watch.take(self.now, Word() if word else Seen(self.stamp)))

    def check_invariants(self, actions: list[watch.Action]) -> list[watch.Action]:
        for action in actions:
            if isinstance(action, Read):
                self.readings, self.read_at = self.readings + 1, self.stamp
                assert self.readings == 1, "two readings at a time"
            if isinstance(action, Take):
                self.taken.append((self.now, action.new.digest))
                assert self.watch.running is action.new
        return actions

    def done(self, torn: bool = False) -> list[watch.Action]:
        self.readings -= 1
        before = (("i.yaml", 0),) if torn else self.read_at
        problems = () if self.found is not None else ("i.yaml:1: bad",)
        change = plan(self.watch.running, self.found).summary() if self.found is not None else None
        return self.check_invariants(
            self.watch.take(self.now, Done(self.found, change, problems, before, self.stamp))
        )

    def settle(self) -> list[watch.Action]:
        """Check the files until the watch asks for a read, and return the actions that follow."""
        for _ in range(30):
            if self.look(0.5) == [Read()]:
                return self.done()
        return []


def test_a_file_settles_before_it_is_read_and_is_applied_once() -> None:
    files = Files()
    files.write(made(2, teams="abc"))
    assert files.look() == []
    files.write(made(2, teams="abcd"))  # A further write before the file settles
    assert files.look(0.4) == [] and files.look(0.4) == [] and files.look(0.2) == [Read()]
    [taken] = files.done()
    assert isinstance(taken, Take)
    assert files.settle() == []


def test_files_that_keep_changing_are_read_but_a_torn_result_is_not_applied() -> None:
    files, looks = Files(), 0
    while not files.readings:
        files.write(made(2, teams="abc"))
        files.look(0.4)
        looks += 1
    assert looks * 0.4 <= files.watch.rules.longest_s + 1
    assert files.done(torn=True) == [] and not files.taken
    assert isinstance(files.settle()[0], Take)


def test_a_bad_file_changes_nothing_and_is_reported_once() -> None:
    files = Files()
    files.write(None)
    assert files.settle() == [Refuse(("i.yaml:1: bad",))]
    assert files.settle() == [] and files.watch.problems
    files.write(made())
    assert files.settle() == [Same()] and not files.watch.problems


def test_a_file_cut_off_after_a_row_is_held_and_the_whole_file_is_applied() -> None:
    files = Files()
    files.watch.running = made(machines=40)
    files.write(made(2, machines=20))
    [held] = files.settle()
    assert isinstance(held, Hold) and "machines: 20 of 40 would go" in held.change.held
    files.write(made(2, machines=39))  # The rest of the file arrives, so the held generation is never applied
    [taken] = files.settle()
    assert isinstance(taken, Take) and taken.new.meaning.counts["machines"] == 39


def test_a_held_change_is_applied_after_a_delay_or_at_a_second_request() -> None:
    for word in (False, True):
        files = Files()
        files.watch.running = made(machines=40)
        files.write(made(2, machines=5))
        assert files.look(word=True) == [Read()]
        assert isinstance(files.done()[0], Hold)  # The first request starts a read and confirms nothing
        at = files.now
        assert files.look(1.0) == []
        if word:
            assert files.look(word=True) == [Read()]
        else:
            assert files.look(9.1) == [Read()]
        assert isinstance(files.done()[0], Take) and (word or files.now - at >= 10.0)


def test_the_watch_keeps_its_invariants_over_random_histories() -> None:
    """One read at a time; no torn result is applied, and an unsettled one only at the operator's request."""
    for seed in range(300):
        rng, files = random.Random(seed), Files()
        kinds = [made(9), made(9, teams="abc"), made(9, machines=30), made(9, machines=3), None]
        words = False
        for _ in range(60):
            before = len(files.taken)
            match rng.choice(["look", "look", "look", "write", "word", "done", "done"]):
                case "write":
                    files.write(rng.choice(kinds))
                case "word":
                    words = True
                    files.look(word=True)
                case "done" if files.readings:
                    torn = rng.random() < 0.2
                    files.done(torn)
                    assert not torn or len(files.taken) == before, seed
                case "look":
                    files.look(rng.choice([0.1, 0.5, 3.0]))
            if len(files.taken) > before and not words:
                assert files.now - files.stable_since >= files.watch.rules.settle_s - 1e-9 or (
                    files.now - files.watch._started >= files.watch.rules.longest_s
                ), seed


# --- positions


def test_positions_are_stable_until_they_may_be_reused() -> None:
    first = made(teams="ab", services="s")
    places, meaning = layout.first(first.meaning), first.meaning
    changes = [("b", 10.0), ("cb", 20.0), ("ab", 30.0), ("d", 40.0), ("e", 41.0 + layout.REUSE_S)]
    held = dict(meaning.teams)
    for teams, now in changes:
        places, meaning = layout.follow(places, meaning, made(teams=teams, services="s").meaning, now)
        assert sorted(meaning.teams) == sorted(teams)
        for team, at in meaning.teams.items():
            tenant = meaning.settings["tenants"][at]
            assert tenant["name"] == team and not tenant.get("gone")
            assert held.get(team, at) == at
        held.update(meaning.teams)
        for (team, service), at in meaning.classes.items():
            assert (team, service) == places.contracts[at]
            assert meaning.settings["grades"][at]["name"] == "s"
        gone = [t["name"] for t in meaning.settings["tenants"] if t.get("gone")]
        assert set(gone).isdisjoint(teams)
    assert places.teams == ("a", "b", "e", "d")  # e reuses the position of c, which was removed first


# --- servers


def test_a_removed_server_drains_and_a_removed_service_keeps_its_servers() -> None:
    one, two, three = (("h", port) for port in (1, 2, 3))
    servers = Servers({"s": (one, two), "t": (two,)})
    servers.on_run_started(one)
    servers.on_run_started(two)
    servers.renew({"s": (three,)})
    assert servers.choose("s") == [three]
    assert servers.choose("t") == [two]
    assert [servers.state(a) for a in (one, two, three)] == [
        ServerState.DRAINING,
        ServerState.DRAINING,
        ServerState.SERVING,
    ]
    servers.on_run_ended(one)
    assert servers.state(one) is None and servers.draining() == [two]
    servers.renew({"s": (three, one), "t": (one,)})
    assert servers.choose("t") == [one] and servers.state(one) is ServerState.SERVING


def test_a_server_taken_out_stays_out_over_a_reload_and_finishes_its_runs() -> None:
    one, two = (("h", port) for port in (1, 2))
    servers = Servers({"s": (one, two), "t": (one,)})
    servers.on_run_started(one)
    servers.taken_out = frozenset({one})
    servers.renew({"s": (one, two), "t": (one,)})
    assert servers.choose("s") == [two] and servers.choose("t") == [] and servers.listed("t") == (one,)
    assert servers.state(one) is ServerState.DRAINING and servers.draining() == [one]
    servers.renew({"s": (one, two)})
    assert servers.choose("t") == []  # Requests of a removed service also avoid a server that is out
    servers.on_run_ended(one)
    assert servers.state(one) is None and servers.draining() == []
    servers.taken_out = frozenset()
    assert servers.choose("s") == [one, two] and servers.choose("t") == [one]


# --- snapshots


def test_a_truncated_or_altered_snapshot_is_damaged_and_an_absent_one_missing(tmp_path: Path) -> None:
    with pytest.raises(MissingError):
        snapshot.load(tmp_path)
    kept = made(7, teams="a", services="s", machines=2)
    snapshot.save(tmp_path / "state", kept)
    found = snapshot.load(tmp_path / "state")
    assert (found.number, found.digest) == (7, kept.digest)
    assert found.entries().kinds == kept.entries().kinds
    data = snapshot.encode(kept)
    for size in range(len(data)):
        with pytest.raises(DamagedError):
            snapshot.decode(data[:size])
    rng = random.Random(1)
    for _ in range(400):
        at, bit = rng.randrange(len(data)), 1 << rng.randrange(8)
        spoilt = data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]
        try:
            assert snapshot.decode(spoilt).digest == kept.digest  # The digest does not cover the number
        except DamagedError:
            continue
    with pytest.raises(DamagedError, match="of format 2"):
        snapshot.decode(data.replace(b"inventory 1 ", b"inventory 2 ", 1))


def test_a_failed_save_keeps_the_old_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    snapshot.save(tmp_path, made(1))

    def full(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError, match="No space"):
        snapshot.save(tmp_path, made(2, teams="abc"))
    monkeypatch.undo()
    assert snapshot.load(tmp_path).number == 1
    assert [p.name for p in tmp_path.iterdir()] == [snapshot.NAME]


def test_invalid_encodings_of_a_generation_are_rejected() -> None:
    for data in (b"", b"[]\n", b'["teams","a",3]\n', b"\xff\n", b'["what","a",{}]\n'):
        with pytest.raises(DamagedError):
            from_content(1, data)


# --- reader process


def test_the_reader_returns_the_inventory_and_reports_a_failed_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "i.csv"
    path.write_text("group,host\nteams,a\nteams,a\n")
    snapshot.save(tmp_path, made(2))
    done = reader.read_apart(path, tmp_path, 3, 0.25)
    assert done.found is None and any("stands twice" in line for line in done.problems)
    assert done.before == done.after == reader.stamp(path)
    path.write_text(
        "group,host,cores,memory_mb,team,service,share,rate,aim_ms,due_ms,effect,network\n"
        "all,*,6,64,,,,,,,,\nteams,a,,,,,,,,,,\nservices,s,,,,,,,,,,\n"
        "contracts,c,,,a,s,0.1,50,1000,4000,safe,\nfront_ends,f,,,a,,,,,,,2001:db8::/32\n"
    )
    done = reader.read_apart(path, tmp_path, 3, 0.25)
    assert done.found is not None and done.change is not None and done.change.counts["drained"] == 8
    assert done.found.meaning == model.load(path)
    assert snapshot.decode((tmp_path / reader.CANDIDATE).read_bytes()).digest == done.found.digest
    monkeypatch.setattr(reader.sys, "executable", "/bin/false")  # type: ignore[attr-defined]
    assert "ended with 1" in reader.read_apart(path, tmp_path, 3, 0.25).problems[0]
    monkeypatch.setattr(reader.sys, "executable", "/nowhere")  # type: ignore[attr-defined]
    assert "no process" in reader.read_apart(path, tmp_path, 3, 0.25).problems[0]
    for data in (b"", b"[]", b"{}", b'{"problems":[],"before":[],"after":[],"digest":"x"}'):
        with pytest.raises(ValueError):
            reader.understood(data, 1)


def test_a_stamp_changes_with_each_way_of_writing(tmp_path: Path) -> None:
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    for folder in "ab":
        (tmp_path / folder / "i.yaml").write_text("all:\n")
    root = tmp_path / "now"
    root.symlink_to("a")
    seen = [reader.stamp(root)]
    (tmp_path / "a" / "i.yaml").write_text("any:\n")  # Written in place, with the same length
    seen.append(reader.stamp(root))
    (tmp_path / "new").write_text("any:\n")
    (tmp_path / "new").rename(tmp_path / "a" / "i.yaml")  # Replaced by a rename
    seen.append(reader.stamp(root))
    (tmp_path / "next").symlink_to("b")
    (tmp_path / "next").rename(root)  # Swapped behind a symlink
    seen.append(reader.stamp(root))
    (tmp_path / "b" / "host_vars").mkdir()
    (tmp_path / "b" / "host_vars" / "x.yaml").write_text("")
    seen.append(reader.stamp(root))
    assert len(set(seen)) == len(seen)
    assert reader.stamp(tmp_path / "none") == ((str(tmp_path / "none"),),)


def test_a_digest_depends_on_content_and_not_on_order_or_number() -> None:
    assert made(1, teams="ab").digest == made(5, teams="ba").digest != made(teams="abc").digest
    assert replace(made(), number=2).digest == made().digest
