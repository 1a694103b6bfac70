"""The agreed log (Raft): who leads, what is committed and who may vote; all nodes of the fleet follow it.

Owns the agreed log, its voters and the leader's lease. May import errors, store and talk; it knows no duty.
"""
