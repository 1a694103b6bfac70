"""Replicated state of a fleet: records that merge, repair, catch-up, budget leases, and advice about
servers.

The modules marked "Pure." make the decisions; ``part``, ``disk``, ``budgets`` and ``advice`` connect them to
store/, talk/ and agree/. Owns the records of its store and the machine ``budgets`` of the agreed log. May
import: errors, store, talk, agree. Importing the package alone loads no module.
"""
