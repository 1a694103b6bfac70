"""Queue writes durably at edges that are cut off, and replay them upstream in causal order, each run once.

This package decides which writes are queued, the order and the rate of their replay, and how each one ends.
It owns the edge's log and upstream's marks. It may import errors, store, talk and duties; its pure modules
import none of them.
"""
