"""The former name of the module ``settings`` and of its class (docs/glossary.md)."""

from beechrock.members.settings import MembersSettings as Members

__all__ = ["Members"]
