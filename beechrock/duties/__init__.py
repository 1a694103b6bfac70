"""Duties: what only one api node may do at a time; who may hold one, until when, under which fence.

Decides in ``model``, ``holder``, ``member_duties``, ``grants``, ``grantor``, ``pace``, ``placement``, purely;
``part`` is the thin actor on agree/ and talk/. Owns grants and fences. May import: errors, store, talk,
agree. Nothing loads here.
"""
