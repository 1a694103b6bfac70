"""Requests, attempts and outcomes of one node, independent of any network protocol."""
