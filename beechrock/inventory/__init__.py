"""Decides what YAML and CSV files say of teams, services, contracts, budgets, machines and front ends.

Owns: sources, problems, generations and the plan from one to the next. May import: the standard library,
PyYAML, blake3; of ``core/`` plain data only, of ``net/`` nothing. Import the modules: nothing is loaded here.
"""
