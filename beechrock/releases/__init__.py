"""Permits to be out of service, and rolling releases of the fleet.

Decides permits, unavailability budgets, and the steps, halts and rollbacks of releases; owns the state
machine ``releases`` of the agreed log. May import errors, store, talk, members, agree, duties.
"""
