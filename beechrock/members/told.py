"""The former name of ``settings``, for ``program``, which is not converted yet (docs/glossary.md)."""

from beechrock.members.settings import MembersSettings as Members

__all__ = ["Members"]
