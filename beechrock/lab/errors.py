"""What a laboratory's user hears."""

from typing import ClassVar

from beechrock.errors import OperatorError


class NotStartedError(OperatorError):
    """A process that the laboratory started ended before it listened."""

    event: ClassVar[str] = "lab.not_started"


class BadFaultError(OperatorError):
    """The name of a system call's fault cannot be used."""

    event: ClassVar[str] = "lab.bad_fault"
