"""Decides what is recorded of requests and decisions, when a file ends, and what a record of them tells.

Owns: the file format, the recorder, and the tools that cut, merge, anonymise, sum up and replay. May import:
msgpack, zstandard, xxhash, hdrhistogram; of ``core/`` plain data and counters. Import the modules themselves.
"""
