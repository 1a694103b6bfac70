"""Contracts of many teams: rates, hours, fair shares and budgets; docs/contracts.md describes them."""
