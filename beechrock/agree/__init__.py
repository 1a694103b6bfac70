"""The agreed log: a replicated log (Raft) that all nodes of the fleet follow and that some of them vote on.

Owns the log, its voters and the leader's lease. May import errors, store and talk; must not depend on duties.
"""
