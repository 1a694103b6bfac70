"""Duties: work that only one API node may do at a time.

The package decides which node holds a duty, until when (a lease) and under which fence. The decisions are
pure code in ``model``, ``holder``, ``member_duties``, ``grants``, ``grantor``, ``pace`` and ``placement``;
``part`` is the thin actor that connects them to agree/ (the replicated log) and talk/ (the transport).
This package owns grants and fences. It may import: errors, store, talk, agree. This module imports nothing.
"""
