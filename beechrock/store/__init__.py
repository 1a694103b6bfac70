"""The durable log and snapshot that the parts of a fleet share.

Decides what a power cut, a torn write or an older copy left of a folder; owns the files of its prefix there.
May import errors alone.
"""
