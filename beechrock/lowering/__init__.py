"""Compiles a routing policy into one table per hardware class and reports how exactly each rule is kept.

Owns the policy model, the compiler passes, the packed tables and the rollout of a plan. Only ``apart``,
``measure``, ``part``, ``plans`` and ``sending`` do I/O. May import ``inventory``, ``agree``, ``duties`` and
``talk``, and no edge.
"""
