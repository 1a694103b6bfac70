"""A node adopts another inventory while requests wait and run: these are answered under the old one."""

import asyncio
from typing import Any

from play import Stand, inventory_of, run

from beechrock.inventory.generation import Generation
from beechrock.net.scgi_codec import request_bytes

CONTRACT = {"share": 0.3, "rate": 50, "aim_ms": 1800, "due_ms": 3600, "effect": "safe"}
KEYED = {**CONTRACT, "effect": "keyed", "window_ms": 10_000}
UP = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 5\\r\\n"\ncounter agent.links 1\n'


def generation(
    teams: str,
    upstreams: dict[str, list[str]],
    contracts: dict[str, Any],
    number: int = 1,
    **more: dict[str, Any],
) -> Generation:
    """Return a generation with these teams, upstreams and contracts.

    Contracts are keyed by team and service, as ``a:pack``.
    """
    contract_table = {
        name.replace(":", "-"): {**c, "team": name[0], "service": name[2:]} for name, c in contracts.items()
    }
    return inventory_of(
        {"cores": 1, "memory_mb": 60},
        {
            "teams": {t: {} for t in teams},
            "services": {s: ({"upstreams": a} if a else {}) for s, a in upstreams.items()},
            "contracts": contract_table,
            **more,
        },
        number,
    )


async def start_two_servers(stand: Stand) -> tuple[str, str]:
    """Start two stand-in servers, and return their addresses."""
    addresses = [await stand.listen(name) for name in ("server", "other")]
    return f"{addresses[0][0]}:{addresses[0][1]}", f"{addresses[1][0]}:{addresses[1][1]}"


def test_requests_are_answered_after_their_contract_service_team_and_server_are_removed() -> None:
    async def work(stand: Stand) -> None:
        one, two = await start_two_servers(stand)
        first = generation("ab", {"pack": [one], "ship": [two]}, {"a:pack": CONTRACT, "b:ship": KEYED})
        stand.generations["without"] = generation("b", {"ship": [two]}, {"b:ship": KEYED}, 2)
        stand.generations["moved"] = generation("b", {"ship": [one]}, {"b:ship": KEYED}, 3)
        await stand.open(first)
        await stand.play(
            UP
            + """
            p = connect scgi
            p ask pack a one
            u = accept server
            u ... ",one"
            q = connect scgi
            q ask pack a two
            counter intake.requests 2
            r = connect scgi
            r ask ship b three k1
            counter intake.requests 3
            inventory without
            counter open.draining_servers 1
            # New requests follow the new inventory; running and waiting ones are answered under the old one.
            s = connect scgi
            s ask pack a four
            s answered 404
            t = connect scgi
            t ask ship a five k2
            t answered 403
            u > "Status: 200 OK\\r\\n\\r\\ndone one"
            u end
            p answered 200 done one
            """
        )
        while not stand.links["server"].empty() or stand.links["other"].empty():
            await asyncio.sleep(0.001)
            if not stand.links["server"].empty():
                break
        await stand.play("""
            v = accept server
            v ... ",two"
            v > "Status: 200 OK\\r\\n\\r\\ndone two"
            v end
            q answered 200 done two
            w = accept other
            w ... ",three"
            # The server is removed while the request runs there; a repeat meanwhile shares that run.
            inventory moved
            x = connect scgi
            x ask ship b three k1
            counter intake.repeats 1
            w > "Status: 200 OK\\r\\n\\r\\ndone three"
            w end
            r answered 200 done three
            x answered 200 done three
            y = connect scgi
            y ask ship b three k1
            y answered 200 done three
            counter sent.launches 3
            z = connect scgi
            z ask ship b six k3
            n = accept server
            n ... ",six"
            n > "Status: 200 OK\\r\\n\\r\\ndone six"
            n end
            z answered 200 done six
            """)

    run(work)


def test_a_key_is_recognised_after_its_service_was_removed_and_added_again() -> None:
    async def work(stand: Stand) -> None:
        one, two = await start_two_servers(stand)
        contracts = {"a:ship": KEYED, "b:ship": KEYED}
        await stand.open(generation("ab", {"ship": [one]}, contracts))
        stand.generations["gone"] = generation(
            "bc", {"pack": [two]}, {"c:pack": CONTRACT, "b:pack": CONTRACT}, 2
        )
        stand.generations["back"] = generation(
            "cba", {"pack": [two], "ship": [two]}, {"c:pack": CONTRACT, **contracts}, 3
        )
        await stand.play(
            UP
            + """
            p = connect scgi
            p ask ship a one k1
            u = accept server
            u ... ",one"
            u > "Status: 200 OK\\r\\n\\r\\ndone one"
            u end
            p answered 200 done one
            inventory gone
            q = connect scgi
            q ask ship a one k1
            q answered 404
            inventory back
            r = connect scgi
            r ask ship b one k1
            r answered 200 done one
            counter sent.launches 1
            """
        )

    run(work)


def test_a_teams_spending_outlives_a_change_of_its_budget_and_its_own_removal() -> None:
    async def work(stand: Stand) -> None:
        one, _ = await start_two_servers(stand)

        def with_budget(amount: int, teams: str, number: int) -> Generation:
            contracts = {f"{t}:pack": {**CONTRACT, "price": 5} for t in teams}
            budgets = {"d": {"team": "a", "amount": amount, "period_s": 86_400}} if "a" in teams else {}
            return generation(teams, {"pack": [one]}, contracts, number, budgets=budgets)

        await stand.open(with_budget(10, "ab", 1))
        stand.generations.update(
            less=with_budget(8, "ab", 2), without=with_budget(8, "b", 3), back=with_budget(20, "cab", 4)
        )
        served_request = """
            {0} = connect scgi
            {0} ask pack {1} x
            u{0} = accept server
            u{0} ... ",x"
            u{0} > "Status: 200 OK\\r\\n\\r\\nok"
            u{0} end
            {0} answered 200 ok
            """
        await stand.play(
            UP
            + served_request.format("k", "a")
            + """
            inventory less
            l = connect scgi
            l ask pack a x
            l answered 503
            inventory without
            """
            + served_request.format("m", "b")
            + "inventory back\n"
            + "".join(served_request.format(f"o{n}", "a") for n in range(3))
            + """
            p = connect scgi
            p ask pack a x
            p answered 503
            """
        )

    run(work)


def test_a_hundred_reloads_with_requests_open_lose_none_and_run_none_twice() -> None:
    async def work(stand: Stand) -> None:
        answers: list[bytes] = []
        keys: dict[bytes, int] = {}

        async def served(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                size = int((await reader.readuntil(b":"))[:-1])
            except asyncio.IncompleteReadError:  # the server was removed while the node connected
                return writer.close()
            block = await reader.readexactly(size + 1)
            key = block.split(b"HTTP_IDEMPOTENCY_KEY\0")[1].split(b"\0")[0]
            keys[key] = keys.get(key, 0) + 1
            await asyncio.sleep(0.002)
            writer.write(b"Status: 200 OK\r\n\r\n" + key)
            return writer.close()

        servers = [await asyncio.start_server(served, "127.0.0.1", 0) for _ in range(3)]
        addresses = ["{}:{}".format(*s.sockets[0].getsockname()[:2]) for s in servers]
        contract = {**KEYED, "aim_ms": 60_000, "due_ms": 60_000, "window_ms": 60_000}

        def generation_after(n: int) -> Generation:
            teams = "".join(sorted({"a", "bcdef"[n % 5]}, reverse=bool(n % 2)))
            return generation(
                teams, {"ship": [addresses[n % 3]]}, {f"{t}:ship": contract for t in teams}, n + 1
            )

        await stand.open(generation_after(0))
        await stand.play(UP)
        assert stand.program.scgi is not None and stand.program.scgi.server is not None
        address = stand.program.scgi.server.sockets[0].getsockname()[:2]

        # On a fully loaded machine 200 callers at once reached the connection limit, and were answered 503.
        free_slots = asyncio.Semaphore(stand.program.scgi.max_connections // 2)

        async def ask(n: int) -> None:
            async with free_slots:
                reader, writer = await asyncio.open_connection(*address)
                headers = {"HTTP_X_ROUTE": "ship", "HTTP_X_TEAM": "a", "HTTP_IDEMPOTENCY_KEY": f"k{n // 2}"}
                writer.write(request_bytes(headers, b"x"))
                answers.append(await reader.read())
                writer.close()

        tasks = []
        for n in range(100):
            tasks += [asyncio.create_task(ask(2 * n)), asyncio.create_task(ask(2 * n + 1))]
            await asyncio.sleep(0.002)
            stand.generations["next"] = generation_after(n + 1)
            stand.take_up("next")
        # Only this loop advances the driven clock, so that no deadline passes.
        async with asyncio.timeout(20):
            while len(answers) < 200:
                stand.now += 0.005
                stand.program.module.mailbox.wake()
                await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)
        successes = [a for a in answers if a.startswith(b"Status: 200 ")]
        assert len(successes) == 200, [a for a in answers if a not in successes][:3]
        assert set(keys.values()) == {1} and len(keys) == 100
        assert not [c for c in stand.program.counters.lines() if c.startswith("trouble.")]
        for server in servers:
            server.close()

    run(work)


def test_a_caller_that_is_no_front_end_is_refused_and_a_bound_one_serves_only_its_team() -> None:
    async def work(stand: Stand) -> None:
        one, _ = await start_two_servers(stand)
        services = {"pack": [one]}, {"a:pack": CONTRACT, "b:pack": CONTRACT}
        await stand.open(generation("ab", *services, front_ends={"f": {"network": "10.0.0.0/8"}}))
        stand.generations["bound"] = generation(
            "ab", *services, 2, front_ends={"f": {"address": "127.0.0.1", "team": "a"}}
        )
        await stand.play(
            UP
            + """
            p = connect scgi
            p answered 403
            inventory bound
            q = connect scgi
            q ask pack b x
            q answered 403
            r = connect scgi
            r ask pack a x
            u = accept server
            u ... "HTTP_X_TEAM\\x00a\\x00,x"
            u > "Status: 200 OK\\r\\n\\r\\nok"
            u end
            r answered 200 ok
            """
        )

    run(work)
