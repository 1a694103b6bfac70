"""The tenant of a request, as its frame names it; the frame's hint of its work is ignored."""

from typing import Any

import pytest
from desk import Desk
from play import SETTINGS, Stand, inventory_of, run

from beechrock import Node
from beechrock import interface as api
from beechrock.net.frame_server import FrameServer

TENANTS = [
    {"name": "walkers", "portion": 0.6, "quotaPerS": 60.0},
    {"name": "couriers", "portion": 0.4, "quotaPerS": 40.0},
]
CONNECT = (
    'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 60000\\r\\n"\nup agent\n'
    "a = connect frames\n"
)
FIELDS = {"route": "resolve", "born": "1700000000000", "client": "4", "size": "24.5", "order": "0.6250"}
SERVER = {
    "service": "resolve",
    "team": "couriers",
    "share": 1.0,
    "rate": 50.0,
    "aim_ms": 1800,
    "due_ms": 7000,
    "effect": "safe",
}


def request(number: int, **more: str) -> str:
    """Return a request frame with these fields beside those that all requests have."""
    values = {"trace": f"{number:016x}", **FIELDS, **more}
    fields = " ".join(f'{len(name):02x}"{name}" {len(value):04x}"{value}"' for name, value in values.items())
    return f'a > {{01 {number:08x} {len(values):02x} {fields} "one"}}\n'


def launch(number: int) -> str:
    return f'g < "launch {number:016x} resolve 3\\r\\none\\r\\n"\n'


@pytest.mark.parametrize(
    ("tenants", "more", "tenant"),
    [
        (TENANTS, {"customer": "couriers", "weight": "437.13"}, 1),
        (TENANTS, {"customer": "walkers"}, 0),
        (TENANTS, {"weight": "250"}, None),
        (TENANTS, {"weight": "heavy"}, None),
        (TENANTS, {"customer": "", "weight": ""}, None),
        (TENANTS, {}, None),
        ([], {"customer": "couriers"}, None),
        (0, {"customer": "couriers"}, None),
        (None, {"customer": "couriers", "weight": "1e9"}, None),
    ],
)
def test_the_module_gets_the_tenant_of_a_request_and_no_work_hint(
    tenants: Any,
    more: dict[str, str],
    tenant: int | None,
) -> None:
    async def work(stand: Stand) -> None:
        await stand.open(settings={**SETTINGS, "tenants": tenants, "overShareWorth": 0.1})
        await stand.play(CONNECT + request(1, **more) + launch(1))
        (job,) = stand.program.module.node.table.requests.values()
        assert (job.request.tenant_index, job.request.work_hint_s) == (tenant, None)
        assert not stand.program.counters["intake.tenants_unknown"]

    run(work)


def test_a_tenants_traffic_share_is_counted_by_the_customer_that_frames_name() -> None:
    async def work(stand: Stand) -> None:
        await stand.open(settings={**SETTINGS, "tenants": TENANTS, "overShareWorth": 0.1})
        before = list(stand.program.module.node.shares.traffic)
        await stand.play(
            CONNECT + "".join(request(number, customer="couriers") + launch(number) for number in (1, 2))
        )
        walkers, couriers = stand.program.module.node.shares.traffic
        assert walkers < before[0] and couriers > before[1]

    run(work)


def test_a_request_of_an_unlisted_tenant_is_served_without_a_tenant_and_answered_once() -> None:
    async def work(stand: Stand) -> None:
        await stand.open(settings={**SETTINGS, "tenants": TENANTS, "overShareWorth": 0.1})
        await stand.play(
            CONNECT
            + request(1, customer="strangers")
            + launch(1)
            + 'g > "outcome 1 0000000000000001 PASS 5 3\\r\\ntwo\\r\\n"\n'
            + 'a < {02 00000001 00 01 06"advice" 0006"0.0000" "two"}\n'
        )
        assert stand.program.counters["intake.tenants_unknown"] == 1
        assert stand.program.counters["answered.served"] == 1

    run(work)


def test_customers_of_the_platform_are_not_the_teams_of_an_inventory() -> None:
    generation = inventory_of(
        {"cores": 3, "memory_mb": 64.0},
        {
            "teams": {"couriers": {}},
            "services": {"resolve": {"upstreams": ["127.0.0.1:9"]}},
            "contracts": {"c": SERVER},
        },
    )

    async def work(stand: Stand) -> None:
        await stand.open(generation, settings={**SETTINGS, "tenants": TENANTS})
        frames = stand.program.frames
        assert frames is not None and frames.routes == {"resolve": 0} and frames.tenant("couriers") is None

    run(work)
    assert FrameServer(Desk().actor, 8, frames_name_tenants=False).tenant("couriers") is None


def test_a_long_run_of_a_tenant_beyond_its_share_is_accepted_while_the_queue_is_short() -> None:
    """Seen on a calm day: one long run, half the worth of 5 s, was rejected beside an almost empty queue."""
    settings = api.Settings(
        cores=1,
        memory_kb=1e6,
        classes=(api.ClassSettings(latency_objective_s=2.0, deadline_s=6.0),),
        over_quota_weight=0.1,
        priority_weight_per_work=True,
        tenants=(api.TenantSettings(0.5, 100.0), api.TenantSettings(0.5, 2.0)),
    )
    node, now = Node(settings, 1, 100.0), 100.0
    for ident in range(1, 61):  # the second tenant sends 10 a second, five times its quota
        now += 0.05
        node.decide(now, [api.Arrived(api.Request(ident, 0, 5.0, work_hint_s=0.05, tenant_index=1))])
        now += 0.05
        node.decide(now, [api.RunFinished(ident, api.Outcome.OK, 0.05)])
    actions = node.decide(
        now,
        [
            api.Arrived(api.Request(61, 0, 5.0, work_hint_s=0.05, tenant_index=1)),
            api.Arrived(api.Request(62, 0, 5.0, work_hint_s=0.05, tenant_index=0)),
            api.Arrived(api.Request(63, 0, 5.0, work_hint_s=0.8, tenant_index=1)),
        ],
    )
    assert api.Run(61) in actions and not [a for a in actions if isinstance(a, (api.Reject, api.Fail))]
