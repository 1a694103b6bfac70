"""Reads the inventory: teams, services, contracts, budgets, machines and front ends, from YAML and CSV files.

Owns: reading the files, problem reports, generations, and the plan from one generation to the next. May
import: the standard library, PyYAML and blake3; only plain data from ``core/``; nothing from ``net/``. Import
the modules directly: this package loads none of them.
"""
