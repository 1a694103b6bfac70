"""Tests with real processes: one duty whose holder sends effects, under faults. They wait for log events."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from beechrock.lab.fleet import Cut, Fleet
from beechrock.lab.fleet.checkers import check

Scenario = Callable[[Fleet], Awaitable[None]]
NAMES = ["a", "b", "c"]
LEASE_S = 1.0  # lease of the duty, in seconds
DUTIES = {"lease_s": LEASE_S, "hold_down_s": 0.5, "trial": True}


def run_scenario(
    tmp_path: Path,
    scenario: Scenario,
    names: list[str] = NAMES,
    single: bool = True,
    duties: dict[str, Any] | None = None,
    **more: Any,
) -> None:
    async def with_fleet() -> None:
        tables = {"agree": {"voters": names}, "duties": {**DUTIES, **(duties or {})}}
        async with Fleet(tmp_path, 7, names, tables=tables, **more) as fleet:
            await fleet.start()
            await fleet.proven()
            await scenario(fleet)
            check_history(fleet, single)

    asyncio.run(with_fleet())


def check_history(fleet: Fleet, single: bool) -> None:
    """Check the log events of all processes: fences at receivers and, if ``single``, one holder at a time.

    ``single`` is False if a clock violates the assumptions of leases: then two processes may act at once.
    """
    saved = fleet.save_history()
    history = fleet.history()
    assert not fleet.troubles(), saved
    assert not (found := check(history, ("agree", "duties", "sound"))), (found, saved)
    highest = 0
    acts = [event for event in history if event["event"] == "trial.act"]
    for event in acts:  # each is logged between the check of ``may`` and the effect
        assert event["fence"] >= highest or not single, (event, highest, saved)
        highest = event["fence"]
    assert acts and any(event["accepted"] for event in history if event["event"] == "effect"), saved


def acting_node(fleet: Fleet, name: str | None = None, above: int = 0, count: int = 3) -> str:
    """Return the node that acted last under a fence above ``above``, or "" before ``count`` such acts."""
    events = [e for e in fleet.events(name, "trial.act") if e["fence"] > above]
    return str(events[-1]["node"]) if len(events) >= count else ""


def highest_fence(fleet: Fleet) -> int:
    return max((e["fence"] for e in fleet.events(None, "trial.act")), default=0)


async def holder(fleet: Fleet, above: int = 0) -> str:
    return str(
        await fleet.until(lambda: acting_node(fleet, None, above), what=f"a holder above fence {above}")
    )


async def leader(fleet: Fleet) -> str:
    async def found() -> str:
        rows = {name: await fleet.view(name, "/duties") for name in fleet.up}
        return next((name for name, view in rows.items() if "held_down" in view), "")

    return str(await fleet.until(found, what="a leader"))


def is_not_holding(fleet: Fleet, name: str) -> bool:
    """Return whether the node logged no state of the duty, or a last one other than "holding"."""
    states = [e["state"] for e in fleet.events(name, "duty") if e["name"] == "trial"]
    return not states or states[-1] != "holding"


def test_effects_of_a_holder_paused_between_check_and_effect_beyond_its_lease_are_refused(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        def refused() -> list[dict[str, Any]]:
            return [e for e in fleet.events(None, "effect") if not e["accepted"]]

        for _ in range(20):  # the pause hits the gap between check and effect about every other time
            first, old = await holder(fleet), highest_fence(fleet)
            fleet.stop(first)
            await holder(fleet, old)
            fleet.go_on(first)
            await fleet.until(lambda f=first: is_not_holding(fleet, f))  # type: ignore[misc]
            if len({e["fence"] for e in refused()}) >= 2:
                break
        # Effects checked before the pause and sent after it arrived late and were refused; no others were.
        assert refused() and all(e["fence"] < highest_fence(fleet) for e in refused())

    run_scenario(tmp_path, scenario)


def test_holder_cut_off_in_either_direction_is_replaced(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        for outwards in (True, False):
            first, old = await holder(fleet, 0), highest_fence(fleet)
            for other in NAMES:
                if other != first:
                    fleet.links.cut(*((first, other) if outwards else (other, first)), Cut.SILENT)
            second = await holder(fleet, old)
            assert second != first
            fleet.links.heal()
            await fleet.until(lambda f=first: is_not_holding(fleet, f))  # type: ignore[misc]

    run_scenario(tmp_path, scenario)


def test_leader_and_holder_killed_together_are_soon_replaced(tmp_path: Path) -> None:
    names = [*NAMES, "d", "e"]

    async def scenario(fleet: Fleet) -> None:
        first, old = await holder(fleet), highest_fence(fleet)
        at = time.monotonic()
        await fleet.kill(*{first, await leader(fleet)})
        await holder(fleet, old)
        assert time.monotonic() - at < 10 * (LEASE_S + 2.0)
        await fleet.start()
        await holder(fleet)

    run_scenario(tmp_path, scenario, names)


def test_duty_moves_when_replies_outlast_the_lease_and_stops_without_a_quorum(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        first, old = await holder(fleet), highest_fence(fleet)
        others = [name for name in NAMES if name != first]
        fleet.links.delay(others, first, 4.0)
        second = await holder(fleet, old)
        assert second != first
        fleet.links.heal()
        first, old = await holder(fleet), highest_fence(fleet)
        fleet.links.split(*([name] for name in NAMES))
        await fleet.until(
            lambda: all(is_not_holding(fleet, name) for name in NAMES), what="no holder, without a quorum"
        )
        fleet.links.heal()
        count = len(fleet.events(None, "trial.act"))
        await fleet.until(
            lambda: len(fleet.events(None, "trial.act")) > count, what="effects after the quorum is restored"
        )

    run_scenario(tmp_path, scenario)


def test_receivers_keep_fences_after_all_processes_were_killed(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await holder(fleet)
        for _ in range(2):
            old = highest_fence(fleet)
            await fleet.kill(*NAMES)
            await fleet.start()
            await holder(fleet, old)

    # With ``lying``, SIGKILL loses all writes that were not synced, as a power cut does.
    run_scenario(tmp_path, scenario, lying=True)


def test_rolling_restart_yield_and_drain(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        for name in NAMES:
            await holder(fleet, 0)
            codes = await fleet.term(name)
            left = [e for e in fleet.events(name) if e["event"] == "duties.left"]
            assert codes == [0] and left, f"{name} gave back all before it ended"
            await fleet.start(name)
        first, old = await holder(fleet), highest_fence(fleet)
        other = next(name for name in NAMES if name != first)
        status, body = await fleet.call(other, "POST", "/duties/yield?name=trial")
        assert status == 200 and json.loads(body)["holder"] == first
        second, old = await holder(fleet, old), highest_fence(fleet)
        assert second != first
        status, _ = await fleet.call(second, "POST", "/healthcheck/fail")
        assert status == 200
        assert await holder(fleet, old) != second
        status, body = await fleet.call(other, "POST", "/duties/yield?name=nothing")
        assert status == 409 and "no such duty" in body
        rows = await fleet.view(other, "/inventory/agreed")
        assert rows["same"] and rows["number"] == 1

    run_scenario(tmp_path, scenario)


def grant_reasons(fleet: Fleet) -> list[str]:
    """Return the reason of each proposed grant of the duty."""
    return [e["why"] for e in fleet.events(None, "duties.grant") if e["name"] == "trial"]


async def distinct_holder_and_leader(fleet: Fleet) -> tuple[str, str]:
    """Move the duty until the holder is not the leader; return the holder and the leader."""
    while True:
        first, old, lead = await holder(fleet), highest_fence(fleet), await leader(fleet)
        if first != lead:
            return first, lead
        await fleet.call(lead, "POST", "/duties/yield?name=trial")
        await holder(fleet, old)


async def wait_for_more_effects(fleet: Fleet, count: int = 10) -> None:
    done = len(fleet.events(None, "effect"))
    await fleet.until(lambda: len(fleet.events(None, "effect")) >= done + 3 * count, what="effects")


def test_duty_keeps_one_holder_while_clocks_jump_and_drift_within_the_bound(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        for rate, name in zip((0.976, 1.0, 1.024), NAMES, strict=True):
            fleet.clock(name, rate=rate)
        for of_leader in (False, True):
            first, lead = await distinct_holder_and_leader(fleet)
            fleet.clock(lead if of_leader else first, leap_s=30.0)  # every lease has expired by this clock
            await wait_for_more_effects(fleet)
        await holder(fleet)

    run_scenario(tmp_path, scenario, clocks=True)


def test_effects_of_a_holder_whose_clock_has_stopped_are_refused_by_the_fence(tmp_path: Path) -> None:
    """A lease cannot stop a holder whose clock stands still: only the fence at receivers refuses its effects.

    Messages to the holder are cut meanwhile, because the log would otherwise report the next grant to it,
    possibly before it has sent an effect under the old fence.
    """

    async def scenario(fleet: Fleet) -> None:
        def refused() -> list[dict[str, Any]]:
            return [e for e in fleet.events(None, "effect") if not e["accepted"] and e["sender"] == first]

        (first, _), old = await distinct_holder_and_leader(fleet), highest_fence(fleet)
        fleet.links.cut([name for name in NAMES if name != first], first, Cut.SILENT)
        fleet.clock(first, rate=0.0)
        second = await holder(fleet, old)
        assert second != first
        await fleet.until(refused, what="an effect under the old fence, refused")
        fleet.links.heal()
        fleet.clock(first, rate=1.0)
        await fleet.until(lambda: is_not_holding(fleet, first))
        await wait_for_more_effects(fleet)

    run_scenario(tmp_path, scenario, single=False, clocks=True)


def test_one_holder_despite_two_leaders_late_doubled_messages_and_cut_connections(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.links.set(NAMES, NAMES, double=0.5, delay_s=0.1, short=0.01)
        lead, leaderships = await leader(fleet), len(fleet.events(None, "agree.lead"))
        fleet.stop(lead)  # its messages are still in transit while the next leader leads
        await fleet.until(lambda: len(fleet.events(None, "agree.lead")) > leaderships, what="the next leader")
        fleet.go_on(lead)
        await wait_for_more_effects(fleet)
        fleet.links.heal()
        await wait_for_more_effects(fleet)

    run_scenario(tmp_path, scenario)


def test_holder_without_progress_is_replaced_and_its_hold_down_known_to_the_next_leader(
    tmp_path: Path,
) -> None:
    def stalled_holders(fleet: Fleet) -> list[str]:
        return [e["holder"] for e in fleet.events(None, "duties.ask_back") if "no progress" in e["why"]]

    async def scenario(fleet: Fleet) -> None:
        lead = await leader(fleet)
        for works in ("no", "yes"):
            for name in NAMES:
                await fleet.call(name, "POST", f"/duties/trial?works={works}")
            await fleet.until(lambda: stalled_holders(fleet), what="a stalled holder, asked to yield")
        key, other = (
            f"{stalled_holders(fleet)[0]}/trial",
            next(name for name in NAMES if name != lead),
        )

        async def agreed() -> bool:
            return key in (await fleet.view(other, "/duties"))["hold_downs"]

        await fleet.until(agreed, what="its hold-down in the log")
        await fleet.kill(lead)
        assert key in (await fleet.view(await leader(fleet), "/duties"))["held_down"]
        await wait_for_more_effects(fleet)

    run_scenario(tmp_path, scenario, duties={"hold_down_s": 60.0})


def test_duty_is_given_back_at_drain_and_at_leave(tmp_path: Path) -> None:
    """After a drain or a leave, every grant's reason is "free" and not an expired lease.

    A lease may expire for another cause in the meantime, so each case is tried up to five times.
    """

    async def scenario(fleet: Fleet) -> None:
        for drained in (True, False):
            for _ in range(5):
                old = highest_fence(fleet)
                now, given = await holder(fleet, old - 1), len(grant_reasons(fleet))
                if drained:
                    await fleet.call(now, "POST", "/healthcheck/fail")
                else:
                    assert await fleet.term(now) == [0]
                await holder(fleet, old)
                if all(why.endswith("free") for why in grant_reasons(fleet)[given:]):
                    break
                await (fleet.call(now, "POST", "/healthcheck/ok") if drained else fleet.start(now))
            else:
                raise AssertionError(grant_reasons(fleet))

    run_scenario(tmp_path, scenario)
