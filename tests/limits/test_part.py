"""The decision module's two tenants, and the checks of the table ``[limits]`` in the operator's file."""

from dataclasses import replace
from pathlib import Path

import pytest
from play import SETTINGS

from beechrock import interface as api
from beechrock.config.errors import ConfigError
from beechrock.limits.part import OVER, TENANTS, WITHIN
from beechrock.limits.told import LimitsSettings, read
from beechrock.policy import Node
from beechrock.settings import settings_from


def test_the_module_has_two_tenants_and_gives_the_one_over_its_share_less_weight() -> None:
    settings = replace(settings_from(SETTINGS)[0], tenants=TENANTS, over_quota_weight=0.25)
    node, now = Node(settings, 1, 0.0), 0.0
    for ident in range(6000):
        now += 0.01
        # All requests of the tenant "over" are retries, which the module does not count as traffic.
        over = ident % 10 == 0
        node.decide(
            now,
            [
                api.Arrived(api.Request(ident, 0, 1.0, tenant_index=OVER if over else WITHIN, is_retry=over)),
                api.RunFinished(ident, api.Outcome.OK, 0.01),
            ],
        )
    assert len(node.shares.traffic) == len(node.budgets.spent) == 2
    assert node.shares.weight(WITHIN) == 1.0 and node.shares.weight(OVER) == pytest.approx(0.25)


def test_the_table_is_checked(tmp_path: Path) -> None:
    assert read({"enabled": True}, "f: limits", tmp_path) == LimitsSettings()
    assert read({"state": "s", "slack_ms": 500}, "f: limits", tmp_path) == LimitsSettings(tmp_path / "s", 0.5)
    for invalid in ({"state": ""}, {"slack_ms": 5}, {"slack_ms": "x"}):
        with pytest.raises(ConfigError, match="f: limits: s"):
            read(invalid, "f: limits", tmp_path)
